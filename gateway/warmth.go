package gateway

import (
	"context"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/platform"
)

// Learning whether targets that came back into use are warm.
const (
	warmthPeriod     = 50 * clock.Millisecond  // between two looks for targets to ask
	warmthAskTimeout = 300 * clock.Millisecond // of a question; a target may be busy
	// freshEntryAge is the age of the copies up to which entries count as arriving without a
	// gap.
	freshEntryAge = clock.Second
)

// signalWarmth wakes learnWarmth.
func (g *Gateway) signalWarmth() {
	select {
	case g.warmthUnknown <- struct{}{}:
	default: // it has not handled the previous signal yet
	}
}

// learnWarmth asks targets that came back into use whether they are warm, until ctx is done.
func (g *Gateway) learnWarmth(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.warmthUnknown:
		}
		freshSince := g.clock.Now()
		for ctx.Err() == nil {
			if g.views.ageOf(platform.KindTargets) > freshEntryAge {
				freshSince = g.clock.Now()
			}
			questions, left := g.warmthQuestions(freshSince)
			for _, q := range questions {
				go g.askWarmth(ctx, q)
			}
			if left == 0 {
				break
			}
			sleep(ctx, warmthPeriod)
		}
	}
}

// warmthQuestions returns the targets to ask now, and the number of those that are not known.
func (g *Gateway) warmthQuestions(freshSince clock.Time) (questions []replica.Question, left int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	service := func(name routing.ServiceName) *routing.Service {
		if g.table == nil {
			return nil
		}
		return g.table.Service(name)
	}
	questions = g.targets.Questions(service, freshSince, g.clock.Now())
	return questions, g.targets.UnknownWarmth()
}

// askWarmth asks a target whether it is warm.
func (g *Gateway) askWarmth(ctx context.Context, q replica.Question) {
	ctx, cancel := context.WithTimeout(ctx, warmthAskTimeout.Std())
	defer cancel()
	cold, err := g.pool.AskCold(ctx, q.Target.ID, q.Target.Address, q.HealthPath)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.targets.NotTold(q.Target, g.clock.Now())
		return
	}
	g.targets.Told(q.Target, cold, g.clock.Now())
	g.log.Info("target back in use", "target", q.Target.ID, "coldMs", cold)
}

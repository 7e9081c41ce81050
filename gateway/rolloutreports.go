package gateway

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/placing"
	"knapweedstall/core/rollout"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
	"knapweedstall/io/exchange"
	"knapweedstall/platform"
)

// rolloutTopic is the topic of the reports to deciders.
const rolloutTopic = "rollout"

// Timing of reports.
const (
	// rolloutReportTimeout is longer than the pauses of a busy small instance: with 400 ms,
	// instances on an overloaded machine left a decider that was up, and none heard
	// enough of them to complete the order. A directive, which is valid for 1.5 s,
	// outlasts two coordinators that hang.
	rolloutReportTimeout = 700 * clock.Millisecond
	// silentTime is how long a coordinator that has not answered is not asked, and
	// unsupportedTime is the same for one of an older build.
	silentTime      = 2 * clock.Second
	unsupportedTime = 10 * clock.Second
	// hearingTime is the time without a report after which an instance has another
	// decider. It is longer than silentTime, so that instances which ask again are heard.
	hearingTime = 2500 * clock.Millisecond
	// heartbeatsUntilStale is the age of the copy of the orders, in heartbeat periods,
	// from which a decision may have been missed. A follower of a follower hears of
	// changes of the store within two.
	heartbeatsUntilStale = 4
)

// Limits of reports.
const (
	// maxAskedCoordinators is how many coordinators are asked for one report.
	maxAskedCoordinators = 3
	// maxReportedOrders bounds the orders in one report, and so its size: an order has
	// at most some hundred pairs of a route and a target of some 60 bytes each.
	maxReportedOrders = 10
)

// reportGroup is the part of a report for one decider.
type reportGroup struct {
	decider  placing.Instance
	services []routing.ServiceName
}

// reportSends reports this instance's sends to the deciders in each report period until
// ctx is done.
func (g *Gateway) reportSends(ctx context.Context) {
	ticker := time.NewTicker(rollout.ReportPeriod.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		connected := g.views.ageOf(platform.KindRollouts) < heartbeatsUntilStale*g.heartbeatPeriod()
		for _, group := range g.groupByDecider(g.activeServices(connected)) {
			go g.report(ctx, group, maxAskedCoordinators)
		}
	}
}

// activeServices returns the services with undecided orders. connected tells whether the
// copy of the orders is up to date.
func (g *Gateway) activeServices(connected bool) []routing.ServiceName {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rollouts.tracker.SetConnected(connected)
	active := g.rollouts.tracker.Active()
	switch {
	case len(active) == 0:
		g.rollouts.activeSince = 0
	case g.rollouts.activeSince == 0:
		g.rollouts.activeSince = g.clock.Now()
	}
	return active
}

// groupByDecider groups services by decider.
func (g *Gateway) groupByDecider(services []routing.ServiceName) []reportGroup {
	var groups []reportGroup
	open := map[topology.InstanceID]int{} // index of the latest group of a decider
	for _, service := range services {
		decider, ok := g.deciderOf(service)
		if !ok {
			continue // the list of instances is not known yet
		}
		i, ok := open[decider.ID]
		if !ok || len(groups[i].services) == maxReportedOrders {
			i = len(groups)
			open[decider.ID] = i
			groups = append(groups, reportGroup{decider: decider})
		}
		groups[i].services = append(groups[i].services, service)
	}
	return groups
}

// deciderOf returns the first coordinator of the order of a service that is not silent,
// or the first one if all are. This instance does not count while few others report to
// it: they don't reach it and have another decider.
func (g *Gateway) deciderOf(service routing.ServiceName) (placing.Instance, bool) {
	ranked := g.coordinatorsOf("rollout/" + string(service))
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	unheard := g.rollouts.hearsFew(len(g.peers), now)
	for _, in := range ranked {
		if now.Before(g.rollouts.silent[in.ID]) || unheard && in.ID == g.settings.Instance {
			continue
		}
		return in, true
	}
	if len(ranked) == 0 {
		return placing.Instance{}, false
	}
	return ranked[0], true
}

// hearsFew reports whether fewer than half of the instances have reported to this one
// within hearingTime, although there has been an undecided order for longer.
func (r *rollouts) hearsFew(instances int, now clock.Time) bool {
	if r.activeSince == 0 || now.Sub(r.activeSince) < hearingTime {
		return false
	}
	heard := 1 // this instance, which may report to another one
	for id, at := range r.heardAt {
		if now.Sub(at) >= hearingTime {
			delete(r.heardAt, id)
			continue
		}
		heard++
	}
	return 2*heard < instances
}

// report reports to a decider and applies its directives. If the decider does not answer,
// it reports to the next coordinators, up to attempts in total.
func (g *Gateway) report(ctx context.Context, group reportGroup, attempts int) {
	sent, answer, err := g.askDecider(ctx, group)
	if err == nil {
		g.metrics.rolloutReport("answered")
		g.noteAnswering(group.decider.ID)
		g.applyDirectives(group.decider, answer, sent)
		return
	}
	if ctx.Err() != nil {
		return
	}
	g.metrics.rolloutReport("failed")
	g.noteSilent(group, err)
	if attempts == 1 {
		return
	}
	for _, n := range g.groupByDecider(group.services) {
		if n.decider.ID != group.decider.ID {
			g.report(ctx, n, attempts-1)
		}
	}
}

// askDecider sends a report. It returns when the report was made and the directives.
func (g *Gateway) askDecider(ctx context.Context, group reportGroup) (sent clock.Time, answer map[routing.ServiceName]rollout.Directive, err error) {
	g.mu.Lock()
	sent = g.clock.Now()
	report := g.rollouts.tracker.Report(group.services, sent)
	g.mu.Unlock()
	payload, err := cbor.Marshal(report)
	if err != nil {
		return sent, nil, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutReportTimeout.Std())
	defer cancel()
	data, err := g.call(ctx, group.decider, rolloutTopic, payload)
	if err != nil {
		return sent, nil, err
	}
	return sent, answer, errors.WithStack(cbor.Unmarshal(data, &answer))
}

// noteAnswering notes that a coordinator answers.
func (g *Gateway) noteAnswering(id topology.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.rollouts.silent[id]; ok {
		delete(g.rollouts.silent, id)
		g.log.Info("decider of rollouts answers again", "decider", id)
	}
}

// noteSilent notes that a decider has failed to answer with err.
func (g *Gateway) noteSilent(failed reportGroup, err error) {
	pause := silentTime
	var unsupported *exchange.UnsupportedError
	if errors.As(err, &unsupported) {
		pause = unsupportedTime
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.rollouts.silent[failed.decider.ID]; !known {
		g.log.Info("decider of rollouts does not answer", "decider", failed.decider.ID, "services", len(failed.services), "err", err)
	}
	g.rollouts.silent[failed.decider.ID] = g.clock.Now().Add(pause)
}

// applyDirectives applies the answer of a decider to a report that was made at sent.
func (g *Gateway) applyDirectives(decider placing.Instance, answer map[routing.ServiceName]rollout.Directive, sent clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.rollouts
	r.tracker.Directed(answer, sent, g.clock.Now())
	for service, d := range answer {
		o, ok := r.orders[service]
		if !ok || o.Target != d.Target || o.Created != d.Created || o.State().Decided() || r.stages[service] == d.Stage {
			continue
		}
		g.log.Info("rollout stage", "service", service, "target", d.Target, "stage", stageName(d.Stage), "before", stageName(r.stages[service]),
			"share", d.Share, "decider", decider.ID)
		r.stages[service] = d.Stage
	}
}

// receiveReport handles the report of an instance.
func (g *Gateway) receiveReport(_ context.Context, from topology.InstanceID, payload []byte) ([]byte, error) {
	var report rollout.Report
	if err := cbor.Unmarshal(payload, &report); err != nil {
		return nil, errors.WithStack(err)
	}
	g.mu.Lock()
	now := g.clock.Now()
	if from != g.settings.Instance {
		g.rollouts.heardAt[from] = now
	}
	answer := g.rollouts.decider.Receive(from, report, now)
	g.mu.Unlock()
	data, err := cbor.Marshal(answer)
	return data, errors.WithStack(err)
}

// stageName returns the name of a stage in log lines and metrics.
func stageName(s rollout.Stage) string {
	switch s {
	case rollout.NoStage:
		return "none"
	case rollout.Canary:
		return "canary"
	case rollout.Load:
		return "load"
	case rollout.Move:
		return "move"
	case rollout.Back:
		return "back"
	}
	return "unknown" // of a later build
}

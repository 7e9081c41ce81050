package rollout

import (
	"math/rand/v2"

	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
)

// trackedOrder is an instance's part of one order.
type trackedOrder struct {
	OrderState
	epoch  uint64
	seenAt clock.Time

	directive     Directive
	directedUntil clock.Time
	reached       Stage // highest stage that was directed
	// accumulated has the fraction of a first send of each route that is due to the
	// new version, 0 to 1. It begins at random, so that instances with few sends
	// together keep the share.
	accumulated map[routing.RouteName]float64

	sends, newSends, bad int64
	evidence             evidence
}

func newTrackedOrder(o OrderState, epoch uint64, now clock.Time) *trackedOrder {
	return &trackedOrder{
		OrderState: o, epoch: epoch, seenAt: now,
		accumulated: map[routing.RouteName]float64{}, evidence: evidence{},
	}
}

// directed reports whether a directive is valid.
func (o *trackedOrder) directed(now clock.Time) bool { return now.Before(o.directedUntil) }

// stage returns the stage in force. The stages Move and Back outlast their directives:
// after Move, old targets may be stopped at any time.
func (o *trackedOrder) stage(now clock.Time) Stage {
	switch {
	case o.reached >= Move:
		return o.reached
	case o.directed(now):
		return o.directive.Stage
	default:
		return NoStage
	}
}

// follow applies a directive for a report that was made at sent.
func (o *trackedOrder) follow(d Directive, sent clock.Time) {
	until := sent.Add(directiveLifetime)
	if until.Before(o.directedUntil) {
		return // the answer to a later report has arrived before
	}
	o.directive, o.directedUntil = d, until
	o.reached = max(o.reached, d.Stage)
}

// ruleKind returns which versions a send of the route may use.
func (o *trackedOrder) ruleKind(route routing.RouteName, p Purpose, now clock.Time, random *rand.Rand) ruleKind {
	switch o.State() {
	case Completed:
		return newOnly
	case RolledBack:
		return oldOnly
	case Running, "":
	}
	switch o.stage(now) {
	case Move:
		return newOnly
	case Canary, Load:
		if p == First && o.due(route, random) {
			return newPreferred
		}
	case NoStage, Back:
	}
	return oldOnly
}

// due reports whether the next first send of the route goes to the new version.
func (o *trackedOrder) due(route routing.RouteName, random *rand.Rand) bool {
	if _, ok := o.accumulated[route]; !ok {
		o.accumulated[route] = random.Float64()
	}
	return o.accumulated[route]+o.directive.share(route) >= 1
}

// sent counts a send. A send that was due to the new version and went to an old target,
// because no new one could be used, is not made up for: instances that do so together
// would overload the new targets as soon as these can be used.
func (o *trackedOrder) sent(s Send, now clock.Time, random *rand.Rand) {
	o.sends++
	if s.Version == o.Target {
		o.newSends++
	}
	if stage := o.stage(now); s.Purpose != First || stage != Canary && stage != Load {
		return
	}
	due := o.due(s.Route, random)
	o.accumulated[s.Route] += o.directive.share(s.Route)
	if due {
		o.accumulated[s.Route]--
	}
}

// ended counts the end of a send.
func (o *trackedOrder) ended(s Send, r Result) {
	isNew := s.Version == o.Target
	if r.Outcome == NotSent {
		o.sends = max(0, o.sends-1)
		if isNew {
			o.newSends = max(0, o.newSends-1)
		}
		return
	}
	counts, ok := countsOf(s, r)
	if !ok {
		return
	}
	if isNew {
		o.bad += int64(counts.failures + counts.slow)
	}
	o.evidence.add(cellKey{side{isNew, s.Target}, s.Route}, counts)
}

// report returns the report about the order.
func (o *trackedOrder) report(oldInFlight int64, now clock.Time) OrderReport {
	return OrderReport{
		Service: o.Service, Target: o.Target, Created: o.Created, Epoch: o.epoch, Age: now.Sub(o.seenAt),
		Sends: o.sends, NewSends: o.newSends, OldInFlight: oldInFlight, Bad: o.bad,
		Stage: o.reached, Moved: o.reached == Move,
		Evidence: o.evidence.counted(),
	}
}

package gateway

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
	"knapweedstall/core/replica"
	"knapweedstall/core/rollout"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// targetsOf returns the targets for the sends of the request. mu must be held.
func (g *Gateway) targetsOf(q *request) fanout.Targets {
	if g.rollouts == nil {
		return g.targets
	}
	q.params.Untimed = func(t *replica.Target) bool { return g.rollouts.undecided(t.Service, t.Version) }
	return &versionedTargets{Set: g.targets, rollouts: g.rollouts, route: q.route.Name, alreadySent: q.params.AlreadySent}
}

// versionFields returns the field of the request's log line that names the versions of
// the targets it was sent to, if one of its services has an order. mu must be held.
func (g *Gateway) versionFields(q *request) []any {
	if g.rollouts == nil {
		return nil
	}
	details := q.call.VersionDetails(maxFailureDetails, func(service routing.ServiceName) bool {
		_, ordered := g.rollouts.orders[service]
		return ordered
	})
	if len(details) == 0 {
		return nil
	}
	return []any{"versions", details}
}

// versionedTargets selects the targets of one request by the orders of their services,
// and tells the tracker of its sends. It implements fanout.Targets.
type versionedTargets struct {
	*replica.Set
	rollouts    *rollouts
	route       routing.RouteName
	alreadySent bool       // targets may have received the request before
	rule        sendRule   // of the latest selection
	open        []openSend // without an outcome
}

// openSend is a send without an outcome.
type openSend struct {
	target *replica.Target
	send   rollout.Send
}

// Pick implements fanout.Targets. Only the first selection for a service counts as a
// first send: a request that waits because all old targets are busy does not go to the
// new version instead.
func (v *versionedTargets) Pick(name routing.ServiceName, svc *routing.Service, excluded []topology.TargetID, purpose replica.Purpose, now clock.Time) replica.Choice {
	p := rollout.Repeat
	if purpose == replica.First && !v.alreadySent {
		p = rollout.First
	}
	v.rule = sendRule{Rule: v.rollouts.tracker.Rule(name, v.route, p, now), rollouts: v.rollouts, service: name, now: now}
	c := v.PickVersion(name, svc, excluded, purpose, &v.rule, now)
	if c.Target != nil {
		send := rollout.Send{
			Service: name, Route: v.route, Target: c.Target.ID, Version: c.Target.Version, Purpose: p, Cold: c.Target.Cold(now),
		}
		v.open = append(v.open, openSend{c.Target, send})
		v.rollouts.tracker.Sent(send, now)
	}
	return c
}

// Undo implements fanout.Targets.
func (v *versionedTargets) Undo(t *replica.Target) {
	v.Set.Undo(t)
	v.end(t, rollout.Result{Outcome: rollout.NotSent})
}

// Done implements fanout.Targets.
func (v *versionedTargets) Done(t *replica.Target, r replica.Result, now clock.Time) {
	v.Set.Done(t, r, now)
	v.end(t, rollout.Result{Outcome: rolloutOutcome(r.Outcome), Slowness: r.Slowness})
}

// end tells the tracker how the send to t ended.
func (v *versionedTargets) end(t *replica.Target, r rollout.Result) {
	i := slices.IndexFunc(v.open, func(o openSend) bool { return o.target == t })
	if i < 0 {
		return // can't happen: Pick has counted each send
	}
	v.rollouts.tracker.Ended(v.open[i].send, r)
	v.open = slices.Delete(v.open, i, i+1)
}

// rolloutOutcome returns what an outcome tells about the target's version.
func rolloutOutcome(o replica.Outcome) rollout.Outcome {
	switch o {
	case replica.Answered:
		return rollout.Answered
	case replica.Failed:
		return rollout.Failed
	case replica.Canceled:
		return rollout.Abandoned
	case replica.Unsent, replica.Replaced:
		return rollout.NotSent
	case replica.Shed, replica.Lost:
	}
	return rollout.Unknown
}

// sendRule is the rule of an order for one selection, in which a version whose order may
// not have arrived yet is a last resort. It implements replica.VersionRule.
type sendRule struct {
	rollout.Rule
	rollouts *rollouts
	service  routing.ServiceName
	now      clock.Time
}

// held reports whether the order of the version may not have arrived yet.
func (r *sendRule) held(v rollout.Version) bool {
	return r.rollouts.versions.held(r.service, v, r.now) && r.rollouts.orders[r.service].Target != v
}

// Prefers implements replica.VersionRule.
func (r *sendRule) Prefers(v rollout.Version) bool { return r.Rule.Prefers(v) && !r.held(v) }

// Permits implements replica.VersionRule.
func (r *sendRule) Permits(v rollout.Version) bool { return r.Rule.Permits(v) && !r.held(v) }

// PermitsUnreached implements replica.VersionRule.
func (r *sendRule) PermitsUnreached(v rollout.Version) bool {
	return r.Rule.PermitsUnreached(v) || r.Rule.Permits(v) && r.held(v)
}

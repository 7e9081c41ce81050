package gateway

import (
	"context"

	"knapweedstall/core/fanout"
	"knapweedstall/core/routing"
	"knapweedstall/io/delegate"
	"knapweedstall/io/upstream"
)

// runDelegated runs a request for another instance until ctx is done. A panic fails only
// this request.
func (g *Gateway) runDelegated(ctx context.Context, r delegate.Request) (answer delegate.Answer) {
	defer func() {
		if cause := recover(); cause != nil {
			g.logPanic(r.RequestID, cause)
			answer = delegate.Answer{State: string(fanout.Failure), Missing: 1}
		}
	}()
	table, isolated, full := g.delegationState()
	if isolated {
		return delegate.Answer{Declined: true, Isolated: true}
	}
	if full || g.stopping() || table == nil || !g.mayAct() || int64(table.Config.Version) != r.Version {
		// The request must run with the configuration that is active at the
		// delegating instance, neither an earlier nor a later one.
		return delegate.Answer{Declined: true}
	}
	route := table.Route(routing.RouteName(r.Route))
	if route == nil {
		return delegate.Answer{Declined: true}
	}
	q := g.openRequest(route, g.clock.Now())
	q.out = upstream.Request{ID: r.RequestID, Method: r.Method, Head: r.Head, Body: r.Body}
	q.evidence.requestID, q.evidence.fingerprint = r.RequestID, r.Fingerprint
	q.version = table.Config.Version
	q.params = callParams(route, q.services, q.arrived, max(r.Remaining, 1), max(r.PartialAfter, 1))
	q.params.AlreadySent = r.AlreadySent
	if r.AlreadySent {
		q.params.EarlierSends = max(r.EarlierSends, 1)
	}
	q.controlled = len(table.Config.Workspaces) > 0
	q.start(table)
	defer q.finish()
	q.wait(ctx)
	g.record(q)
	return q.delegatedAnswer()
}

// delegationState returns what decides whether this instance runs a request of another
// one: the routing table in force, nil for none, whether it reaches no target, and whether
// it has as many requests in progress as it may.
func (g *Gateway) delegationState() (table *routing.Table, isolated, full bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table, g.targets.Isolated(), g.openCount >= maxOpenRequests
}

// delegatedAnswer returns the answer to the instance that delegated the request.
func (q *request) delegatedAnswer() delegate.Answer {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if q.state == fanout.Refused && q.g.targets.Isolated() {
		return delegate.Answer{Declined: true, Isolated: true}
	}
	a := delegate.Answer{State: string(q.state)}
	succeeded := q.state == fanout.Complete || q.state == fanout.Partial
	a.LacksCapacity = !succeeded && q.call.LacksCapacity()
	if !succeeded {
		a.Sends = q.call.MostSends()
	}
	switch {
	case succeeded && q.route.IsSearch():
		a.Body, a.Digests = q.merge()
		a.Missing = len(q.services) - len(a.Digests)
	case succeeded:
		setTargetAnswer(&a, q.answers[0])
	case q.state == fanout.Failure && !q.route.IsSearch():
		setTargetAnswer(&a, q.failure)
	}
	return a
}

// setTargetAnswer sets the answer of a target in the answer to the other instance.
func setTargetAnswer(a *delegate.Answer, t upstream.Answer) {
	a.Status, a.Header, a.Body, a.Target = t.Status, t.Header, t.Body, string(t.Target)
}

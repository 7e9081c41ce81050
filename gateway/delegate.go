package gateway

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
	"knapweedstall/core/placing"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
	"knapweedstall/io/delegate"
	"knapweedstall/io/upstream"
)

// minRerunTime is the minimum remaining time for running a search again.
const minRerunTime = 20 * clock.Millisecond

// answerMargin is the part of a delegated search's time that is reserved for
// returning the answer.
const answerMargin = 5 * clock.Millisecond

// delegate has another instance run the search if that is expected to answer the
// caller sooner. It returns false when this instance must run the search.
func (q *request) delegate(w http.ResponseWriter, r *http.Request, table *routing.Table) bool {
	g := q.g
	runner := q.place()
	if runner == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.params.Deadline.Sub(g.clock.Now()).Std())
	defer cancel()
	go func() {
		select {
		case <-g.draining:
			cancel()
		case <-ctx.Done():
		}
	}()
	answer, err := g.delegates.Do(ctx, runner.Address, q.delegateMessage(table), q.livenessTimeout())
	callerGone := r.Context().Err() != nil
	q.endDelegation(runner, err != nil && ctx.Err() == nil)
	var notSent *delegate.NotSentError
	interrupted := fanout.State(answer.State) == fanout.TimedOut && q.params.Deadline.Sub(g.clock.Now()) > minRerunTime
	switch {
	case err == nil && interrupted: // the other instance shut down
		q.params.AlreadySent = true
	case err == nil && !answer.Declined:
		q.answerDelegated(w, runner, answer)
		return true
	case callerGone:
		return true
	case ctx.Err() != nil:
		g.recordDelegated(q, runner, fanout.TimedOut, 0)
		w.WriteHeader(http.StatusGatewayTimeout)
		return true
	case err != nil:
		g.log.Info("delegated search failed; running it locally", "id", q.out.ID, "runner", runner.ID, "err", err)
		q.params.AlreadySent = !errors.As(err, &notSent)
	}
	return false
}

// place returns the instance that should run the search, or nil for this one.
func (q *request) place() *placing.Runner {
	g := q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placing.Place(len(q.services), g.zoneCoverageOf(q.route), g.clock.Now())
}

// endDelegation ends a search that place has given to the runner. failed means that the
// runner did not answer it.
func (q *request) endDelegation(runner *placing.Runner, failed bool) {
	g := q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placing.Done(runner, failed, g.clock.Now())
}

// livenessTimeout returns how long the other instance may take to answer until the
// connection to it must be checked.
func (q *request) livenessTimeout() clock.Duration {
	if q.route.LatencyObjective > 0 {
		return q.route.LatencyObjective
	}
	return 100 * clock.Millisecond
}

// delegateMessage returns the message that asks another instance to run the search.
func (q *request) delegateMessage(table *routing.Table) delegate.Request {
	now := q.g.clock.Now()
	s := delegate.Request{
		Version: int64(table.Config.Version), Route: string(q.route.Name), RequestID: q.out.ID, Method: q.out.Method,
		Head: q.out.Head, Body: q.out.Body, Fingerprint: q.fingerprint, Remaining: q.params.Deadline.Sub(now) - answerMargin,
	}
	if q.params.PartialAt != 0 {
		s.PartialAfter = q.params.PartialAt.Sub(now)
	}
	return s
}

// zoneCoverageOf returns the function that computes the share of the route's shards
// that have a target in a zone, and caches the results. mu must be held, also while
// the function is called.
func (g *Gateway) zoneCoverageOf(route *routing.Route) placing.ZoneCoverage {
	zones := g.zoneCoverage[route.Name]
	if zones == nil {
		zones = map[topology.ZoneID]float64{}
		g.zoneCoverage[route.Name] = zones
	}
	return func(zone topology.ZoneID) float64 {
		share, known := zones[zone]
		if !known {
			share = g.targets.ZoneCoverage(route.Shards, zone)
			zones[zone] = share
		}
		return share
	}
}

// answerDelegated writes the answer of another instance that ran the search.
func (q *request) answerDelegated(w http.ResponseWriter, runner *placing.Runner, a delegate.Answer) {
	state := fanout.State(a.State)
	q.g.recordDelegated(q, runner, state, a.Missing)
	switch state {
	case fanout.Complete, fanout.Partial:
		writeSearch(w, a.Body, a.Digests, a.Missing)
	case fanout.TimedOut:
		w.WriteHeader(http.StatusGatewayTimeout)
	case fanout.Refused, fanout.Expired:
		q.refuse(w)
	case fanout.Failure, fanout.Abandoned, fanout.Open:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// runSearch runs a search for another instance until ctx is done. A panic fails only
// this search.
func (g *Gateway) runDelegated(ctx context.Context, s delegate.Request) (answer delegate.Answer) {
	defer func() {
		if cause := recover(); cause != nil {
			g.logPanic(s.RequestID, cause)
			answer = delegate.Answer{State: string(fanout.Failure), Missing: 1}
		}
	}()
	g.mu.Lock()
	table := g.table
	g.mu.Unlock()
	if g.stopping.Load() || table == nil || int64(table.Config.Version) != s.Version {
		// The search must run with the configuration that is active at the
		// delegating instance, neither an earlier nor a later one.
		return delegate.Answer{Declined: true}
	}
	route := table.Route(routing.RouteName(s.Route))
	if route == nil || !route.IsSearch() {
		return delegate.Answer{Declined: true}
	}
	q := g.openRequest(route, g.clock.Now())
	q.out = upstream.Request{ID: s.RequestID, Method: s.Method, Head: s.Head, Body: s.Body}
	q.fingerprint, q.version = s.Fingerprint, table.Config.Version
	q.params = searchParams(route, q.arrived, max(s.Remaining, 1), max(s.PartialAfter, 1))
	q.start(table)
	defer q.finish()
	q.wait(ctx)
	g.record(q)
	a := delegate.Answer{State: string(q.state)}
	if q.state == fanout.Complete || q.state == fanout.Partial {
		a.Body, a.Digests = q.merge()
		a.Missing = len(q.services) - len(a.Digests)
	}
	return a
}

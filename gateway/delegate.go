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

// rerunTime is what a search needs at least to be run again.
const rerunTime = 20 * clock.Millisecond

// answerMargin is what an instance that runs a search for another one keeps of
// the time for the way back.
const answerMargin = 5 * clock.Millisecond

// delegate hands the search to another instance if that serves the caller
// sooner. It returns false when this instance is to run it.
func (q *request) delegate(w http.ResponseWriter, r *http.Request, table *routing.Table) bool {
	g := q.g
	g.mu.Lock()
	runner := g.placing.Place(len(q.services), g.near(q.route), g.clock.Now())
	g.mu.Unlock()
	if runner == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.terms.Deadline.Sub(g.clock.Now()).Std())
	defer cancel()
	go func() {
		select {
		case <-g.draining:
			cancel()
		case <-ctx.Done():
		}
	}()
	answer, err := g.delegates.Do(ctx, runner.Address, q.search(table), q.patience())
	g.mu.Lock()
	left := r.Context().Err() != nil
	g.placing.Done(runner, err != nil && ctx.Err() == nil, g.clock.Now())
	g.mu.Unlock()
	var notSent *delegate.NotSentError
	cutShort := fanout.State(answer.State) == fanout.TimedOut && q.terms.Deadline.Sub(g.clock.Now()) > rerunTime
	switch {
	case err == nil && cutShort: // the other instance has shut down
		q.terms.AlreadySent = true
	case err == nil && !answer.Declined:
		q.answerDelegated(w, runner, answer)
		return true
	case left:
		return true
	case ctx.Err() != nil:
		g.recordDelegated(q, runner, fanout.TimedOut, 0)
		w.WriteHeader(http.StatusGatewayTimeout)
		return true
	case err != nil:
		g.log.Info("search not run by the other instance", "id", q.out.ID, "runner", runner.ID, "err", err)
		q.terms.AlreadySent = !errors.As(err, &notSent)
	}
	return false
}

// patience is how long an instance may take until its link must prove that it
// is alive.
func (q *request) patience() clock.Duration {
	if q.route.LatencyObjective > 0 {
		return q.route.LatencyObjective
	}
	return 100 * clock.Millisecond
}

// search returns what the other instance must know.
func (q *request) search(table *routing.Table) delegate.Search {
	now := q.g.clock.Now()
	s := delegate.Search{
		Version: int64(table.Config.Version), Route: string(q.route.Name), RequestID: q.out.ID, Method: q.out.Method,
		Head: q.out.Head, Body: q.out.Body, Fingerprint: q.print, Remaining: q.terms.Deadline.Sub(now) - answerMargin,
	}
	if q.terms.PartialAt != 0 {
		s.Early = q.terms.PartialAt.Sub(now)
	}
	return s
}

// near returns which part of the route's shards has a target in a zone. The
// caller holds mu.
func (g *Gateway) near(route *routing.Route) placing.ZoneCoverage {
	zones := g.nearness[route.Name]
	if zones == nil {
		zones = map[topology.ZoneID]float64{}
		g.nearness[route.Name] = zones
	}
	return func(zone topology.ZoneID) float64 {
		part, known := zones[zone]
		if !known {
			part = g.targets.ZoneCoverage(route.Shards, zone)
			zones[zone] = part
		}
		return part
	}
}

// answerDelegated writes what another instance made of the search.
func (q *request) answerDelegated(w http.ResponseWriter, runner *placing.Runner, a delegate.Answer) {
	state := fanout.State(a.State)
	q.g.recordDelegated(q, runner, state, a.Missing)
	switch state {
	case fanout.Complete, fanout.Partial:
		writeSearch(w, a.Records, a.Digests, a.Missing)
	case fanout.TimedOut:
		w.WriteHeader(http.StatusGatewayTimeout)
	case fanout.Refused, fanout.Expired:
		q.refuse(w)
	case fanout.Failure, fanout.Abandoned, fanout.Open:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// runSearch runs a search for another instance until ctx is done.
func (g *Gateway) runSearch(ctx context.Context, s delegate.Search) delegate.Answer {
	g.mu.Lock()
	table := g.table
	g.mu.Unlock()
	if g.stopping.Load() || table == nil || int64(table.Config.Version) != s.Version {
		// A search must not fall back to an earlier configuration than the one
		// that its caller's instance has in force, nor run ahead of it.
		return delegate.Answer{Declined: true}
	}
	route := table.Route(routing.RouteName(s.Route))
	if route == nil || !route.IsSearch() {
		return delegate.Answer{Declined: true}
	}
	q := g.openRequest(route, g.clock.Now())
	q.out = upstream.Request{ID: s.RequestID, Method: s.Method, Head: s.Head, Body: s.Body}
	q.print, q.version = s.Fingerprint, table.Config.Version
	q.terms = searchTerms(route, q.arrived, max(s.Remaining, 1), max(s.Early, 1))
	q.start(table)
	defer q.finish()
	q.wait(ctx)
	g.record(q)
	a := delegate.Answer{State: string(q.state)}
	if q.state == fanout.Complete || q.state == fanout.Partial {
		a.Records, a.Digests = q.merge()
		a.Missing = len(q.services) - len(a.Digests)
	}
	return a
}

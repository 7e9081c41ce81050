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
	"knapweedstall/platform"
)

// minRerunTime is the minimum remaining time for running a request again.
const minRerunTime = 20 * clock.Millisecond

// answerMargin is the part of a delegated request's time that is reserved for
// returning the answer.
const answerMargin = 5 * clock.Millisecond

// maxRunners is the number of instances that a request is delegated to, one after the
// other, until one accepts it.
const maxRunners = 8

// delegation is the result of delegating a request to one instance.
type delegation int

// Results of delegating a request.
const (
	answered   delegation = iota // the caller has been answered
	askNext                      // another instance should be asked
	runLocally                   // this instance should run the request
)

// delegate has another instance run the request if that is expected to answer the
// caller sooner, or if this instance is isolated. It returns false when this instance
// must run the request.
func (q *request) delegate(w http.ResponseWriter, r *http.Request, table *routing.Table) bool {
	for range maxRunners {
		runner := q.place()
		if runner == nil {
			return false
		}
		switch q.delegateTo(runner, w, r, table) {
		case answered:
			return true
		case runLocally:
			return false
		case askNext:
			q.asked = append(q.asked, runner.ID)
		}
	}
	return false
}

// place returns the instance that should run the request, or nil for this one.
func (q *request) place() *placing.Runner {
	g := q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	switch now := g.clock.Now(); {
	case g.targets.Isolated():
		return g.placing.PlaceElsewhere(len(q.services), g.zoneCoverageOf(q.route), q.asked, now)
	case q.route.IsSearch():
		return g.placing.Place(len(q.services), g.zoneCoverageOf(q.route), now)
	default:
		return nil
	}
}

// delegateTo has an instance run the request and answers the caller.
func (q *request) delegateTo(runner *placing.Runner, w http.ResponseWriter, r *http.Request, table *routing.Table) delegation {
	g := q.g
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
	isolated := q.endDelegation(runner, err != nil && ctx.Err() == nil, answer)
	var notSent *delegate.NotSentError
	interrupted := fanout.State(answer.State) == fanout.TimedOut && q.params.Deadline.Sub(g.clock.Now()) > minRerunTime
	next := runLocally
	if isolated || answer.Isolated {
		next = askNext
	}
	switch {
	case err == nil && answer.Declined:
		return next
	case err == nil && interrupted && q.repeatable(): // the other instance shut down
		return q.runAgain(w, runner, max(answer.Sends, 1) /* an older build does not say */, next)
	case err == nil:
		q.answerDelegated(w, runner, answer)
		return answered
	case callerGone:
		endUnanswered()
	case ctx.Err() != nil:
		g.recordDelegated(q, runner, fanout.TimedOut, 0)
		w.WriteHeader(http.StatusGatewayTimeout)
		return answered
	}
	g.log.Info("delegated request failed", "id", q.out.ID, "runner", runner.ID, "err", err)
	if !errors.As(err, &notSent) {
		return q.runAgain(w, runner, 0, next)
	}
	return next
}

// runAgain returns next if the request, which the runner has begun and not answered, may be
// run again, and otherwise answers the caller. sends is the number of targets of a service
// that may have run it, 0 if not known: the runner may have used all attempts then.
func (q *request) runAgain(w http.ResponseWriter, runner *placing.Runner, sends int, next delegation) delegation {
	q.params.AlreadySent = true
	if q.params.EarlierSends = sends; sends == 0 {
		q.params.EarlierSends = q.params.MaxAttempts
	}
	if q.repeatable() && q.params.EarlierSends < q.params.MaxAttempts {
		return next
	}
	q.g.recordDelegated(q, runner, fanout.Failure, 0)
	w.WriteHeader(http.StatusBadGateway)
	return answered
}

// repeatable reports whether targets may run the request more than once.
func (q *request) repeatable() bool { return q.params.Kind == routing.Idempotent }

// endDelegation ends a request that place has given to the runner. failed means that the
// runner did not answer it. It reports whether this instance is isolated.
func (q *request) endDelegation(runner *placing.Runner, failed bool, answer delegate.Answer) (isolated bool) {
	g := q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	outcome := placing.Ran
	switch {
	case failed:
		outcome = placing.Failed
	case answer.Declined && answer.Isolated:
		outcome = placing.Isolated
	case answer.Declined:
		outcome = placing.Skipped
	}
	g.placing.Done(runner, outcome, g.clock.Now())
	return g.targets.Isolated()
}

// delegateInstead has another instance run the request that this one has failed to run
// because it is isolated, and reports whether the caller has been answered. If a probe
// is being made that will show whether the instance is isolated, it waits for it while
// there is time to run the request again.
func (q *request) delegateInstead(w http.ResponseWriter, r *http.Request, table *routing.Table) bool {
	limit := q.params.Deadline.Sub(q.g.clock.Now()) - minRerunTime
	if limit <= 0 || !q.failedUnanswered() {
		return false
	}
	q.g.awaitProbe(r.Context(), limit)
	return q.prepareRerun() && q.delegate(w, r, table)
}

// prepareRerun reports whether the request, which has failed, can be run again because
// this instance is isolated, and notes that targets may have received it. Its sends don't
// count as attempts: the targets that they went to are cut off.
func (q *request) prepareRerun() bool {
	g := q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.targets.Isolated() || q.params.Deadline.Sub(g.clock.Now()) <= minRerunTime {
		return false
	}
	q.params.AlreadySent = q.params.AlreadySent || q.call.MayHaveRun()
	return true
}

// failedUnanswered reports whether the request has failed in a way that allows to run it
// again.
func (q *request) failedUnanswered() bool {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	switch q.state {
	case fanout.Refused, fanout.Expired:
		return true
	case fanout.Failure, fanout.TimedOut:
		return q.repeatable()
	case fanout.Open, fanout.Complete, fanout.Partial, fanout.Abandoned:
	}
	return false
}

// livenessTimeout returns how long the other instance may take to answer until the
// connection to it must be checked.
func (q *request) livenessTimeout() clock.Duration {
	if q.route.LatencyObjective > 0 {
		return q.route.LatencyObjective
	}
	return 100 * clock.Millisecond
}

// delegateMessage returns the message that asks another instance to run the request.
func (q *request) delegateMessage(table *routing.Table) delegate.Request {
	now := q.g.clock.Now()
	r := delegate.Request{
		Version: int64(table.Config.Version), Route: string(q.route.Name), RequestID: q.out.ID, Method: q.out.Method,
		Head: q.out.Head, Body: q.out.Body, Fingerprint: q.evidence.fingerprint, Remaining: q.params.Deadline.Sub(now) - answerMargin,
		AlreadySent: q.params.AlreadySent, EarlierSends: q.params.EarlierSends,
	}
	if q.params.PartialAt != 0 {
		r.PartialAfter = q.params.PartialAt.Sub(now)
	}
	return r
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

// noteAnsweredDelegated notes that targets have answered the request, which another instance
// has run.
func (q *request) noteAnsweredDelegated(state fanout.State, missing int) {
	if state != fanout.Complete && state != fanout.Partial {
		return
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.noteAnswered(q.evidence.fingerprint, len(q.services)-missing, len(q.services))
}

// answerDelegated writes the answer of another instance that ran the request.
func (q *request) answerDelegated(w http.ResponseWriter, runner *placing.Runner, a delegate.Answer) {
	state := fanout.State(a.State)
	q.g.observeDelegated(a)
	q.noteAnsweredDelegated(state, a.Missing)
	q.g.recordDelegated(q, runner, state, a.Missing)
	q.endAdmission(state, a.LacksCapacity)
	target := upstream.Answer{Status: a.Status, Header: a.Header, Body: a.Body}
	switch state {
	case fanout.Complete, fanout.Partial:
		switch {
		case q.route.IsSearch():
			writeSearch(w, a.Body, a.Digests, a.Missing)
		case platform.ValidStatus(a.Status) && a.Status < http.StatusMultipleChoices:
			forwardAnswer(w, target)
		default: // an older build takes any status of a target for an answer
			w.WriteHeader(http.StatusBadGateway)
		}
	case fanout.TimedOut:
		w.WriteHeader(http.StatusGatewayTimeout)
	case fanout.Refused, fanout.Expired:
		if q.params.AlreadySent { // by another instance before
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		q.refuse(w)
	case fanout.Failure:
		q.failure = target
		q.answerFailure(w)
	case fanout.Abandoned, fanout.Open:
		w.WriteHeader(http.StatusBadGateway)
	}
}

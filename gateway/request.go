package gateway

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
	"knapweedstall/io/upstream"
	"knapweedstall/platform"
)

// losingSendTimeout is how long a send may go on after the request has ended without it, so
// that its connection can be reused. It is longer than a pause of a target.
const losingSendTimeout = 300 * clock.Millisecond

// request is a request in progress, of a caller or of another instance that has
// delegated a search.
type request struct {
	g          *Gateway
	route      *routing.Route
	services   []routing.ServiceName
	params     fanout.Params
	out        upstream.Request // the request as it is sent to targets
	arrived    clock.Time
	version    routing.Version       // version of the configuration
	workspace  *routing.Workspace    // of the caller; nil for none, also for a request of another instance
	asked      []topology.InstanceID // instances that have not run the request although they were asked
	evidence   *crashEvidence
	controlled bool       // the configuration calls for admission control
	admitted   *admission // nil if there is no admission control, or another instance has admitted it

	ctx    context.Context // context of the sends
	cancel context.CancelFunc
	wake   chan struct{} // signals that the state is final or next has become earlier

	// Guarded by the gateway's mu.
	call          *fanout.Call
	answeredCount int               // services of which a target has answered
	next          clock.Time        // when Tick of call must be called next
	answers       []upstream.Answer // answers of the services, in the order of services
	failure       upstream.Answer   // latest failure that a target reported; Status is 0 for none
	state         fanout.State
}

// newRequest returns the request for a caller's HTTP request. header has what targets get.
func (g *Gateway) newRequest(r *http.Request, route *routing.Route, header http.Header, body []byte, arrived clock.Time) *request {
	q := g.openRequest(route, arrived)
	q.out = upstream.Request{
		ID:     platform.RequestID(r.Header),
		Method: r.Method,
		Head:   platform.Head(r.Method, r.RequestURI, r.Host, header, len(body)),
		Body:   body,
	}
	q.params = requestParams(route, q.services, r.Header, arrived)
	return q
}

// openRequest returns a request on the route, for which it selects the service if
// the route is not a search.
func (g *Gateway) openRequest(route *routing.Route, arrived clock.Time) *request {
	ctx, cancel := context.WithCancel(context.Background())
	q := &request{g: g, route: route, arrived: arrived, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1)}
	q.services = route.Shards
	if !route.IsSearch() {
		g.mu.Lock()
		q.services = []routing.ServiceName{route.Choose(g.random.Float64())}
		g.mu.Unlock()
	}
	q.answers = make([]upstream.Answer, len(q.services))
	q.evidence = &crashEvidence{services: len(q.services)}
	return q
}

// start makes the first sends.
func (q *request) start(table *routing.Table) {
	g := q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openCount++
	g.placing.AddLocal()
	estimate := g.estimates[q.route.Name]
	if estimate == nil {
		estimate = fanout.NewLatencyEstimate(q.route.LatencyObjective)
		g.estimates[q.route.Name] = estimate
	}
	now := g.clock.Now()
	targets := g.targetsOf(q)
	call, sends := fanout.New(q.params, table, targets, g.budget, estimate, now)
	q.call = call
	q.launch(sends)
	q.state = call.State(now)
	q.next = call.Next()
}

// launch starts the sends. The gateway's mu must be held.
func (q *request) launch(sends []fanout.Send) {
	for _, s := range sends {
		q.evidence.sentTo = append(q.evidence.sentTo, s.Target.ID)
		go q.send(s, s.Target.Listing)
	}
}

// send sends the request to a target, which has the listing, and reports the outcome to the
// call.
func (q *request) send(s fanout.Send, target replica.Listing) {
	g := q.g
	defer q.failOnPanic()
	sent := g.clock.Now()
	remaining := q.params.Deadline.Sub(sent)
	res := g.pool.Send(q.ctx, &q.out, target.ID, target.Address, remaining)
	g.metrics.send(res.Outcome)
	if res.Outcome == replica.Answered {
		g.overload.worked(q)
	}
	if res.Outcome == replica.Lost {
		g.log.Info("no valid answer to a send", "id", q.out.ID, "service", s.Service, "target", target.ID, "err", res.Err)
	}
	if res.ConnectionBroken && q.ctx.Err() == nil {
		go g.checkCrash(q.evidence, target)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if res.MayRun {
		g.watchGivenUp(q, target)
	}
	if errors.Is(res.Err, syscall.ECONNREFUSED) {
		g.targets.Refused(target.ID, target.StartedUnixMS, g.clock.Now())
		g.signalWarmth()
	}
	if q.state == fanout.Open {
		switch res.Outcome {
		case replica.Answered:
			if q.answers[s.Shard].Status == 0 {
				q.answeredCount++
			}
			q.answers[s.Shard] = res.Answer
			g.noteAnswered(q.evidence.fingerprint, q.answeredCount, len(q.services))
		case replica.Failed:
			q.failure = res.Answer
			if q.hasRun(res.Answer) {
				g.noteAnswered(q.evidence.fingerprint, 1, 1)
			}
		case replica.Shed, replica.Replaced, replica.Unsent, replica.Lost, replica.Canceled:
		}
	}
	now := g.clock.Now()
	g.observeStatement(s, res.Stated, sent, now)
	q.launch(q.call.Done(s.Attempt, res.Outcome, now))
	g.startProbe()
	q.wakeIfDue(now)
}

// hasRun reports whether the failure shows that a target has run the request to its end. One
// that has not read all of a body may reject it, and some statuses say that it has not run.
func (q *request) hasRun(failure upstream.Answer) bool {
	switch failure.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return !q.route.IsSearch() && len(q.out.Body) == 0 && failure.Status < http.StatusInternalServerError
}

// wakeIfDue updates the state and wakes wait if the state is final or the next step
// is due earlier than before. The gateway's mu must be held.
func (q *request) wakeIfDue(now clock.Time) {
	if q.state != fanout.Open {
		return
	}
	q.state = q.call.State(now)
	next := q.call.Next()
	if q.state != fanout.Open || next.Before(q.next) {
		q.next = next
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// wait drives the call until its state is final, the caller disconnects or the
// instance stops.
func (q *request) wait(caller context.Context) {
	g := q.g
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	isolated := g.isolationSignal()
	for {
		state, next, now := q.tick()
		if state != fanout.Open {
			return
		}
		timer.Reset(max(next.Sub(now), 1).Std())
		select {
		case <-q.wake:
		case <-timer.C:
		case <-caller.Done():
			q.abandon()
			return
		case <-g.draining:
			q.expire()
			return
		case <-isolated:
			isolated = nil
			if q.betterElsewhere() {
				q.expire()
				return
			}
		}
	}
}

// isolationSignal returns a channel that is closed when the instance becomes isolated,
// or nil if it is isolated already.
func (g *Gateway) isolationSignal() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.targets.Isolated() {
		return nil
	}
	return g.becomingIsolated
}

// betterElsewhere reports whether the request, at an instance that has become isolated, is
// better run again elsewhere than waited for: no target has answered since it arrived.
func (q *request) betterElsewhere() bool {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	return q.repeatable() && !q.g.targets.HeardSince(q.arrived)
}

// tick makes the sends that are due and returns the state, when the next step is due,
// and the time.
func (q *request) tick() (state fanout.State, next, now clock.Time) {
	g := q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.clock.Now()
	if q.state == fanout.Open {
		q.launch(q.call.Tick(now))
		g.startProbe()
		q.state = q.call.State(now)
		q.next = q.call.Next()
	}
	return q.state, q.next, now
}

// abandon ends the request and cancels its sends because the caller has
// disconnected.
func (q *request) abandon() {
	q.g.mu.Lock()
	q.state = fanout.Abandoned
	q.call.Abandon()
	q.g.mu.Unlock()
	q.cancel()
}

// expire ends the request before its deadline.
func (q *request) expire() {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if q.state == fanout.Open {
		q.state = q.call.Expire()
	}
}

// finish ends the request. Sends that are still in flight are canceled after
// losingSendTimeout.
func (q *request) finish() {
	if q.end() == 0 {
		q.cancel()
		return
	}
	time.AfterFunc(losingSendTimeout.Std(), q.cancel)
}

// end uncounts the request and returns the number of its sends in flight. There is no
// call if a panic has ended start.
func (q *request) end() int {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.openCount--
	q.g.placing.LocalDone()
	if q.call == nil {
		return 0
	}
	return q.call.InFlight()
}

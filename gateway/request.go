package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
	"knapweedstall/core/poison"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
	"knapweedstall/io/upstream"
	"knapweedstall/platform"
)

// Figures of a request's course.
const (
	// refuseShare is the part of the objective that a request waits for a target
	// that can take it.
	refuseShare = 0.2
	// shardWaitShare is the same for a shard of a search, whose other shards are
	// under way.
	shardWaitShare = 0.6
	// unstatedDeadline holds for callers that state none.
	unstatedDeadline = 5 * clock.Second
	// loserTime is how long a send that lost its race may go on, so that its
	// connection is kept. A pause of a target is shorter.
	loserTime = 300 * clock.Millisecond
	// maxOpen bounds the requests in progress by the memory that they need.
	maxOpen = 1024
	// staleConfig is the age of the configuration from which an unknown route
	// may be one that this instance has not heard of.
	staleConfig = 3 * clock.Second
	// endMargin is what is kept of the caller's time for the way back.
	endMargin = 5 * clock.Millisecond
)

// Times to come back that callers are given.
const (
	retryUnready  = 300 * clock.Millisecond // the instance is starting
	retryOverload = 200 * clock.Millisecond
	retryMin      = 20 * clock.Millisecond
	retryMax      = clock.Second
)

// request is one caller's request in progress.
type request struct {
	g        *Gateway
	route    *routing.Route
	services []routing.ServiceName
	terms    fanout.Params
	out      upstream.Request
	arrived  clock.Time
	version  routing.Version // of the configuration
	print    poison.Fingerprint

	ctx    context.Context // of the sends
	cancel context.CancelFunc
	wake   chan struct{} // the state may be final, or something is due earlier

	// Guarded by the gateway's mu.
	call    *fanout.Call
	crashed int // sends whose target ended while it ran the request
	next    clock.Time
	answers []upstream.Answer // of the services, in their order
	failure upstream.Answer   // the last failure that a target stated; Status 0 for none
	state   fanout.State
}

// serveCaller handles one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	arrived := g.clock.Now()
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	g.mu.Lock()
	table, open := g.table, g.open
	g.mu.Unlock()
	if table == nil {
		g.refuse(w, r, "no configuration", retryUnready)
		return
	}
	route := table.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		g.noRoute(w, r)
		return
	}
	if open >= maxOpen {
		g.refuse(w, r, "too many requests in progress", retryOverload)
		return
	}
	body, ok := g.readBody(w, r, table.Config.Limits.BodyBytes)
	if !ok {
		return
	}
	print := poison.NewFingerprint(r.Method, r.Host, r.RequestURI, body)
	if g.quarantined(print) {
		g.refuse(w, r, "the request crashes targets", retryMax)
		return
	}
	q := g.newRequest(r, route, body, arrived)
	q.print, q.version = print, table.Config.Version
	if route.IsSearch() && q.delegate(w, r, table) {
		return
	}
	defer q.finish()
	q.start(table)
	q.wait(r.Context())
	q.answer(w)
}

// noRoute answers a request that no route takes.
func (g *Gateway) noRoute(w http.ResponseWriter, r *http.Request) {
	if g.views.age() > staleConfig {
		g.refuse(w, r, "unknown route, and the configuration may be out of date", retryOverload)
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

// readBody reads the whole body. If it can't, it answers the request.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	if r.ContentLength == 0 {
		return nil, true
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return nil, false
	case err != nil: // the caller broke off, or its body is malformed
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
		return nil, false
	}
	return body, true
}

// newRequest returns the request of a caller.
func (g *Gateway) newRequest(r *http.Request, route *routing.Route, body []byte, arrived clock.Time) *request {
	q := g.openRequest(route, arrived)
	q.out = upstream.Request{
		ID:     platform.RequestID(r.Header),
		Method: r.Method,
		Head:   platform.Head(r.Method, r.RequestURI, r.Host, r.Header, len(body)),
		Body:   body,
	}
	q.terms = terms(route, q.services, r.Header, arrived)
	return q
}

// openRequest returns a request on the route.
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
	return q
}

// terms returns what the request must keep to.
func terms(route *routing.Route, services []routing.ServiceName, h http.Header, arrived clock.Time) fanout.Params {
	deadline, stated := platform.Deadline(h)
	if !stated {
		deadline = unstatedDeadline
	}
	limit := max(deadline-endMargin, 1)
	if route.Timeout > 0 {
		limit = min(limit, route.Timeout)
	}
	if route.IsSearch() {
		return searchTerms(route, arrived, limit, fanout.PartialAnswerDelay(route.LatencyObjective))
	}
	return fanout.Params{
		Kind: route.Kind, Services: services, MaxAttempts: route.MaxAttempts, MinCoverage: 1,
		Deadline: arrived.Add(limit),
		SelectBy: arrived.Add(min(limit, clock.Duration(refuseShare*float64(route.LatencyObjective)))),
	}
}

// searchTerms returns what a search must keep to that is given up after limit. One
// with an objective is answered after early although shards are missing.
func searchTerms(route *routing.Route, now clock.Time, limit, early clock.Duration) fanout.Params {
	t := fanout.Params{
		Kind: route.Kind, Services: route.Shards, MaxAttempts: route.MaxAttempts, MinCoverage: route.MinCoverage,
		Deadline: now.Add(limit),
		SelectBy: now.Add(min(limit, clock.Duration(shardWaitShare*float64(route.LatencyObjective)))),
	}
	if route.LatencyObjective > 0 {
		t.PartialAt = now.Add(early)
	}
	return t
}

// start makes the first sends.
func (q *request) start(table *routing.Table) {
	g := q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open++
	g.placing.AddLocal()
	estimate := g.estimates[q.route.Name]
	if estimate == nil {
		estimate = fanout.NewLatencyEstimate(q.route.LatencyObjective)
		g.estimates[q.route.Name] = estimate
	}
	now := g.clock.Now()
	call, sends := fanout.New(q.terms, table, g.targets, g.budget, estimate, now)
	q.call = call
	q.launch(sends)
	q.state = call.State(now)
	q.next = call.Next()
}

// launch carries out sends. The caller holds the gateway's mu.
func (q *request) launch(sends []fanout.Send) {
	for _, s := range sends {
		go q.send(s, s.Target.ID, s.Target.Address)
	}
}

func (q *request) send(s fanout.Send, id topology.TargetID, address string) {
	g := q.g
	remaining := q.terms.Deadline.Sub(g.clock.Now())
	res := g.pool.Send(q.ctx, &q.out, id, address, remaining)
	g.metrics.send(res.Outcome)
	if res.Outcome == replica.Lost {
		g.log.Info("send lost", "id", q.out.ID, "service", s.Service, "target", id, "err", res.Err)
	}
	if res.Broken && q.ctx.Err() == nil {
		go g.investigate(q, id, address)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if q.state == fanout.Open {
		switch res.Outcome {
		case replica.Answered:
			q.answers[s.Shard] = res.Answer
		case replica.Failed:
			q.failure = res.Answer
		case replica.Shed, replica.Replaced, replica.Unsent, replica.Lost, replica.Canceled:
		}
	}
	now := g.clock.Now()
	q.launch(q.call.Done(s.Attempt, res.Outcome, now))
	q.review(now)
}

// review wakes the request when its state is final or its next step comes
// earlier than it expects. The caller holds the gateway's mu.
func (q *request) review(now clock.Time) {
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

// wait drives the call until its state is final, or the caller has left.
func (q *request) wait(caller context.Context) {
	g := q.g
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		g.mu.Lock()
		now := g.clock.Now()
		if q.state == fanout.Open {
			q.launch(q.call.Tick(now))
			q.state = q.call.State(now)
			q.next = q.call.Next()
		}
		state, next := q.state, q.next
		g.mu.Unlock()
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
		}
	}
}

// abandon ends all work because the caller has left.
func (q *request) abandon() {
	q.g.mu.Lock()
	q.state = fanout.Abandoned
	q.call.Abandon()
	q.g.mu.Unlock()
	q.cancel()
}

// expire ends the request because the instance stops.
func (q *request) expire() {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if q.state == fanout.Open {
		q.state = q.call.Expire()
	}
}

// finish lets sends that lost their race end by themselves for a moment.
func (q *request) finish() {
	q.g.mu.Lock()
	q.g.open--
	q.g.placing.LocalDone()
	left := q.call.InFlight()
	q.g.mu.Unlock()
	if left == 0 {
		q.cancel()
		return
	}
	time.AfterFunc(loserTime.Std(), q.cancel)
}

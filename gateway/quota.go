package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/placing"
	"knapweedstall/core/quota"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
	"knapweedstall/io/exchange"
	"knapweedstall/platform"
)

// quotaTopic is the topic of the calls with which entries ask coordinators for credit.
const quotaTopic = "quota"

// quotaLogPeriod is the time between two log lines about requests that were refused because
// of a quota.
const quotaLogPeriod = 100 * clock.Millisecond

// creditRequest asks for credit for requests of a workspace.
type creditRequest struct {
	Workspace topology.WorkspaceID `cbor:"1,keyasint"`
	Requests  int                  `cbor:"2,keyasint"`
	Returned  int                  `cbor:"3,keyasint,omitempty"` // credit that was not used
}

// creditAnswer answers a creditRequest. Times are in milliseconds.
type creditAnswer struct {
	Granted    int                 `cbor:"1,keyasint"`
	Final      bool                `cbor:"2,keyasint,omitempty"` // the instance has the workspace's bucket
	RetryAfter clock.Duration      `cbor:"3,keyasint,omitempty"`
	RetryStep  clock.Duration      `cbor:"4,keyasint,omitempty"`
	Holder     topology.InstanceID `cbor:"5,keyasint,omitempty"` // which instance has the bucket, as far as is known
}

// quotaEntry gets credit for the requests of callers.
type quotaEntry struct {
	refusedLines *lineLimit

	mu     sync.Mutex
	ledger *quota.Ledger
	finder *quota.Finder
	queues map[topology.WorkspaceID]*creditQueue // of workspaces for which requests wait
}

// creditQueue holds the requests that wait for credit of one workspace. One call at a time
// asks for all of them.
type creditQueue struct{ waiting []*creditWait }

// creditWait is a request that waits for credit.
type creditWait struct {
	done chan creditOutcome // gets the outcome; has room for it
	gone bool               // the request no longer waits
}

// creditOutcome is what a request has got: credit, or a refusal.
type creditOutcome struct {
	credit  quota.Credit
	granted bool
	over    bool           // the quota is used up
	retry   clock.Duration // when over
}

func newQuotaEntry() *quotaEntry {
	return &quotaEntry{
		refusedLines: &lineLimit{period: quotaLogPeriod},
		ledger:       quota.NewLedger(), finder: quota.NewFinder(), queues: map[topology.WorkspaceID]*creditQueue{},
	}
}

// heldCredit is the credit of one request. It is nil for a request that needs none.
type heldCredit struct {
	g         *Gateway
	workspace *routing.Workspace
	credit    quota.Credit
	sent      bool // the request may have been sent to a target
}

// takeCredit gets credit for a request of the workspace if it has a quota. It returns false
// if there is none, and has answered the request then.
func (g *Gateway) takeCredit(w http.ResponseWriter, r *http.Request, owner *routing.Workspace) (held *heldCredit, ok bool) {
	if g.settings.Quotas == nil || owner == nil || owner.RatePerSecond <= 0 {
		return nil, true
	}
	out := g.awaitCredit(r.Context(), owner.ID)
	switch {
	case out.granted:
		return &heldCredit{g: g, workspace: owner, credit: out.credit}, true
	case out.over:
		g.refuseOverQuota(w, r, owner, out.retry)
	default:
		g.metrics.quotaUnknown.Inc(1)
		g.refuse(w, r, "no coordinator of the quota answers", retryOverload)
	}
	return nil, false
}

// refuseOverQuota answers a request that exceeds the quota. The time to come back is not
// spread at random, since the holder gives each request a time of its own.
func (g *Gateway) refuseOverQuota(w http.ResponseWriter, r *http.Request, owner *routing.Workspace, wait clock.Duration) {
	g.metrics.overQuota.Inc(1)
	if more, ok := g.quotas.refusedLines.admit(g.clock.Now()); ok {
		g.log.Info("request", "id", platform.RequestID(r.Header), "outcome", "overQuota", "workspace", owner.ID,
			"retryAfterMs", int64(wait), "moreBefore", more)
	}
	platform.SetRetryAfter(w.Header(), max(wait, retryMin))
	w.WriteHeader(http.StatusTooManyRequests)
}

// renew gets new credit if what the request has expired while its body was read. It returns
// false if there is none, and has answered the request then.
func (c *heldCredit) renew(w http.ResponseWriter, r *http.Request) bool {
	if c == nil || c.credit.Valid(c.g.clock.Now()) {
		return true
	}
	c.giveBack()
	c.sent = true // the old credit must not be returned twice
	held, ok := c.g.takeCredit(w, r, c.workspace)
	if ok && held != nil {
		c.credit, c.sent = held.credit, false
	}
	return ok
}

// spend notes that the request may have been sent to a target.
func (c *heldCredit) spend() {
	if c != nil {
		c.sent = true
	}
}

// keepIfUnsent notes whether the request, which has ended, was sent to a target.
func (c *heldCredit) keepIfUnsent(q *request) {
	if c == nil {
		return
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	c.sent = q.params.AlreadySent || q.call.Counts().Sent > 0
}

// giveBack returns the credit of a request that was not sent to any target.
func (c *heldCredit) giveBack() {
	if c == nil || c.sent {
		return
	}
	e := c.g.quotas
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.Return(c.credit, c.g.clock.Now())
}

// awaitCredit waits for credit, for quota.AskTime at most.
func (g *Gateway) awaitCredit(ctx context.Context, id topology.WorkspaceID) creditOutcome {
	e := g.quotas
	e.mu.Lock()
	now := g.clock.Now()
	e.ledger.Arrived(id, now)
	queue := e.queues[id]
	if queue == nil { // else the credit is for those that have waited longer
		if credit, ok := e.ledger.Take(id, now); ok {
			e.mu.Unlock()
			return creditOutcome{credit: credit, granted: true}
		}
	}
	wait := &creditWait{done: make(chan creditOutcome, 1)}
	if queue == nil {
		queue = &creditQueue{}
		e.queues[id] = queue
		go g.askForCredit(id, queue)
	}
	queue.waiting = append(queue.waiting, wait)
	e.mu.Unlock()
	timer := time.NewTimer(quota.AskTime.Std())
	defer timer.Stop()
	select {
	case out := <-wait.done:
		return out
	case <-timer.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	wait.gone = true
	select {
	case out := <-wait.done: // it came at the same moment
		return out
	default:
		return creditOutcome{}
	}
}

// askForCredit asks for the credit of the requests in the queue until none waits.
func (g *Gateway) askForCredit(id topology.WorkspaceID, queue *creditQueue) {
	e := g.quotas
	for {
		e.mu.Lock()
		batch := e.serve(id, queue.waiting, g.clock.Now())
		queue.waiting = nil
		if len(batch) == 0 {
			delete(e.queues, id)
			e.mu.Unlock()
			return
		}
		n, returned := e.ledger.Wanted(id, len(batch), g.clock.Now())
		e.mu.Unlock()
		answer := g.askCoordinators(id, n, returned)
		e.mu.Lock()
		e.settle(id, batch, answer, g.clock.Now())
		e.mu.Unlock()
	}
}

// settle passes the outcome on to the requests that have waited. mu must be held.
func (e *quotaEntry) settle(id topology.WorkspaceID, batch []*creditWait, answer quota.Answer, now clock.Time) {
	retry := answer.RetryAfter
	for _, wait := range e.serve(id, batch, now) {
		wait.done <- creditOutcome{over: answer.Final, retry: retry}
		retry += answer.RetryStep
	}
}

// serve gives credit to the requests that wait, as far as there is some, and returns the
// others. mu must be held.
func (e *quotaEntry) serve(id topology.WorkspaceID, batch []*creditWait, now clock.Time) (rest []*creditWait) {
	for _, wait := range batch {
		if wait.gone {
			continue
		}
		credit, ok := e.ledger.Take(id, now)
		if !ok {
			rest = append(rest, wait)
			continue
		}
		wait.done <- creditOutcome{credit: credit, granted: true}
	}
	return rest
}

// askCoordinators asks the coordinators of a workspace for credit for n requests, which is
// added to the ledger, for quota.AskTime at most. It returns the answer of the holder, if
// there is one.
func (g *Gateway) askCoordinators(id topology.WorkspaceID, n, returned int) quota.Answer {
	e := g.quotas
	ranked := g.quotaCoordinators(quotaKey(quota.GroupOf(id)))
	ids := make([]topology.InstanceID, len(ranked))
	for i, in := range ranked {
		ids[i] = in.ID
	}
	ended := make(chan struct{}, len(ranked)+1) // a signal for each call that has ended
	deadline := time.NewTimer(quota.AskTime.Std())
	defer deadline.Stop()
	overdue := time.NewTimer(quota.NextDelay.Std())
	defer overdue.Stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	round := e.finder.NewRound(id, ids, n)
	for silent := false; ; {
		if in, ok := round.Next(g.clock.Now()); ok {
			go g.askForRound(round, in, creditRequest{id, round.Missing(), returned}, ended)
			returned = 0
			overdue.Reset(quota.NextDelay.Std())
		}
		if silent || round.Done() {
			return round.End(silent, g.clock.Now())
		}
		e.mu.Unlock()
		select {
		case <-ended:
		case <-overdue.C:
		case <-deadline.C:
			silent = true
		}
		e.mu.Lock()
	}
}

// askForRound asks a coordinator for credit and adds what it grants to the ledger, also if
// the round has ended meanwhile, since other requests can use it.
func (g *Gateway) askForRound(round *quota.Round, id topology.InstanceID, r creditRequest, ended chan<- struct{}) {
	sent := g.clock.Now()
	in, err := g.instanceWithID(id)
	var answer creditAnswer
	if err == nil {
		answer, err = g.callForCredit(in, r)
	}
	e := g.quotas
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		round.Failed(id, failureOf(err), g.clock.Now())
	} else {
		a := quota.Answer{Granted: max(answer.Granted, 0), Final: answer.Final, RetryAfter: answer.RetryAfter, RetryStep: answer.RetryStep}
		e.ledger.Add(r.Workspace, a.Granted, sent)
		round.Answered(id, a, answer.Holder)
	}
	ended <- struct{}{} // does not block: each coordinator is asked once, and one holder besides
}

// UnknownInstanceError reports that a coordinator has named an instance that is not listed.
type UnknownInstanceError struct{ ID topology.InstanceID }

// Error implements error.
func (e *UnknownInstanceError) Error() string { return "instance " + string(e.ID) + " is not listed" }

// instanceWithID returns a registered instance. It fails with *UnknownInstanceError.
func (g *Gateway) instanceWithID(id topology.InstanceID) (placing.Instance, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, in := range g.peers {
		if in.ID == id {
			return in, nil
		}
	}
	return placing.Instance{}, errors.WithStack(&UnknownInstanceError{id})
}

// creditCallTimeout bounds a call for credit. It is longer than requests wait, since the
// end of a call without an answer closes the link, and the answer may only be late.
const creditCallTimeout = 300 * clock.Millisecond

// callForCredit calls a coordinator.
func (g *Gateway) callForCredit(in placing.Instance, r creditRequest) (creditAnswer, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return creditAnswer{}, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), creditCallTimeout.Std())
	defer cancel()
	g.metrics.quotaCalls.Inc(1)
	data, err := g.call(ctx, in, quotaTopic, payload)
	if err != nil {
		g.metrics.quotaCallsFailed.Inc(1)
		g.log.Debug("asking for credit failed", "workspace", r.Workspace, "coordinator", in.ID, "err", err)
		return creditAnswer{}, err
	}
	var answer creditAnswer
	return answer, errors.WithStack(cbor.Unmarshal(data, &answer))
}

// failureOf returns how a call failed.
func failureOf(err error) quota.Failure {
	var unsupported *exchange.UnsupportedError
	var unavailable *exchange.UnavailableError
	switch {
	case errors.As(err, &unsupported):
		return quota.Unsupported
	case !errors.As(err, &unavailable):
		return quota.Silent // the instance has failed to handle the call
	case !errors.Is(unavailable.Cause, context.DeadlineExceeded):
		return quota.Refused
	case unavailable.NotSent:
		return quota.NotConnected
	}
	return quota.Silent
}

// expire drops what is no longer needed.
func (e *quotaEntry) expire(now clock.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.Expire(now)
}

// Package query decides how one query is processed at its entry instance, the instance
// that received it from the caller. It selects (pins) a snapshot, runs a canary if the
// query's fingerprint is not known to be safe, sends sub-requests to one holder of each
// service, merges their replies and states the coverage of the answer.
//
// A driver creates a Query with New, calls Start once, and then calls one input method
// for each event, with a time that never decreases. It executes the commands that each
// call returns, in order, and calls Tick when the time returned by NextWake has passed.
// The same inputs and the same results of Router, KnownGood and Delays give the same
// commands. A Query is not safe for concurrent use.
//
// The JSON attributes tenant, for Workspace, and requestId, for Request, keep the names
// that recorded traces use, so that old traces stay readable.
package query

import (
	"cmp"
	"slices"
	"strconv"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Request is a caller's query.
type Request struct {
	Workspace   topology.WorkspaceID  `json:"tenant"`
	Collection  topology.CollectionID `json:"collection"`
	Query       string                `json:"query"`
	Limit       int                   `json:"limit"`       // maximum number of hits; at least 0
	Deadline    clock.Time            `json:"deadline"`    // when the caller must have received the answer
	Fingerprint message.Fingerprint   `json:"fingerprint"` // see core/quarantine
}

// phase is the stage of a query. It only increases, except that a restart on another
// snapshot returns to the canary.
type phase uint8

const (
	phaseNew phase = iota
	phaseCanary
	phaseFanOut
	phaseDone
)

// Query is the state machine of one query.
type Query struct {
	id        message.RequestID
	req       Request
	snapshots []topology.Snapshot // usable snapshots, newest first
	router    Router
	opts      options
	rank      uint64     // hash of the request id; priority of the sub-requests, the lowest is dropped first
	finishAt  clock.Time // when the answer is sent even if it is incomplete
	startedAt clock.Time

	phase           phase
	pinned          int             // index in snapshots; only increases
	restarts        int             // at most maxRestarts
	parts           []part          // of the pinned snapshot, ascending by service
	openParts       int             // number of parts that are not settled
	top             topHits         // of the pinned snapshot only
	canary          message.SubID   // the canary in progress; set in phaseCanary
	canariesStarted int             // since the last restart
	failoverTimers  []failoverTimer // earliest first
	slowestReply    clock.Duration  // longest reply delay since the last restart
	possibleRuns    int             // attempts that a target may have run
	retryAfter      clock.Duration  // longest one that a refusal stated
	drops           Drops
	commands        []Command
}

// failoverTimer is the time at which the other holder is tried if a part has not been
// answered.
type failoverTimer struct {
	at   clock.Time
	part int // index in Query.parts
}

// New returns a Query on the newest of the usable snapshots, which are given newest
// first. The snapshots and their partition maps must not change while the Query is in
// use.
func New(id message.RequestID, r Request, snapshots []topology.Snapshot, router Router, opts ...Option) *Query {
	q := &Query{id: id, req: r, snapshots: snapshots, router: router, opts: defaults()}
	for _, o := range opts {
		o(&q.opts)
	}
	q.rank = topology.Hash64(string(id.Entry.ID), strconv.FormatUint(uint64(id.Entry.Incarnation), 16),
		strconv.FormatUint(id.Seq, 16))
	q.finishAt = r.Deadline.Add(-q.opts.answerMargin)
	return q
}

// Start starts the query. Later calls have no effect.
func (q *Query) Start(now clock.Time) []Command {
	q.commands = nil
	if q.phase != phaseNew {
		return nil
	}
	q.startedAt = now
	if len(q.snapshots) == 0 {
		q.finish(now)
		return q.commands
	}
	q.startSnapshot(now)
	return q.flush(now)
}

// Replied handles a holder's reply. Replies that do not belong to an unanswered attempt
// are dropped and counted.
func (q *Query) Replied(now clock.Time, from topology.InstanceRef, r message.SubReply) []Command {
	q.commands = nil
	p, a := q.match(from, r)
	if a == nil {
		return nil
	}
	a.state = attemptDone
	a.notRun = r.Status == message.StatusNotRun
	if r.Status != message.StatusNotRun {
		q.observeDelay(p.service, now.Sub(a.at))
	}
	q.handleReply(now, p, r)
	return q.flush(now)
}

// HolderLost handles the loss of an instance or of the connection to it. Sub-requests
// that wait for its reply are sent to the other holder.
func (q *Query) HolderLost(now clock.Time, ref topology.InstanceRef) []Command {
	q.commands = nil
	if q.phase != phaseFanOut {
		return nil
	}
	for i := range q.parts {
		p := &q.parts[i]
		lost := false
		for k := range p.attempts {
			a := &p.attempts[k]
			if a.to == ref && a.state == attemptOpen {
				a.state = attemptLost
				lost = true
			}
		}
		if lost && !p.settled {
			p.setReason(message.ReasonNoHolder)
			q.failOverOrSettle(now, p)
		}
	}
	return q.flush(now)
}

// Abandon handles the disconnection of the caller. Outstanding attempts are cancelled,
// and there is no answer.
func (q *Query) Abandon(clock.Time) []Command {
	q.commands = nil
	if q.phase == phaseDone {
		return nil
	}
	q.cancelAll()
	q.phase = phaseDone
	return q.commands
}

// Tick executes what is due at now.
func (q *Query) Tick(now clock.Time) []Command {
	q.commands = nil
	if q.phase == phaseNew || q.phase == phaseDone {
		return nil
	}
	for len(q.failoverTimers) > 0 && now >= q.failoverTimers[0].at && now < q.finishAt {
		p := &q.parts[q.failoverTimers[0].part]
		q.failoverTimers = q.failoverTimers[1:]
		if q.failoverNeeded(p) {
			q.observeDelay(p.service, now.Sub(p.attempts[len(p.attempts)-1].at))
			q.failOver(now, p)
		}
	}
	return q.flush(now)
}

// NextWake returns when Tick must be called next, or 0 for never.
func (q *Query) NextWake() clock.Time {
	if q.phase == phaseNew || q.phase == phaseDone {
		return 0
	}
	if len(q.failoverTimers) > 0 {
		return min(q.failoverTimers[0].at, q.finishAt)
	}
	return q.finishAt
}

// Done reports whether the query has finished or was abandoned.
func (q *Query) Done() bool { return q.phase == phaseDone }

// Drops returns the counts of ignored input.
func (q *Query) Drops() Drops { return q.drops }

// startSnapshot starts the query on the pinned snapshot.
func (q *Query) startSnapshot(now clock.Time) {
	s := q.snapshots[q.pinned]
	q.parts = newParts(s)
	q.top = topHits{limit: q.req.Limit}
	q.failoverTimers, q.slowestReply, q.canariesStarted = nil, 0, 0
	q.openParts = 0
	for i := range q.parts {
		if !q.parts[i].settled {
			q.openParts++
		}
	}
	if now >= q.finishAt || q.openParts == 0 {
		q.phase = phaseFanOut // flush finishes the query
		return
	}
	if q.opts.knownGood == nil || !q.opts.knownGood.KnownGood(now, q.req.Fingerprint, s.ID) {
		q.phase = phaseCanary
		q.startCanary(now)
		return
	}
	q.fanOut(now)
}

// fanOut sends the first attempt of each open part to its holder.
func (q *Query) fanOut(now clock.Time) {
	q.phase = phaseFanOut
	if now >= q.finishAt {
		return
	}
	for i := range q.parts {
		p := &q.parts[i]
		if p.settled {
			continue
		}
		to, ok := q.router.Route(now, p.service, topology.InstanceRef{})
		if !ok {
			p.setReason(message.ReasonNoHolder)
			q.settle(p)
			continue
		}
		q.send(now, p, to)
		if at := q.failoverAt(now, p.service); at < q.finishAt {
			q.failoverTimers = append(q.failoverTimers, failoverTimer{at: at, part: i})
		}
	}
	slices.SortStableFunc(q.failoverTimers, func(a, b failoverTimer) int { return cmp.Compare(a.at, b.at) })
}

// failoverAt returns when the reply to a first attempt that is sent now is overdue.
func (q *Query) failoverAt(now clock.Time, service topology.ServiceID) clock.Time {
	if q.opts.delays != nil {
		if d, ok := q.opts.delays.FailoverAfter(service); ok {
			return now.Add(max(d, clock.Millisecond))
		}
	}
	return now.Add(max(q.finishAt.Sub(now)/2, clock.Millisecond))
}

// send sends the next attempt of a part, for the shards that are still missing.
func (q *Query) send(now clock.Time, p *part, to topology.InstanceRef) {
	q.commands = append(q.commands, SendSub{To: to, Sub: q.sub(now, p, message.KindSearch)})
	p.attempts = append(p.attempts, attempt{to: to, at: now})
	q.possibleRuns++
}

// sub returns the sub-request for the next attempt of a part.
func (q *Query) sub(now clock.Time, p *part, kind message.Kind) message.SubRequest {
	return message.SubRequest{
		ID:          q.subID(p, len(p.attempts)),
		Kind:        kind,
		Workspace:   q.req.Workspace,
		Collection:  q.req.Collection,
		Snapshot:    q.snapshots[q.pinned].ID,
		Shards:      p.missing(),
		Query:       q.req.Query,
		Limit:       q.req.Limit,
		Fingerprint: q.req.Fingerprint,
		Rank:        q.rank,
		Repeat:      p.mayRepeat(),
		RemainingMS: q.finishAt.Sub(now),
	}
}

// subID returns the id of a part's attempt with the given index in p.attempts.
func (q *Query) subID(p *part, index int) message.SubID {
	return message.SubID{
		Request: q.id,
		Service: p.service,
		Attempt: uint8(q.restarts*AttemptsPerRestart + index),
	}
}

// observeDelay records the reply delay of a service.
func (q *Query) observeDelay(service topology.ServiceID, d clock.Duration) {
	q.slowestReply = max(q.slowestReply, d)
	if q.opts.delays != nil {
		q.opts.delays.Observe(service, d)
	}
}

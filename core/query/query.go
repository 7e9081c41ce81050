// Package query is the decision logic of one query at its entry instance: it
// pins a snapshot, runs a canary if the fingerprint is not known to be safe,
// fans out to one holder of each service, merges the replies and states the
// coverage.
//
// A driver creates a Query with New, calls Start once, and then one input
// method for each event, with a time that never decreases. It carries out the
// commands that each call returns, in order, and calls Tick when NextWake has
// passed. The same inputs, and the same answers of Router, KnownGood and Delays,
// give the same commands. A Query is not safe for concurrent use.
package query

import (
	"cmp"
	"slices"
	"strconv"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Request is what the caller asked for.
type Request struct {
	Workspace   topology.WorkspaceID  `json:"tenant"`
	Collection  topology.CollectionID `json:"collection"`
	Query       string                `json:"query"`
	Limit       int                   `json:"limit"`       // hits wanted; at least 0
	Deadline    clock.Time            `json:"deadline"`    // when the caller must have the answer
	Fingerprint message.Fingerprint   `json:"fingerprint"` // see core/quarantine
}

// phase is the stage of a query. It only grows, except that a restart on
// another snapshot starts again with the canary.
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
	snapshots []topology.Snapshot // usable ones, newest first
	router    Router
	opts      options
	rank      uint64
	finishAt  clock.Time
	startedAt clock.Time

	phase           phase
	pinned          int             // index in snapshots; only grows
	restarts        int             // at most maxRestarts
	parts           []part          // of the pinned snapshot, ascending by service
	openParts       int             // parts that are not settled
	top             topHits         // of the pinned snapshot only
	canary          message.SubID   // the canary in progress, in phaseCanary
	canariesStarted int             // started since the last restart
	failoverTimers  []failoverTimer // pending second attempts, earliest first
	slowestReply    clock.Duration  // reply delay, since the last restart
	possibleRuns    int             // attempts for which no holder has proved that nothing ran
	retryAfter      clock.Duration  // largest that a refusal stated
	drops           Drops
	commands        []Command
}

// timer asks for the other holder of a part that has not replied by then.
type failoverTimer struct {
	at   clock.Time
	part int
}

// New returns a query over the usable snapshots, newest first. The snapshots
// and their partition maps must not change while the query is in use.
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

// Start begins the query. Later calls have no effect.
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

// Replied takes a holder's reply. Replies that do not belong to an open
// attempt are dropped and counted.
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

// HolderLost says that the connection to an instance, or the instance itself,
// is lost. Sub-requests waiting there go to the other holder.
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

// Abandon says that the caller went away. Outstanding work is cancelled and no
// answer follows.
func (q *Query) Abandon(clock.Time) []Command {
	q.commands = nil
	if q.phase == phaseDone {
		return nil
	}
	q.cancelAll()
	q.phase = phaseDone
	return q.commands
}

// Tick handles what has become due.
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

// NextWake returns when Tick is next needed, or 0 for never.
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

// Drops returns what was ignored so far.
func (q *Query) Drops() Drops { return q.drops }

// begin starts work on the pinned snapshot.
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

// fanOut sends the first attempt of every open part.
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

// failoverAt returns when a missing reply to a first attempt is overdue.
func (q *Query) failoverAt(now clock.Time, service topology.ServiceID) clock.Time {
	if q.opts.delays != nil {
		if d, ok := q.opts.delays.FailoverAfter(service); ok {
			return now.Add(max(d, clock.Millisecond))
		}
	}
	return now.Add(max(q.finishAt.Sub(now)/2, clock.Millisecond))
}

// send sends the next attempt of a part for the shards that it still misses.
func (q *Query) send(now clock.Time, p *part, to topology.InstanceRef) {
	q.commands = append(q.commands, SendSub{To: to, Sub: q.sub(now, p, message.KindSearch)})
	p.attempts = append(p.attempts, attempt{to: to, at: now})
	q.possibleRuns++
}

// sub describes the next attempt of a part.
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

func (q *Query) subID(p *part, send int) message.SubID {
	return message.SubID{
		Request: q.id,
		Service: p.service,
		Attempt: uint8(q.restarts*AttemptsPerRestart + send),
	}
}

func (q *Query) observeDelay(service topology.ServiceID, d clock.Duration) {
	q.slowestReply = max(q.slowestReply, d)
	if q.opts.delays != nil {
		q.opts.delays.Observe(service, d)
	}
}

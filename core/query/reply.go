package query

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// match returns the open attempt that a reply answers, or counts the reply as
// dropped and returns nil.
func (q *Query) match(from topology.InstanceRef, r message.SubReply) (*part, *attempt) {
	if !q.current(r.ID) || !q.stamped(r) {
		return nil, nil
	}
	i, found := findPart(q.parts, r.ID.Service)
	send := int(r.ID.Attempt) % AttemptsPerRestart
	if !found || send >= len(q.parts[i].sends) || from.IsZero() || q.parts[i].sends[send].to != from {
		q.drops.Unknown++
		return nil, nil
	}
	p := &q.parts[i]
	a := &p.sends[send]
	if p.settled || a.state == attemptDone {
		q.drops.Duplicate++
		return nil, nil
	}
	return p, a
}

// current reports whether the id belongs to this query since its last restart,
// and counts a drop if not.
func (q *Query) current(id message.SubID) bool {
	restart := int(id.Attempt) / AttemptsPerRestart
	switch {
	case id.Request != q.id:
		q.drops.Request++
	case q.phase == phaseDone:
		q.drops.Late++
	case restart < q.restarts:
		q.drops.Restarted++
	case restart > q.restarts || q.phase == phaseNew:
		q.drops.Unknown++
	default:
		return true
	}
	return false
}

// stamped reports whether the reply carries the query's workspace and snapshot,
// and counts a drop if not.
func (q *Query) stamped(r message.SubReply) bool {
	switch {
	case r.Workspace != q.req.Workspace:
		q.drops.Workspace++
	case r.Snapshot != q.snapshots[q.pinned].ID:
		q.drops.Snapshot++
	default:
		return true
	}
	return false
}

// take acts on an accepted reply.
func (q *Query) take(now clock.Time, p *part, r message.SubReply) {
	switch r.Status {
	case message.StatusOK:
		q.drops.Shards += p.merge(r.Shards, &q.top)
		if p.left == 0 {
			q.settle(p)
			return
		}
		p.blame(message.ReasonNoTarget)
		q.retryOrGiveUp(now, p)
	case message.StatusNotRun:
		q.refused(r.RetryAfterMS)
		reason := reasonOf(r.Status, r.Reason)
		p.blame(reason)
		if reason == message.ReasonQuarantined {
			q.giveUpIfIdle(p)
			return
		}
		q.retryOrGiveUp(now, p)
	case message.StatusSnapshotGone:
		if !q.restart(now, r.Snapshots) {
			p.blame(message.ReasonSnapshotGone)
			q.giveUpIfIdle(p)
		}
	default:
		// A target may have run it, and the holder has used its own retries. A
		// further try could expose another target to a crashing request.
		p.blame(reasonOf(r.Status, r.Reason))
		q.giveUpIfIdle(p)
	}
}

// refused notes the proof that one attempt was not run.
func (q *Query) refused(retryAfter clock.Duration) {
	q.unproven--
	q.retryAfter = max(q.retryAfter, retryAfter)
}

// retryOrGiveUp tries the other holder, or settles the part when there is
// nothing left to wait for.
func (q *Query) retryOrGiveUp(now clock.Time, p *part) {
	if !q.tryOther(now, p) {
		q.giveUpIfIdle(p)
	}
}

// tryOther sends a second attempt to the other holder, once, while time allows.
func (q *Query) tryOther(now clock.Time, p *part) bool {
	if p.retried || p.crashed || q.finishAt.Sub(now) < q.opts.minAttempt {
		return false
	}
	var first topology.InstanceRef
	if len(p.sends) > 0 {
		first = p.sends[len(p.sends)-1].to
	}
	to, ok := q.router.Route(now, p.service, first)
	if !ok || to == first {
		return false
	}
	p.retried = true
	q.send(now, p, to)
	return true
}

func (q *Query) giveUpIfIdle(p *part) {
	if !p.waiting() {
		q.settle(p)
	}
}

// settle closes a part and cancels the attempt that nobody waits for any more.
func (q *Query) settle(p *part) {
	p.settled = true
	q.open--
	q.cancelPart(p)
}

// restart begins again on the next usable snapshot. It reports false when there
// is none or not enough time is left for a whole query.
func (q *Query) restart(now clock.Time, have []topology.SnapshotID) bool {
	next := q.nextSnapshot(have)
	enough := max(q.opts.restartTime, q.slowest)
	if next < 0 || q.finishAt.Sub(now) < enough || q.restarts == maxRestarts {
		return false
	}
	q.cancelAll()
	q.pinned = next
	q.restarts++
	q.begin(now)
	return true
}

// nextSnapshot returns the index of the newest snapshot after the pinned one
// that the target has, or -1. An empty list says nothing of what it has.
func (q *Query) nextSnapshot(have []topology.SnapshotID) int {
	for i := q.pinned + 1; i < len(q.snapshots); i++ {
		if len(have) == 0 || slices.Contains(have, q.snapshots[i].ID) {
			return i
		}
	}
	return -1
}

func (q *Query) cancelAll() {
	if q.phase == phaseCanary {
		q.cancelCanary()
	}
	for i := range q.parts {
		q.cancelPart(&q.parts[i])
	}
}

func (q *Query) cancelPart(p *part) {
	for k := range p.sends {
		a := &p.sends[k]
		if a.state == attemptWaiting && !a.to.IsZero() {
			a.state = attemptDone
			q.out = append(q.out, CancelSub{To: a.to, ID: q.subID(p, k)})
		}
	}
}

// timerNeeded reports whether the part's first attempt is still overdue.
func (q *Query) timerNeeded(p *part) bool { return !p.settled && !p.retried && p.waiting() }

// flush finishes the query when it is complete or out of time, drops timers
// that are no longer needed, and returns the commands.
func (q *Query) flush(now clock.Time) []Command {
	if q.phase == phaseDone {
		return q.out
	}
	if q.open == 0 || now >= q.finishAt {
		q.finish(now)
		return q.out
	}
	for len(q.timers) > 0 && !q.timerNeeded(&q.parts[q.timers[0].part]) {
		q.timers = q.timers[1:]
	}
	return q.out
}

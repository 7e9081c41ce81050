package query

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// match returns the unanswered attempt to which a reply belongs. If there is none, it
// counts the reply as dropped and returns nil.
func (q *Query) match(from topology.InstanceRef, r message.SubReply) (*part, *attempt) {
	if !q.checkID(r.ID) || !q.checkStamps(r) {
		return nil, nil
	}
	i, found := findPart(q.parts, r.ID.Service)
	index := int(r.ID.Attempt) % AttemptsPerRestart
	if !found || index >= len(q.parts[i].attempts) || from.IsZero() || q.parts[i].attempts[index].to != from {
		q.drops.Unknown++
		return nil, nil
	}
	p := &q.parts[i]
	a := &p.attempts[index]
	if p.settled || a.state == attemptDone {
		q.drops.Duplicate++
		return nil, nil
	}
	return p, a
}

// checkID reports whether the id belongs to this query since its last restart, and
// counts a drop if not.
func (q *Query) checkID(id message.SubID) bool {
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

// checkStamps reports whether the reply is for the query's workspace and pinned
// snapshot, and counts a drop if not.
func (q *Query) checkStamps(r message.SubReply) bool {
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

// handleReply applies an accepted reply.
func (q *Query) handleReply(now clock.Time, p *part, r message.SubReply) {
	switch r.Status {
	case message.StatusOK:
		q.drops.Shards += p.merge(r.Shards, &q.top)
		if p.unmerged == 0 {
			q.settle(p)
			return
		}
		p.setReason(message.ReasonNoTarget)
		q.failOverOrSettle(now, p)
	case message.StatusNotRun:
		q.recordNotRun(r.RetryAfterMS)
		reason := reasonOf(r.Status, r.Reason)
		p.setReason(reason)
		if reason == message.ReasonQuarantined {
			q.settleIfIdle(p)
			return
		}
		q.failOverOrSettle(now, p)
	case message.StatusSnapshotGone:
		if !q.restart(now, r.Snapshots) {
			p.setReason(message.ReasonSnapshotGone)
			q.settleIfIdle(p)
		}
	default:
		// A target may have run it, and the holder has used its own retries. A
		// further attempt could crash another target.
		p.setReason(reasonOf(r.Status, r.Reason))
		q.settleIfIdle(p)
	}
}

// recordNotRun records the proof that one attempt was not run, and the retry-after that
// was stated with it.
func (q *Query) recordNotRun(retryAfter clock.Duration) {
	q.possibleRuns--
	q.retryAfter = max(q.retryAfter, retryAfter)
}

// failOverOrSettle tries the other holder. If that is not possible and no attempt is
// open, it settles the part.
func (q *Query) failOverOrSettle(now clock.Time, p *part) {
	if !q.failOver(now, p) {
		q.settleIfIdle(p)
	}
}

// failOver sends an attempt to the other holder and reports whether it did. This is done
// once for each part, unless a target crashed or too little time is left.
func (q *Query) failOver(now clock.Time, p *part) bool {
	if p.failedOver || p.crashed || q.finishAt.Sub(now) < q.opts.minAttemptTime {
		return false
	}
	var first topology.InstanceRef
	if len(p.attempts) > 0 {
		first = p.attempts[len(p.attempts)-1].to
	}
	to, ok := q.router.Route(now, p.service, first)
	if !ok || to == first {
		return false
	}
	p.failedOver = true
	q.send(now, p, to)
	return true
}

// settleIfIdle settles the part if no attempt is open.
func (q *Query) settleIfIdle(p *part) {
	if !p.hasOpenAttempt() {
		q.settle(p)
	}
}

// settle marks the part as settled and cancels its open attempt, if any.
func (q *Query) settle(p *part) {
	p.settled = true
	q.openParts--
	q.cancelPart(p)
}

// restart restarts the query on the next usable snapshot. It reports false if there is
// none, or if not enough time is left for a whole query.
func (q *Query) restart(now clock.Time, have []topology.SnapshotID) bool {
	next := q.nextSnapshot(have)
	enough := max(q.opts.minRestartTime, q.slowestReply)
	if next < 0 || q.finishAt.Sub(now) < enough || q.restarts == maxRestarts {
		return false
	}
	q.cancelAll()
	q.pinned = next
	q.restarts++
	q.startSnapshot(now)
	return true
}

// nextSnapshot returns the index of the newest snapshot after the pinned one that the
// target has, or -1. An empty list means that it is not known which ones it has.
func (q *Query) nextSnapshot(have []topology.SnapshotID) int {
	for i := q.pinned + 1; i < len(q.snapshots); i++ {
		if len(have) == 0 || slices.Contains(have, q.snapshots[i].ID) {
			return i
		}
	}
	return -1
}

// cancelAll cancels all open attempts.
func (q *Query) cancelAll() {
	if q.phase == phaseCanary {
		q.cancelCanary()
	}
	for i := range q.parts {
		q.cancelPart(&q.parts[i])
	}
}

// cancelPart cancels the open attempts of a part, except a canary.
func (q *Query) cancelPart(p *part) {
	for k := range p.attempts {
		a := &p.attempts[k]
		if a.state == attemptOpen && !a.to.IsZero() {
			a.state = attemptDone
			q.commands = append(q.commands, CancelSub{To: a.to, ID: q.subID(p, k)})
		}
	}
}

// failoverNeeded reports whether the part is still waiting for its first attempt.
func (q *Query) failoverNeeded(p *part) bool {
	return !p.settled && !p.failedOver && p.hasOpenAttempt()
}

// flush finishes the query if it is complete or out of time, removes timers that are no
// longer needed, and returns the commands of this input.
func (q *Query) flush(now clock.Time) []Command {
	if q.phase == phaseDone {
		return q.commands
	}
	if q.openParts == 0 || now >= q.finishAt {
		q.finish(now)
		return q.commands
	}
	for len(q.failoverTimers) > 0 && !q.failoverNeeded(&q.parts[q.failoverTimers[0].part]) {
		q.failoverTimers = q.failoverTimers[1:]
	}
	return q.commands
}

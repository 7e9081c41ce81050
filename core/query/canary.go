package query

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// maxCanaries is how many canaries a query starts on one snapshot. A canary is a
// sub-request that is run at one service before the query is sent to all services, to
// find out whether it crashes targets. The second canary is sent to another service: the
// loss of a healthy replica is far more common than a request that crashes targets, and
// the coordinator of the fingerprint does not allow a third crash.
const maxCanaries = 2

// CanaryOutcome is the outcome of a canary.
type CanaryOutcome string

// Outcomes of a canary.
const (
	// CanaryReplied means that the holder that ran the canary replied; Reply is
	// set. A reply with message.StatusOK proves that the fingerprint is safe.
	CanaryReplied CanaryOutcome = "replied"
	// CanaryKnownGood means that another query's canary proved the fingerprint
	// safe; nothing was run for this one.
	CanaryKnownGood CanaryOutcome = "knownGood"
	// CanaryQuarantined means that the fingerprint is quarantined; nothing
	// was run for this canary.
	CanaryQuarantined CanaryOutcome = "quarantined"
	// CanaryNotRun means that the canary could not be run, and no target started it.
	CanaryNotRun CanaryOutcome = "notRun"
	// CanaryLost means that the outcome is not known; a target may have run the
	// canary.
	CanaryLost CanaryOutcome = "lost"
)

// CanaryVerdict is the outcome of the canary that RunCanary asked for.
type CanaryVerdict struct {
	ID         message.SubID    `json:"id"` // the id of the canary
	Outcome    CanaryOutcome    `json:"outcome"`
	Reply      message.SubReply `json:"reply"`        // set when Outcome is CanaryReplied
	Reason     message.Reason   `json:"reason"`       // set when Outcome is CanaryNotRun or CanaryLost
	RetryAfter clock.Duration   `json:"retryAfterMs"` // set when Outcome is CanaryQuarantined or CanaryNotRun
}

// CanaryDone handles the verdict on the canary. If the fingerprint is safe, the query
// is sent to all services.
func (q *Query) CanaryDone(now clock.Time, v CanaryVerdict) []Command {
	q.commands = nil
	if !q.checkID(v.ID) {
		return nil
	}
	if q.phase != phaseCanary || v.ID != q.canary {
		q.drops.Duplicate++
		return nil
	}
	if v.Outcome == CanaryReplied && (v.Reply.ID != v.ID || !q.checkStamps(v.Reply)) {
		if v.Reply.ID != v.ID {
			q.drops.Unknown++
		}
		return nil
	}
	q.handleVerdict(now, v)
	return q.flush(now)
}

// handleVerdict applies an accepted verdict.
func (q *Query) handleVerdict(now clock.Time, v CanaryVerdict) {
	i, _ := findPart(q.parts, v.ID.Service)
	p := &q.parts[i]
	last := &p.attempts[len(p.attempts)-1]
	last.state = attemptDone
	last.notRun = v.Outcome == CanaryKnownGood || v.Outcome == CanaryQuarantined || v.Outcome == CanaryNotRun ||
		v.Outcome == CanaryReplied && v.Reply.Status == message.StatusNotRun
	switch v.Outcome {
	case CanaryKnownGood:
		q.recordNotRun(0)
		q.fanOut(now)
	case CanaryQuarantined:
		q.recordNotRun(v.RetryAfter)
		q.settleAll(message.ReasonQuarantined)
	case CanaryNotRun:
		q.recordNotRun(v.RetryAfter)
		q.nextCanary(now, reasonOf(message.StatusNotRun, v.Reason))
	case CanaryReplied:
		q.canaryReplied(now, p, v.Reply)
	default:
		q.nextCanary(now, reasonOf(message.StatusFailed, v.Reason))
	}
}

// canaryReplied handles the canary's reply. A successful one is also its service's part
// of the answer.
func (q *Query) canaryReplied(now clock.Time, p *part, r message.SubReply) {
	switch r.Status {
	case message.StatusOK:
		q.drops.Shards += p.merge(r.Shards, &q.top)
		if p.unmerged == 0 {
			q.settle(p)
		}
		q.fanOut(now)
	case message.StatusSnapshotGone:
		if !q.restart(now, r.Snapshots) {
			q.settleAll(message.ReasonSnapshotGone)
		}
	case message.StatusNotRun:
		q.recordNotRun(r.RetryAfterMS)
		q.nextCanary(now, reasonOf(r.Status, r.Reason))
	default:
		q.nextCanary(now, reasonOf(r.Status, r.Reason))
	}
}

// startCanary starts a canary on one service. The query's rank, a hash of its request
// id, selects the first service to try, so that the canaries of different queries are
// distributed over all services.
func (q *Query) startCanary(now clock.Time) {
	n := uint64(len(q.parts))
	for i := range n {
		p := &q.parts[(q.rank%n+uint64(q.canariesStarted)+i)%n]
		if p.settled {
			continue
		}
		if _, ok := q.router.Route(now, p.service, topology.InstanceRef{}); !ok {
			continue
		}
		sub := q.sub(now, p, message.KindCanary)
		q.canary = sub.ID
		q.canariesStarted++
		q.possibleRuns++
		p.attempts = append(p.attempts, attempt{at: now})
		q.commands = append(q.commands, RunCanary{Sub: sub})
		return
	}
	q.settleAll(message.ReasonNoHolder)
}

// nextCanary starts another canary. If none is left, it ends the query: without a
// successful canary, the query may not be sent to the other services.
func (q *Query) nextCanary(now clock.Time, r message.Reason) {
	if r == message.ReasonQuarantined || q.canariesStarted == maxCanaries || q.finishAt.Sub(now) < q.opts.minAttemptTime {
		q.settleAll(r)
		return
	}
	q.startCanary(now)
}

// settleAll settles all open parts with reason r.
func (q *Query) settleAll(r message.Reason) {
	for i := range q.parts {
		if p := &q.parts[i]; !p.settled {
			p.setReason(r)
			q.settle(p)
		}
	}
}

// cancelCanary cancels the canary in progress, if any.
func (q *Query) cancelCanary() {
	i, found := findPart(q.parts, q.canary.Service)
	if !found {
		return
	}
	if a := &q.parts[i].attempts; len(*a) > 0 && (*a)[len(*a)-1].state == attemptOpen {
		(*a)[len(*a)-1].state = attemptDone
		q.commands = append(q.commands, CancelCanary{ID: q.canary})
	}
}

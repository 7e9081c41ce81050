package query

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// maxCanaries is how many canaries a query starts on one snapshot. The second
// one goes to another service: the loss of a healthy replica is far more common
// than a request that crashes targets, and the keeper refuses a third crash.
const maxCanaries = 2

// CanaryOutcome says what became of a canary.
type CanaryOutcome string

// Outcomes of a canary.
const (
	// CanaryReplied means that the canary's holder replied; Reply is set. A
	// reply with message.StatusOK proves the fingerprint safe.
	CanaryReplied CanaryOutcome = "replied"
	// CanaryKnownGood means that the fingerprint is safe by another query's
	// canary; nothing ran for this one.
	CanaryKnownGood CanaryOutcome = "knownGood"
	// CanaryQuarantined means that the fingerprint is quarantined; nothing ran
	// for this canary.
	CanaryQuarantined CanaryOutcome = "quarantined"
	// CanaryNotRun means that the canary could not be run; nothing ran.
	CanaryNotRun CanaryOutcome = "notRun"
	// CanaryLost means that the outcome is not known; a target may have run it.
	CanaryLost CanaryOutcome = "lost"
)

// CanaryVerdict is the outcome of the canary that RunCanary asked for.
type CanaryVerdict struct {
	ID         message.SubID    `json:"id"` // repeats the canary's
	Outcome    CanaryOutcome    `json:"outcome"`
	Reply      message.SubReply `json:"reply"`        // set when Outcome is CanaryReplied
	Reason     message.Reason   `json:"reason"`       // why, when Outcome is CanaryNotRun or CanaryLost
	RetryAfter clock.Duration   `json:"retryAfterMs"` // set when Outcome is CanaryQuarantined or CanaryNotRun
}

// CanaryDone takes the verdict on the canary. The query fans out when the
// fingerprint is safe.
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

// judge acts on an accepted verdict.
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

// canaryReplied uses the canary's answer as its service's part of the answer.
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

// startCanary asks for a canary on one service. The query's rank picks the
// service, so that canaries spread over all of them.
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

// nextCanary starts another canary, or ends the query when none is left: without
// one the fingerprint may not be sent to the other services.
func (q *Query) nextCanary(now clock.Time, r message.Reason) {
	if r == message.ReasonQuarantined || q.canariesStarted == maxCanaries || q.finishAt.Sub(now) < q.opts.minAttemptTime {
		q.settleAll(r)
		return
	}
	q.startCanary(now)
}

func (q *Query) settleAll(r message.Reason) {
	for i := range q.parts {
		if p := &q.parts[i]; !p.settled {
			p.setReason(r)
			q.settle(p)
		}
	}
}

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

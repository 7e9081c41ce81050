package claim

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
)

// phase is the progress of a pending claim.
type phase uint8

const (
	phaseQueued   phase = iota // to be claimed by the next write
	phaseWriting               // part of a write that is not known to be durable
	phaseRunning               // durable; its Run was issued
	phaseFinished              // the outcome is known and not yet recorded
)

// waiter is a submission that waits for a reply.
type waiter struct {
	id       message.RequestID
	deadline clock.Time
}

// pendingClaim is a request that this writer is claiming, running or recording.
type pendingClaim struct {
	id          ID
	request     message.RunRequest
	at          int64 // Unix ms of the submission that led to the claim
	phase       phase
	attempt     uint32 // last attempt that was written or may have been; 0 for none
	unconfirmed bool   // an attempt is in a write whose reply was lost
	issued      bool   // Run was issued for attempt
	result      RunResult
	waiters     []waiter
	submitEpoch uint64 // readEpoch at submission; only later reads show the claims made before it
}

// toClaim returns the claim to store, without its claimant.
func (p *pendingClaim) toClaim() Claim {
	c := Claim{Workspace: p.id.Workspace, Key: p.id.Key, Attempt: p.attempt, State: StateClaimed, At: p.at, Content: HashContent(p.request)}
	if p.phase == phaseFinished {
		c.State = State(p.result.Outcome)
		c.Answer = p.result.Answer
	}
	return c
}

// replyAll answers all waiters with the result of p.
func (p *pendingClaim) replyAll() []Command {
	var out []Command
	for _, w := range p.waiters {
		out = append(out, p.replyTo(w))
	}
	p.waiters = nil
	return out
}

func (p *pendingClaim) replyTo(w waiter) Command {
	r := message.RunReply{
		ID: w.id, Workspace: p.id.Workspace, Outcome: p.result.Outcome, Reason: p.result.Reason, At: p.at,
		Recorded: w.id != p.request.ID,
	}
	switch r.Outcome {
	case message.OutcomeAnswered:
		r.Answer = p.result.Answer
	case message.OutcomeNotRun:
		r.RetryAfterMS = p.result.RetryAfter
	}
	return Reply{r}
}

// expire answers the waiters whose deadline has passed. Only a request whose Run was
// issued may have run.
func (p *pendingClaim) expire(now clock.Time) []Command {
	outcome := message.OutcomeNotRun
	if p.phase == phaseRunning {
		outcome = message.OutcomeUnknown
	}
	var out []Command
	p.waiters = slices.DeleteFunc(p.waiters, func(w waiter) bool {
		if now < w.deadline {
			return false
		}
		out = append(out, Reply{message.RunReply{
			ID: w.id, Workspace: p.id.Workspace, Outcome: outcome, Reason: message.ReasonDeadline, At: p.at,
		}})
		return true
	})
	return out
}

// deadline returns the latest deadline of the waiters.
func (p *pendingClaim) deadline() clock.Time {
	var last clock.Time
	for _, w := range p.waiters {
		last = max(last, w.deadline)
	}
	return last
}

package claim

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
)

type phase uint8

const (
	phaseQueued   phase = iota // to be claimed by the next write
	phaseWriting               // part of a write that is not known to be durable
	phaseRunning               // durable and handed out
	phaseFinished              // the outcome is known and not yet recorded
)

type waiter struct {
	id       message.RequestID
	deadline clock.Time
}

// entry is a request that this writer handles at present.
type entry struct {
	id      ID
	request message.RunRequest
	at      int64 // Unix ms of the submission that led to the claim
	phase   phase
	attempt uint32 // last attempt that was written or may have been; 0 for none
	exposed bool   // an attempt is in a write whose reply was lost
	ran     bool   // Run was handed out for attempt
	result  RunResult
	waiters []waiter
	since   uint64 // read epoch at submission; only later reads show what came before it
}

func (e *entry) claim() Claim {
	c := Claim{Workspace: e.id.Workspace, Key: e.id.Key, Attempt: e.attempt, State: StateClaimed, At: e.at, Content: HashContent(e.request)}
	if e.phase == phaseFinished {
		c.State = State(e.result.Outcome)
		c.Answer = e.result.Answer
	}
	return c
}

// reply answers all waiters with the entry's result.
func (e *entry) reply() []Command {
	var out []Command
	for _, w := range e.waiters {
		out = append(out, e.replyTo(w))
	}
	e.waiters = nil
	return out
}

func (e *entry) replyTo(w waiter) Command {
	r := message.RunReply{
		ID: w.id, Workspace: e.id.Workspace, Outcome: e.result.Outcome, Reason: e.result.Reason, At: e.at,
		Recorded: w.id != e.request.ID,
	}
	switch r.Outcome {
	case message.OutcomeAnswered:
		r.Answer = e.result.Answer
	case message.OutcomeNotRun:
		r.RetryAfterMS = e.result.RetryAfter
	}
	return Reply{r}
}

// expire answers the waiters whose deadline has passed. Only a request that was
// handed out may have run.
func (e *entry) expire(now clock.Time) []Command {
	outcome := message.OutcomeNotRun
	if e.phase == phaseRunning {
		outcome = message.OutcomeUnknown
	}
	var out []Command
	e.waiters = slices.DeleteFunc(e.waiters, func(w waiter) bool {
		if now < w.deadline {
			return false
		}
		out = append(out, Reply{message.RunReply{
			ID: w.id, Workspace: e.id.Workspace, Outcome: outcome, Reason: message.ReasonDeadline, At: e.at,
		}})
		return true
	})
	return out
}

// deadline returns the latest deadline of the waiters.
func (e *entry) deadline() clock.Time {
	var last clock.Time
	for _, w := range e.waiters {
		last = max(last, w.deadline)
	}
	return last
}

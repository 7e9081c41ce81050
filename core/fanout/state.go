package fanout

import "knapweedstall/core/clock"

// Next returns when Tick or State must be called next.
func (c *Call) Next() clock.Time {
	next := c.params.Deadline
	earlier := func(t clock.Time) {
		if t != 0 && t.Before(next) {
			next = t
		}
	}
	if c.enough(c.answered) {
		earlier(c.params.PartialAt)
	}
	for i := range c.shards {
		if s := &c.shards[i]; !s.answered && !s.exhausted {
			earlier(s.hedgeAt)
			earlier(s.blockedAt)
		}
	}
	return next
}

// State returns the state of the call at now. Once it is final, later answers are
// ignored.
func (c *Call) State(now clock.Time) State {
	state := c.state(now)
	if state != Open {
		c.final = true
	}
	return state
}

func (c *Call) state(now clock.Time) State {
	answerable, enough := c.answerable(), c.enough(c.answered)
	switch {
	case c.answered == len(c.shards):
		return Complete
	case enough && (c.answered == answerable || !now.Before(c.params.Deadline)):
		return Partial
	case enough && c.params.PartialAt != 0 && !now.Before(c.params.PartialAt):
		return Partial
	case !c.enough(answerable) && !c.MayHaveRun():
		return Refused
	case !c.enough(answerable):
		return Failure
	case now.Before(c.params.Deadline):
		return Open
	case c.MayHaveRun():
		return TimedOut
	default:
		return Expired
	}
}

// Abandon ends the call without an answer. It sends nothing more.
func (c *Call) Abandon() { c.final = true }

// Expire ends the call before its deadline and returns its final state.
func (c *Call) Expire() State {
	c.params.Deadline = 0
	return c.State(1)
}

// InFlight returns the number of sends without an outcome.
func (c *Call) InFlight() int {
	n := 0
	for i := range c.shards {
		n += c.shards[i].inFlight
	}
	return n
}

package replica

import "knapweedstall/core/clock"

// Result describes the end of a send.
type Result struct {
	Outcome Outcome
	// Slowness is the latency relative to the median of the route; for an
	// abandoned send it is a lower bound. 0 means that it is unknown.
	Slowness float64
	Overdue  bool       // MarkOverdue was called for this send
	Late     bool       // it took so long that its answer may not have been used
	Sent     clock.Time // when the send began
}

// Outcome is the outcome of a send.
type Outcome string

// Outcomes of sends.
const (
	Answered Outcome = "answered" // a complete, valid answer
	Failed   Outcome = "failed"   // the target ran the request and reported a failure
	Shed     Outcome = "shed"     // the target stated that it did not run the request
	Replaced Outcome = "replaced" // another target has the address and did not run the request
	Unsent   Outcome = "unsent"   // no connection, or no byte of the request was accepted
	Lost     Outcome = "lost"     // sent, and no valid answer came back; it may have run
	Canceled Outcome = "canceled" // canceled by this instance
)

// NotRun reports whether the outcome proves that the request did not run.
func (o Outcome) NotRun() bool { return o == Shed || o == Replaced || o == Unsent }

// Done ends the send that Pick counted and updates the estimates of the target
// from its outcome.
func (s *Set) Done(t *Target, r Result, now clock.Time) {
	t.inFlight--
	t.probing = false
	if r.Overdue {
		t.overdue--
		if r.Outcome == Canceled || r.Outcome == Lost {
			t.stalledUntil = max(t.stalledUntil, r.Sent.Add(stallTime))
		}
	}
	switch r.Outcome {
	case Answered, Failed:
		s.heard(t, now)
		t.observeShed(false, now)
	case Shed:
		s.heard(t, now)
		t.observeShed(true, now)
		t.shedUntil = now.Add(shedBackoff)
	case Replaced:
		s.reach.Heard(t.ID, now)
		t.downUntil = now.Add(replacedBackoff)
	case Unsent:
		if t.failures == 0 {
			s.probeDue = s.reach.ConnectFailed(t.ID, r.Sent, now) || s.probeDue
		}
		t.connectFailed(now)
	case Lost:
		s.probeDue = s.reach.Unanswered(t.ID, r.Sent) || s.probeDue
	case Canceled:
	}
	if r.Late || r.Outcome == Answered {
		t.observeLate(r.Late)
	}
	if r.Slowness > 0 {
		t.observeSlowness(r.Slowness, now)
	}
	s.observePause(t, r, now)
	if r.Outcome == Failed || r.Outcome == Lost {
		// A failing target answers fast; without the penalty, its low latency
		// would attract requests.
		t.observeSlowness(failurePenalty, now)
	}
}

// heard notes an answer of t.
func (s *Set) heard(t *Target, now clock.Time) {
	s.reach.Heard(t.ID, now)
	t.failures, t.downUntil, t.stalledUntil = 0, 0, 0
}

// failurePenalty is the slowness that is recorded for a failed request.
const failurePenalty = 8

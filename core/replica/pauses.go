package replica

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/pause"
	"knapweedstall/core/routing"
)

// Parameters of stalls. A send met a pause, probably, if it took at least
// canceledStall times the median of its route and was canceled, or lateStall times the
// median and was answered, and at least minStall. Most answered sends that took twice
// the median met no pause.
const (
	canceledStall = 2
	lateStall     = 4
	minStall      = 25 * clock.Millisecond
)

// observePause updates the prediction of the target's pauses.
func (s *Set) observePause(t *Target, r Result, now clock.Time) {
	if r.Sent == 0 || r.Slowness == 0 || r.Outcome != Answered && r.Outcome != Canceled {
		return
	}
	atLeast := float64(lateStall)
	if r.Outcome == Canceled {
		atLeast = canceledStall
	}
	if r.Slowness < atLeast || now.Sub(r.Sent) < minStall {
		if t.pauses != nil && r.Outcome == Answered {
			t.pauses.ObserveAnswer(r.Sent, now)
		}
		return
	}
	if t.pauses == nil {
		t.pauses = pause.NewTarget(s.periodOf(t.Service))
	}
	t.pauses.ObserveStall(r.Sent, now)
}

// periodOf returns the period of the pauses of the service's targets.
func (s *Set) periodOf(name routing.ServiceName) *pause.Period {
	period := s.periods[name]
	if period == nil {
		period = &pause.Period{}
		s.periods[name] = period
	}
	return period
}

// PredictedTargets returns the number of targets whose next pause is predicted.
func (s *Set) PredictedTargets(now clock.Time) int {
	n := 0
	for _, t := range s.targets {
		if t.pauses != nil && t.pauses.Predicted(now) {
			n++
		}
	}
	return n
}

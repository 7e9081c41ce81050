package budget

import "knapweedstall/core/clock"

// slackShare is an instance's share of the slack. An increase takes effect only
// after a window, because an instance that has left may have used the share that
// it gave up.
type slackShare struct {
	current  float64
	next     float64    // larger value that takes effect at nextFrom
	nextFrom clock.Time // when next takes effect; 0 when there is none
}

// set changes the share to value: at once if it is smaller or the current share is
// 0, and otherwise after window.
func (s *slackShare) set(value float64, now clock.Time, window clock.Duration) {
	s.current = s.at(now)
	switch {
	case s.current == 0 || value <= s.current:
		s.current, s.nextFrom = value, 0
	case s.nextFrom == 0 || !now.Before(s.nextFrom) || value > s.next:
		s.next, s.nextFrom = value, now.Add(window)
	default:
		s.next = value
	}
}

// at returns the share that is in effect at now.
func (s *slackShare) at(now clock.Time) float64 {
	if s.nextFrom != 0 && !now.Before(s.nextFrom) {
		return s.next
	}
	return s.current
}

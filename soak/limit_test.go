package soak

import (
	"strconv"
	"time"

	"knapweedstall/platform/platformtest"
)

const (
	// limitWindow is the period in which the requests to a limited target are counted.
	limitWindow = 4 * time.Second
	// limitStart is the time after the first statement of a limit from which on it binds.
	limitStart = 4 * time.Second
	// restartAllowance is the number of requests that a started instance may send to a
	// limited target before an answer tells it the limit: two for each caller, since a
	// search is answered in part after 170 ms, and an answer of a target may take 300 ms.
	restartAllowance = 2 * callerCount
	// restartTime is the time after its start within which an instance sends them.
	restartTime = time.Second
)

// limitPeriod is a period in which a target states a limit.
type limitPeriod struct {
	target     *platformtest.Target
	perSecond  int
	start, end time.Time // end is zero while the target states the limit
}

// limitRequests lets the target state a limit of requests, or ends its limit if it states
// one. A target with a limit loses no answers, since an instance whose answers are all
// lost can't know the limit and is not bound by it.
func (s *soakRun) limitRequests(target *platformtest.Target) {
	if s.endLimit(target) {
		return
	}
	target.SetDropAnswers(false)
	perSecond := 1 + s.random.IntN(2)
	target.SetRequestLimit(strconv.Itoa(perSecond))
	s.limits = append(s.limits, limitPeriod{target: target, perSecond: perSecond, start: time.Now()})
}

// dropAnswers lets the target lose its answers, or ends that.
func (s *soakRun) dropAnswers(target *platformtest.Target, drop bool) {
	if drop {
		s.endLimit(target)
	}
	target.SetDropAnswers(drop)
}

// endLimit ends the target's limit and reports whether it stated one.
func (s *soakRun) endLimit(target *platformtest.Target) bool {
	for i := range s.limits {
		if l := &s.limits[i]; l.target == target && l.end.IsZero() {
			l.end = time.Now()
			target.SetRequestLimit("")
			return true
		}
	}
	return false
}

// checkLimits checks that no target got more requests than one and a half times what
// its limit allows, and five. Instances that have started may not know the limit yet.
func (s *soakRun) checkLimits() {
	for _, l := range s.limits {
		arrivals := l.target.Arrivals()
		for first, from := range arrivals {
			to := from.Add(limitWindow)
			if from.Before(l.start.Add(limitStart)) || to.After(l.end) {
				continue
			}
			got := 0
			for _, at := range arrivals[first:] {
				if at.Before(to) {
					got++
				}
			}
			allowed := l.perSecond*int(limitWindow/time.Second)*3/2 + 5 + restartAllowance*s.startsBetween(from.Add(-restartTime), to)
			if got > allowed {
				s.t.Errorf("target %s got %d requests in %v, %v after it stated a limit of %d per second; %d are allowed",
					l.target.ID, got, limitWindow, from.Sub(l.start), l.perSecond, allowed)
				break
			}
		}
	}
}

package dispatch

import (
	"knapweedstall/core/allowance"
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

const (
	targetWeight = 0.2
	// forgetTerm halves the remembered latency of an unused target, so that a
	// target that was slow once is tried again.
	forgetTerm = 1 * clock.Second
)

// target is one replica as this holder sees it.
type target struct {
	topology.Target
	allow *allowance.Allowance
	out   bool // its zone is out
	// needsFresh is set by a shed while the right was not fresh: the other side
	// of a partition may be using this share.
	needsFresh bool
	inFlight   [2]int     // calls by share whose end is not known
	ending     [2]int     // those of inFlight whose outcome no longer matters
	answered   clock.Time // when the newest call that was answered was sent
	latency    float64
	usedAt     clock.Time
}

// takesWork reports whether the target may get new calls at all.
func (t *target) takesWork() bool { return !t.out && !t.Leaving }

// slots returns the calls that the share may have in flight under the right.
func (t *target) slots(now clock.Time, share int, use Use) int {
	if !t.takesWork() {
		return 0
	}
	if t.needsFresh && !use.Cold[share] {
		return 0
	}
	may := use.Cold[share]
	if t.allow.State(now) == message.TargetWarm {
		may = use.Warm[share]
	}
	if !may {
		return 0
	}
	return t.allow.Slots(now, share)
}

// freeShare returns a share with a free slot.
func (t *target) freeShare(now clock.Time, use Use) (int, bool) {
	for share := range t.inFlight {
		if t.inFlight[share] < t.slots(now, share, use) {
			if use.Cold[share] {
				t.needsFresh = false
			}
			return share, true
		}
	}
	return 0, false
}

func (t *target) observe(now clock.Time, d clock.Duration) {
	if t.usedAt == 0 {
		t.latency = float64(d)
	}
	t.latency += targetWeight * (float64(d) - t.latency)
	t.usedAt = now
}

// expected returns the latency to compare replicas by.
func (t *target) expected(now clock.Time) float64 {
	halvings := min(62, max(0, now.Sub(t.usedAt)/forgetTerm))
	return t.latency / float64(uint64(1)<<halvings)
}

// capacity is what a Service can use now.
type capacity struct {
	slots  int            // calls that may be in flight, without those that are only ending
	free   int            // calls that may start now
	opens  clock.Time     // when a slot opens while slots is 0; 0 for never
	reason message.Reason // why slots is 0
}

func (s *Service) capacity(now clock.Time) capacity {
	use := s.right.Use(now, s.id)
	c := capacity{reason: message.ReasonNoTarget}
	if use == (Use{}) {
		c.reason = message.ReasonNoHolder
		return c
	}
	out := 0
	for _, t := range s.targets {
		if t.out {
			out++
		}
		for share := range t.inFlight {
			n := t.slots(now, share, use)
			c.slots += max(0, n-t.ending[share])
			c.free += max(0, n-t.inFlight[share])
			if n > 0 {
				continue
			}
			if next := t.allow.NextIncrease(now); next > 0 && t.slots(next, share, use) > 0 {
				c.openAt(next)
			}
		}
	}
	for _, call := range s.calls {
		if call.over && call.target.slots(now, call.share, use) > 0 {
			c.openAt(call.ends(now))
		}
	}
	if out == len(s.targets) {
		c.reason = message.ReasonZoneOut
	}
	return c
}

func (c *capacity) openAt(t clock.Time) {
	if c.opens == 0 || t < c.opens {
		c.opens = t
	}
}

// pick returns the target with a free slot and the least recent latency, with
// the share to charge. The target named by avoid is used only when no other
// takes calls.
func (s *Service) pick(now clock.Time, avoid topology.TargetID, exclude *target) (*target, int, bool) {
	use := s.right.Use(now, s.id)
	var best, last *target
	var bestShare, lastShare int
	others := false
	for _, t := range s.targets {
		if t == exclude {
			continue
		}
		avoided := t.ID == avoid
		if !avoided && t.slots(now, 0, use)+t.slots(now, 1, use) > 0 {
			others = true
		}
		share, ok := t.freeShare(now, use)
		switch {
		case !ok:
		case avoided:
			last, lastShare = t, share
		case best == nil || t.expected(now) < best.expected(now):
			best, bestShare = t, share
		}
	}
	if best == nil && !others {
		best, bestShare = last, lastShare
	}
	return best, bestShare, best != nil
}

// report tells the other holder of a change of the target's state or limit.
func (s *Service) report(now clock.Time, t *target) {
	if state, bears, due := t.allow.Report(now); due {
		s.emit(ReportTarget{message.TargetReport{Service: s.id, Target: t.ID, State: state, Capacity: bears}})
	}
}

package dispatch

import (
	"knapweedstall/core/allowance"
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

const (
	targetLatencyWeight = 0.2 // weight of the newest call in a target's latency
	// latencyHalfLife is the time in which the recorded latency of an unused target
	// halves, so that a target that was slow once is used again.
	latencyHalfLife = 1 * clock.Second
)

// target is the state of one replica at this holder.
type target struct {
	topology.Target
	allowance *allowance.Allowance
	zoneOut   bool // its availability zone is out of service
	// needsFreshLease is set when the target shed a call while the lease permitted
	// calls to warm targets only, which means that it was not fresh: the other side
	// of a network partition may be using this share.
	needsFreshLease bool
	inFlight        [2]int     // calls by share that are not known to have ended
	settled         [2]int     // the calls in inFlight whose outcome no longer matters
	lastAnswered    clock.Time // send time of the most recently sent call that was answered
	latency         float64    // ms, exponentially weighted mean
	observedAt      clock.Time // when latency was last updated
}

// acceptsCalls reports whether the target may get new calls at all.
func (t *target) acceptsCalls() bool { return !t.zoneOut && !t.Leaving }

// slots returns how many calls the share may have in flight under the permission.
func (t *target) slots(now clock.Time, share int, permission Permission) int {
	if !t.acceptsCalls() {
		return 0
	}
	if t.needsFreshLease && !permission.Cold[share] {
		return 0
	}
	may := permission.Cold[share]
	if t.allowance.State(now) == message.TargetWarm {
		may = permission.Warm[share]
	}
	if !may {
		return 0
	}
	return t.allowance.Slots(now, share)
}

// freeShare returns a share that has a free slot at the target.
func (t *target) freeShare(now clock.Time, permission Permission) (int, bool) {
	for share := range t.inFlight {
		if t.inFlight[share] < t.slots(now, share, permission) {
			if permission.Cold[share] {
				t.needsFreshLease = false
			}
			return share, true
		}
	}
	return 0, false
}

// observe records the latency of a call.
func (t *target) observe(now clock.Time, d clock.Duration) {
	if t.observedAt == 0 {
		t.latency = float64(d)
	}
	t.latency += targetLatencyWeight * (float64(d) - t.latency)
	t.observedAt = now
}

// expectedLatency returns the latency by which replicas are compared.
func (t *target) expectedLatency(now clock.Time) float64 {
	halvings := min(62, max(0, now.Sub(t.observedAt)/latencyHalfLife))
	return t.latency / float64(uint64(1)<<halvings)
}

// capacity is the number of slots that a Dispatcher can use now.
type capacity struct {
	slots   int            // calls that may be in flight, without the slots of settled calls
	free    int            // calls that may be started now
	opensAt clock.Time     // when the next slot becomes available if slots is 0; 0 for never
	reason  message.Reason // why no slot is available if slots is 0
}

// capacity returns what can be used at now.
func (d *Dispatcher) capacity(now clock.Time) capacity {
	permission := d.leases.Use(now, d.id)
	c := capacity{reason: message.ReasonNoTarget}
	if permission == (Permission{}) {
		c.reason = message.ReasonNoHolder
		return c
	}
	zonesOut := 0
	for _, t := range d.targets {
		if t.zoneOut {
			zonesOut++
		}
		for share := range t.inFlight {
			n := t.slots(now, share, permission)
			c.slots += max(0, n-t.settled[share])
			c.free += max(0, n-t.inFlight[share])
			if n > 0 {
				continue
			}
			if next := t.allowance.NextIncrease(now); next > 0 && t.slots(next, share, permission) > 0 {
				c.addOpening(next)
			}
		}
	}
	for _, call := range d.calls {
		if call.settled && call.target.slots(now, call.share, permission) > 0 {
			c.addOpening(call.expectedRelease(now))
		}
	}
	if zonesOut == len(d.targets) {
		c.reason = message.ReasonZoneOut
	}
	return c
}

// addOpening records that a slot becomes available at t.
func (c *capacity) addOpening(t clock.Time) {
	if c.opensAt == 0 || t < c.opensAt {
		c.opensAt = t
	}
}

// pick returns the target with a free slot that has the lowest expected latency, and
// the share whose slot the call occupies. The target avoid is used only if no other
// target may get calls; exclude is never used.
func (d *Dispatcher) pick(now clock.Time, avoid topology.TargetID, exclude *target) (*target, int, bool) {
	permission := d.leases.Use(now, d.id)
	var best, last *target
	var bestShare, lastShare int
	others := false
	for _, t := range d.targets {
		if t == exclude {
			continue
		}
		avoided := t.ID == avoid
		if !avoided && t.slots(now, 0, permission)+t.slots(now, 1, permission) > 0 {
			others = true
		}
		share, ok := t.freeShare(now, permission)
		switch {
		case !ok:
		case avoided:
			last, lastShare = t, share
		case best == nil || t.expectedLatency(now) < best.expectedLatency(now):
			best, bestShare = t, share
		}
	}
	if best == nil && !others {
		best, bestShare = last, lastShare
	}
	return best, bestShare, best != nil
}

// report sends the target's state and limit to the other holder when a report is due.
func (d *Dispatcher) report(now clock.Time, t *target) {
	if state, limit, due := t.allowance.Report(now); due {
		d.emit(ReportTarget{message.TargetReport{Service: d.id, Target: t.ID, State: state, Capacity: limit}})
	}
}

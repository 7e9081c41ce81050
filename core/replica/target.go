// Package replica selects the target for a send among the equal targets of a
// service. It learns from the store's listing, from answers and from failures;
// it sends no health checks.
package replica

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// Listing is what a target says of itself in the store.
type Listing struct {
	ID            topology.TargetID
	Service       routing.ServiceName
	Address       string // IP address and port
	Zone          topology.ZoneID
	Slots         int  // requests that it runs at the same time
	Draining      bool // it is about to leave
	ColdPeriod    clock.Duration
	StartedUnixMS int64 // Unix milliseconds of its start; 0 when not stated
}

// Times of the last-resort use of targets.
const (
	// drainUse is how long a draining target still serves a shard that has no
	// other. It stays below the shortest drain period of 3 s.
	drainUse = 1500 * clock.Millisecond
	// missingUse is how long a target that is no longer listed still serves a
	// shard that has no other. The store brings back lapsed entries of live
	// targets within 2 s of its own return.
	missingUse = 2200 * clock.Millisecond
)

// Bounds of the pause after a failed connection.
const (
	firstDown = 100 * clock.Millisecond
	maxDown   = clock.Second
	// shedPause keeps requests away from a target that has just shed one; it is
	// about the work time of a few queued requests.
	shedPause = 10 * clock.Millisecond
	// replacedPause keeps requests away from an address that another target
	// has taken, until the listing says so. Requests that go astray count as
	// repeats at the other target's service.
	replacedPause = 10 * clock.Second
)

// Figures of the estimate of a target's slowness.
const (
	slownessWeight = 0.3              // of a new sample
	shedWeight     = 0.15             // of a new sample of the shed rate
	maxHedgeShed   = 0.25             // shed rate up to which a target gets hedges
	minSlowness    = 0.25             // bounds keep one sample from
	maxSlowness    = 20.0             // deciding alone
	forgetAfter    = 4 * clock.Second // half of what was learned is forgotten after this time
)

// Figures of pacing a target that answers too late.
const (
	paceFrom   = 3 // late answers in a row; a pause of a target makes one or two late
	maxLate    = 7
	lateRelief = 2 // by an answer in time
	firstPace  = 50 * clock.Millisecond
)

// Target is one back-end server as this instance sees it. Times are zero when
// they never happened.
type Target struct {
	Listing
	learned    clock.Time // when Listing was learned
	coldUntil  clock.Time
	drainSince clock.Time // when it was first seen draining
	goneSince  clock.Time // when it was first missing from the listing

	inFlight int // sends without an outcome
	stalled  int // of these, the ones that are overdue

	slowness   float64 // latency relative to that of its route; 1 is normal
	slownessAt clock.Time

	shedRate   float64 // part of the requests that it sheds
	shedRateAt clock.Time

	late       int        // answers in a row that came too late to be of use
	pacedUntil clock.Time // until when a search that can do without it leaves it alone

	failures  int // failed connections in a row
	downUntil clock.Time
	probing   bool // a send checks whether it is back
	shedUntil clock.Time

	coldTokens tokens
}

func newTarget(l Listing, now clock.Time) *Target {
	t := &Target{Listing: l, slowness: 1, slownessAt: now}
	t.list(l, now)
	return t
}

// list takes over a newer listing of the same run of the target.
func (t *Target) list(l Listing, now clock.Time) {
	if l.Address != t.Address {
		t.downUntil = 0
	}
	t.Listing, t.learned, t.goneSince = l, now, 0
	t.coldUntil = now.Add(l.ColdPeriod)
	switch {
	case !l.Draining:
		t.drainSince = 0
	case t.drainSince == 0:
		t.drainSince = now
	}
}

// leaving reports whether the target is draining or missing.
func (t *Target) leaving() bool { return t.drainSince != 0 || t.goneSince != 0 }

// expired reports whether a leaving target may no longer be used at all.
func (t *Target) expired(now clock.Time) bool {
	return t.drainSince != 0 && now.Sub(t.drainSince) > drainUse ||
		t.goneSince != 0 && now.Sub(t.goneSince) > missingUse
}

func (t *Target) cold(now clock.Time) bool { return now.Before(t.coldUntil) }

// currentSlowness returns the estimate with old knowledge faded towards 1.
func (t *Target) currentSlowness(now clock.Time) float64 {
	age := float64(now.Sub(t.slownessAt)) / float64(forgetAfter)
	return 1 + (t.slowness-1)/(1+age*age)
}

func (t *Target) observe(ratio float64, now clock.Time) {
	ratio = min(max(ratio, minSlowness), maxSlowness)
	t.slowness = (1-slownessWeight)*t.currentSlowness(now) + slownessWeight*ratio
	t.slownessAt = now
}

// currentShedRate returns the estimate with old knowledge faded towards 0.
func (t *Target) currentShedRate(now clock.Time) float64 {
	age := float64(now.Sub(t.shedRateAt)) / float64(forgetAfter)
	return t.shedRate / (1 + age*age)
}

func (t *Target) observeShed(shed bool, now clock.Time) {
	rate := (1 - shedWeight) * t.currentShedRate(now)
	if shed {
		rate += shedWeight
	}
	t.shedRate, t.shedRateAt = rate, now
}

// observeLate learns whether the target answers in time. One that doesn't gets
// fewer requests, so that those it gets don't wait behind others.
func (t *Target) observeLate(late bool) {
	if !late {
		t.late = max(0, t.late-lateRelief)
		return
	}
	t.late = min(t.late+1, maxLate)
}

// sent notes a send, after which a target that answers too late rests.
func (t *Target) sent(now clock.Time) {
	if t.late >= paceFrom {
		t.pacedUntil = now.Add(firstPace << (t.late - paceFrom))
	}
}

// unwanted returns why a send for the purpose leaves the target alone, and until
// when if that is known.
func (t *Target) unwanted(purpose Purpose, now clock.Time) (Reason, clock.Time) {
	switch {
	case purpose != Needed && now.Before(t.pacedUntil):
		return Paced, t.pacedUntil
	case purpose == Hedge && t.currentShedRate(now) > maxHedgeShed:
		return Shedding, 0
	}
	return Selected, 0
}

func (t *Target) connectFailed(now clock.Time) {
	down := firstDown << min(t.failures, 10)
	t.failures++
	t.downUntil = now.Add(min(down, maxDown))
}

// tokens limits sends to a cold target.
type tokens struct {
	level float64
	at    clock.Time
}

// take reports whether a send fits rate, in sends a second, with bursts of one.
func (k *tokens) take(rate float64, now clock.Time) bool {
	if k.at == 0 {
		k.level = 1
	} else {
		k.level = min(1, k.level+rate*float64(now.Sub(k.at))/float64(clock.Second))
	}
	k.at = now
	if k.level < 1 {
		return false
	}
	k.level--
	return true
}

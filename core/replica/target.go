// Package replica selects the target for a send among the equivalent targets of a
// service. It uses the targets' listings in the store and estimates from earlier
// answers and failures; it sends no health checks.
//
// Three words describe slow sends and targets. A send is overdue when it has no
// outcome after the hedge delay of its route; the caller decides this, and reports it
// with MarkOverdue while the send is in flight and with Result.Overdue at its end. A
// send is late when it took so long that its answer may not have been used; the
// caller reports it with Result.Late. A target is paced while the number of its late
// sends, less lateDecrement for each answer in time, is at least paceThreshold: after
// each send, it then gets no request for some time unless the answer needs it.
package replica

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/pause"
	"knapweedstall/core/rollout"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// Listing is a target's entry in the store, as the target has registered it.
type Listing struct {
	ID            topology.TargetID
	Service       routing.ServiceName
	Address       string // IP address and port
	Zone          topology.ZoneID
	Version       rollout.Version // of its software
	Slots         int             // requests that it runs at the same time
	Draining      bool            // it is about to stop
	ColdPeriod    clock.Duration  // time after the listing in which the target is cold and bears a lower rate
	StartedUnixMS int64           // start of its process in Unix milliseconds; 0 when not stated
}

// Time limits of the use of targets that are draining or no longer listed. They
// serve only services without another usable target.
const (
	// maxDrainingUse is how long a draining target still serves a service that has
	// no other. It is less than the shortest drain period, which is 3 s.
	maxDrainingUse = 1500 * clock.Millisecond
	// maxMissingUse is how long a target that is no longer listed still serves a
	// service that has no other. After an outage, the store lists live targets
	// whose entries have expired again within 2 s.
	maxMissingUse = 2200 * clock.Millisecond
)

// Times for which a target gets no requests.
const (
	// minDownTime and maxDownTime bound the backoff after failed connections.
	minDownTime = 100 * clock.Millisecond
	maxDownTime = clock.Second
	// shedBackoff is the backoff after a shed request: about the processing time
	// of a few queued requests.
	shedBackoff = 10 * clock.Millisecond
	// replacedBackoff is the backoff after another target has answered at the
	// address, until the listing is updated. Misdirected requests count as repeats
	// to the other target's service.
	replacedBackoff = 10 * clock.Second
)

// Parameters of the estimates of a target's slowness and shed rate.
const (
	slownessWeight   = 0.3              // weight of a new sample of the slowness
	shedWeight       = 0.15             // weight of a new sample of the shed rate
	maxHedgeShedRate = 0.25             // maximum shed rate of a target that gets hedges
	minSlowness      = 0.25             // minimum and maximum of a sample,
	maxSlowness      = 20.0             // so that one alone does not decide
	estimateHalfLife = 4 * clock.Second // time after which an estimate has half its weight
)

// stallTime is the time from an overdue send on in which a target without a later
// answer is avoided. Pauses of targets take 150 to 250 ms.
const stallTime = 250 * clock.Millisecond

// Parameters of pacing.
const (
	paceThreshold   = 3 // late sends from which a target is paced; one pause of a target makes one or two late
	maxLateSends    = 7 // upper bound of the count
	lateDecrement   = 2 // decrement of the count for an answer in time
	minPaceInterval = 50 * clock.Millisecond
)

// Target is the state of one target as seen by this instance. Times are zero for
// events that have not happened.
type Target struct {
	Listing
	listedAt      clock.Time // when Listing was last updated
	coldUntil     clock.Time
	drainingSince clock.Time // when it was first seen draining
	missingSince  clock.Time // when it was first missing from the listing

	inFlight int // sends without an outcome
	overdue  int // sends in flight for which MarkOverdue was called
	// stalledUntil is until when the target counts as overdue although no send is:
	// an overdue send has ended without an answer, and none has come since.
	stalledUntil clock.Time

	pauses *pause.Target // nil until a send has stalled

	slowness   float64 // latency relative to the median of the route; 1 is normal
	slownessAt clock.Time

	shedRate   float64 // share of the requests that it sheds
	shedRateAt clock.Time

	lateSends  int        // late sends, less lateDecrement for each answer in time; at most maxLateSends
	pacedUntil clock.Time // until then, it gets only sends that an answer needs

	failures  int // consecutive failed connections
	downUntil clock.Time
	probing   bool // a send in flight checks whether it is reachable again
	shedUntil clock.Time

	leavingStated bool       // an answer has said that it is about to stop
	pauseUntil    clock.Time // until then, it has asked for no requests

	coldTokens tokenBucket

	limitKind LimitKind   // what the latest answer that told said about the limit
	limited   bool        // the target limits the requests that it takes
	limitRate RequestRate // its limit if limited; all instances share it
	limitedAt clock.Time  // when an answer last stated the limit
	slots     limitSlots  // of this instance, if limited
}

func newTarget(l Listing, now clock.Time) *Target {
	t := &Target{Listing: l, slowness: 1, slownessAt: now}
	t.updateListing(l, now, now)
	return t
}

// updateListing applies a newer listing of the same process of the target.
func (t *Target) updateListing(l Listing, since, now clock.Time) {
	if l.Address != t.Address {
		t.downUntil = 0
	}
	t.Listing, t.listedAt, t.missingSince = l, now, 0
	t.coldUntil = now.Add(l.ColdPeriod)
	switch {
	case t.leavingStated: // its answers are newer than an entry that says it is ready
	case !l.Draining:
		t.drainingSince = 0
	case t.drainingSince == 0:
		t.drainingSince = since
	}
}

// leaving reports whether the target is draining or missing.
func (t *Target) leaving() bool { return t.drainingSince != 0 || t.missingSince != 0 }

// expired reports whether a target has been draining or missing for so long that
// it must not be used.
func (t *Target) expired(now clock.Time) bool {
	return t.drainingSince != 0 && now.Sub(t.drainingSince) > maxDrainingUse ||
		t.missingSince != 0 && now.Sub(t.missingSince) > maxMissingUse
}

// Cold reports whether the target has started so recently that it bears a lower
// rate of requests.
func (t *Target) Cold(now clock.Time) bool { return now.Before(t.coldUntil) }

// currentSlowness returns the estimate of the slowness, which decays towards 1
// with its age.
func (t *Target) currentSlowness(now clock.Time) float64 {
	age := float64(now.Sub(t.slownessAt)) / float64(estimateHalfLife)
	return 1 + (t.slowness-1)/(1+age*age)
}

// observeSlowness updates the estimate of the slowness with a sample.
func (t *Target) observeSlowness(ratio float64, now clock.Time) {
	ratio = min(max(ratio, minSlowness), maxSlowness)
	t.slowness = (1-slownessWeight)*t.currentSlowness(now) + slownessWeight*ratio
	t.slownessAt = now
}

// currentShedRate returns the estimate of the shed rate, which decays towards 0
// with its age.
func (t *Target) currentShedRate(now clock.Time) float64 {
	age := float64(now.Sub(t.shedRateAt)) / float64(estimateHalfLife)
	return t.shedRate / (1 + age*age)
}

// observeShed updates the estimate of the shed rate with one request.
func (t *Target) observeShed(shed bool, now clock.Time) {
	rate := (1 - shedWeight) * t.currentShedRate(now)
	if shed {
		rate += shedWeight
	}
	t.shedRate, t.shedRateAt = rate, now
}

// observeLate updates the count of late sends. A target with many late sends gets
// fewer requests, so that these don't queue behind others.
func (t *Target) observeLate(late bool) {
	if !late {
		t.lateSends = max(0, t.lateSends-lateDecrement)
		return
	}
	t.lateSends = min(t.lateSends+1, maxLateSends)
}

// recordSend notes a send, and sets until when the target is skipped if it is paced.
func (t *Target) recordSend(now clock.Time) {
	if t.lateSends >= paceThreshold {
		t.pacedUntil = now.Add(minPaceInterval << (t.lateSends - paceThreshold))
	}
}

// overdueOrPaused returns the number of overdue sends in flight, and one more for a
// target that stalled a short time ago, and for one that is expected to pause now.
func (t *Target) overdueOrPaused(now clock.Time) int {
	n := t.overdue
	if now.Before(t.stalledUntil) {
		n++
	}
	if t.pauses != nil && t.pauses.Expected(now) {
		n++
	}
	return n
}

// skipReason returns why a send for the purpose must not go to the target although
// it is usable, and until when if that is known.
func (t *Target) skipReason(purpose Purpose, now clock.Time) (Reason, clock.Time) {
	switch {
	case purpose != Needed && now.Before(t.pacedUntil):
		return Paced, t.pacedUntil
	case purpose == Hedge && t.currentShedRate(now) > maxHedgeShedRate:
		return Shedding, 0
	}
	return Selected, 0
}

// connectFailed doubles the backoff of the target, up to maxDownTime.
func (t *Target) connectFailed(now clock.Time) {
	down := minDownTime << min(t.failures, 10)
	t.failures++
	t.downUntil = now.Add(min(down, maxDownTime))
}

// tokenBucket limits the rate of sends to a cold target.
type tokenBucket struct {
	level float64
	at    clock.Time
}

// take takes one token and reports whether there was one. rate is in sends per
// second; the bucket holds one token.
func (k *tokenBucket) take(rate float64, now clock.Time) bool {
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

// giveBack returns a token.
func (k *tokenBucket) giveBack() { k.level = min(1, k.level+1) }

package overload

import (
	"math"

	"knapweedstall/core/clock"
)

// Parameters of the limit.
const (
	// enoughEnded is the number of ended requests by which a group is judged. One
	// pause of a target makes a few searches late at the same time.
	enoughEnded = 20
	// manyEnded is the number of ended requests by which a limit is adjusted, since a
	// few bad ones of 20 are random.
	manyEnded = 100
	// minBad is the minimum number of late and failed requests that begin a limit, and
	// minBadLimited the one that decreases it.
	minBad        = 5
	minBadLimited = 2
	// overloadBad is the share of late and failed requests that begins a limit if
	// more requests arrive than were answered in time before. Disturbances stay
	// below it, since a search may miss some shards.
	overloadBad = 0.3
	// arrivalExcess is the factor by which arrivals exceed what was answered in time
	// before. Random variation of normal load stays below it most of the time. Slow
	// shards let some searches fail, whose repeats by callers are no excess.
	arrivalExcess = 1.1
	// degradedBad is the share of late and failed requests that begins a limit
	// although no more requests arrive than before, if it lasts for degradedTime. The
	// capacity has then become smaller. A cold start or a lost zone lasts less long.
	degradedBad  = 0.5
	degradedTime = 2 * clock.Second
	// sustainedFactor is the factor of what was answered in time before that a limit
	// begins with. Normal load is lower than the capacity, and a low first limit
	// refuses requests that could be served.
	sustainedFactor = 1.15
	// workShare is the share of the targets' work that a limit begins with. Hedges
	// and retries are part of the work.
	workShare = 0.85
	// decreaseBad and increaseBad are the shares of late and failed requests above
	// which a limit is decreased, and below which it may be increased.
	decreaseBad = 0.06
	increaseBad = 0.03
	// minDecrease and maxDecrease bound the factor of a decrease towards the measured
	// goodput. It does not go below the share of good requests either, since few
	// requests are bad when the limit is a little too high.
	minDecrease = 0.9
	maxDecrease = 0.6
	// increaseStep is the increase at one tick, as a share of the limit after the
	// latest decrease: 8 % a second, which fills the targets' queues slowly enough to
	// be noticed before they shed. Near the ceiling, the limit that was too high, only
	// a part of it is taken, so that fewer admitted requests fail.
	increaseStep = 0.02
	nearCeiling  = 0.92
	ceilingStep  = 0.4
	// ceilingTicks is the number of increases near the ceiling, 3 s, after which there
	// is no ceiling any more, since the targets have probably become faster. freeStep
	// is the increase at one tick, as a share of the limit, without a ceiling.
	ceilingTicks = 12
	freeStep     = 0.04
	// maxUnused is the factor by which a limit may exceed what is admitted and still be
	// increased. A limit that is not used tells nothing about the targets.
	maxUnused = 1.25
	// settleTime is the time after a decrease until the results of what was admitted
	// before have been reported: an answer to a report, a search and a report.
	settleTime = 750 * clock.Millisecond
	// firstSettleTime is the same for the first limit, when requests that were admitted
	// before still wait in the targets' queues.
	firstSettleTime = clock.Second
	// minLimit lets some requests pass, whose results show when the overload ends.
	minLimit Rate = 1
	// endedTicks is the number of ticks without a refusal after which a limit ends.
	endedTicks = 4
	// noReliefShare is the share of the first limit at which a limit ends if it has
	// not made the share of bad requests lower: the load is then not the cause.
	noReliefShare = 0.2
	// noReliefPause is the time after which a limit may begin again.
	noReliefPause = 10 * clock.Second
	// sustainedHalfLife is the time in which the memory of what was answered in time
	// before is halved. It is longer than the time between bursts.
	sustainedHalfLife = 60 * clock.Second
	// materialChange is the factor of a change of the limit that is reported.
	materialChange = 1.25
)

// Change tells what has happened to a limit.
type Change string

// Changes of a limit.
const (
	Began    Change = "began"
	Changed  Change = "changed"
	Ended    Change = "ended"
	NoRelief Change = "noRelief" // it ended because it did not help
)

// Event is a change of a limit with its inputs.
type Event struct {
	Change    Change
	Limit     Rate    // after the change; 0 for none
	Before    Rate    // at the event before; 0 for none
	Arrived   Rate    // requests that arrive
	Admitted  Rate    // requests that were admitted
	InTime    Rate    // requests that were answered in time
	Work      Rate    // what the targets have answered
	Sustained Rate    // what was answered in time before
	Bad       float64 // share of late and failed requests
}

// limiter computes the limit of a group.
type limiter struct {
	notify func(Event)
	window window // of the ticks, under a limit since the latest settle time

	limit       Rate       // 0 for none
	step        Rate       // increase at one tick below the ceiling
	first       Rate       // limit at its beginning
	firstBad    float64    // share of bad requests when the limit began
	ceiling     Rate       // limit at the latest decrease; 0 before the first one
	settled     clock.Time // when the results of the latest decrease are known
	risen       int        // increases near the ceiling since the latest decrease
	calm        int        // ticks without a refusal in a row
	sustained   Rate       // what was answered in time before; 0 when not known
	degraded    clock.Time // since when the share of bad requests is at least degradedBad; 0 when it is not
	pausedUntil clock.Time // no limit begins before
	notified    Rate       // limit at the latest event
}

// add adjusts the limit to the latest tick.
func (l *limiter) add(t tick, now clock.Time) {
	l.window.push(t)
	seen, many := l.window.evidence(enoughEnded), l.window.evidence(manyEnded)
	l.noteSustained()
	l.noteDegraded(seen, now)
	if l.limit == 0 {
		if l.overloaded(seen, now) {
			l.begin(seen, now)
		}
		return
	}
	l.noteCalm()
	switch {
	case now.Before(l.settled):
		l.window = l.window[len(l.window)-1:]
	case seen.bad() >= overloadBad && seen.late+seen.failed >= minBadLimited:
		l.decrease(seen, now)
	case many.bad() > decreaseBad && many.late+many.failed >= minBadLimited:
		l.decrease(many, now)
	case l.calm >= endedTicks:
		l.end(Ended, seen)
	case many.bad() < increaseBad && l.calm == 0 && l.limit < maxUnused*seen.rate(seen.admitted):
		l.increase()
	}
	if l.limit > 0 && (l.limit > materialChange*l.notified || l.limit < l.notified/materialChange) {
		l.report(Changed, seen)
	}
}

// noteSustained notes what is answered in time.
func (l *limiter) noteSustained() {
	latest := l.window[len(l.window)-1]
	l.sustained *= Rate(math.Exp2(-float64(latest.length) / float64(sustainedHalfLife)))
	if second := l.window.last(4); len(l.window) >= 4 && second.bad() < increaseBad {
		l.sustained = max(l.sustained, second.rate(second.inTime))
	}
}

// noteCalm counts the ticks in which all requests were admitted.
func (l *limiter) noteCalm() {
	latest := l.window[len(l.window)-1]
	if latest.arrived > latest.admitted {
		l.calm = 0
		return
	}
	l.calm++
}

// noteDegraded notes since when most requests are late or fail.
func (l *limiter) noteDegraded(seen tick, now clock.Time) {
	switch {
	case seen.bad() < degradedBad || seen.late+seen.failed < minBad:
		l.degraded = 0
	case l.degraded == 0:
		l.degraded = now
	}
}

// overloaded reports whether the targets get more requests than they can answer in time.
func (l *limiter) overloaded(seen tick, now clock.Time) bool {
	if now.Before(l.pausedUntil) || seen.late+seen.failed < minBad || seen.bad() < overloadBad {
		return false
	}
	if l.degraded != 0 && now.Sub(l.degraded) >= degradedTime {
		return true
	}
	latest := l.window.last(2)
	arrived := latest.arrived
	if seen.bad() < degradedBad {
		arrived -= latest.failed // callers may have repeated them at once
	}
	return l.sustained > 0 && latest.rate(arrived) > arrivalExcess*l.sustained
}

// begin sets the first limit: what was answered in time before, or what the targets
// answer now if that is more.
func (l *limiter) begin(seen tick, now clock.Time) {
	l.set(min(max(sustainedFactor*l.sustained, workShare*seen.rate(seen.work)), seen.rate(seen.admitted)), now)
	l.settled = now.Add(firstSettleTime)
	l.first, l.firstBad, l.calm, l.ceiling = l.limit, seen.bad(), 0, 0
	l.report(Began, seen)
}

// adopt continues with the limit of another limiter.
func (l *limiter) adopt(limit Rate, now clock.Time) {
	l.set(limit, now)
	l.first, l.firstBad, l.notified, l.calm = l.limit, 1, l.limit, 0
	l.sustained = max(l.sustained, limit)
}

// set sets the limit and waits for its results.
func (l *limiter) set(limit Rate, now clock.Time) {
	l.limit = max(limit, minLimit)
	l.step, l.risen = l.limit*increaseStep, 0
	l.settled = now.Add(settleTime)
}

// increase increases the limit by a step, which is smaller near the ceiling.
func (l *limiter) increase() {
	switch {
	case l.ceiling == 0:
		l.limit *= 1 + freeStep
	case l.limit < nearCeiling*l.ceiling:
		l.limit += l.step
	default:
		l.limit += l.step * ceilingStep
		if l.risen++; l.risen >= ceilingTicks {
			l.ceiling = 0
		}
	}
}

// decrease decreases the limit towards what is answered in time.
func (l *limiter) decrease(seen tick, now clock.Time) {
	if l.limit < noReliefShare*l.first && seen.bad() >= 0.8*l.firstBad {
		l.pausedUntil = now.Add(noReliefPause)
		l.end(NoRelief, seen)
		return
	}
	factor := seen.rate(max(seen.inTime, workShare*seen.work)) / l.limit
	l.ceiling = l.limit
	least := max(maxDecrease, Rate(1-seen.bad()))
	l.set(l.limit*min(max(factor, least), minDecrease), now)
}

// end ends the limit.
func (l *limiter) end(change Change, seen tick) {
	l.limit, l.calm, l.degraded = 0, 0, 0
	l.report(change, seen)
}

func (l *limiter) report(change Change, seen tick) {
	l.notify(Event{
		Change: change, Limit: l.limit, Before: l.notified, Arrived: seen.rate(seen.arrived), Admitted: seen.rate(seen.admitted),
		InTime: seen.rate(seen.inTime), Work: seen.rate(seen.work), Sustained: l.sustained, Bad: seen.bad(),
	})
	l.notified = l.limit
}

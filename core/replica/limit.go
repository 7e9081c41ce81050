package replica

import (
	"math"

	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
)

// Parameters of the division of a target's limit among the instances.
const (
	// limitShare is the share of a limit that all instances together use. The rest is
	// for instances whose lists of instances differ for a moment.
	limitShare = 0.9
	// minLimit is the lowest limit that is applied. A target that is never asked
	// can't tell that its limit has ended.
	minLimit RequestRate = 0.25
	// maxLimit is the highest limit that is applied. The times of the slots of a much
	// higher one can't be computed.
	maxLimit RequestRate = 1e6
	// slotLifetime is how long a slot may be used.
	slotLifetime = clock.Second
)

// RequestRate is a rate in requests per second.
type RequestRate float64

// LimitKind tells what an answer says about its target's limit.
type LimitKind string

// Kinds of statements about a limit.
const (
	// LimitUnknown: there is no complete answer of the target.
	LimitUnknown LimitKind = ""
	// LimitNone: the answer states no limit, so the target has none.
	LimitNone LimitKind = "unlimited"
	// LimitStated: the answer states a limit.
	LimitStated LimitKind = "limited"
	// LimitInvalid: the answer states a limit that can't be read. What was known
	// before stays in force.
	LimitInvalid LimitKind = "invalid"
)

// StatedLimit is what an answer says about the rate of requests that its target takes
// from all instances together.
type StatedLimit struct {
	Kind LimitKind
	Rate RequestRate // 0 unless Kind is LimitStated
}

// ObserveLimit notes what an answer of t to a request that was sent at sent says about
// the target's limit. It reports whether the kind differs from that of the latest
// answer that told.
func (s *Set) ObserveLimit(t *Target, stated StatedLimit, sent, now clock.Time) (changed bool) {
	switch {
	case stated.Kind == LimitUnknown:
		return false
	case stated.Kind == LimitNone && t.limitedAt != 0 && sent.Before(t.limitedAt):
		return false // the answer may be older than the one that stated the limit
	}
	changed = stated.Kind != t.limitKind && (stated.Kind != LimitNone || t.limitKind != LimitUnknown)
	t.limitKind = stated.Kind
	switch stated.Kind {
	case LimitStated:
		first := !t.limited
		t.limited, t.limitRate, t.limitedAt = true, stated.Rate, now
		if first {
			if s.slotPhase == 0 {
				s.slotPhase = 1 - s.random.Float64()
			}
			t.slots = newLimitSlots(s.slotInterval(t), s.slotPhase, now)
		}
	case LimitNone:
		t.limited = false
	case LimitUnknown, LimitInvalid:
	}
	return changed
}

// LimitedTargets returns the number of targets that state a limit.
func (s *Set) LimitedTargets() int {
	n := 0
	for _, t := range s.targets {
		if t.limited {
			n++
		}
	}
	return n
}

// slotInterval returns the time between two requests of this instance to the limited
// target t, in milliseconds.
func (s *Set) slotInterval(t *Target) float64 {
	rate := limitShare * float64(min(max(t.limitRate, minLimit), maxLimit)) * s.share(t.Service)
	return float64(clock.Second) / rate
}

// nextSlot returns when this instance may send to the limited target t.
func (s *Set) nextSlot(t *Target, now clock.Time) clock.Time {
	return clock.Time(math.Ceil(t.slots.next(s.slotInterval(t), now)))
}

// limitSlots divides an instance's share of a target's limit into slots at equal
// intervals, of one request each. A slot that is not used within slotLifetime is lost,
// so that many instances that were idle can't send to the target at the same time.
// Times are in milliseconds, with fractions.
type limitSlots struct {
	used     float64 // the latest slot that was used
	usedPrev float64 // the value of used before
}

// newLimitSlots returns the slots of an instance that learns of a limit. phase is the
// position of the instance's slots within the interval, 0 to 1. An instance has one
// phase for all targets, so that a search which needs several limited targets finds
// their slots at the same time.
func newLimitSlots(interval, phase float64, now clock.Time) limitSlots {
	return limitSlots{used: (math.Floor(float64(now)/interval-phase) + phase) * interval}
}

// next returns the time of the next slot that is not lost.
func (l *limitSlots) next(interval float64, now clock.Time) float64 {
	slot, oldest := l.used+interval, float64(now)-float64(slotLifetime)
	if slot < oldest {
		slot += math.Ceil((oldest-slot)/interval) * interval
	}
	return slot
}

// take uses the next slot.
func (l *limitSlots) take(interval float64, now clock.Time) {
	l.used, l.usedPrev = l.next(interval, now), l.used
}

// giveBack returns the slot that was used last.
func (l *limitSlots) giveBack() { l.used = l.usedPrev }

// share returns this instance's share of what targets of a service give to all
// instances together, 0 to 1. The instances share shards by the searches that they run,
// and other services equally.
func (s *Set) share(name routing.ServiceName) float64 {
	if s.searchShare > 0 && s.isShard(name) {
		return s.searchShare
	}
	return 1 / float64(s.instanceCount())
}

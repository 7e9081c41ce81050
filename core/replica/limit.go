package replica

import "knapweedstall/core/clock"

// RequestRate is a rate in requests per second.
type RequestRate float64

// LimitKind tells what an answer says about its target's limit.
type LimitKind string

// Kinds of statements about a limit.
const (
	// LimitUnknown: there is no complete answer of the target.
	LimitUnknown LimitKind = ""
	// Unlimited: the answer states no limit, so the target has none.
	Unlimited LimitKind = "unlimited"
	// Limited: the answer states a limit.
	Limited LimitKind = "limited"
	// LimitInvalid: the answer states a limit that can't be read. What was known
	// before stays in force.
	LimitInvalid LimitKind = "invalid"
)

// StatedLimit is what an answer says about the rate of requests that its target takes
// from all instances together.
type StatedLimit struct {
	Kind LimitKind
	Rate RequestRate // 0 unless Kind is Limited
}

// ObserveLimit notes what an answer of t to a request that was sent at sent says about
// the target's limit. It reports whether the kind differs from that of the latest
// answer that told.
func (s *Set) ObserveLimit(t *Target, stated StatedLimit, sent, now clock.Time) (changed bool) {
	switch {
	case stated.Kind == LimitUnknown:
		return false
	case stated.Kind == Unlimited && t.limitedAt != 0 && sent.Before(t.limitedAt):
		return false // the answer may be older than the one that stated the limit
	}
	changed = stated.Kind != t.limitKind && (stated.Kind != Unlimited || t.limitKind != LimitUnknown)
	t.limitKind = stated.Kind
	switch stated.Kind {
	case Limited:
		t.limited, t.limitRate, t.limitedAt = true, stated.Rate, now
	case Unlimited:
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

package replica

import (
	"maps"
	"math"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Parameters of what targets state in their answers.
const (
	// maxPause bounds the time for which a target may ask for no requests. A target
	// that needs longer is about to be replaced, and one that misstates it must come back.
	maxPause = 10 * clock.Minute
	// pauseSpread is the part of a pause by which it is prolonged at most, at random,
	// so that the requests of many instances don't return at the same moment.
	pauseSpread    = 0.25
	maxPauseSpread = 500 * clock.Millisecond
	// recoveryTime is the time after a pause in which an instance sends a target one
	// request at a time.
	recoveryTime = clock.Second
	// leavingMemory is how long it is remembered that a target was about to stop after
	// its entry has disappeared. A store that comes back after an outage may list it
	// again.
	leavingMemory = 10 * clock.Minute
)

// Statement is what a target's answer says about the target.
type Statement struct {
	Limit   StatedLimit
	Leaving bool // the target is about to stop
	Pause   StatedPause
}

// StatedPause is the time for which a target asks this instance for no requests.
type StatedPause struct {
	Stated  bool
	Invalid bool           // the stated time can't be read or is negative, and is ignored
	Length  clock.Duration // at most maxPause; 0 unless Stated and not Invalid
}

// NewStatedPause returns the pause of the number of seconds, if an answer has stated one.
func NewStatedPause(seconds float64, stated bool) StatedPause {
	switch {
	case !stated:
		return StatedPause{}
	case math.IsNaN(seconds) || seconds < 0:
		return StatedPause{Stated: true, Invalid: true}
	}
	ms := math.Ceil(seconds * float64(clock.Second))
	return StatedPause{Stated: true, Length: clock.Duration(min(ms, float64(maxPause)))}
}

// leavingMark notes that a process of a target was about to stop.
type leavingMark struct {
	startedUnixMS int64 // of the process
	since         clock.Time
	listedAt      clock.Time // when the target was last listed
}

// ObserveLeaving notes that an answer of t says that t is about to stop. It reports
// whether that is new. The entry of t in the store doesn't undo it, only a later process.
func (s *Set) ObserveLeaving(t *Target, now clock.Time) bool {
	if t.leavingStated {
		return false
	}
	t.leavingStated = true
	if t.drainingSince == 0 {
		t.drainingSince = now
	}
	s.leaving[t.ID] = leavingMark{t.StartedUnixMS, t.drainingSince, now}
	return true
}

// ObservePause notes that t has asked for no requests.
func (s *Set) ObservePause(t *Target, p StatedPause, now clock.Time) {
	if p.Length <= 0 {
		return
	}
	spread := min(clock.Duration(pauseSpread*float64(p.Length)), maxPauseSpread)
	t.pauseUntil = max(t.pauseUntil, now.Add(p.Length+clock.Duration(s.random.Int64N(int64(spread)+1))))
	s.paused[t.ID] = pauseMark{t.StartedUnixMS, t.pauseUntil}
}

// pauseMark notes until when a process of a target has asked for no requests. It outlasts
// the target's entry, which may be missing for some time after an outage of the store.
type pauseMark struct {
	startedUnixMS int64 // of the process
	until         clock.Time
}

// recovering reports whether a pause of t has ended so recently that t gets one request
// at a time.
func (t *Target) recovering(now clock.Time) bool {
	return t.pauseUntil != 0 && now.Before(t.pauseUntil.Add(recoveryTime))
}

// listed returns the Target of a newly listed process.
func (s *Set) listed(l Listing, now clock.Time) *Target {
	t := newTarget(l, now)
	mark, ok := s.leaving[l.ID]
	switch {
	case !ok:
	case l.StartedUnixMS > mark.startedUnixMS:
		delete(s.leaving, l.ID)
	default:
		t.leavingStated, t.drainingSince = true, mark.since
	}
	if pause, ok := s.paused[l.ID]; ok && pause.startedUnixMS == l.StartedUnixMS {
		t.pauseUntil = pause.until
	}
	return t
}

// forgetPauses removes the marks of pauses that have ended.
func (s *Set) forgetPauses(now clock.Time) {
	maps.DeleteFunc(s.paused, func(_ topology.TargetID, p pauseMark) bool { return !now.Before(p.until) })
}

// forgetLeaving removes the marks of targets that have not been listed for
// leavingMemory.
func (s *Set) forgetLeaving(listed map[topology.TargetID]bool, now clock.Time) {
	for id, mark := range s.leaving {
		switch {
		case listed[id]:
			mark.listedAt = now
			s.leaving[id] = mark
		case now.Sub(mark.listedAt) > leavingMemory:
			delete(s.leaving, id)
		}
	}
}

// Target returns the target with the id, or nil.
func (s *Set) Target(id topology.TargetID) *Target { return s.targets[id] }

package replica

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/reach"
	"knapweedstall/core/topology"
)

// Isolated reports whether this instance reaches no target.
func (s *Set) Isolated() bool { return s.reach.Isolated() }

// HeardSince reports whether a target has answered since a time.
func (s *Set) HeardSince(t clock.Time) bool { return s.reach.HeardSince(t) }

// TakeProbe reports whether a probe must be made, from the time at on, that shows
// whether this instance reaches targets. It reports each due probe once; the caller ends
// it with Probed.
func (s *Set) TakeProbe() (at clock.Time, due bool) {
	due = s.probeDue
	s.probeDue = false
	return s.reach.ProbeAt(), due
}

// ProbeTargets returns the targets of a probe: random ones that are not excluded, those
// whose latest connection failed only if there are too few others.
func (s *Set) ProbeTargets(excluded []topology.TargetID) []Listing {
	var all, failing []Listing
	for _, list := range s.services {
		for _, t := range list {
			switch {
			case t.leaving() || s.evacuated[t.Zone] || slices.Contains(excluded, t.ID):
			case t.failures > 0:
				failing = append(failing, t.Listing)
			default:
				all = append(all, t.Listing)
			}
		}
	}
	s.shuffle(all)
	s.shuffle(failing)
	all = append(all, failing...)
	return all[:min(reach.ProbeSize, len(all))]
}

func (s *Set) shuffle(list []Listing) {
	s.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Probed ends a probe that reached a number of targets. While it reaches none, the
// instance is isolated and the caller makes another probe. It reports whether the
// instance has become isolated or has ceased to be. Backoffs of targets that could not
// be reached during the isolation end with it.
func (s *Set) Probed(reached int, now clock.Time) (changed bool) {
	changed = s.reach.Probed(reached, now)
	if changed && !s.reach.Isolated() {
		for _, t := range s.targets {
			t.failures, t.downUntil = 0, 0
		}
	}
	return changed
}

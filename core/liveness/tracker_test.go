package liveness_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/liveness"
	"knapweedstall/core/topology"
)

// TestLost guards against an instance that counts as lost while its process restarts or
// after a single call that fails, and against one that is lost and counts as live.
func TestLost(t *testing.T) {
	type failure struct {
		At    clock.Time
		Heard bool // it is heard then instead
	}
	for name, c := range map[string]struct {
		calls []failure
		want  bool
	}{
		"never called":             {nil, false},
		"one call":                 {[]failure{{At: 1000}}, false},
		"two calls":                {[]failure{{At: 1000}, {At: 9000}}, false},
		"many calls at once":       {[]failure{{At: 1000}, {At: 1001}, {At: 1002}, {At: 1500}}, false},
		"for three seconds":        {[]failure{{At: 1000}, {At: 2000}, {At: 4000}}, true},
		"restarted meanwhile":      {[]failure{{At: 1000}, {At: 2000}, {At: 2500, Heard: true}, {At: 3000}, {At: 4000}}, false},
		"lost after it was heard":  {[]failure{{At: 1000, Heard: true}, {At: 2000}, {At: 3000}, {At: 5000}}, true},
		"returned after its loss":  {[]failure{{At: 1000}, {At: 2000}, {At: 4000}, {At: 9000, Heard: true}}, false},
		"lost again after its own": {[]failure{{At: 1000}, {At: 2000}, {At: 4000}, {At: 5000, Heard: true}, {At: 6000}, {At: 7000}, {At: 9000}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := liveness.New()
			for _, f := range c.calls {
				was := tracker.Lost("a")
				changed := false
				if f.Heard {
					changed = tracker.Heard("a")
				} else {
					changed = tracker.Failed("a", f.At)
				}
				if now := tracker.Lost("a"); changed != (was != now) {
					t.Errorf("at %v the change is reported as %v, lost before %v, now %v", f.At, changed, was, now)
				}
			}
			if got := tracker.Lost("a"); got != c.want {
				t.Errorf("lost %v, want %v", got, c.want)
			}
			if got := tracker.LostCount() == 1; got != c.want {
				t.Errorf("%d instances are lost", tracker.LostCount())
			}
		})
	}
}

// TestChecksAreBounded guards against checks whose number grows with that of the instances
// that were ever lost, and against a lost instance that is never checked again.
func TestChecksAreBounded(t *testing.T) {
	const lost, seconds = 100, 300
	tracker := liveness.New()
	for i := range lost {
		for _, at := range []clock.Time{1, 2000, 4000} {
			tracker.Failed(topology.InstanceID(fmt.Sprint("lost-", i)), at)
		}
	}
	checks := map[topology.InstanceID]int{}
	for now := clock.Time(5000); now < 5000+seconds*1000; now = now.Add(200) {
		for _, id := range tracker.Due(now) {
			checks[id]++
			tracker.Failed(id, now)
		}
	}
	total := 0
	for _, n := range checks {
		total += n
	}
	if diff := cmp.Diff(lost, len(checks)); diff != "" || total > seconds {
		t.Errorf("%d checks in %d s, of how many instances (-want +got):\n%s", total, seconds, diff)
	}
	tracker.Retain(func(topology.InstanceID) bool { return false })
	if due := tracker.Due(1 << 30); len(due) > 0 || tracker.LostCount() > 0 {
		t.Errorf("instances that are not registered are checked: %v", due)
	}
}

// TestCandidatesAmongMostlyLost guards against steps that find out too slowly that most of
// the registered instances are lost, and against calls of many when a few are.
func TestCandidatesAmongMostlyLost(t *testing.T) {
	for name, c := range map[string]struct{ live, silent, from, to int }{
		"all live":         {8, 0, 8, 8},
		"one of nine":      {8, 1, 9, 10},
		"a third":          {6, 3, 11, 13},
		"all of eight":     {0, 8, 100, 200},
		"all of a hundred": {0, 100, 1000, 3000},
		"most":             {5, 200, 290, 400},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := liveness.New()
			for i := range c.live {
				tracker.Heard(topology.InstanceID(fmt.Sprint("live-", i)))
			}
			for i := range c.silent {
				for _, at := range []clock.Time{1, 1000} {
					tracker.Failed(topology.InstanceID(fmt.Sprint("silent-", i)), at)
				}
			}
			if got := tracker.Candidates(8); got < c.from || got > c.to {
				t.Errorf("%d candidates, want %d to %d", got, c.from, c.to)
			}
		})
	}
}

// TestCandidatesBeyondLost guards against steps that don't grow because the instances that
// answer were heard before the others were lost.
func TestCandidatesBeyondLost(t *testing.T) {
	tracker := liveness.New()
	for i := range 9 {
		tracker.Heard(topology.InstanceID(fmt.Sprint("live-", i)))
	}
	for i := range 64 {
		for _, at := range []clock.Time{1, 1000, 4000} {
			tracker.Failed(topology.InstanceID(fmt.Sprint("lost-", i)), at)
		}
	}
	if got := tracker.Candidates(8); got < 8+64 {
		t.Errorf("%d candidates after 64 losses, want 72 or more", got)
	}
}

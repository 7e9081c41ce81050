package replica_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/topology"
)

// TestLeavingTarget guards against requests to a target that has stated that it is
// leaving, after an entry of the store that says otherwise, or after its entry has
// disappeared and come back. A later process with the same id gets requests.
func TestLeavingTarget(t *testing.T) {
	a, b, moved, later := listing("a", "z1"), listing("b", "z1"), listing("a", "z2"), listing("a", "z1")
	later.StartedUnixMS++
	for name, c := range map[string]struct {
		first   []replica.Listing
		updates [][]replica.Listing
		after   clock.Duration
		want    map[topology.TargetID]int
	}{
		"another target is ready":     {[]replica.Listing{a, b}, nil, 0, map[topology.TargetID]int{"b": 50}},
		"the entry says ready":        {[]replica.Listing{a, b}, [][]replica.Listing{{moved, b}}, 0, map[topology.TargetID]int{"b": 50}},
		"it is the only one":          {[]replica.Listing{a}, [][]replica.Listing{{moved}}, 1000, map[topology.TargetID]int{"a": 50}},
		"the only one, for too long":  {[]replica.Listing{a}, [][]replica.Listing{{moved}}, 4000, map[topology.TargetID]int{}},
		"it is listed again":          {[]replica.Listing{a}, [][]replica.Listing{{}, {a}}, 4000, map[topology.TargetID]int{}},
		"a later process is the only": {[]replica.Listing{a}, [][]replica.Listing{{}, {later}}, 4000, map[topology.TargetID]int{"a": 50}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSet(1000, c.first...)
			if !s.ObserveLeaving(s.Target("a"), 1000) || s.ObserveLeaving(s.Target("a"), 1000) {
				t.Error("only the first statement is new")
			}
			now := clock.Time(1000)
			for _, listings := range c.updates {
				now = now.Add(max(c.after, 1))
				s.Update(listings, now)
			}
			if diff := cmp.Diff(c.want, countPicks(s, 50, now)); diff != "" {
				t.Errorf("requests by target (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStatedPause guards against a stated time that is invalid or so long that it takes
// the target out of use.
func TestStatedPause(t *testing.T) {
	for seconds, want := range map[float64]replica.StatedPause{
		0.25:        {Stated: true, Length: 250},
		0:           {Stated: true},
		-1:          {Stated: true, Invalid: true},
		100:         {Stated: true, Length: 100 * clock.Second},
		1e300:       {Stated: true, Length: 10 * clock.Minute},
		math.Inf(1): {Stated: true, Length: 10 * clock.Minute},
	} {
		if diff := cmp.Diff(want, replica.NewStatedPause(seconds, true)); diff != "" {
			t.Errorf("pause of %v s (-want +got):\n%s", seconds, diff)
		}
	}
	if got := replica.NewStatedPause(math.NaN(), true); !got.Invalid {
		t.Errorf("pause %+v of a value that is no number, want an invalid one", got)
	}
}

// TestPausingTargetGetsNoRequests guards against requests, needed ones too, to a target
// that has asked for none.
func TestPausingTargetGetsNoRequests(t *testing.T) {
	s := newSet(1000, listing("a", "z1"))
	s.ObservePause(s.Target("a"), replica.NewStatedPause(2, true), 1000)
	for _, purpose := range []replica.Purpose{replica.First, replica.Hedge, replica.Needed} {
		c := s.Pick("s", defaultService, nil, purpose, 2999)
		if c.Target != nil || c.Reason != replica.Pausing || c.RetryAt.Before(3000) {
			t.Errorf("choice %+v, want none until 3000", c)
		}
	}
	if c := s.Pick("s", defaultService, nil, replica.First, 3500); c.Target == nil {
		t.Errorf("no target after the pause: %s", c.Reason)
	}
}

// TestPauseOutlastsEntry guards against requests to a target that has asked for none,
// because its entry was missing for some time after an outage of the store.
func TestPauseOutlastsEntry(t *testing.T) {
	const asked, missing, back = 1000, 2000, 8000
	for name, c := range map[string]struct {
		restarted bool
		at        clock.Time
		picked    bool
	}{
		"within the pause":         {false, back + 1, false},
		"after the pause":          {false, 32_000, true},
		"restarted with its entry": {true, back + 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := replica.NewSet("z1", rand.New(rand.NewPCG(1, 2)))
			l := listing("a", "z1")
			s.Update([]replica.Listing{l}, asked)
			s.ObservePause(s.Target("a"), replica.NewStatedPause(30, true), asked)
			s.Update(nil, missing)
			s.Expire(missing + 5000)
			if c.restarted {
				l.StartedUnixMS++
			}
			s.Update([]replica.Listing{l}, back)
			if got := s.Pick("s", defaultService, nil, replica.First, c.at).Target != nil; got != c.picked {
				t.Errorf("the target gets a request: %v, want %v", got, c.picked)
			}
		})
	}
}

// TestReturnAfterPause plays a target that asks all instances for a pause at the same
// moment, under a load that each instance offers without end. It guards against a burst
// when the pause ends: within the first 100 ms after it, a target gets no more than one
// request of each second instance, and an instance has one in progress.
func TestReturnAfterPause(t *testing.T) {
	const pause = 2 * clock.Second
	for _, instances := range []int{15, 300, 685} {
		var sets []*replica.Set
		for i := range instances {
			s := replica.NewSet("z1", rand.New(rand.NewPCG(uint64(i), 2)))
			s.Update([]replica.Listing{listing("a", "z1")}, 1000)
			s.ObservePause(s.Target("a"), replica.NewStatedPause(pause.Std().Seconds(), true), 1000)
			sets = append(sets, s)
		}
		first := 0
		for now := clock.Time(1000).Add(pause); now.Before(clock.Time(1000).Add(pause + 100)); now++ {
			for _, s := range sets {
				if c := s.Pick("s", defaultService, nil, replica.Needed, now); c.Target != nil {
					first++
				}
			}
		}
		if first > instances/2 {
			t.Errorf("%d requests of %d instances within 100 ms after the pause, want at most half as many", first, instances)
		}
	}
}

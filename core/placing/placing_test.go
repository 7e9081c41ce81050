package placing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/placing"
	"knapweedstall/core/topology"
)

// everywhere is the coverage of shards with targets in each zone.
func everywhere(topology.ZoneID) float64 { return 1 }

// onlyIn returns the coverage of shards with targets in one zone only.
func onlyIn(zone topology.ZoneID) placing.ZoneCoverage {
	return func(z topology.ZoneID) float64 {
		if z == zone {
			return 1
		}
		return 0
	}
}

func instance(id topology.InstanceID, zone topology.ZoneID, capacity float64) placing.Instance {
	return placing.Instance{ID: id, Zone: zone, Address: "10.0.0.1:" + string(id), Capacity: capacity}
}

func newSet(self placing.Instance, others ...placing.Instance) *placing.Set {
	s := placing.NewSet(self, rand.New(rand.NewPCG(1, 2)))
	s.Update(append(others, self))
	return s
}

// placeSearch returns the id of the instance that runs the search.
func placeSearch(s *placing.Set, shards int, coverage placing.ZoneCoverage, now clock.Time) topology.InstanceID {
	if r := s.Place(shards, coverage, now); r != nil {
		return r.ID
	}
	return "self"
}

// TestPlace checks that a small instance delegates large searches, and that it does
// not delegate when that costs more than it saves.
func TestPlace(t *testing.T) {
	small, large := instance("self", "z1", 0.134), instance("large", "z1", 0.8)
	for name, c := range map[string]struct {
		self     placing.Instance
		others   []placing.Instance
		shards   int
		coverage placing.ZoneCoverage
		want     topology.InstanceID
	}{
		"no others":                        {small, nil, 90, everywhere, "self"},
		"larger one in the zone":           {small, []placing.Instance{large}, 90, everywhere, "large"},
		"few shards":                       {small, []placing.Instance{large}, 3, everywhere, "self"},
		"self is larger":                   {instance("self", "z1", 0.8), []placing.Instance{instance("small", "z1", 0.134)}, 90, everywhere, "self"},
		"equal ones":                       {instance("self", "z1", 0.272), []placing.Instance{instance("other", "z1", 0.272)}, 20, everywhere, "self"},
		"larger ones in two zones":         {small, []placing.Instance{instance("far", "z2", 0.8), large}, 90, everywhere, "large"},
		"equal one, targets in its zone":   {instance("self", "z1", 0.8), []placing.Instance{instance("far", "z2", 0.8)}, 90, onlyIn("z2"), "self"},
		"larger ones, targets in one zone": {small, []placing.Instance{large, instance("far", "z2", 0.8)}, 90, onlyIn("z2"), "far"},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, placeSearch(newSet(c.self, c.others...), c.shards, c.coverage, 10)); diff != "" {
				t.Errorf("runner (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPlaceElsewhere guards against a request that stays at an instance which can't run
// it, and against one that goes to an instance which has just declined it.
func TestPlaceElsewhere(t *testing.T) {
	s := newSet(instance("self", "z1", 0.8), instance("near", "z1", 0.1), instance("far", "z2", 0.1))
	var got []topology.InstanceID
	for range 3 {
		r := s.PlaceElsewhere(1, everywhere, nil, 10)
		if r == nil {
			got = append(got, "none")
			continue
		}
		got = append(got, r.ID)
		s.Done(r, placing.Failed, 10)
	}
	if diff := cmp.Diff([]topology.InstanceID{"near", "far", "none"}, got); diff != "" {
		t.Errorf("runners (-want +got):\n%s", diff)
	}
}

// TestIsolatedInstancesAreSkipped guards against an isolated instance that asks only
// instances which are isolated too, such as all those of its zone, and against asking
// one instance twice.
func TestIsolatedInstancesAreSkipped(t *testing.T) {
	const perZone, requests, maxTries = 100, 500, 8
	for name, c := range map[string]struct {
		isolated  func(in placing.Instance, random *rand.Rand) bool
		maxFailed int
	}{
		"the own zone":           {func(in placing.Instance, _ *rand.Rand) bool { return in.Zone == "z1" }, 0},
		"two of three zones":     {func(in placing.Instance, _ *rand.Rand) bool { return in.Zone != "z3" }, 0},
		"most of each zone":      {func(_ placing.Instance, random *rand.Rand) bool { return random.IntN(10) < 7 }, requests / 50},
		"all with much capacity": {func(in placing.Instance, _ *rand.Rand) bool { return in.Capacity > 0.5 }, requests / 50},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			isolated := map[topology.InstanceID]bool{}
			var others []placing.Instance
			for i := range 3 * perZone {
				zone := topology.ZoneID(fmt.Sprintf("z%d", i%3+1))
				in := instance(topology.InstanceID(fmt.Sprint(i)), zone, []float64{0.134, 0.272, 0.8}[i/3%3])
				isolated[in.ID] = c.isolated(in, random)
				others = append(others, in)
			}
			s := newSet(instance("self", "z1", 0.272), others...)
			failed := 0
			for i := range requests {
				now := clock.Time(10 + 20*i)
				if _, served := serveElsewhere(s, isolated, maxTries, now); !served {
					failed++
				}
			}
			if failed > c.maxFailed {
				t.Errorf("%d of %d requests found no instance within %d tries, want at most %d", failed, requests, maxTries, c.maxFailed)
			}
		})
	}
}

// TestAcceptingInstanceIsAskedAgain guards against an isolated instance with few requests
// that asks isolated instances again before each of them, which makes its answers late.
func TestAcceptingInstanceIsAskedAgain(t *testing.T) {
	const perZone, requests, maxTries = 36, 20, 8
	random := rand.New(rand.NewPCG(5, 6))
	isolated := map[topology.InstanceID]bool{}
	var others []placing.Instance
	for i := range 3 * perZone {
		in := instance(topology.InstanceID(fmt.Sprint(i)), topology.ZoneID(fmt.Sprintf("z%d", i%3+1)), []float64{0.134, 0.8}[i/3%2])
		isolated[in.ID] = random.IntN(10) < 6
		others = append(others, in)
	}
	s := newSet(instance("self", "z1", 0.134), others...)
	tries := 0
	for i := range requests {
		n, served := serveElsewhere(s, isolated, maxTries, clock.Time(10+2000*i))
		if !served {
			t.Errorf("request %d was not served", i)
		}
		if i > 0 {
			tries += n
		}
	}
	if tries > 3*requests/2 {
		t.Errorf("%d instances were asked for %d requests, want at most half more", tries, requests-1)
	}
}

// serveElsewhere asks instances to run a request until one that is not isolated is found.
// It returns how many were asked.
func serveElsewhere(s *placing.Set, isolated map[topology.InstanceID]bool, maxTries int, now clock.Time) (tries int, served bool) {
	var asked []topology.InstanceID
	for range maxTries {
		r := s.PlaceElsewhere(20, everywhere, asked, now)
		switch {
		case r == nil:
			return len(asked), false
		case !isolated[r.ID]:
			s.Done(r, placing.Ran, now)
			return len(asked) + 1, true
		}
		asked = append(asked, r.ID)
		s.Done(r, placing.Isolated, now)
	}
	return maxTries, false
}

// TestFailedRunner checks that an instance that has just failed gets no searches,
// and that it gets them again after the backoff.
func TestFailedRunner(t *testing.T) {
	s := newSet(instance("self", "z1", 0.134), instance("a", "z1", 0.8))
	r := s.Place(90, everywhere, 10)
	s.Done(r, placing.Failed, 20)
	got := []topology.InstanceID{placeSearch(s, 90, everywhere, 21), placeSearch(s, 90, everywhere, 1000)}
	if diff := cmp.Diff([]topology.InstanceID{"self", "a"}, got); diff != "" {
		t.Errorf("runners (-want +got):\n%s", diff)
	}
}

// TestBurstIsSpread starts 40 searches at the same time: they must be spread over
// the large instances, and a few remain at the small one.
func TestBurstIsSpread(t *testing.T) {
	s := newSet(instance("self", "z1", 0.134), instance("a", "z1", 0.8), instance("b", "z1", 0.8))
	got := map[topology.InstanceID]int{}
	for range 40 {
		id := placeSearch(s, 90, everywhere, 10)
		got[id]++
		if id == "self" {
			s.AddLocal()
		}
	}
	if got["a"] < 14 || got["b"] < 14 || got["self"] < 1 || got["self"] > 10 {
		t.Errorf("searches by instance: %v, want about the same at a and b, and a few at self", got)
	}
}

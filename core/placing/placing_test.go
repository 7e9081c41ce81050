package placing_test

import (
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
		r := s.PlaceElsewhere(1, everywhere, 10)
		if r == nil {
			got = append(got, "none")
			continue
		}
		got = append(got, r.ID)
		s.Done(r, true, 10)
	}
	if diff := cmp.Diff([]topology.InstanceID{"near", "far", "none"}, got); diff != "" {
		t.Errorf("runners (-want +got):\n%s", diff)
	}
}

// TestFailedRunner checks that an instance that has just failed gets no searches,
// and that it gets them again after the backoff.
func TestFailedRunner(t *testing.T) {
	s := newSet(instance("self", "z1", 0.134), instance("a", "z1", 0.8))
	r := s.Place(90, everywhere, 10)
	s.Done(r, true, 20)
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

package placing_test

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/placing"
	"knapweedstall/core/topology"
)

func everywhere(topology.ZoneID) float64 { return 1 }

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

// place returns the id of the instance that runs the search.
func place(s *placing.Set, shards int, near placing.ZoneCoverage, now clock.Time) topology.InstanceID {
	if r := s.Place(shards, near, now); r != nil {
		return r.ID
	}
	return "self"
}

// TestPlace guards against a large search on a small instance, and against a
// hand-over that costs more than it saves.
func TestPlace(t *testing.T) {
	small, large := instance("self", "z1", 0.134), instance("large", "z1", 0.8)
	for name, c := range map[string]struct {
		self   placing.Instance
		others []placing.Instance
		shards int
		near   placing.ZoneCoverage
		want   topology.InstanceID
	}{
		"alone":                          {small, nil, 90, everywhere, "self"},
		"a larger one near":              {small, []placing.Instance{large}, 90, everywhere, "large"},
		"few shards":                     {small, []placing.Instance{large}, 3, everywhere, "self"},
		"self is the larger one":         {instance("self", "z1", 0.8), []placing.Instance{instance("small", "z1", 0.134)}, 90, everywhere, "self"},
		"equal ones":                     {instance("self", "z1", 0.272), []placing.Instance{instance("other", "z1", 0.272)}, 20, everywhere, "self"},
		"a larger one in another zone":   {small, []placing.Instance{instance("far", "z2", 0.8), large}, 90, everywhere, "large"},
		"equal one near the replicas":    {instance("self", "z1", 0.8), []placing.Instance{instance("far", "z2", 0.8)}, 90, onlyIn("z2"), "self"},
		"larger ones, replicas near one": {small, []placing.Instance{large, instance("far", "z2", 0.8)}, 90, onlyIn("z2"), "far"},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, place(newSet(c.self, c.others...), c.shards, c.near, 10)); diff != "" {
				t.Errorf("runner (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLostRunner guards against searches handed to an instance that has just
// failed, and against one that is back never getting any.
func TestLostRunner(t *testing.T) {
	s := newSet(instance("self", "z1", 0.134), instance("a", "z1", 0.8))
	r := s.Place(90, everywhere, 10)
	s.Done(r, true, 20)
	got := []topology.InstanceID{place(s, 90, everywhere, 21), place(s, 90, everywhere, 1000)}
	if diff := cmp.Diff([]topology.InstanceID{"self", "a"}, got); diff != "" {
		t.Errorf("runners (-want +got):\n%s", diff)
	}
}

// TestBurstIsSpread plays 40 searches at the same moment: they must be spread
// over the large instances, and what these can't take stays at the small one.
func TestBurstIsSpread(t *testing.T) {
	s := newSet(instance("self", "z1", 0.134), instance("a", "z1", 0.8), instance("b", "z1", 0.8))
	got := map[topology.InstanceID]int{}
	for range 40 {
		id := place(s, 90, everywhere, 10)
		got[id]++
		if id == "self" {
			s.AddLocal()
		}
	}
	if got["a"] < 14 || got["b"] < 14 || got["self"] < 1 || got["self"] > 10 {
		t.Errorf("searches by instance: %v, want a and b alike and a few at the small one", got)
	}
}

package placing_test

import (
	"testing"

	"knapweedstall/core/placing"
	"knapweedstall/core/topology"
)

// TestSearchShare checks that instances that run almost no searches get only a
// small share.
func TestSearchShare(t *testing.T) {
	mixed := []placing.Instance{instance("large1", "z1", 0.8), instance("large2", "z2", 0.8)}
	for range 40 {
		mixed = append(mixed, instance("small", "z1", 0.1))
	}
	equal := []placing.Instance{instance("a", "z1", 0.2), instance("b", "z1", 0.2)}
	for name, c := range map[string]struct {
		id        topology.InstanceID
		instances []placing.Instance
		least     float64
		most      float64
	}{
		"equal":   {"a", equal, 0.5, 0.5},
		"large":   {"large1", mixed, 0.35, 0.5},
		"small":   {"small", mixed[:3], 0.001, 0.02},
		"unknown": {"c", equal, 0, 0},
		"none":    {"a", nil, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := placing.SearchShare(c.id, c.instances); got < c.least || got > c.most {
				t.Errorf("share is %.3f, want %.3f to %.3f", got, c.least, c.most)
			}
		})
	}
}

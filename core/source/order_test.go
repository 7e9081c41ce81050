package source_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/placing"
	"knapweedstall/core/source"
	"knapweedstall/core/topology"
)

// TestNeighbour guards against an instance that takes news from no other zone because the
// first instance there is gone: each attempt names another instance of the zone.
func TestNeighbour(t *testing.T) {
	instances := []placing.Instance{
		{ID: "a1", Zone: "a", Address: "a1"}, {ID: "b1", Zone: "b", Address: "b1"}, {ID: "c1", Zone: "c", Address: "c1"},
		{ID: "b2", Zone: "b", Address: "b2"},
	}
	type call struct {
		Zone       topology.ZoneID
		I, Attempt int
	}
	want := map[call]string{
		{"a", 0, 0}: "b1", {"a", 0, 1}: "b2", {"a", 0, 2}: "b1", {"a", 1, 0}: "c1", {"a", 1, 5}: "c1", {"a", 2, 0}: "",
		{"c", 0, 0}: "a1", {"c", 1, 1}: "b2", {"d", 0, 0}: "",
	}
	got := map[call]string{}
	for c := range want {
		got[c] = source.Neighbour(instances, c.Zone, c.I, c.Attempt)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("neighbours (-want +got):\n%s", diff)
	}
}

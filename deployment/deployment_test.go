package deployment

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/topology"
)

var update = flag.Bool("update", false, "rewrite the sample tickets")

// Guards against sizes that differ from those in docs/design.md, section 1.4.
func TestSizes(t *testing.T) {
	for _, tc := range []struct {
		d        Deployment
		targets  int
		services []int
	}{
		{Peachline(), 20*2 + 30*2 + 15 + 7, []int{20, 30, 1, 1}},
		{Berceuse(), 20*2 + 30*2 + 7 + 4, []int{20, 30, 1, 1}},
	} {
		var services []int
		for _, c := range tc.d.Collections {
			services = append(services, len(c.Services))
		}
		if diff := cmp.Diff(tc.services, services); diff != "" || tc.d.TargetCount() != tc.targets {
			t.Errorf("%s: %d targets, services (-want +got):\n%s", tc.d.Name, tc.d.TargetCount(), diff)
		}
	}
}

// Guards against targets with the same id or address, and against the first two
// replicas of a service being in one zone.
func TestTargetsAreDistinct(t *testing.T) {
	seen := map[string]bool{}
	for _, d := range []Deployment{Peachline(), Berceuse()} {
		for _, c := range d.Collections {
			for _, s := range c.Services {
				if s.Targets[0].Zone == s.Targets[1].Zone {
					t.Errorf("%s: the first two replicas are both in zone %s", s.ID, s.Targets[0].Zone)
				}
				for _, target := range s.Targets {
					if seen[target.Address] || seen[string(target.ID)] {
						t.Errorf("%s %s appears twice", target.ID, target.Address)
					}
					seen[target.Address], seen[string(target.ID)] = true, true
				}
			}
		}
	}
}

// Guards against a partition map that omits or repeats a shard, and against versions
// between which a shard stays on its service.
func TestPartitionMovesEveryShardOnce(t *testing.T) {
	c := Peachline(WithMaxServices(5)).Collections[0]
	owners := func(s topology.Snapshot) map[topology.ShardID]topology.ServiceID {
		out := map[topology.ShardID]topology.ServiceID{}
		for service, shards := range s.Shards {
			for _, shard := range shards {
				out[shard] = service
			}
		}
		return out
	}
	s1, s2 := Partition(c, 1, 3), Partition(c, 2, 3)
	first, second := owners(s1), owners(s2)
	if len(first) != 15 || s1.ShardCount() != 15 || len(second) != 15 || s2.ShardCount() != 15 {
		t.Fatalf("got %d and %d shards, want 15", len(first), len(second))
	}
	for shard, service := range first {
		if second[shard] == service || second[shard] == "" {
			t.Errorf("%s is on %q in both versions or missing in the second", shard, second[shard])
		}
	}
}

// Guards against sample tickets that differ from the deployments.
func TestSampleTickets(t *testing.T) {
	for _, d := range []Deployment{Peachline(), Berceuse()} {
		want, err := d.FirstTicket().Encode()
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join("..", "settings", "samples", d.Name+"-ticket-1.json")
		if *update {
			if err := os.WriteFile(path, want, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		got, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(want), string(got)); diff != "" {
			t.Errorf("%s (run the test with -update): %s", path, diff)
		}
	}
}

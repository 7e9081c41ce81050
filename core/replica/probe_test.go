package replica_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/topology"
)

// TestProbeByOutcome guards against an instance that does not notice that none of its
// sends is answered, and against probes while targets answer.
func TestProbeByOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		outcome replica.Outcome
		want    bool
	}{
		"connections are refused": {replica.Unsent, true},
		"connections are reset":   {replica.Lost, true},
		"targets fail":            {replica.Failed, false},
		"targets shed":            {replica.Shed, false},
		"sends are canceled":      {replica.Canceled, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSet(1, listing("a", "z1"), listing("b", "z1"), listing("c", "z1"))
			for i, id := range []topology.TargetID{"a", "b", "c"} {
				now := clock.Time(10 + i)
				report(t, s, id, replica.Result{Outcome: c.outcome, Sent: now}, now)
			}
			_, due := s.TakeProbe()
			if diff := cmp.Diff(c.want, due); diff != "" {
				t.Errorf("probe due (-want +got):\n%s", diff)
			}
		})
	}
}

package quota_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/quota"
	"knapweedstall/core/view"
)

// TestNoTakeoverAfterRestore guards against a second holder: in a store that was restored to
// an older state, a lease that another instance has may be missing, released, or that of
// this instance.
func TestNoTakeoverAfterRestore(t *testing.T) {
	const soon, late = clock.Second, quota.LeaseLifetime + 2*clock.Second
	first := func(quota.Group) int { return 0 }
	for name, c := range map[string]struct {
		era    view.Era // in which the store is read now
		number int64    // of the object's revision; 0 for no object
		shown  quota.Lease
		known  bool // it was read in era 0 before, held by another instance
		atOnce bool // the lease may be taken at once
	}{
		"missing, never restored":                {era: 0, atOnce: true},
		"missing after a restore":                {era: 1, known: true},
		"missing, first read after a restore":    {era: 1},
		"released, never restored":               {era: 0, number: 5, atOnce: true},
		"released after a restore":               {era: 1, number: 5, known: true},
		"own one, first read after a restore":    {era: 1, number: 5, shown: quota.Lease{Holder: "self", Run: 1}},
		"own one of before, never restored":      {era: 0, number: 5, shown: quota.Lease{Holder: "self", Run: 1}, atOnce: true},
		"another one's, first read, not renewed": {era: 1, number: 5, shown: quota.Lease{Holder: "other", Run: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			l, start := quota.NewLeases("self", 2), clock.Time(100_000)
			writes := func(at clock.Time) bool {
				for _, step := range l.Due(first, quota.Moment{Time: at, UnixMillis: int64(at)}) {
					if step.Group == 0 && step.Action == quota.Write {
						return true
					}
					l.Failed(step.Group, at)
				}
				return false
			}
			if c.known {
				l.Observed(0, quota.Lease{Holder: "other", Run: 1}, view.NewRevision(0, 9), start.Add(-soon))
			}
			observe := func(at clock.Time) { l.Observed(0, c.shown, view.NewRevision(c.era, c.number), at) }
			observe(start)
			if diff := cmp.Diff(c.atOnce, writes(start.Add(1))); diff != "" {
				t.Errorf("taken at once (-want +got):\n%s", diff)
			}
			if c.atOnce {
				return
			}
			observe(start.Add(soon))
			if writes(start.Add(soon)) {
				t.Errorf("taken after %v ms", int64(soon))
			}
			observe(start.Add(late))
			if !writes(start.Add(late)) {
				t.Errorf("not taken after %v ms", int64(late))
			}
		})
	}
}

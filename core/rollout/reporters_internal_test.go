package rollout

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// TestReportsAfterClockSetBack guards against an instance whose reports are left out of the
// sums for good, because its clock was set back before its process was started again, and
// against a late report of an earlier process that is counted.
func TestReportsAfterClockSetBack(t *testing.T) {
	const soon, late = reporterLifetime / 2, reporterLifetime + clock.Second
	for name, c := range map[string]struct {
		run   topology.Incarnation
		after clock.Duration
		want  int64 // sends in all
	}{
		"later run":                        {200, soon, 15},
		"earlier run, late report":         {50, soon, 10},
		"earlier run, the other is silent": {50, late, 15},
	} {
		t.Run(name, func(t *testing.T) {
			rs := newReporters()
			rs.receive("a", Report{Run: 100, Number: 1}, OrderReport{Epoch: 1, Sends: 10}, 1000)
			rs.receive("a", Report{Run: c.run, Number: 1}, OrderReport{Epoch: 1, Sends: 5}, clock.Time(1000).Add(c.after))
			if diff := cmp.Diff(c.want, rs.totals.sends); diff != "" {
				t.Errorf("sends (-want +got):\n%s", diff)
			}
		})
	}
}

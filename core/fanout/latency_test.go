package fanout_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
)

// TestHedgeDelay checks the bounds of the hedge delay. Hedges that are sent too
// soon only use up repeats, and hedges that are sent too late don't help.
func TestHedgeDelay(t *testing.T) {
	for name, c := range map[string]struct {
		objective clock.Duration
		median    clock.Duration // latency of most sends
		slow      clock.Duration // latency of one send in ten
		want      clock.Duration
	}{
		"no samples":                 {120, 0, 0, 30},
		"fast":                       {120, 6, 10, 30},
		"a tenth is slow":            {120, 20, 100, 40},
		"all take equally long":      {120, 40, 40, 40},
		"slower than the objective":  {120, 200, 200, 60},
		"a short objective":          {40, 3, 30, 10},
		"no objective":               {0, 20, 100, 40},
		"no objective and no delays": {0, 0, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			e := fanout.NewLatencyEstimate(c.objective)
			for i := range 160 {
				switch {
				case c.median == 0:
				case i%10 == 0:
					e.Observe(c.slow)
				default:
					e.Observe(c.median)
				}
			}
			if diff := cmp.Diff(c.want, e.HedgeDelay()); diff != "" {
				t.Errorf("delay (-want +got):\n%s", diff)
			}
		})
	}
}

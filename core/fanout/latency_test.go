package fanout_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
)

// TestHedgeDelay guards against hedges that are sent so soon that they only use
// up repeats, and so late that they don't help.
func TestHedgeDelay(t *testing.T) {
	for name, c := range map[string]struct {
		objective clock.Duration
		usual     clock.Duration // of most sends
		slow      clock.Duration // of one send in ten
		want      clock.Duration
	}{
		"no samples":                 {120, 0, 0, 30},
		"fast":                       {120, 6, 10, 30},
		"a tenth is slow":            {120, 20, 100, 40},
		"all take as long":           {120, 40, 40, 40},
		"slower than the objective":  {120, 200, 200, 60},
		"a short objective":          {40, 3, 30, 10},
		"no objective":               {0, 20, 100, 40},
		"no objective and no delays": {0, 0, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			e := fanout.NewLatencyEstimate(c.objective)
			for i := range 160 {
				switch {
				case c.usual == 0:
				case i%10 == 0:
					e.Observe(c.slow)
				default:
					e.Observe(c.usual)
				}
			}
			if diff := cmp.Diff(c.want, e.HedgeDelay()); diff != "" {
				t.Errorf("delay (-want +got):\n%s", diff)
			}
		})
	}
}

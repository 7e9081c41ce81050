package dispatch

import (
	"math/rand/v2"
	"testing"

	"knapweedstall/core/clock"
)

// Guards against batches that only add latency: when the items dominate the cost, a
// call with eight items took eight times as long, and no query was answered in time.
func TestBatchLimitFollowsCost(t *testing.T) {
	for _, tc := range []struct {
		name       string
		base, item float64
		min, max   int
	}{
		{"items dominate the cost", 2, 38, 1, 2},
		{"base dominates the cost", 20, 1, 8, 8},
		{"base of two items", 10, 5, 2, 5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			var b batchCost
			largest, smallest := 0, 9
			for i := range 2000 {
				n := b.limit(8)
				if i > 1000 {
					largest, smallest = max(largest, n), min(smallest, n)
				}
				n = 1 + random.IntN(n)
				b.observe(n, clock.Duration((tc.base+tc.item*float64(n))*(0.8+0.4*random.Float64())))
			}
			if smallest < tc.min || largest > tc.max {
				t.Errorf("batch limits from %d to %d, want %d to %d", smallest, largest, tc.min, tc.max)
			}
		})
	}
}

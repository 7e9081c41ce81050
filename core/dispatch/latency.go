package dispatch

import (
	"slices"

	"knapweedstall/core/clock"
)

const (
	latencyWindow      = 128 // calls that the percentile looks back on
	minLatencySamples  = 40  // calls before the percentile is used: 2.5 % of 40 is one call
	percentileInterval = 16  // calls between two computations of the percentile
	meanWeight         = 0.05
	// tailPermille is the quantile after which a call is hedged. At 950 the hedges
	// of ordinary calls used up the budget, and slow calls found it empty.
	tailPermille = 975
)

// latency is the recent latency of a service's calls.
type latency struct {
	ring  [latencyWindow]clock.Duration
	count int            // calls put into the ring
	known bool           // there was a call
	mean  float64        // ms, exponentially weighted
	tail  clock.Duration // the quantile tailPermille; 0 before it is known
}

// observe counts a call. Runs take another path at the target: they count for
// the mean, which estimates the queue, but not for the percentile.
func (l *latency) observe(d clock.Duration, run bool) {
	if !l.known {
		l.known, l.mean = true, float64(d)
	}
	l.mean += meanWeight * (float64(d) - l.mean)
	if run {
		return
	}
	l.ring[l.count%latencyWindow] = d
	l.count++
	if l.count == minLatencySamples || l.count > minLatencySamples && l.count%percentileInterval == 0 {
		sorted := l.ring
		n := min(l.count, latencyWindow)
		slices.Sort(sorted[:n])
		l.tail = sorted[n*tailPermille/1000]
	}
}

// typical returns the mean, at least 1 ms, or 0 before the first call.
func (l *latency) meanEstimate() clock.Duration {
	if !l.known {
		return 0
	}
	return max(1, clock.Duration(l.mean+0.5))
}

// most returns the time within which most calls end.
func (l *latency) upperEstimate() clock.Duration { return max(l.tail, l.meanEstimate()) }

const (
	unitsPerToken     = 1000 // budget units for one extra sub-request
	unitsPerFirstSend = 35   // budget units earned by each first attempt
	// tokenCap is also what the budget recovers to with time alone, at
	// tokenPerMS. Where there is little traffic, nothing else would pay for the
	// failover of the searches that a lost instance held.
	maxUnits   = 10 * unitsPerToken
	unitsPerMS = 0.25 // units: one token in 4 s
)

// budget limits hedges, retries and failovers to a part of the first attempts.
type budget struct {
	units         float64
	recoveryLimit float64    // what time alone recovers
	recoveredAt   clock.Time // of the last recovery
}

func newBudget(floor float64) budget { return budget{units: floor, recoveryLimit: floor} }

func (b *budget) earn() { b.units = min(b.units+unitsPerFirstSend, maxUnits) }

// take draws n tokens, or none if there are fewer.
func (b *budget) spend(now clock.Time, n int) bool {
	if b.units < b.recoveryLimit {
		b.units = min(b.units+unitsPerMS*float64(now.Sub(b.recoveredAt)), b.recoveryLimit)
	}
	b.recoveredAt = now
	if b.units < float64(n*unitsPerToken) {
		return false
	}
	b.units -= float64(n * unitsPerToken)
	return true
}

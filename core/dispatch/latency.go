package dispatch

import (
	"slices"

	"knapweedstall/core/clock"
)

const (
	latencyWindow      = 128  // calls from which the percentile is computed
	minLatencySamples  = 40   // calls before the percentile is used: 2.5 % of 40 is one call
	percentileInterval = 16   // calls between two computations of the percentile
	meanWeight         = 0.05 // weight of the newest call in the means
	// tailPermille is the quantile of the latency after which a call is hedged. At
	// 950, hedges of ordinary calls exhausted the budget, and none was left for slow
	// calls.
	tailPermille = 975
)

// latency estimates the latency of a service's calls from recent ones.
type latency struct {
	ring     [latencyWindow]clock.Duration
	count    int            // calls ever added to the ring
	measured bool           // at least one call was observed
	mean     float64        // ms, exponentially weighted
	tail     clock.Duration // the quantile given by tailPermille; 0 before it is known
}

// observe records the latency of a call. A run, a request that must not be repeated,
// takes another path at the target: it counts towards the mean, which predicts queueing
// delays, but not towards the percentile.
func (l *latency) observe(d clock.Duration, run bool) {
	if !l.measured {
		l.measured, l.mean = true, float64(d)
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

// meanEstimate returns the mean, at least 1 ms, or 0 before the first call.
func (l *latency) meanEstimate() clock.Duration {
	if !l.measured {
		return 0
	}
	return max(1, clock.Duration(l.mean+0.5))
}

// upperEstimate returns the time within which most calls end.
func (l *latency) upperEstimate() clock.Duration { return max(l.tail, l.meanEstimate()) }

const (
	unitsPerToken     = 1000 // one token pays for one repeated sub-request
	unitsPerFirstSend = 35   // units earned by each sub-request that is sent for the first time
	// maxUnits is also the level to which the budget recovers with time alone, at
	// unitsPerMS. With little traffic, nothing else would pay for the failover of
	// the searches that a lost instance held.
	maxUnits   = 10 * unitsPerToken
	unitsPerMS = 0.25 // one token in 4 s
)

// budget limits hedges, retries and failovers to a fraction of the first attempts. It
// is a token bucket.
type budget struct {
	units         float64
	recoveryLimit float64    // level to which the budget recovers with time alone
	recoveredAt   clock.Time // time of the last call of spend
}

func newBudget(floor float64) budget { return budget{units: floor, recoveryLimit: floor} }

func (b *budget) earn() { b.units = min(b.units+unitsPerFirstSend, maxUnits) }

// spend takes n tokens and reports true. If fewer are left, it takes none.
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

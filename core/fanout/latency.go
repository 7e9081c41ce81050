package fanout

import (
	"slices"

	"knapweedstall/core/clock"
)

// Parameters of the latency estimate.
const (
	sampleCount     = 128  // latest samples that the estimate is computed from
	refreshInterval = 16   // new samples after which it is computed again
	hedgeQuantile   = 0.92 // quantile of the latency after which a send is overdue
	// maxMedianMultiple bounds the hedge delay by a multiple of the median, for
	// when many targets are slow.
	maxMedianMultiple = 2
	minHedgeDelay     = 2 * clock.Millisecond
	// minDelayDivisor and maxDelayDivisor bound the hedge delay to a quarter and a
	// half of the latency objective. A hedge that is sent sooner rarely decides
	// whether the answer is in time, and uses a repeat of the budget that another
	// send needs.
	minDelayDivisor = 4
	maxDelayDivisor = 2
)

// LatencyEstimate estimates the latency of one route's sends from recent samples.
// It implements Latency.
type LatencyEstimate struct {
	objective  clock.Duration
	ring       [sampleCount]clock.Duration
	count      int
	median     clock.Duration
	hedgeDelay clock.Duration
}

// NewLatencyEstimate returns the LatencyEstimate of a route with the latency
// objective, without samples.
func NewLatencyEstimate(objective clock.Duration) *LatencyEstimate {
	e := &LatencyEstimate{objective: objective}
	e.hedgeDelay = max(objective/minDelayDivisor, minHedgeDelay)
	e.median = e.hedgeDelay
	return e
}

// Median implements Latency.
func (e *LatencyEstimate) Median() clock.Duration { return e.median }

// HedgeDelay implements Latency.
func (e *LatencyEstimate) HedgeDelay() clock.Duration { return e.hedgeDelay }

// Observe implements Latency.
func (e *LatencyEstimate) Observe(took clock.Duration) {
	e.ring[e.count%sampleCount] = took
	e.count++
	if e.count%refreshInterval != 0 {
		return
	}
	sorted := slices.Clone(e.ring[:min(e.count, sampleCount)])
	slices.Sort(sorted)
	e.median = sorted[len(sorted)/2]
	e.hedgeDelay = min(sorted[int(hedgeQuantile*float64(len(sorted)))], maxMedianMultiple*e.median)
	e.hedgeDelay = max(e.hedgeDelay, e.objective/minDelayDivisor, minHedgeDelay)
	if e.objective > 0 {
		e.hedgeDelay = min(e.hedgeDelay, max(e.objective/maxDelayDivisor, minHedgeDelay))
	}
}

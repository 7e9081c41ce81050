package fanout

import (
	"slices"

	"knapweedstall/core/clock"
)

// Figures of the latency estimate.
const (
	samples   = 128  // that the estimate is made from
	refresh   = 16   // new samples after which it is made again
	hedgeRank = 0.92 // share of the sends that are not overdue
	// hedgeFactor bounds the delay when many targets are slow, by the time that
	// the other ones take.
	hedgeFactor = 2
	minHedge    = 2 * clock.Millisecond
	// minShare and maxShare bound the delay by parts of the objective, a quarter
	// and half of it. A hedge that is sent sooner hardly ever decides whether the
	// answer is in time, and takes a repeat from a send that needs one.
	minShare = 4
	maxShare = 2
)

// Estimate learns the latency of one route's sends.
type LatencyEstimate struct {
	objective clock.Duration
	ring      [samples]clock.Duration
	count     int
	usual     clock.Duration
	hedge     clock.Duration
}

// NewEstimate returns the Estimate of a route with the objective.
func NewLatencyEstimate(objective clock.Duration) *LatencyEstimate {
	e := &LatencyEstimate{objective: objective}
	e.hedge = max(objective/minShare, minHedge)
	e.usual = e.hedge
	return e
}

// Usual implements Latency.
func (e *LatencyEstimate) Median() clock.Duration { return e.usual }

// HedgeAfter implements Latency.
func (e *LatencyEstimate) HedgeDelay() clock.Duration { return e.hedge }

// Observe implements Latency.
func (e *LatencyEstimate) Observe(took clock.Duration) {
	e.ring[e.count%samples] = took
	e.count++
	if e.count%refresh != 0 {
		return
	}
	sorted := slices.Clone(e.ring[:min(e.count, samples)])
	slices.Sort(sorted)
	e.usual = sorted[len(sorted)/2]
	e.hedge = min(sorted[int(hedgeRank*float64(len(sorted)))], hedgeFactor*e.usual)
	e.hedge = max(e.hedge, e.objective/minShare, minHedge)
	if e.objective > 0 {
		e.hedge = min(e.hedge, max(e.objective/maxShare, minHedge))
	}
}

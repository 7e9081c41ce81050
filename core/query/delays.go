package query

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Parameters of DelayTracker.
const (
	// delayQuantile keeps second attempts that are caused by a late reply near 1
	// in 100 sub-requests, which leaves most of the 5 % budget for repeated sends
	// to the hedges of the holders.
	delayQuantile = 0.99
	// minDelaySamples is the number of replies before the estimate is used.
	minDelaySamples = 50
	// delayStep is the step by which the estimate changes, relative to its value.
	delayStep = 0.05
)

// DelayTracker estimates a high quantile of the reply delay of each service. It stores
// one estimate for each service. It implements Delays.
type DelayTracker struct {
	services map[topology.ServiceID]*delayEstimate
}

type delayEstimate struct {
	value   float64 // ms
	samples int
}

// NewDelayTracker returns a tracker without samples.
func NewDelayTracker() *DelayTracker {
	return &DelayTracker{services: make(map[topology.ServiceID]*delayEstimate)}
}

// Observe implements Delays. Each reply above the estimate raises it by a large step,
// and each other one lowers it by a small step, so that it is stable at the quantile.
func (t *DelayTracker) Observe(service topology.ServiceID, d clock.Duration) {
	e := t.services[service]
	if e == nil {
		e = &delayEstimate{value: float64(d)}
		t.services[service] = e
	}
	e.samples = min(e.samples+1, minDelaySamples)
	step := delayStep * max(e.value, 1)
	if float64(d) > e.value {
		e.value += step * delayQuantile
	} else {
		e.value -= step * (1 - delayQuantile)
	}
}

// FailoverAfter implements Delays.
func (t *DelayTracker) FailoverAfter(service topology.ServiceID) (clock.Duration, bool) {
	e := t.services[service]
	if e == nil || e.samples < minDelaySamples {
		return 0, false
	}
	return clock.Duration(e.value) + 1, true
}

// Forget removes a service that no longer exists.
func (t *DelayTracker) Forget(service topology.ServiceID) { delete(t.services, service) }

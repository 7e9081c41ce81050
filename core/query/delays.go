package query

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Parameters of DelayTracker.
const (
	// delayQuantile keeps time-based second attempts near 1 in 100
	// sub-requests, which leaves the 5 % budget mostly to the holders' hedges.
	delayQuantile = 0.99
	// minDelaySamples is the fewest replies from which the quantile is used.
	minDelaySamples = 50
	// delayStep is the relative step of the estimate.
	delayStep = 0.05
)

// DelayTracker estimates a high quantile of each service's reply delay. It
// keeps one number for each service. It implements Delays.
type DelayTracker struct {
	services map[topology.ServiceID]*delayEstimate
}

type delayEstimate struct {
	value   float64 // ms
	samples int
}

// NewDelayTracker returns a tracker that knows nothing.
func NewDelayTracker() *DelayTracker {
	return &DelayTracker{services: make(map[topology.ServiceID]*delayEstimate)}
}

// Observe implements Delays. The estimate moves up by much on a rare slow reply
// and down by little on each fast one, and is stable at the quantile.
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

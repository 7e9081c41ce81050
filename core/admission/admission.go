// Package admission decides which queries of one collection an entry starts. An
// entry is an instance that receives queries from clients and sends sub-requests to
// the holders of all services of the collection; a holder sends them on to the
// targets of its service. Every query needs all services, so a refusal in the back
// end wastes the work of all other services. The entry therefore refuses queries
// before it sends any sub-request.
//
// A Controller adjusts the rate of admitted queries to the queueing delays that the
// holders report. The rate is multiplied by a factor below 1 when a service has a
// standing queue, and otherwise increased by a constant step, so that the controllers
// of many entries converge on the capacity of the same back end without communicating
// with each other. The rate is shared between workspaces by max-min fairness.
package admission

import (
	"math"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Controller admits queries of one collection at one entry. It needs no timer, since
// every call passes the current time, which must never decrease. It is not safe for
// concurrent use.
type Controller struct {
	opts     options
	buckets  workspaceBuckets
	services map[topology.ServiceID]delayStats // observed since each service was last checked for a standing queue

	limited          bool       // set when a standing queue is first detected
	rate             float64    // queries admitted per ms; used when limited
	step             float64    // increase of the rate in one interval
	intervalStart    clock.Time // start of the current interval
	admitted         int        // queries admitted in the interval
	refused          int        // queries refused in the interval
	observed         int        // replies observed in the interval
	smoothedAdmitted float64    // admitted queries per ms, smoothed over intervals
}

// delayStats summarizes the replies of one service.
type delayStats struct {
	replies  int
	minDelay float64 // smallest queueing delay, as a multiple of the delay goal
}

// New returns a Controller that admits all queries until it detects a standing queue.
func New(opts ...Option) *Controller {
	c := &Controller{opts: defaults(), services: make(map[topology.ServiceID]delayStats)}
	for _, o := range opts {
		o(&c.opts)
	}
	c.buckets.weight = c.opts.weight
	return c
}

// Admit reports whether a workspace's query may start now. If not, retryAfter is the
// time until the workspace's share of the rate allows one more query after those that
// have already been refused; it is at least 1 ms.
func (c *Controller) Admit(now clock.Time, workspace topology.WorkspaceID) (retryAfter clock.Duration, ok bool) {
	c.closeInterval(now)
	if !c.limited {
		c.admitted++
		return 0, true
	}
	if c.buckets.take(now, workspace, c.rate, c.opts.burst) {
		c.admitted++
		return 0, true
	}
	c.refused++
	return c.buckets.retryAfter(now, workspace, c.rate, c.opts.maxRetryAfter), false
}

// Observe records the queueing delay that a service's reply reports. The budget is the
// total time that the query had until its deadline.
func (c *Controller) Observe(now clock.Time, service topology.ServiceID, queueDelay, budget clock.Duration) {
	c.closeInterval(now)
	delay := float64(queueDelay) / (float64(max(budget, 1)) * c.opts.delayGoal)
	d, seen := c.services[service]
	if !seen || delay < d.minDelay {
		d.minDelay = delay
	}
	d.replies++
	c.services[service] = d
	c.observed++
}

// Rate returns the admitted rate in queries per second; ok is false while it is
// unlimited.
func (c *Controller) Rate() (perSecond float64, ok bool) {
	return c.rate * float64(clock.Second), c.limited
}

// closeInterval adjusts the rate and starts a new interval when the current one is
// over.
func (c *Controller) closeInterval(now clock.Time) {
	if c.intervalStart == 0 {
		c.intervalStart = now
	}
	length := now.Sub(c.intervalStart)
	if length < c.opts.interval {
		return
	}
	admitted := float64(c.admitted) / float64(length)
	if c.smoothedAdmitted == 0 {
		c.smoothedAdmitted = admitted
	}
	c.smoothedAdmitted += (admitted - c.smoothedAdmitted) * smoothing
	c.adjustRate()
	c.intervalStart = now
	c.admitted, c.refused, c.observed = 0, 0, 0
}

// adjustRate adjusts the rate to the observations of the interval. The rate is not
// increased when no query was refused, since the back end would not be tested at the
// higher rate, nor when there were no replies.
func (c *Controller) adjustRate() {
	queue := c.standingQueue()
	switch {
	case queue > 1:
		c.decreaseRate(queue)
	case c.limited && c.refused > 0 && c.observed > 0:
		c.rate += c.step
	}
}

// standingQueue returns the longest standing queue of the services with enough
// replies, as a multiple of the delay goal. A single long delay is no standing queue,
// because random arrivals cause it at any load. The smallest delay of all replies of a
// service measures its standing queue.
func (c *Controller) standingQueue() float64 {
	queue := 0.0
	for id, d := range c.services {
		if d.replies >= c.opts.minReplies {
			queue = max(queue, d.minDelay)
			delete(c.services, id)
		}
	}
	return queue
}

// decreaseRate reduces the rate, more for a longer queue. It starts from the queries
// that were actually admitted, which are fewer than the rate allows while workspaces
// accumulate tokens.
func (c *Controller) decreaseRate(queue float64) {
	if !c.limited {
		c.limited = true
		c.rate = c.smoothedAdmitted
		c.step = max(c.rate*c.opts.increase, minRate)
	}
	c.rate = min(c.rate, c.smoothedAdmitted)
	c.rate = max(c.rate*max(math.Pow(c.opts.decrease, queue), minDecreaseFactor), minRate)
	clear(c.services)
}

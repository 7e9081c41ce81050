// Package admission decides at an entry instance which queries of one collection
// are started. Every query needs all services, so a refusal in the back end
// wastes the work of all other services; the entry therefore refuses first.
//
// A Controller admits a rate that it learns from the queueing delays that the
// holders report. The rate shrinks by a factor when a service has a standing
// queue and otherwise grows by a constant step, so that the controllers of many
// entries converge on the capacity of the same back end without knowing of each
// other. The rate is shared between workspaces by max-min fairness.
package admission

import (
	"math"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Controller admits queries of one collection at one entry. It is driven by the
// times of its calls, which never decrease, and needs no timer. It is not safe
// for concurrent use.
type Controller struct {
	opts       options
	workspaces workspaces
	services   map[topology.ServiceID]delays // what was observed since the service was last judged

	limited  bool       // whether queueing has been seen yet
	rate     float64    // queries admitted per ms; used when limited
	step     float64    // what one interval adds to the rate
	started  clock.Time // start of the interval
	admitted int        // in the interval
	refused  int        // in the interval
	observed int        // replies counted in the interval
	smoothed float64    // admitted queries per ms, smoothed over intervals
}

// delays counts replies of one service.
type delays struct {
	replies int
	least   float64 // the smallest queueing delay, as a multiple of the goal
}

// New returns a controller that admits everything until it observes queueing.
func New(opts ...Option) *Controller {
	c := &Controller{opts: defaults(), services: make(map[topology.ServiceID]delays)}
	for _, o := range opts {
		o(&c.opts)
	}
	c.workspaces.weight = c.opts.weight
	return c
}

// Admit reports whether a workspace's query may start now. If not, retryAfter is
// when the workspace's share of the rate allows one more query after those that it
// has already been refused, at least 1 ms.
func (c *Controller) Admit(now clock.Time, workspace topology.WorkspaceID) (retryAfter clock.Duration, ok bool) {
	c.roll(now)
	if !c.limited {
		c.admitted++
		return 0, true
	}
	if c.workspaces.take(now, workspace, c.rate, c.opts.burst) {
		c.admitted++
		return 0, true
	}
	c.refused++
	return c.workspaces.retryAfter(now, workspace, c.rate, c.opts.maxRetryAfter), false
}

// Observe takes the queueing delay of a service's reply and the whole time that
// its query had to its deadline.
func (c *Controller) Observe(now clock.Time, service topology.ServiceID, queueDelay, budget clock.Duration) {
	c.roll(now)
	delay := float64(queueDelay) / (float64(max(budget, 1)) * c.opts.goal)
	d, seen := c.services[service]
	if !seen || delay < d.least {
		d.least = delay
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

// roll closes the interval when it is over.
func (c *Controller) roll(now clock.Time) {
	if c.started == 0 {
		c.started = now
	}
	length := now.Sub(c.started)
	if length < c.opts.interval {
		return
	}
	admitted := float64(c.admitted) / float64(length)
	if c.smoothed == 0 {
		c.smoothed = admitted
	}
	c.smoothed += (admitted - c.smoothed) * smoothing
	c.adjust()
	c.started = now
	c.admitted, c.refused, c.observed = 0, 0, 0
}

// adjust changes the rate by what the interval has shown. A rate that nobody
// uses up is not raised, since its growth would be untested, and neither is one
// without replies.
func (c *Controller) adjust() {
	queue := c.standingQueue()
	switch {
	case queue > 1:
		c.lower(queue)
	case c.limited && c.refused > 0 && c.observed > 0:
		c.rate += c.step
	}
}

// standingQueue judges each service of which enough replies have come, and
// returns the longest standing queue as a multiple of the goal. A single long
// delay is no standing queue: random arrivals cause it at any load. A queue that
// even the luckiest reply met is one.
func (c *Controller) standingQueue() float64 {
	queue := 0.0
	for id, d := range c.services {
		if d.replies >= c.opts.minReplies {
			queue = max(queue, d.least)
			delete(c.services, id)
		}
	}
	return queue
}

// lower reduces the rate, the more the longer the queue. It starts from what was
// really admitted, which is less than the rate while workspaces save tokens.
func (c *Controller) lower(queue float64) {
	if !c.limited {
		c.limited = true
		c.rate = c.smoothed
		c.step = max(c.rate*c.opts.increase, minRate)
	}
	c.rate = min(c.rate, c.smoothed)
	c.rate = max(c.rate*max(math.Pow(c.opts.decrease, queue), minFactor), minRate)
	clear(c.services)
}

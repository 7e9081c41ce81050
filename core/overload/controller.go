package overload

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

const (
	// idleTime is the time without reports after which a group starts anew, and the
	// time after which an instance without reports is forgotten.
	idleTime = 10 * clock.Second
	// earlyTick is the time after which a tick ends early if most requests are bad, so
	// that a limit begins sooner.
	earlyTick = 100 * clock.Millisecond
	// readyTicks is the number of ticks after which a Controller knows the demands. The
	// first reports of the instances only tell where their counts begin.
	readyTicks = 2
)

// Controller computes the limit of a group and divides it. It is not safe for concurrent
// use.
type Controller struct {
	limiter   limiter
	demands   demands
	instances map[topology.InstanceID]*reporter
	division  Division
	divided   bool // division is that of the latest tick

	current   tick
	latest    tick       // before current
	tickStart clock.Time // 0 before the first report
	ticks     int        // ticks since the start
}

// reporter is what a Controller knows about an instance.
type reporter struct {
	run     uint64
	number  uint64
	totals  Totals
	classes map[Class]uint64
	at      clock.Time
}

// ControllerOption configures a Controller.
type ControllerOption func(*Controller)

// WithNotify sets a function that is called for each change of the limit.
func WithNotify(f func(Event)) ControllerOption {
	return func(c *Controller) { c.limiter.notify = f }
}

// NewController returns a Controller without a limit.
func NewController(opts ...ControllerOption) *Controller {
	c := &Controller{instances: map[topology.InstanceID]*reporter{}, demands: newDemands()}
	c.limiter.notify = func(Event) {}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Limit returns the limit, or 0 if there is none.
func (c *Controller) Limit() Rate { return c.limiter.limit }

// Instances returns the number of instances that have reported lately.
func (c *Controller) Instances() int { return len(c.instances) }

// Idle reports whether no instance has reported for a long time.
func (c *Controller) Idle(now clock.Time) bool { return now.Sub(c.tickStart) > idleTime }

// Receive adds a report and returns the division in force.
func (c *Controller) Receive(from topology.InstanceID, r Report, now clock.Time) Division {
	c.add(from, r, now)
	return c.Division()
}

// add adds a report.
func (c *Controller) add(from topology.InstanceID, r Report, now clock.Time) {
	c.Tick(now)
	known := c.instances[from]
	if known == nil || known.run != r.Run {
		// The counts include an unknown time before, so only later differences count.
		c.instances[from] = newReporter(r, now)
		if r.Limit > 0 && c.limiter.limit == 0 && c.ticks < readyTicks {
			c.limiter.adopt(r.Limit, now)
		}
		return
	}
	if r.Number <= known.number {
		return // a late or repeated report
	}
	c.current.add(tick{
		admitted: increase(known.totals.Admitted, r.Totals.Admitted), inTime: increase(known.totals.InTime, r.Totals.InTime),
		late: increase(known.totals.Late, r.Totals.Late), failed: increase(known.totals.Failed, r.Totals.Failed),
		work: max(0, r.Totals.Work-known.totals.Work),
	})
	before := known.classes
	known.classes = make(map[Class]uint64, len(r.Classes)) // a class that is left out starts anew
	for _, k := range r.Classes {
		n := increase(before[k.Class], k.Arrived)
		known.classes[k.Class] = k.Arrived
		c.current.arrived += n
		c.demands.add(k.Class, n)
	}
	known.number, known.totals, known.at = r.Number, r.Totals, now
}

func newReporter(r Report, now clock.Time) *reporter {
	p := &reporter{run: r.Run, number: r.Number, totals: r.Totals, at: now, classes: map[Class]uint64{}}
	for _, k := range r.Classes {
		p.classes[k.Class] = k.Arrived
	}
	return p
}

// increase returns the increase of a cumulative count. A lower count has started anew.
func increase(before, after uint64) float64 {
	if after < before {
		return float64(after)
	}
	return float64(after - before)
}

// Tick adjusts the limit when a ReportPeriod has passed since the last time.
func (c *Controller) Tick(now clock.Time) {
	if c.tickStart == 0 || now.Sub(c.tickStart) > idleTime {
		c.reset(now)
		return
	}
	length := now.Sub(c.tickStart)
	early := c.limiter.limit == 0 && length >= earlyTick && c.current.late+c.current.failed >= minBad && c.current.bad() >= degradedBad
	if length < ReportPeriod && !early {
		return
	}
	c.current.length = length
	c.limiter.add(c.current, now)
	c.demands.update(c.current, c.limiter.limit)
	c.ticks++
	c.latest, c.current, c.tickStart, c.divided = c.current, tick{}, now, false
	for id, p := range c.instances {
		if now.Sub(p.at) > idleTime {
			delete(c.instances, id)
		}
	}
}

// reset starts anew, after a time without reports.
func (c *Controller) reset(now clock.Time) {
	if c.limiter.limit > 0 {
		c.limiter.end(Ended, tick{})
	}
	c.limiter.window, c.limiter.degraded = nil, 0
	c.demands, c.instances = newDemands(), map[topology.InstanceID]*reporter{}
	c.division, c.divided, c.current, c.tickStart, c.ticks = Division{}, true, tick{}, now, 0
}

// Division returns the division in force.
func (c *Controller) Division() Division {
	if c.divided {
		return c.division
	}
	limit := c.limiter.limit
	c.division, c.divided = Division{Ready: c.ticks >= readyTicks}, true
	if limit > 0 && c.division.Ready {
		list := c.demands.list(c.latest)
		c.division = divide(c.demands.corrected(limit, list), list)
		c.division.Limit, c.division.Ready = limit, true
	}
	return c.division
}

// follow sets the limit of a Controller that is used only when no coordinator can be
// reached: to what the instance admits while the group has a limit, and otherwise to
// none.
func (c *Controller) follow(limited bool, admitted Rate, now clock.Time) {
	if limited {
		c.limiter.adopt(admitted, now)
		return
	}
	c.limiter.limit, c.limiter.notified = 0, 0
}

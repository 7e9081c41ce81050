package gateway

import (
	"context"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/rollout"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
	"knapweedstall/platform"
	"knapweedstall/settings"
)

// rollouts is an instance's part in the rollouts of all services: its tracker, and its
// decider for the orders whose reports it gets. The gateway's mu guards it.
type rollouts struct {
	tracker  *rollout.Tracker
	decider  *rollout.Decider
	parsed   map[string]parsedOrder // parsed orders, by the name of the object
	orders   map[routing.ServiceName]rollout.OrderState
	stages   map[routing.ServiceName]rollout.Stage // latest stage directed, for log lines
	versions listedVersions
	// failedWrites is the number of writes of each order's status that failed since the
	// last one with a known result.
	failedWrites map[routing.ServiceName]int
	// silent holds the coordinators that have not answered the latest report, with the
	// time from which they are asked again.
	silent map[topology.InstanceID]clock.Time
	// heardAt is when each instance last reported to this one.
	heardAt     map[topology.InstanceID]clock.Time
	activeSince clock.Time // since when there have been undecided orders; 0 if there are none
}

// parsedOrder caches the order parsed from an object of the store, so that it is not
// parsed, and an error not logged, again until the object changes.
type parsedOrder struct {
	revision view.Revision
	state    rollout.OrderState
	valid    bool
}

// newRollouts returns the rollouts of a gateway with the limits, or nil if they are nil:
// the deployment has no rollouts.
func newRollouts(g *Gateway, limits *settings.RolloutLimits) *rollouts {
	if limits == nil {
		return nil
	}
	run := topology.NewIncarnation(g.clock.UnixMillis(), g.random.Uint64())
	return &rollouts{
		tracker: rollout.NewTracker(run, g.random),
		decider: rollout.NewDecider(rollout.Limits{
			Share: limits.CanaryShare, Slack: limits.CanarySlack, Rollback: limits.RollbackMS,
		}),
		parsed:       map[string]parsedOrder{},
		orders:       map[routing.ServiceName]rollout.OrderState{},
		stages:       map[routing.ServiceName]rollout.Stage{},
		silent:       map[topology.InstanceID]clock.Time{},
		failedWrites: map[routing.ServiceName]int{},
		versions:     newListedVersions(),
		heardAt:      map[topology.InstanceID]clock.Time{},
	}
}

// runRollouts reports to the deciders and makes the writes of this instance's decider
// until ctx is done. It returns at once if the deployment has no rollouts.
func (g *Gateway) runRollouts(ctx context.Context) {
	if g.rollouts == nil {
		return
	}
	go g.reportSends(ctx)
	g.writeDecisions(ctx)
}

// applyRollouts applies the copy of the orders.
func (g *Gateway) applyRollouts(k view.Copy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rollouts == nil {
		return
	}
	now := g.clock.Now()
	states := g.parseOrders(k.Objects)
	before := g.rollouts.orders
	g.rollouts.setOrders(states, now)
	for _, o := range states {
		g.noteOrder(before[o.Service], o)
	}
	for service, o := range before {
		if _, ok := g.rollouts.orders[service]; !ok {
			g.metrics.rolloutEnded(rolloutRemoved, o)
			g.log.Info("rollout order removed", "service", service, "target", o.Target, "state", string(o.State()), "revision", k.Revision)
		}
	}
}

// setOrders replaces the orders.
func (r *rollouts) setOrders(states []rollout.OrderState, now clock.Time) {
	r.orders = map[routing.ServiceName]rollout.OrderState{}
	for _, o := range states {
		r.orders[o.Service] = o
	}
	r.tracker.SetOrders(states, now)
	r.decider.SetOrders(states, now)
	for service := range r.stages {
		if o, ok := r.orders[service]; !ok || o.State().Decided() {
			delete(r.stages, service)
		}
	}
}

// parseOrders returns the valid orders, ordered by service. mu must be held.
func (g *Gateway) parseOrders(objects map[string]view.Object) []rollout.OrderState {
	r, parsed := g.rollouts, map[string]parsedOrder{}
	var states []rollout.OrderState
	for name, o := range objects {
		p, ok := r.parsed[name]
		if !ok || p.revision != o.Revision {
			p = g.parseOrder(name, o)
		}
		parsed[name] = p
		if p.valid {
			states = append(states, p.state)
		}
	}
	r.parsed = parsed
	slices.SortFunc(states, func(a, b rollout.OrderState) int {
		if a.Service < b.Service {
			return -1
		}
		return 1 // names of objects differ
	})
	return states
}

// parseOrder parses an order and its status. A malformed order is ignored. A malformed
// status counts as none, since the order must take effect.
func (g *Gateway) parseOrder(name string, o view.Object) parsedOrder {
	order, err := platform.ParseOrder(name, o)
	if err != nil {
		g.log.Warn("invalid rollout order ignored", "name", name, "revision", o.Revision, "err", err)
		return parsedOrder{revision: o.Revision}
	}
	status, err := platform.ParseOrderStatus(name, o.Status)
	if err != nil {
		g.log.Warn("invalid status of a rollout ignored", "name", name, "revision", o.Revision, "err", err)
	}
	return parsedOrder{o.Revision, rollout.OrderState{Order: order, Status: status, Revision: o.Revision}, true}
}

// noteOrder logs and counts what has changed of an order since before, which is the zero
// state if there was none. mu must be held.
func (g *Gateway) noteOrder(before, o rollout.OrderState) {
	replaced := before.Target != o.Target || before.Created != o.Created
	if replaced {
		if before.Target != "" {
			g.metrics.rolloutEnded(rolloutReplaced, before)
		}
		g.log.Info("rollout ordered", "service", o.Service, "target", o.Target, "durationMs", int64(o.Duration),
			"state", string(o.State()), "before", before.Target, "revision", o.Revision)
		return
	}
	state := o.State()
	if before.State() == state {
		return
	}
	message := "rollout state changed"
	if state.Decided() {
		message = "rollout ended"
		g.metrics.rolloutEnded(string(state), before)
	}
	g.log.Info(message, "service", o.Service, "target", o.Target, "state", string(state), "before", string(before.State()), "revision", o.Revision)
}

// observeVersions notes the versions of the listed targets. mu must be held.
func (g *Gateway) observeVersions(listings []replica.Listing, now clock.Time) {
	if g.rollouts == nil {
		return
	}
	g.rollouts.versions.observe(listings, now)
	g.rollouts.tracker.Expire(g.targets.HasVersion)
}

// undecided reports whether the version of the service is being rolled out.
func (r *rollouts) undecided(service routing.ServiceName, v rollout.Version) bool {
	o, ok := r.orders[service]
	return ok && o.Target == v && !o.State().Decided()
}

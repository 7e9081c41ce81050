package gateway

import (
	"context"
	"slices"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/placing"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
	"knapweedstall/platform"
)

// Timing of listing the instances.
const (
	instancesPeriod  = 15 * clock.Second // time between two lists
	registrationTime = clock.Second      // all instances of a new deployment register within this time
)

// joinInstances registers the instance and lists the other ones. It lists them at
// once, for an instance that restarts while others run, and again when all instances
// of a new deployment have registered.
func (g *Gateway) joinInstances(ctx context.Context) {
	g.readInstances(ctx, true)
	go g.register(ctx)
	sleep(ctx, registrationTime)
	g.readInstances(ctx, false)
}

// pollInstances lists the instances at about each instancesPeriod until ctx is
// done.
func (g *Gateway) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, g.jitter(instancesPeriod))
		g.readInstances(ctx, true)
	}
}

// readInstances lists the instances once and applies the list.
func (g *Gateway) readInstances(ctx context.Context, stale bool) {
	k, err := g.store.List(ctx, platform.KindInstances, stale, callTimeout)
	if err != nil {
		g.log.Debug("listing instances failed", "err", err)
		return
	}
	g.applyInstances(k)
}

// register writes the instance's object to the store, and retries until that
// succeeds or ctx is done.
func (g *Gateway) register(ctx context.Context) {
	spec := platform.Instance{Address: g.settings.Listen.Peers, Zone: string(g.settings.Zone), Capacity: g.settings.Capacity}
	for pause := minRetryDelay; ctx.Err() == nil; pause = min(2*pause, 4*maxRetryDelay) {
		err := g.store.Put(ctx, platform.KindInstances, string(g.settings.Instance), spec)
		if err == nil {
			return
		}
		g.log.Debug("registering the instance failed", "err", err)
		sleep(ctx, g.jitter(pause))
	}
}

// deregister removes the instance's object from the store. An object that remains
// does no harm: other instances only count one instance too many.
func (g *Gateway) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := g.store.Delete(ctx, platform.KindInstances, string(g.settings.Instance)); err != nil {
		g.log.Debug("deregistering the instance failed", "err", err)
	}
}

// applyInstances applies the list of instances: it updates the instances that may
// run searches, and this instance's shares of the budget and of the targets.
func (g *Gateway) applyInstances(k view.Copy) {
	var peers []placing.Instance
	for name, o := range k.Objects {
		in, err := platform.ParseInstance(name, o.Spec)
		if err != nil {
			g.log.Warn("invalid instance entry ignored", "name", name, "err", err)
			continue
		}
		peers = append(peers, placing.Instance{
			ID: topology.InstanceID(name), Zone: topology.ZoneID(in.Zone), Address: in.Address, Capacity: in.Capacity,
		})
	}
	slices.SortFunc(peers, comparePeers)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(peers) != len(g.peers) {
		g.log.Info("number of instances changed", "instances", len(peers), "before", len(g.peers), "revision", k.Revision)
	}
	g.peers = peers
	instances := runners(peers)
	g.placing.Update(instances)
	// An instance that is not listed yet has no share, since the others don't know
	// it.
	shards, others := placing.SearchShare(g.settings.Instance, instances), 0.0
	if slices.ContainsFunc(peers, func(in placing.Instance) bool { return in.ID == g.settings.Instance }) {
		others = 1 / float64(len(peers))
	}
	g.budget.SetSlackShares(shards, others, g.clock.Now())
	g.targets.SetInstances(len(peers), g.maySendCold)
}

// maySendCold reports whether this instance is among the n that may send to a cold
// target, chosen by rendezvous hashing. Instances with the same list of instances
// choose the same ones. mu must be held.
func (g *Gateway) maySendCold(id topology.TargetID, n int) bool {
	own := topology.Hash64(string(id) + "/" + string(g.settings.Instance))
	before := 0
	for _, p := range g.peers {
		if p.ID != g.settings.Instance && topology.Hash64(string(id)+"/"+string(p.ID)) > own {
			before++
		}
	}
	return before < n
}

// runners returns the instances that may run searches, which are those that state
// their capacity.
func runners(instances []placing.Instance) []placing.Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(in placing.Instance) bool { return in.Capacity <= 0 })
}

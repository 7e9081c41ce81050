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

// Times of reading the instances.
const (
	listInstances = 15 * clock.Second // between two reads
	firstListing  = clock.Second      // all instances of a new system register within this time
)

// firstInstances registers the instance and reads the other ones. It reads them
// at once, for an instance that starts again among others, and once more when
// all instances of a new system have registered.
func (g *Gateway) firstInstances(ctx context.Context) {
	g.readInstances(ctx, true)
	go g.register(ctx)
	sleep(ctx, firstListing)
	g.readInstances(ctx, false)
}

// followInstances reads the list of instances again and again.
func (g *Gateway) followInstances(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, g.jitter(listInstances))
		g.readInstances(ctx, true)
	}
}

func (g *Gateway) readInstances(ctx context.Context, stale bool) {
	k, err := g.store.List(ctx, platform.KindInstances, stale, callTimeout)
	if err != nil {
		g.log.Debug("instances not listed", "err", err)
		return
	}
	g.applyInstances(k)
}

// register writes the instance's object, until the store has taken it.
func (g *Gateway) register(ctx context.Context) {
	spec := platform.Instance{Address: g.settings.Listen.Peers, Zone: string(g.settings.Zone), Capacity: g.settings.Capacity}
	for pause := firstTry; ctx.Err() == nil; pause = min(2*pause, 4*lastTry) {
		err := g.store.Put(ctx, platform.KindInstances, string(g.settings.Instance), spec)
		if err == nil {
			return
		}
		g.log.Debug("instance not registered", "err", err)
		sleep(ctx, g.jitter(pause))
	}
}

// deregister removes the instance's object. One that stays does no harm: the
// others only reckon with one instance more.
func (g *Gateway) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := g.store.Delete(ctx, platform.KindInstances, string(g.settings.Instance)); err != nil {
		g.log.Debug("instance not deregistered", "err", err)
	}
}

// applyInstances puts the list of instances in force.
func (g *Gateway) applyInstances(k view.Copy) {
	var peers []placing.Instance
	for name, o := range k.Objects {
		in, err := platform.ParseInstance(name, o.Spec)
		if err != nil {
			g.log.Warn("entry of an instance ignored", "name", name, "err", err)
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
		g.log.Info("instances known", "instances", len(peers), "before", len(g.peers), "revision", k.Revision)
	}
	g.peers = peers
	instances := runners(peers)
	g.placing.Update(instances)
	// One that is not listed yet has no part, since the others don't know of it.
	shards, others := placing.SearchShare(g.settings.Instance, instances), 0.0
	if slices.ContainsFunc(peers, func(in placing.Instance) bool { return in.ID == g.settings.Instance }) {
		others = 1 / float64(len(peers))
	}
	g.budget.SetSlackShares(shards, others, g.clock.Now())
	g.targets.SetInstances(len(peers), g.coldTurn)
}

// coldTurn reports whether this instance is among the n that may send to a
// cold target. All instances that know the same instances agree on them. The
// caller holds mu.
func (g *Gateway) coldTurn(id topology.TargetID, n int) bool {
	mine := topology.Hash64(string(id) + "/" + string(g.settings.Instance))
	before := 0
	for _, p := range g.peers {
		if p.ID != g.settings.Instance && topology.Hash64(string(id)+"/"+string(p.ID)) > mine {
			before++
		}
	}
	return before < n
}

// runners returns the instances that may run searches: those that state their
// capacity.
func runners(instances []placing.Instance) []placing.Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(in placing.Instance) bool { return in.Capacity <= 0 })
}

package gateway

import (
	"context"
	"slices"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/coordinator"
	"knapweedstall/core/placing"
	"knapweedstall/core/source"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
	"knapweedstall/platform"
)

// Timing of joining the other instances.
const (
	// registrationTime is the time within which all instances of a new deployment
	// register.
	registrationTime = 1500 * clock.Millisecond
	// startRetryDelay is the delay after the first failed call of an instance that is
	// starting.
	startRetryDelay = 100 * clock.Millisecond
	// rewriteDelay is the time after which the instance's object must be in the copies
	// of the instances. If it is not, it is written again.
	rewriteDelay = 5 * clock.Second
)

// join learns the instances of the zone, from which the instance then chooses its
// source, and keeps the instance registered until ctx is done. In a new deployment, it
// waits until the other instances have registered too.
func (g *Gateway) join(ctx context.Context) {
	zone := g.listZone(ctx)
	go g.keepRegistered(ctx, slices.Contains(zone, g.self))
	if g.settings.NewDeployment {
		sleep(ctx, registrationTime)
		g.listZone(ctx)
	}
	g.mu.Lock()
	reader := g.chooser.IsReader()
	g.mu.Unlock()
	if reader {
		g.loadCopies(ctx)
	}
}

// listZone reads the instances of the zone from the store, of which it reads no more,
// since all instances of a deployment may start at once. While the store does not
// answer, it retries, and gets the copies of any other instance.
func (g *Gateway) listZone(ctx context.Context) (zone []placing.Instance) {
	syncing, stop := context.WithCancel(ctx)
	defer stop()
	for pause := startRetryDelay; ctx.Err() == nil; pause = min(2*pause, maxRetryDelay) {
		objects, err := g.store.ListPrefix(ctx, platform.KindInstances, platform.InstancePrefix(g.settings.Zone), callTimeout)
		if err == nil {
			g.mu.Lock()
			defer g.mu.Unlock()
			zone = g.parseInstances(objects)
			g.chooser.SetInstances(zone)
			return zone
		}
		g.log.Debug("listing the instances of the zone failed", "err", err)
		if pause == startRetryDelay {
			// An instance without power lets a connection wait, so the retries don't wait
			// for other instances.
			go g.syncUntilComplete(syncing)
		}
		if g.views.copyOf(platform.KindInstances).Revision != 0 {
			break
		}
		sleep(ctx, g.jitter(pause))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.peers)
}

// syncUntilComplete gets copies from random other instances until there are copies of
// all kinds or ctx is done.
func (g *Gateway) syncUntilComplete(ctx context.Context) {
	for ctx.Err() == nil && !g.views.complete() {
		g.syncFromPeer(ctx)
		sleep(ctx, g.jitter(minRetryDelay))
	}
}

// keepRegistered writes the instance's object to the store when it is missing there,
// until ctx is done. registered tells whether it is there now. It may disappear later,
// when an earlier process of the instance removes it late, or when the store is restored
// from an older copy.
func (g *Gateway) keepRegistered(ctx context.Context, registered bool) {
	name, _ := platform.InstanceObject(g.self)
	for ctx.Err() == nil && !g.stopping() {
		if !registered {
			g.register(ctx)
			sleep(ctx, rewriteDelay)
		}
		select {
		case <-ctx.Done():
		case <-g.peersChanged:
		}
		_, registered = g.views.copyOf(platform.KindInstances).Objects[name]
	}
}

// register writes the instance's object to the store, and retries until that
// succeeds, the instance stops or ctx is done.
func (g *Gateway) register(ctx context.Context) {
	name, spec := platform.InstanceObject(g.self)
	for pause := minRetryDelay; ctx.Err() == nil && !g.stopping(); pause = min(2*pause, 4*maxRetryDelay) {
		err := g.store.Put(ctx, platform.KindInstances, name, spec)
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
	name, _ := platform.InstanceObject(g.self)
	if err := g.store.Delete(ctx, platform.KindInstances, name); err != nil {
		g.log.Debug("deregistering the instance failed", "err", err)
	}
}

// parsedInstance caches the instance parsed from an entry of the store.
type parsedInstance struct {
	revision view.Revision
	instance placing.Instance
	valid    bool
}

// parseInstances parses the instances' entries that have changed, and returns the valid
// ones in the order of source.Compare. mu must be held.
func (g *Gateway) parseInstances(objects map[string]view.Object) []placing.Instance {
	var instances []placing.Instance
	for name, o := range objects {
		p, ok := g.entries[name]
		if !ok || p.revision != o.Revision {
			in, err := platform.ParseInstance(name, o.Spec)
			if err != nil {
				g.log.Warn("invalid instance entry ignored", "name", name, "err", err)
			}
			p = parsedInstance{revision: o.Revision, instance: in, valid: err == nil}
			g.entries[name] = p
		}
		if p.valid {
			instances = append(instances, p.instance)
		}
	}
	slices.SortFunc(instances, source.Compare)
	return instances
}

// applyInstances applies the list of instances: it updates the instances that may be
// the source of this one or run searches, and this instance's shares of the budget and
// of the targets.
func (g *Gateway) applyInstances(k view.Copy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	peers := g.parseInstances(k.Objects)
	for name := range g.entries {
		if _, ok := k.Objects[name]; !ok {
			delete(g.entries, name)
		}
	}
	if len(peers) != len(g.peers) {
		g.log.Info("number of instances changed", "instances", len(peers), "before", len(g.peers), "revision", k.Revision)
	}
	g.peers = peers
	g.coordinators = coordinator.New(peers)
	g.liveness.Retain(func(id topology.InstanceID) bool {
		return slices.ContainsFunc(peers, func(in placing.Instance) bool { return in.ID == id })
	})
	g.setQuotaRing()
	if g.rollouts != nil {
		g.rollouts.decider.SetInstances(len(peers))
	}
	g.chooser.SetInstances(peers)
	instances := runners(peers)
	g.placing.Update(instances)
	// An instance that is not listed yet has no share, since the others don't know
	// it.
	shards, others := placing.SearchShare(g.settings.Instance, instances), 0.0
	if slices.ContainsFunc(peers, func(in placing.Instance) bool { return in.ID == g.settings.Instance }) {
		others = 1 / float64(len(peers))
	}
	g.budget.SetSlackShares(shards, others, g.clock.Now())
	g.targets.SetInstances(len(peers), shards, g.maySendCold)
	select {
	case g.peersChanged <- struct{}{}:
	default: // keepRegistered has not handled the previous change yet
	}
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

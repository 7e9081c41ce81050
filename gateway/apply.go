package gateway

import (
	"context"
	"runtime/debug"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
	"knapweedstall/platform"
)

// parsedListing caches the listing parsed from an entry of the store, so that it is
// not parsed again until the entry changes.
type parsedListing struct {
	revision view.Revision
	listing  replica.Listing
	valid    bool
}

// apply applies a newer copy of a kind of objects, whose changes were made at since or
// later. All instances get the same objects,
// so a panic must not end the process: what was in force before stays.
func (g *Gateway) apply(kind string, k view.Copy, since clock.Time) {
	defer func() {
		if cause := recover(); cause != nil {
			g.log.Error("applying a copy of the store's objects failed", "kind", kind, "revision", k.Revision, "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	switch kind {
	case platform.KindConfig:
		g.applyConfig(k)
	case platform.KindTargets:
		g.applyTargets(k, since)
	case platform.KindEvacuations:
		g.applyEvacuations(k)
	case platform.KindCrashes:
		g.applyCrashes(k)
	case platform.KindInstances:
		g.applyInstances(k)
	case platform.KindRollouts:
		g.applyRollouts(k)
	}
}

// applyConfig activates the configuration if it is valid and its version is higher
// than the current one.
func (g *Gateway) applyConfig(k view.Copy) {
	o, ok := k.Objects[platform.ConfigName]
	if !ok {
		return
	}
	c, err := platform.ParseConfig(o.Spec)
	if err != nil {
		g.log.Error("invalid configuration ignored", "revision", o.Revision, "err", err)
		return
	}
	c.Limits = c.Limits.WithDefaults()
	before, newer := g.activate(c)
	if !newer {
		return
	}
	g.quotaCoordinator.setQuotas(c.Workspaces)
	g.callers.SetLimits(c.Limits)
	g.log.Info("configuration in force", "version", c.Version, "before", before, "revision", o.Revision, "routes", len(c.Routes), "workspaces", len(c.Workspaces))
}

// activate puts a configuration in force if its version is higher than the active one,
// which it returns.
func (g *Gateway) activate(c *routing.Config) (before routing.Version, newer bool) {
	table, keys := routing.NewTable(c), g.newDirectory(c)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.table != nil {
		before = g.table.Config.Version
	}
	if c.Version <= before {
		return before, false
	}
	g.table, g.keys = table, keys
	g.budget.SetShards(table.IsShard)
	g.targets.SetShards(table.IsShard)
	clear(g.zoneCoverage)
	configured := map[routing.RouteName]bool{}
	for i := range c.Routes {
		configured[c.Routes[i].Name] = true
	}
	for name := range g.estimates {
		if !configured[name] {
			delete(g.estimates, name)
		}
	}
	return before, true
}

// applyTargets updates the targets from their entries. Invalid entries are ignored.
func (g *Gateway) applyTargets(k view.Copy, since clock.Time) {
	listings, removed := g.updateTargets(k, since)
	g.pool.CloseIdle(removed)
	g.log.Debug("targets updated", "revision", k.Revision, "targets", listings)
}

// updateTargets updates the targets and returns the number of valid entries, and the
// targets that were removed.
func (g *Gateway) updateTargets(k view.Copy, since clock.Time) (valid int, removed []topology.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	listings := make([]replica.Listing, 0, len(k.Objects))
	for name, o := range k.Objects {
		p, ok := g.listings[name]
		if !ok || p.revision != o.Revision {
			p = g.parseListing(name, o)
			g.listings[name] = p
		}
		if p.valid {
			listings = append(listings, p.listing)
		}
	}
	for name := range g.listings {
		if _, ok := k.Objects[name]; !ok {
			delete(g.listings, name)
		}
	}
	clear(g.zoneCoverage)
	now := g.clock.Now()
	removed = g.targets.UpdateSince(listings, since, now)
	g.observeVersions(listings, now)
	return len(listings), removed
}

func (g *Gateway) parseListing(name string, o view.Object) parsedListing {
	l, err := platform.ParseListing(name, o.Spec)
	if err != nil {
		g.log.Warn("invalid target entry ignored", "name", name, "revision", o.Revision, "err", err)
	}
	return parsedListing{revision: o.Revision, listing: l, valid: err == nil}
}

func (g *Gateway) applyEvacuations(k view.Copy) {
	zones := map[topology.ZoneID]bool{}
	for name := range k.Objects {
		zones[topology.ZoneID(name)] = true
	}
	if g.setEvacuated(zones) {
		g.signalWarmth()
		g.log.Info("evacuated zones changed", "revision", k.Revision, "zones", len(zones))
	}
}

// setEvacuated sets the zones whose targets get no requests, and reports whether they
// changed.
func (g *Gateway) setEvacuated(zones map[topology.ZoneID]bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.targets.SetEvacuated(zones, g.clock.Now())
}

// jitter returns a random duration from half to one and a half of d, so that
// instances don't make calls at the same time.
func (g *Gateway) jitter(d clock.Duration) clock.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d/2 + clock.Duration(g.random.Int64N(int64(d)))
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d clock.Duration) {
	timer := time.NewTimer(d.Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

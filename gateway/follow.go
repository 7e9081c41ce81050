package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
	"knapweedstall/platform"
)

// Times of following the store.
const (
	// watchWait bounds how long a watch that the store forgot keeps a change
	// unseen: a configuration is due everywhere 3 s after it was accepted, and
	// 4 s more are allowed after an outage.
	watchWait = 6 * clock.Second
	// settle collects changes that come in quick succession into one call.
	settle   = 200 * clock.Millisecond
	firstTry = 250 * clock.Millisecond // after a failed call
	lastTry  = 2 * clock.Second
)

// parsedListing remembers what an entry of the store says, so that it is not
// parsed again until it changes.
type parsedListing struct {
	revision view.Revision
	listing  replica.Listing
	valid    bool
}

// follow keeps the copy of one kind up to date until ctx is done: from the
// store, or from other instances while the store is out of reach.
func (g *Gateway) follow(ctx context.Context, kind string) {
	pause := firstTry
	reachable := true
	stale := true // the first list may be old, since the watch catches up
	for ctx.Err() == nil {
		changed, err := g.step(ctx, kind, stale)
		switch {
		case err == nil:
			if !reachable {
				g.log.Info("store regained", "kind", kind)
			}
			reachable, pause = true, firstTry
			if changed {
				sleep(ctx, settle)
			}
			continue
		case ctx.Err() != nil:
			return
		}
		var gone *platform.HistoryGoneError
		if errors.As(err, &gone) {
			g.log.Warn("store forgot its history", "kind", kind)
			g.forgetRevision(kind)
			stale = false
			continue
		}
		if reachable {
			g.log.Warn("store lost", "kind", kind, "err", err)
		}
		reachable = false
		g.syncFromPeer(ctx)
		sleep(ctx, g.jitter(pause))
		pause = min(2*pause, lastTry)
	}
}

// step makes one call of the store and applies what it returns.
func (g *Gateway) step(ctx context.Context, kind string, stale bool) (changed bool, err error) {
	have := g.view(kind)
	if have.Revision == 0 {
		k, err := g.store.List(ctx, kind, stale)
		if err != nil {
			return false, err
		}
		g.confirm(kind)
		g.adopt(kind, k)
		return false, nil
	}
	events, at, err := g.store.Watch(ctx, kind, have.Revision, watchWait)
	if err != nil {
		return false, err
	}
	g.confirm(kind)
	if len(events) == 0 && at == have.Revision {
		return false, nil
	}
	g.adopt(kind, have.Apply(events, at))
	return len(events) > 0, nil
}

func (g *Gateway) view(kind string) view.Kind {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	return g.views[kind]
}

// forgetRevision makes the next step list the kind. The objects stay in force.
func (g *Gateway) forgetRevision(kind string) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	k := g.views[kind]
	k.Revision = 0
	g.views[kind] = k
}

// confirm notes that the store has just told the newest state of kind.
func (g *Gateway) confirm(kind string) {
	if kind != platform.KindConfig {
		return
	}
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	g.confirmed = g.clock.Now()
}

// configAge returns for how long the configuration may have been replaced
// without this instance knowing. A watch that waits hears of a change at once.
func (g *Gateway) configAge() clock.Duration {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	return max(g.clock.Now().Sub(g.confirmed)-watchWait, 0)
}

// adopt puts a copy of a kind in force if it is newer than the one at hand.
func (g *Gateway) adopt(kind string, k view.Kind) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	if k.Revision <= g.views[kind].Revision {
		return
	}
	g.views[kind] = k
	switch kind {
	case platform.KindConfig:
		g.applyConfig(k)
	case platform.KindTargets:
		g.applyTargets(k)
	case platform.KindEvacuations:
		g.applyEvacuations(k)
	}
}

func (g *Gateway) applyConfig(k view.Kind) {
	o, ok := k.Objects[platform.ConfigName]
	if !ok {
		return
	}
	c, err := platform.ParseConfig(o.Spec)
	if err != nil {
		g.log.Error("configuration ignored", "revision", o.Revision, "err", err)
		return
	}
	g.mu.Lock()
	had := routing.Version(0)
	if g.table != nil {
		had = g.table.Config.Version
	}
	if c.Version <= had {
		g.mu.Unlock()
		return
	}
	g.table = routing.NewTable(c)
	named := map[routing.RouteName]bool{}
	for i := range c.Routes {
		named[c.Routes[i].Name] = true
	}
	for name := range g.estimates {
		if !named[name] {
			delete(g.estimates, name)
		}
	}
	g.mu.Unlock()
	g.callers.SetLimits(c.Limits)
	g.log.Info("configuration in force", "version", c.Version, "before", had, "revision", o.Revision, "routes", len(c.Routes))
}

func (g *Gateway) applyTargets(k view.Kind) {
	g.mu.Lock()
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
	ended := g.targets.List(listings, g.clock.Now())
	g.mu.Unlock()
	g.pool.Forget(ended)
	g.log.Debug("targets listed", "revision", k.Revision, "targets", len(listings))
}

func (g *Gateway) parseListing(name string, o view.Object) parsedListing {
	l, err := platform.ParseListing(name, o.Spec)
	if err != nil {
		g.log.Warn("entry of a target ignored", "name", name, "revision", o.Revision, "err", err)
	}
	return parsedListing{revision: o.Revision, listing: l, valid: err == nil}
}

func (g *Gateway) applyEvacuations(k view.Kind) {
	zones := map[topology.ZoneID]bool{}
	for name := range k.Objects {
		zones[topology.ZoneID(name)] = true
	}
	g.mu.Lock()
	g.targets.SetEvacuated(zones)
	g.mu.Unlock()
	g.log.Info("evacuated zones", "revision", k.Revision, "zones", len(zones))
}

// jitter returns a duration around d, so that instances don't call together.
func (g *Gateway) jitter(d clock.Duration) clock.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d/2 + clock.Duration(g.random.Int64N(int64(d)))
}

func sleep(ctx context.Context, d clock.Duration) {
	timer := time.NewTimer(d.Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

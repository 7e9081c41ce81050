package gateway

import (
	"cmp"
	"context"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/placing"
	"knapweedstall/core/topology"
	"knapweedstall/io/relay"
)

// One instance of each zone watches the store, and the others of the zone follow
// it, that is, they receive changes from it, because each call to the store has a
// cost. The instance that another one follows is its source. The order of
// comparePeers decides which instance watches, without coordination: an instance
// follows the first one before it that is up to date, and watches the store itself
// when there is none. If two instances watch, that only costs additional calls.
//
// An instance that watches also follows such instances of other zones, called its
// neighbours, so that it receives changes while its own connection to the store has
// failed without notice.

// Parameters of the choice of a source.
const (
	maxCandidates       = 3            // number of instances before this one that are tried
	neighbourRetryDelay = clock.Second // delay until a failed neighbour is tried again
	// candidateRetryDelay is the delay until a candidate that could not be followed
	// is tried again.
	candidateRetryDelay = 500 * clock.Millisecond
	// selfWatchPeriod is how often an instance that watches the store tries to find
	// a source instead.
	selfWatchPeriod = 12 * clock.Second
	// candidateWait is how long an instance waits for each candidate except one
	// before it watches the store itself. It limits the number of calls to the store
	// after a source has failed.
	candidateWait = 400 * clock.Millisecond
	// startupWait is the additional time before an instance watches the store after
	// its start, so that the first instance can do so.
	startupWait = clock.Second
	// storePollPeriod is how often an instance without a source checks whether the
	// store is available again.
	storePollPeriod = 800 * clock.Millisecond
	maxNeighbours   = 2 // number of instances of other zones that a watching instance follows
)

// syncCopies keeps the copies up to date until ctx is done.
func (g *Gateway) syncCopies(ctx context.Context) {
	g.loadCopies(ctx)
	g.joinInstances(ctx)
	retryAt := map[string]clock.Time{}       // by address: when a failed candidate may be tried again
	lostAt := g.clock.Now().Add(startupWait) // when the latest source failed
	for ctx.Err() == nil {
		candidates := g.candidates()
		if g.followAny(ctx, candidates, retryAt, func() {}) {
			lostAt = g.clock.Now()
			continue
		}
		if len(candidates) > 0 && g.clock.Now().Sub(lostAt) < candidateWait*clock.Duration(len(candidates)-1) {
			sleep(ctx, g.jitter(minRetryDelay))
			continue
		}
		g.watchStore(ctx, retryAt)
		lostAt = g.clock.Now()
	}
}

// watchStore watches the store until a candidate has been followed instead.
func (g *Gateway) watchStore(ctx context.Context, retryAt map[string]clock.Time) {
	if g.waitForStore(ctx, retryAt) {
		return
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	g.log.Info("watching the store")
	go g.followStore(watching)
	for i := range maxNeighbours {
		go g.followNeighbour(watching, i)
	}
	for ctx.Err() == nil {
		sleep(ctx, g.jitter(selfWatchPeriod))
		if g.followAny(ctx, g.candidates(), retryAt, stop) {
			return
		}
	}
}

// waitForStore waits until the store answers, and gets newer copies from other
// instances meanwhile. It polls the store with one small call, because all instances
// poll during an outage. It returns true when a candidate has been followed instead.
func (g *Gateway) waitForStore(ctx context.Context, retryAt map[string]clock.Time) bool {
	for unavailable := false; ctx.Err() == nil; unavailable = true {
		if err := g.pingStore(ctx); err == nil {
			// Instances that come first in the order start to watch first.
			candidates := g.candidates()
			if unavailable && len(candidates) > 0 {
				sleep(ctx, candidateWait*clock.Duration(len(candidates)))
				clear(retryAt)
			}
			return unavailable && g.followAny(ctx, candidates, retryAt, func() {})
		}
		g.syncFromPeer(ctx)
		if g.followAny(ctx, g.candidates(), retryAt, func() {}) {
			return true
		}
		sleep(ctx, g.jitter(storePollPeriod))
	}
	return true
}

// loadCopies gets the first copy of each kind, from the store or from another
// instance.
func (g *Gateway) loadCopies(ctx context.Context) {
	for pause := minRetryDelay; ctx.Err() == nil; pause = min(2*pause, maxRetryDelay) {
		var err error
		for _, kind := range followedKinds {
			if g.views.copyOf(kind).Revision != 0 {
				continue
			}
			if _, err = g.fetch(ctx, kind, true, true, noWait); err != nil {
				break
			}
		}
		if err != nil {
			g.log.Warn("store unavailable", "err", err)
			g.syncFromPeer(ctx)
		}
		if g.views.complete() {
			return
		}
		sleep(ctx, g.jitter(pause))
	}
}

// followAny follows the first candidate that is up to date, until it fails or is no
// longer up to date, and calls started at the beginning. It returns false when no
// candidate is up to date.
func (g *Gateway) followAny(ctx context.Context, candidates []string, retryAt map[string]clock.Time, started func()) bool {
	for _, address := range candidates {
		if g.clock.Now().Before(retryAt[address]) {
			continue
		}
		followed, err := g.followPeer(ctx, address, started)
		if ctx.Err() != nil {
			return true
		}
		retryAt[address] = g.clock.Now().Add(candidateRetryDelay)
		if followed {
			g.metrics.sourcesLost.Inc(1)
			g.log.Info("source lost", "source", address, "err", err)
			return true
		}
	}
	return false
}

// followPeer follows another instance until it stops sending, its connection ends
// or it is no longer up to date. followed tells whether it was up to date at first.
func (g *Gateway) followPeer(ctx context.Context, address string, started func()) (followed bool, err error) {
	err = relay.Follow(ctx, address, g.views.revisions(), g.silenceTimeout(), func(f relay.Frame) bool {
		g.views.merge(f)
		if f.Age > g.heartbeatPeriod() {
			return false
		}
		if !followed {
			followed = true
			started()
			g.log.Info("following an instance", "source", address)
		}
		return true
	})
	return followed, err
}

// heartbeatPeriod returns how often a source sends a heartbeat. Two missing
// heartbeats must be detected well before a new configuration is due at all
// instances.
func (g *Gateway) heartbeatPeriod() clock.Duration { return g.settings.Store.ConfigDueMS / 5 }

// silenceTimeout returns the time without a frame after which a source has failed.
func (g *Gateway) silenceTimeout() clock.Duration { return g.heartbeatPeriod() * 5 / 2 }

// followNeighbour follows the first instance of another zone until ctx is done. i
// selects the zone.
func (g *Gateway) followNeighbour(ctx context.Context, i int) {
	for ctx.Err() == nil {
		if address := g.neighbour(i); address != "" {
			err := relay.Follow(ctx, address, g.views.revisions(), g.silenceTimeout(), func(f relay.Frame) bool {
				g.views.merge(f)
				return true
			})
			g.log.Debug("following an instance of another zone ended", "source", address, "err", err)
		}
		sleep(ctx, g.jitter(neighbourRetryDelay))
	}
}

// neighbour returns the address of the first instance of the zone that is i+1
// places after this one in the order of the zones' names, or "".
func (g *Gateway) neighbour(i int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var firsts []placing.Instance // first instance of each zone
	for _, p := range g.peers {
		if !slices.ContainsFunc(firsts, func(f placing.Instance) bool { return f.Zone == p.Zone }) {
			firsts = append(firsts, p)
		}
	}
	slices.SortFunc(firsts, func(a, b placing.Instance) int { return cmp.Compare(a.Zone, b.Zone) })
	at := slices.IndexFunc(firsts, func(f placing.Instance) bool { return f.Zone == g.settings.Zone })
	if at < 0 || i+1 >= len(firsts) {
		return ""
	}
	return firsts[(at+i+1)%len(firsts)].Address
}

// candidates returns the peer addresses of the instances of the zone that come
// before this one, the first one first, at most maxCandidates.
func (g *Gateway) candidates() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := placing.Instance{ID: g.settings.Instance, Zone: g.settings.Zone, Capacity: g.settings.Capacity}
	var addresses []string
	for _, p := range g.peers {
		if p.Zone == self.Zone && p.ID != self.ID && comparePeers(p, self) < 0 {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses[:min(len(addresses), maxCandidates)]
}

// comparePeers orders instances by decreasing capacity, since sources have more
// work, and then by the hash of their ids.
func comparePeers(a, b placing.Instance) int {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(topology.Hash64(string(a.ID)), topology.Hash64(string(b.ID))),
		cmp.Compare(a.ID, b.ID),
	)
}

// syncFromPeer gets newer copies from one random other instance.
func (g *Gateway) syncFromPeer(ctx context.Context) {
	address := g.randomPeer()
	if address == "" {
		return
	}
	err := relay.Follow(ctx, address, g.views.revisions(), g.silenceTimeout(), func(f relay.Frame) bool {
		g.views.merge(f)
		return false
	})
	if err != nil {
		g.log.Debug("getting copies from an instance failed", "address", address, "err", err)
	}
}

// randomPeer returns the address of a random other instance, or "".
func (g *Gateway) randomPeer() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, a := range g.seeds {
		if a != g.settings.Listen.Peers {
			addresses = append(addresses, a)
		}
	}
	for _, p := range g.peers {
		if p.ID != g.settings.Instance {
			addresses = append(addresses, p.Address)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[g.random.IntN(len(addresses))]
}

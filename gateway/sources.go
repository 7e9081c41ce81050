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
// cost. An instance that another one follows is a source of that one. The order of
// comparePeers decides which instance watches, without coordination: an instance
// follows the first instance of its zone that precedes it in this order and is up to
// date, and watches the store itself when there is none. If two instances watch,
// that only costs additional calls. An instance is up to date if, as it states in its
// frames, it may have been missing changes for at most heartbeatPeriod.
//
// An instance that watches also follows the first instance, in the same order, of
// each of up to maxNeighbours other zones, whether or not that one watches. It
// follows these neighbours so that it receives changes while its own connection to
// the store has failed without notice.

// Parameters of the choice of a source.
const (
	maxCandidates       = 3            // number of instances preceding this one in the order that are tried
	neighbourRetryDelay = clock.Second // delay until a failed neighbour is tried again
	// candidateRetryDelay is the delay until a candidate that could not be followed
	// is tried again.
	candidateRetryDelay = 500 * clock.Millisecond
	// selfWatchPeriod is how often an instance that watches the store tries to find
	// a source instead.
	selfWatchPeriod = 12 * clock.Second
	// candidateWait is the wait for each candidate before an instance watches the
	// store itself: for all candidates except one after it has started or lost its
	// source, and for all of them when the store is available again. It limits the
	// number of calls to the store after a source has failed.
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
	retryAt := map[string]clock.Time{} // by address: when a failed candidate may be tried again
	// waitStart is when the wait for candidates starts: when the latest source was
	// lost, and at first startupWait from now.
	waitStart := g.clock.Now().Add(startupWait)
	for ctx.Err() == nil {
		candidates := g.candidates()
		if g.followAny(ctx, candidates, retryAt, func() {}) {
			waitStart = g.clock.Now()
			continue
		}
		if len(candidates) > 0 && g.clock.Now().Sub(waitStart) < candidateWait*clock.Duration(len(candidates)-1) {
			sleep(ctx, g.jitter(minRetryDelay))
			continue
		}
		g.watchStore(ctx, retryAt)
		waitStart = g.clock.Now()
	}
}

// watchStore waits until the store answers and watches it until a candidate can be
// followed instead. It returns when that candidate has been lost again or ctx is
// done.
func (g *Gateway) watchStore(ctx context.Context, retryAt map[string]clock.Time) {
	if g.waitForStore(ctx, retryAt) {
		return
	}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	g.log.Info("watching the store")
	go g.watchKinds(watchCtx)
	for i := range maxNeighbours {
		go g.followNeighbour(watchCtx, i)
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
// poll during an outage. It returns false when the store answers and no candidate has
// been followed. Otherwise it returns true: a candidate has been followed instead and
// lost again, or ctx is done.
func (g *Gateway) waitForStore(ctx context.Context, retryAt map[string]clock.Time) bool {
	// Only a failed ping leads to another pass, so pingFailed is true in all passes
	// but the first.
	for pingFailed := false; ctx.Err() == nil; pingFailed = true {
		if err := g.pingStore(ctx); err == nil {
			// Instances with fewer candidates before them start to watch first.
			candidates := g.candidates()
			if pingFailed && len(candidates) > 0 {
				sleep(ctx, candidateWait*clock.Duration(len(candidates)))
				clear(retryAt)
			}
			return pingFailed && g.followAny(ctx, candidates, retryAt, func() {})
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
		for _, kind := range copiedKinds {
			if g.views.copyOf(kind).Revision != 0 {
				continue
			}
			if _, err = g.fetch(ctx, kind, true /* list */, true /* stale */, noWait); err != nil {
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
// longer up to date, and then returns true. It calls onFollowing when the candidate
// has turned out to be up to date. It returns false when it has followed none, and
// true also when ctx ends while it tries or follows one.
func (g *Gateway) followAny(ctx context.Context, candidates []string, retryAt map[string]clock.Time, onFollowing func()) bool {
	for _, address := range candidates {
		if g.clock.Now().Before(retryAt[address]) {
			continue
		}
		followed, err := g.followPeer(ctx, address, onFollowing)
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
// or it is no longer up to date. It calls onFollowing after the first frame if the
// instance is up to date; followed tells whether it did.
func (g *Gateway) followPeer(ctx context.Context, address string, onFollowing func()) (followed bool, err error) {
	err = relay.Follow(ctx, address, g.views.revisions(), g.silenceTimeout(), func(f relay.Frame) bool {
		g.views.merge(f)
		if f.Age > g.heartbeatPeriod() {
			return false
		}
		if !followed {
			followed = true
			onFollowing()
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

// followNeighbour follows the first instance of another zone, whether or not it is up
// to date, until ctx is done. i selects the zone.
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
// places after this one in the order of the zones' names, or "". It relies on g.peers
// being in the order of comparePeers.
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
// before this one in the order of comparePeers, in which g.peers is sorted: the first
// one first, at most maxCandidates.
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

// syncFromPeer gets newer copies from one random other instance. It requests the
// changes with relay.Follow, but ends after the first frame.
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

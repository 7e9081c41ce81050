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

// One instance of each zone watches the store, and the others of the zone
// follow it, because each call of the store has its price. The order of the
// instances decides which one, without agreement: an instance follows the
// first one before it that is up to date, and watches the store itself when
// there is none. Two instances that watch cost calls, and nothing else.
//
// An instance that watches also follows such instances of other zones, so that
// a change arrives although its own way to the store has just gone silent.

// Figures of the choice of a source.
const (
	maxCandidates = 3            // instances before this one that are tried
	neighbourRest = clock.Second // until a neighbour that was lost is tried again
	// candidateRest is how long a candidate that could not be followed is not
	// tried again.
	candidateRest = 500 * clock.Millisecond
	// selfWatch is how long an instance watches the store until it looks for a
	// source again.
	selfWatch = 12 * clock.Second
	// patience is how long an instance waits for each candidate but one before
	// it turns to the store itself. It keeps the store's calls few when a
	// source is lost.
	patience = 400 * clock.Millisecond
	// startPatience is how long the first instance has at the start.
	startPatience = clock.Second
	// awaitPeriod is how often an instance without a source asks whether the
	// store is back.
	awaitPeriod   = 800 * clock.Millisecond
	maxNeighbours = 2 // instances of other zones that a watching one follows
)

// keepCurrent keeps the copies up to date until ctx is done.
func (g *Gateway) keepCurrent(ctx context.Context) {
	g.readOnce(ctx)
	g.firstInstances(ctx)
	rests := map[string]clock.Time{}         // until when candidates are not tried
	lost := g.clock.Now().Add(startPatience) // when the source was lost
	for ctx.Err() == nil {
		candidates := g.candidates()
		if g.followAny(ctx, candidates, rests, func() {}) {
			lost = g.clock.Now()
			continue
		}
		if len(candidates) > 0 && g.clock.Now().Sub(lost) < patience*clock.Duration(len(candidates)-1) {
			sleep(ctx, g.jitter(firstTry))
			continue
		}
		g.watchSelf(ctx, rests)
		lost = g.clock.Now()
	}
}

// watchSelf watches the store until a candidate was followed instead.
func (g *Gateway) watchSelf(ctx context.Context, rests map[string]clock.Time) {
	if g.awaitStore(ctx, rests) {
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
		sleep(ctx, g.jitter(selfWatch))
		if g.followAny(ctx, g.candidates(), rests, stop) {
			return
		}
	}
}

// awaitStore waits until the store answers, and takes newer copies from other
// instances meanwhile. It asks with one cheap call, because all instances wait
// during an outage. It returns true when a candidate was followed instead.
func (g *Gateway) awaitStore(ctx context.Context, rests map[string]clock.Time) bool {
	for away := false; ctx.Err() == nil; away = true {
		if err := g.askStore(ctx); err == nil {
			// The first instances begin to watch before the others do.
			candidates := g.candidates()
			if away && len(candidates) > 0 {
				sleep(ctx, patience*clock.Duration(len(candidates)))
				clear(rests)
			}
			return away && g.followAny(ctx, candidates, rests, func() {})
		}
		g.syncFromPeer(ctx)
		if g.followAny(ctx, g.candidates(), rests, func() {}) {
			return true
		}
		sleep(ctx, g.jitter(awaitPeriod))
	}
	return true
}

// readOnce takes a first copy of each kind, from the store or another instance.
func (g *Gateway) readOnce(ctx context.Context) {
	for pause := firstTry; ctx.Err() == nil; pause = min(2*pause, lastTry) {
		var err error
		for _, kind := range followedKinds {
			if g.views.kind(kind).Revision != 0 {
				continue
			}
			if _, err = g.step(ctx, kind, true, true, noWait); err != nil {
				break
			}
		}
		if err != nil {
			g.log.Warn("store lost", "err", err)
			g.syncFromPeer(ctx)
		}
		if g.views.complete() {
			return
		}
		sleep(ctx, g.jitter(pause))
	}
}

// followAny follows the first candidate that is up to date, as long as it is,
// and calls started when it begins to. It returns false when there is none.
func (g *Gateway) followAny(ctx context.Context, candidates []string, rests map[string]clock.Time, started func()) bool {
	for _, address := range candidates {
		if g.clock.Now().Before(rests[address]) {
			continue
		}
		followed, err := g.followPeer(ctx, address, started)
		if ctx.Err() != nil {
			return true
		}
		rests[address] = g.clock.Now().Add(candidateRest)
		if followed {
			g.metrics.lost.Inc(1)
			g.log.Info("source lost", "source", address, "err", err)
			return true
		}
	}
	return false
}

// followPeer follows another instance until it is silent, gone or no longer up
// to date. followed says that it was up to date at first.
func (g *Gateway) followPeer(ctx context.Context, address string, started func()) (followed bool, err error) {
	err = relay.Follow(ctx, address, g.views.revisions(), g.silence(), func(f relay.Frame) bool {
		g.views.take(f)
		if f.Age > g.heartbeat() {
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

// heartbeat is how often a source tells that it is there. Losing two of them
// must be noticed well before a configuration is due everywhere.
func (g *Gateway) heartbeat() clock.Duration { return g.settings.Store.ConfigDueMS / 5 }

// silence is how long a source may be silent.
func (g *Gateway) silence() clock.Duration { return g.heartbeat() * 5 / 2 }

// followNeighbour follows the first instance of another zone; i selects which.
func (g *Gateway) followNeighbour(ctx context.Context, i int) {
	for ctx.Err() == nil {
		if address := g.neighbour(i); address != "" {
			err := relay.Follow(ctx, address, g.views.revisions(), g.silence(), func(f relay.Frame) bool {
				g.views.take(f)
				return true
			})
			g.log.Debug("neighbour lost", "source", address, "err", err)
		}
		sleep(ctx, g.jitter(neighbourRest))
	}
}

// neighbour returns the address of the first instance of the zone that is i+1
// places after this one in the order of the zones' names, or "".
func (g *Gateway) neighbour(i int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var firsts []placing.Instance // of the zones
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
	mine := placing.Instance{ID: g.settings.Instance, Zone: g.settings.Zone, Capacity: g.settings.Capacity}
	var addresses []string
	for _, p := range g.peers {
		if p.Zone == mine.Zone && p.ID != mine.ID && comparePeers(p, mine) < 0 {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses[:min(len(addresses), maxCandidates)]
}

// comparePeers orders instances: those with more capacity first, since sources
// have more work.
func comparePeers(a, b placing.Instance) int {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(topology.Hash64(string(a.ID)), topology.Hash64(string(b.ID))),
		cmp.Compare(a.ID, b.ID),
	)
}

// syncFromPeer takes newer copies from one other instance.
func (g *Gateway) syncFromPeer(ctx context.Context) {
	address := g.somePeer()
	if address == "" {
		return
	}
	err := relay.Follow(ctx, address, g.views.revisions(), g.silence(), func(f relay.Frame) bool {
		g.views.take(f)
		return false
	})
	if err != nil {
		g.log.Debug("instance not reached", "address", address, "err", err)
	}
}

// somePeer returns the address of another instance, or "".
func (g *Gateway) somePeer() string {
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

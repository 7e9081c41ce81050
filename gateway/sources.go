package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/placing"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
	"knapweedstall/io/relay"
	"knapweedstall/platform"
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

	listInstances = 15 * clock.Second // between two reads of the instances
	firstListing  = clock.Second      // all instances of a new system register within this time
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
	var firsts []peer // of the zones
	for _, p := range g.peers {
		if !slices.ContainsFunc(firsts, func(f peer) bool { return f.zone == p.zone }) {
			firsts = append(firsts, p)
		}
	}
	slices.SortFunc(firsts, func(a, b peer) int { return cmp.Compare(a.zone, b.zone) })
	at := slices.IndexFunc(firsts, func(f peer) bool { return f.zone == g.settings.Zone })
	if at < 0 || i+1 >= len(firsts) {
		return ""
	}
	return firsts[(at+i+1)%len(firsts)].address
}

// candidates returns the peer addresses of the instances of the zone that come
// before this one, the first one first, at most maxCandidates.
func (g *Gateway) candidates() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	mine := peer{id: g.settings.Instance, zone: g.settings.Zone, capacity: g.settings.Capacity}
	var addresses []string
	for _, p := range g.peers {
		if p.zone == mine.zone && p.id != mine.id && comparePeers(p, mine) < 0 {
			addresses = append(addresses, p.address)
		}
	}
	return addresses[:min(len(addresses), maxCandidates)]
}

// comparePeers orders instances: those with more capacity first, since sources
// have more work.
func comparePeers(a, b peer) int {
	return cmp.Or(
		cmp.Compare(b.capacity, a.capacity),
		cmp.Compare(topology.Hash64(string(a.id)), topology.Hash64(string(b.id))),
		cmp.Compare(a.id, b.id),
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
		if p.id != g.settings.Instance {
			addresses = append(addresses, p.address)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[g.random.IntN(len(addresses))]
}

// firstInstances registers the instance and reads the other ones. It reads them
// at once, for an instance that starts again among others, and once more when
// all instances of a new system have registered.
func (g *Gateway) firstInstances(ctx context.Context) {
	g.readInstances(ctx, true)
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		g.register(ctx)
	}()
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

func (g *Gateway) applyInstances(k view.Kind) {
	var peers []peer
	for name, o := range k.Objects {
		in, err := platform.ParseInstance(name, o.Spec)
		if err != nil {
			g.log.Warn("entry of an instance ignored", "name", name, "err", err)
			continue
		}
		peers = append(peers, peer{
			id: topology.InstanceID(name), zone: topology.ZoneID(in.Zone), address: in.Address, capacity: in.Capacity,
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
	g.budget.SetParts(placing.Part(g.settings.Instance, instances), 1/float64(max(len(peers), 1)), g.clock.Now())
	g.targets.SetSharers(len(peers), g.coldTurn)
}

// coldTurn reports whether this instance is among the n that may send to a
// cold target. All instances that know the same instances agree on them. The
// caller holds mu.
func (g *Gateway) coldTurn(id topology.TargetID, n int) bool {
	mine := topology.Hash64(string(id) + "/" + string(g.settings.Instance))
	before := 0
	for _, p := range g.peers {
		if p.id != g.settings.Instance && topology.Hash64(string(id)+"/"+string(p.id)) > mine {
			before++
		}
	}
	return before < n
}

// runners returns the instances that may run searches.
func runners(peers []peer) []placing.Instance {
	var out []placing.Instance
	for _, p := range peers {
		if p.capacity > 0 {
			out = append(out, placing.Instance{ID: p.id, Zone: p.zone, Address: p.address, Capacity: p.capacity})
		}
	}
	return out
}

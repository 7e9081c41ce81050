package gateway

import (
	"context"

	"knapweedstall/core/clock"
	"knapweedstall/io/relay"
)

// copyPeriod is the time between two attempts of an instance without a source to get newer
// objects from another instance.
const copyPeriod = clock.Second

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

// startSync starts syncFromPeer unless it is going on. It does not wait for it, since the
// other instance may not answer.
func (g *Gateway) startSync(ctx context.Context) {
	if !g.syncing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.syncing.Store(false)
		g.syncFromPeer(ctx)
	}()
}

// startCopying gets newer objects from one random other instance, unless that is going on.
// The instance does not count as up to date for it.
func (g *Gateway) startCopying(ctx context.Context) {
	address := g.randomPeer()
	if address == "" || !g.syncing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.syncing.Store(false)
		err := relay.Follow(ctx, address, g.views.revisions(), g.silenceTimeout(), func(f relay.Frame) bool {
			g.views.mergeObjects(f)
			return false
		})
		if err != nil {
			g.log.Debug("getting copies from an instance failed", "address", address, "err", err)
		}
		sleep(ctx, g.jitter(copyPeriod))
	}()
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

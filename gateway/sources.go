package gateway

import (
	"context"
	"sync"

	"knapweedstall/core/clock"
	"knapweedstall/core/source"
	"knapweedstall/io/relay"
)

// Parameters of following other instances.
const (
	neighbourRetryDelay = clock.Second // delay until a failed neighbour is tried again
	maxNeighbours       = 2            // number of instances of other zones that a watching instance follows
)

// syncCopies keeps the copies up to date until ctx is done. Package source decides
// whether the instance follows another one or watches the store. An instance that
// watches also follows neighbours, that is, an instance of each of up to
// maxNeighbours other zones, so that it receives changes while its own connection to
// the store has failed without notice.
func (g *Gateway) syncCopies(ctx context.Context) {
	g.join(ctx)
	g.mu.Lock()
	g.chooser.Start(g.clock.Now())
	g.mu.Unlock()
	for ctx.Err() == nil {
		switch step := g.nextStep(); step.Action {
		case source.Follow:
			g.followCandidate(ctx, step.Address, func() {})
		case source.Watch:
			g.watchStore(ctx)
		case source.Probe:
			if g.probeStoreOnce(ctx) {
				g.watchStore(ctx)
			}
		case source.Wait:
			g.startCopying(ctx)
			sleep(ctx, g.jitter(step.Wait))
		}
	}
}

// loadCopies lists the objects of all kinds of which there is no copy yet, once.
func (g *Gateway) loadCopies(ctx context.Context) {
	var wait sync.WaitGroup
	for _, kind := range g.views.kinds() {
		if g.views.copyOf(kind).Revision != 0 {
			continue
		}
		wait.Go(func() {
			if _, err := g.fetch(ctx, kind, true /* list */, true /* stale */, noWait); err != nil {
				g.log.Info("loading a copy from the store failed", "kind", kind, "err", err)
			}
		})
	}
	wait.Wait()
}

func (g *Gateway) nextStep() source.Step {
	age, complete := g.views.age(), g.views.complete()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chooser.Next(age, complete, g.clock.Now())
}

// followNextCandidate follows the next candidate that may be tried, if there is one,
// while the instance reads the store. It calls onFollowing when the candidate has
// turned out to be up to date, and returns whether it has.
func (g *Gateway) followNextCandidate(ctx context.Context, onFollowing func()) bool {
	for ctx.Err() == nil {
		g.mu.Lock()
		address := g.chooser.Candidate(g.clock.Now())
		g.mu.Unlock()
		if address == "" {
			return false
		}
		if g.followCandidate(ctx, address, onFollowing) {
			return true
		}
	}
	return false
}

// followCandidate follows an instance of the zone until it fails or is no longer up to
// date. It calls onFollowing when the instance has turned out to be up to date, and
// returns whether it has.
func (g *Gateway) followCandidate(ctx context.Context, address string, onFollowing func()) bool {
	outcome, err := g.followPeer(ctx, address, onFollowing)
	followed := outcome == source.Lost || outcome == source.Outdated
	if ctx.Err() != nil {
		return followed
	}
	g.mu.Lock()
	g.chooser.Ended(address, outcome, g.clock.Now())
	g.mu.Unlock()
	if followed {
		g.metrics.sourcesLost.Inc(1)
		g.log.Info("source lost", "source", address, "err", err)
		g.views.wakeFollowers()
	}
	return followed
}

// followPeer follows another instance until it stops sending, its connection ends or
// it is no longer up to date. It calls onFollowing after the first frame that shows
// that the instance is up to date. An instance without copies of all kinds follows one
// that is not up to date for up to maxLoadWait, since that one may be loading them too.
func (g *Gateway) followPeer(ctx context.Context, address string, onFollowing func()) (source.Outcome, error) {
	outcome := source.Unreachable
	started := g.clock.Now()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	lacking := g.newLackingKinds(ctx)
	err := relay.Follow(ctx, address, g.views.revisions(), g.silenceTimeout(), func(f relay.Frame) bool {
		g.views.merge(f)
		switch {
		case f.Age > g.maxSourceAge() && outcome == source.Lost:
			outcome = source.Outdated
			g.views.takeBack(f)
			return false
		case f.Age > g.maxSourceAge():
			outcome = source.Stale
			return !g.views.complete() && g.clock.Now().Sub(started) < maxLoadWait
		case outcome != source.Lost:
			outcome = source.Lost
			onFollowing()
			g.log.Info("following an instance", "source", address)
		}
		lacking.watch(f)
		return true
	})
	return outcome, err
}

// maxLoadWait bounds the time for which an instance without copies waits for those of
// one other instance.
const maxLoadWait = 1500 * clock.Millisecond

// maxSourceAge is how long a source may have been missing changes. A source that
// follows another one itself hears from that one once in each heartbeat period.
func (g *Gateway) maxSourceAge() clock.Duration { return g.heartbeatPeriod() * 3 / 2 }

// heartbeatPeriod returns how often a source sends a heartbeat. Two missing
// heartbeats must be detected well before a new configuration is due at all
// instances.
func (g *Gateway) heartbeatPeriod() clock.Duration { return g.settings.Store.ConfigDueMS / 5 }

// silenceTimeout returns the time without a frame after which a source has failed.
func (g *Gateway) silenceTimeout() clock.Duration { return g.heartbeatPeriod() * 5 / 2 }

// followNeighbour follows an instance of another zone until ctx is done: the first one, or
// the next one after one that can't be reached or is not up to date. i selects the zone. It
// begins when there are copies of all kinds, since the neighbour would send all objects
// from another zone.
func (g *Gateway) followNeighbour(ctx context.Context, i int) {
	for attempt := 0; ctx.Err() == nil; {
		if address := g.neighbour(i, attempt); address != "" && g.views.complete() {
			err := relay.Follow(ctx, address, g.views.revisions(), g.silenceTimeout(), func(f relay.Frame) bool {
				g.views.merge(f)
				return f.Age <= g.maxSourceAge()
			})
			g.log.Debug("following an instance of another zone ended", "source", address, "err", err)
			attempt++
		}
		sleep(ctx, g.jitter(neighbourRetryDelay))
	}
}

// neighbour returns the address of an instance of another zone, or "". i selects the zone
// and attempt the instance.
func (g *Gateway) neighbour(i, attempt int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return source.Neighbour(g.peers, g.settings.Zone, i, attempt)
}

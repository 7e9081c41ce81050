package gateway

import (
	"context"
	"sync"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/source"
	"knapweedstall/io/relay"
	"knapweedstall/platform"
)

// Parameters of following other instances.
const (
	neighbourRetryDelay = clock.Second // delay until a failed neighbour is tried again
	// selfWatchPeriod is how often an instance that watches the store tries to find
	// a source instead.
	selfWatchPeriod = 4 * clock.Second
	// startPollPeriod is how often an instance without copies, which can't serve, checks
	// whether the store is available again.
	startPollPeriod = 300 * clock.Millisecond
	maxNeighbours   = 2 // number of instances of other zones that a watching instance follows
	// copyPeriod is the time between two attempts of an instance without a source to get
	// newer objects from another instance.
	copyPeriod = clock.Second
	// maxTurnSearch is how long an instance whose turn it is to watch the store waits for
	// the end of a search for a candidate. One that is up answers within some milliseconds.
	maxTurnSearch = 250 * clock.Millisecond
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

// probeStoreOnce reports whether the store answers one small call.
func (g *Gateway) probeStoreOnce(ctx context.Context) bool {
	_, err := g.store.List(ctx, platform.KindEvacuations, true /* stale */, probeTimeout)
	if err == nil {
		g.log.Info("store answers, although the readers of the zone are not up to date")
		return true
	}
	g.log.Debug("store does not answer", "err", err)
	g.views.markAway()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.ProbeFailed(g.clock.Now())
	return false
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
	complete := g.views.complete()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chooser.Next(complete, g.clock.Now())
}

// sourceSearch is the search for a candidate to follow that goes on beside the reading of
// the store. An attempt at an instance without power takes as long as a timeout, and there
// may be many of these, so nothing waits for the end of a search without a bound.
type sourceSearch struct{ begun chan chan struct{} }

func newSourceSearch() *sourceSearch { return &sourceSearch{begun: make(chan chan struct{}, 1)} }

// begin begins a search, unless one is waiting to begin. It returns a channel that is
// closed when the search has ended without a candidate.
func (s *sourceSearch) begin() <-chan struct{} {
	ended := make(chan struct{})
	select {
	case s.begun <- ended:
	default:
	}
	return ended
}

// searchSource tries the candidates each time that a search begins, until one has been
// followed and lost again or ctx is done. It calls onFollowing when a candidate has turned
// out to be up to date.
func (g *Gateway) searchSource(ctx context.Context, search *sourceSearch, onFollowing func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case ended := <-search.begun:
			if g.followNextCandidate(ctx, onFollowing) {
				return
			}
			close(ended)
		}
	}
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

// watchStore reads the store and meanwhile looks for a candidate to follow instead. It
// returns when that candidate has been lost again or ctx is done.
func (g *Gateway) watchStore(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for i := range maxNeighbours {
		go g.followNeighbour(ctx, i)
	}
	reading, stopReading := context.WithCancel(ctx)
	search, ended := newSourceSearch(), make(chan struct{})
	go func() {
		defer close(ended)
		g.searchSource(ctx, search, stopReading)
	}()
	g.readStore(reading, search)
	if reading.Err() == nil { // the readers of the zone go on
		stop()
	}
	<-ended
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.WatchEnded(g.clock.Now())
}

// readStore polls the store while it does not answer, and watches it while it does, until
// ctx is done or the instance leaves the polling to the readers of its zone. It waits for
// no other instance.
func (g *Gateway) readStore(ctx context.Context, search *sourceSearch) {
	for g.waitForStore(ctx, search) {
		g.watchUntilLost(ctx, search)
	}
}

// watchUntilLost watches the store until the store no longer answers or ctx is done.
func (g *Gateway) watchUntilLost(ctx context.Context, search *sourceSearch) {
	g.log.Info("watching the store")
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		g.watchKinds(ctx)
	}()
	timer := time.NewTimer(g.jitter(selfWatchPeriod).Std())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-lost:
			return
		case <-timer.C:
			search.begin()
			timer.Reset(g.jitter(selfWatchPeriod).Std())
		}
	}
}

// waitForStore waits until the store answers. It polls the store with one small call, and
// meanwhile looks for a candidate to follow and, while copies are missing, for any instance
// that has them. It returns false when ctx is done or the readers of the zone poll the
// store instead.
func (g *Gateway) waitForStore(ctx context.Context, search *sourceSearch) bool {
	for failed := false; ctx.Err() == nil; failed = true {
		_, err := g.pingStore(ctx)
		if err == nil {
			if failed {
				g.waitTurn(ctx, search)
			}
			return ctx.Err() == nil
		}
		g.log.Debug("store does not answer", "err", err)
		g.views.markAway()
		search.begin()
		pause, goOn := g.pollPause(ctx)
		if !goOn {
			return false
		}
		sleep(ctx, g.jitter(pause))
	}
	return false
}

// pollPause returns the time until the next poll of a store that does not answer, and
// whether there is one. An instance without copies of all kinds, which can't serve, gets
// them from another instance meanwhile.
func (g *Gateway) pollPause(ctx context.Context) (pause clock.Duration, goOn bool) {
	if !g.views.complete() {
		g.startSync(ctx)
		return startPollPeriod, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chooser.PollPause(g.clock.Now())
}

// waitTurn waits, after the store has become available again, until it is this
// instance's turn to watch it. Until then, a candidate may turn out to be up to date.
func (g *Gateway) waitTurn(ctx context.Context, search *sourceSearch) {
	g.mu.Lock()
	wait := g.chooser.StoreAvailable()
	g.mu.Unlock()
	if wait == 0 {
		return
	}
	sleep(ctx, wait)
	select {
	case <-ctx.Done():
	case <-search.begin():
	case <-time.After(maxTurnSearch.Std()):
	}
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

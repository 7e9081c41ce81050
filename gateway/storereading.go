package gateway

import (
	"context"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/platform"
)

// Timing of reading the store.
const (
	// selfWatchPeriod is how often an instance that watches the store tries to find
	// a source instead.
	selfWatchPeriod = 4 * clock.Second
	// startPollPeriod is how often an instance without copies, which can't serve, checks
	// whether the store is available again.
	startPollPeriod = 300 * clock.Millisecond
	// maxTurnSearch is how long an instance whose turn it is to watch the store waits for
	// the end of a search for a candidate. One that is up answers within some milliseconds.
	maxTurnSearch = 250 * clock.Millisecond
)

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
		g.markDenied()
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

package gateway

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/view"
	"knapweedstall/platform"
)

// Timing of the calls that keep copies up to date from the store.
const (
	// batchDelay is the pause after a change, so that changes in quick succession
	// are read with one call.
	batchDelay    = 200 * clock.Millisecond
	minRetryDelay = 250 * clock.Millisecond // delay after the first failed call
	maxRetryDelay = 2 * clock.Second
	// unavailableAfter is how long calls may fail until the copies count as possibly
	// outdated, also for the instances that follow this one. A broken connection is
	// reopened within this time.
	unavailableAfter = 400 * clock.Millisecond
	// probePeriod and probeTimeout must detect that the store no longer answers
	// early enough to follow another instance before a new configuration is due,
	// which is 3 s after the store accepted it.
	probePeriod  = 700 * clock.Millisecond
	probeTimeout = 1100 * clock.Millisecond // a slow store answers within some hundred milliseconds
	// noWait makes a watch return at once with the changes so far.
	noWait = clock.Millisecond
	// callTimeout bounds a call, not counting the time that a watch waits for
	// changes.
	callTimeout = clock.Second
	// firstWatchTimeout bounds a watch with noWait, which shows whether the store
	// can be reached.
	firstWatchTimeout = 500 * clock.Millisecond
)

// watchKinds keeps all copies up to date from the store until the store stops
// answering probes or ctx is done. It ends all watches then, since a watch on a dead
// connection would wait for nothing.
func (g *Gateway) watchKinds(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for _, kind := range g.views.kinds() {
		wait.Go(func() { g.watchKind(ctx, kind) })
	}
	g.probeStore(ctx)
	stop()
	wait.Wait()
}

// probeStore makes a small call to the store at each probePeriod. It returns when
// the store does not answer any more after it has answered before, when the store has
// been restored from an older copy, or when ctx is done.
func (g *Gateway) probeStore(ctx context.Context) {
	answeredAt := clock.Time(0) // when the latest successful probe was sent
	for {
		sleep(ctx, probePeriod)
		askedAt := g.clock.Now()
		era, err := g.pingStore(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && era > g.views.era():
			g.log.Warn("store was restored from an older copy; listing all objects again", "era", era)
			return
		case err == nil:
			answeredAt = askedAt
		case answeredAt != 0:
			g.metrics.sourcesLost.Inc(1)
			g.log.Warn("store does not answer", "sinceMs", int64(g.clock.Now().Sub(answeredAt)), "err", err)
			g.views.markLost(answeredAt)
			g.markDenied()
			return
		}
	}
}

// pingStore makes a small call to the store and returns the store's era. It retries once
// after a broken connection, but not after a timeout.
func (g *Gateway) pingStore(ctx context.Context) (view.Era, error) {
	started := g.clock.Now()
	k, err := g.store.List(ctx, platform.KindEvacuations, true, probeTimeout)
	if err != nil && g.clock.Now().Sub(started) < probeTimeout {
		k, err = g.store.List(ctx, platform.KindEvacuations, true, probeTimeout)
	}
	return k.Revision.Era(), err
}

// watchKind keeps the copy of one kind up to date from the store. While the store
// is unavailable, it gets newer copies from other instances.
func (g *Gateway) watchKind(ctx context.Context, kind string) {
	defer g.views.setWatched(kind, false)
	pause, failedAt := minRetryDelay, clock.Time(0)
	list := g.views.copyOf(kind).Revision == 0
	stale := list  // the first list may be outdated, since the watch returns later changes
	wait := noWait // the first watch shows at once whether the copy is up to date
	for ctx.Err() == nil {
		changed, err := g.fetch(ctx, kind, list, stale, wait)
		if ctx.Err() != nil {
			return
		}
		var gone *platform.HistoryGoneError
		switch {
		case err == nil:
			if failedAt != 0 {
				g.log.Info("store available again", "kind", kind, "afterMs", int64(g.clock.Now().Sub(failedAt)))
			}
			g.views.setWatched(kind, !list || !stale)
			if !list {
				wait = g.watchWait(kind)
			}
			list, pause, failedAt = false, minRetryDelay, 0
			if changed {
				sleep(ctx, batchDelay)
			}
		case errors.As(err, &gone):
			g.log.Warn("store history is gone; listing all objects again", "kind", kind)
			g.views.setWatched(kind, false)
			list, stale, wait = true, false, noWait
		default:
			if failedAt == 0 {
				failedAt = g.clock.Now()
				g.metrics.sourcesLost.Inc(1)
				g.log.Warn("store unavailable", "kind", kind, "err", err)
			}
			if g.clock.Now().Sub(failedAt) >= unavailableAfter {
				g.views.setWatched(kind, false)
				g.markDenied()
				wait = noWait
				g.syncFromPeer(ctx)
			}
			sleep(ctx, g.jitter(pause))
			pause = min(2*pause, maxRetryDelay)
		}
	}
}

// fetch makes one call to the store and updates the copy of the kind with the result.
// If list is set, it lists the objects, and stale allows an outdated list; otherwise
// it watches the kind for changes for up to wait. changed tells whether a watch
// returned changes.
func (g *Gateway) fetch(ctx context.Context, kind string, list, stale bool, wait clock.Duration) (changed bool, err error) {
	if list {
		k, err := g.store.List(ctx, kind, stale, callTimeout)
		if err != nil {
			return false, err
		}
		g.views.update(kind, func(have view.Copy) view.Copy {
			if k.Revision < have.Revision {
				return have
			}
			return k
		})
		return false, nil
	}
	have := g.views.copyOf(kind)
	timeout := callTimeout
	if wait == noWait {
		timeout = firstWatchTimeout
	}
	events, at, err := g.store.Watch(ctx, kind, have.Revision, wait, timeout)
	if err != nil {
		return false, err
	}
	g.views.update(kind, func(k view.Copy) view.Copy { return k.Apply(events, at) })
	return len(events) > 0, nil
}

// instancesWatchWait is how long a watch waits for changes of the instances. If the
// store drops it without closing it, shares and sources are out of date for so long,
// which costs little.
const instancesWatchWait = 12 * clock.Second

// watchWait returns how long a watch waits for changes of a kind. It bounds how long a
// change is missed if the store drops a watch without closing it: the newest
// configuration is due within CatchUpMS after an outage.
func (g *Gateway) watchWait(kind string) clock.Duration {
	if kind == platform.KindInstances {
		return instancesWatchWait
	}
	const margin = clock.Second // time for listing the kind again
	return max(g.settings.Store.CatchUpMS-margin, clock.Second)
}

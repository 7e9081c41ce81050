package gateway

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/view"
	"knapweedstall/platform"
)

// Times of following the store.
const (
	// settle collects changes that come in quick succession into one call.
	settle   = 200 * clock.Millisecond
	firstTry = 250 * clock.Millisecond // after a failed call
	lastTry  = 2 * clock.Second
	// lostAfter is how long a call may fail until other instances are told that
	// changes may be missing. A connection that was cut is opened again by then.
	lostAfter = 400 * clock.Millisecond
	// A silent store must be noticed soon enough for another instance to be
	// followed before a configuration is due, 3 s after it was accepted.
	probePeriod  = 700 * clock.Millisecond
	probeTimeout = 1100 * clock.Millisecond // a slow store takes some hundred
	// noWait makes a watch return what is known at once.
	noWait = clock.Millisecond
	// callTimeout bounds a call besides the time that a watch waits.
	callTimeout = clock.Second
	// firstTimeout bounds the first watch, which shows whether the store can be
	// reached at all.
	firstTimeout = 500 * clock.Millisecond
)

// followStore keeps all copies up to date from the store until ctx is done. It
// begins anew when the way to the store has gone silent, since a watch on it
// would wait in vain.
func (g *Gateway) followStore(ctx context.Context) {
	for ctx.Err() == nil {
		attempt, stop := context.WithCancel(ctx)
		var wait sync.WaitGroup
		for _, kind := range followedKinds {
			wait.Go(func() { g.followKind(attempt, kind) })
		}
		g.probeStore(attempt)
		stop()
		wait.Wait()
	}
}

// probeStore asks the store for something small again and again. It returns
// when the store no longer answers though it did before, or ctx is done.
func (g *Gateway) probeStore(ctx context.Context) {
	answered := clock.Time(0) // when the store last did
	for {
		sleep(ctx, probePeriod)
		asked := g.clock.Now()
		err := g.askStore(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			answered = asked
		case answered != 0:
			g.metrics.lost.Inc(1)
			g.log.Warn("store does not answer", "sinceMs", int64(g.clock.Now().Sub(answered)), "err", err)
			g.views.lost(answered)
			return
		}
	}
}

// askStore reads something small from the store. A connection that breaks is
// tried again; a store that is silent is not.
func (g *Gateway) askStore(ctx context.Context) error {
	started := g.clock.Now()
	_, err := g.store.List(ctx, platform.KindEvacuations, true, probeTimeout)
	if err != nil && g.clock.Now().Sub(started) < probeTimeout {
		_, err = g.store.List(ctx, platform.KindEvacuations, true, probeTimeout)
	}
	return err
}

// followKind keeps the copy of one kind up to date from the store. While the
// store is out of reach, it takes newer copies from other instances.
func (g *Gateway) followKind(ctx context.Context, kind string) {
	defer g.views.setWatched(kind, false)
	pause, failedAt := firstTry, clock.Time(0)
	list := g.views.kind(kind).Revision == 0
	stale := list  // the first list may be old, since the watch catches up
	wait := noWait // the first watch tells at once whether the copy is up to date
	for ctx.Err() == nil {
		changed, err := g.step(ctx, kind, list, stale, wait)
		if ctx.Err() != nil {
			return
		}
		var gone *platform.HistoryGoneError
		switch {
		case err == nil:
			if failedAt != 0 {
				g.log.Info("store regained", "kind", kind, "afterMs", int64(g.clock.Now().Sub(failedAt)))
			}
			g.views.setWatched(kind, !list || !stale)
			if !list {
				wait = g.watchWait()
			}
			list, pause, failedAt = false, firstTry, 0
			if changed {
				sleep(ctx, settle)
			}
		case errors.As(err, &gone):
			g.log.Warn("store forgot its history", "kind", kind)
			g.views.setWatched(kind, false)
			list, stale, wait = true, false, noWait
		default:
			if failedAt == 0 {
				failedAt = g.clock.Now()
				g.metrics.lost.Inc(1)
				g.log.Warn("store lost", "kind", kind, "err", err)
			}
			if g.clock.Now().Sub(failedAt) >= lostAfter {
				g.views.setWatched(kind, false)
				wait = noWait
				g.syncFromPeer(ctx)
			}
			sleep(ctx, g.jitter(pause))
			pause = min(2*pause, lastTry)
		}
	}
}

// step makes one call of the store and applies what it returns.
func (g *Gateway) step(ctx context.Context, kind string, list, stale bool, wait clock.Duration) (changed bool, err error) {
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
	have := g.views.kind(kind)
	timeout := callTimeout
	if wait == noWait {
		timeout = firstTimeout
	}
	events, at, err := g.store.Watch(ctx, kind, have.Revision, wait, timeout)
	if err != nil {
		return false, err
	}
	g.views.update(kind, func(k view.Copy) view.Copy { return k.Apply(events, at) })
	return len(events) > 0, nil
}

// watchWait bounds how long a change stays unseen when the store has forgotten
// a watch: within CatchUp of an outage, the newest configuration is due.
func (g *Gateway) watchWait() clock.Duration {
	const margin = clock.Second // for listing the kind again
	return max(g.settings.Store.CatchUpMS-margin, clock.Second)
}

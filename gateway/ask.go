package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/platform"
)

// askPeriod is how often an instance checks whether its copies are so old that it must ask
// the store itself.
const askPeriod = 100 * clock.Millisecond

// askStore asks the store for changes whenever the copies of this instance have become too
// old, whatever it takes them from, until ctx is done. It waits for no other instance.
func (g *Gateway) askStore(ctx context.Context) {
	ticker := time.NewTicker(askPeriod.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.askSoon:
		}
		if g.askDue() {
			g.askStoreOnce(ctx)
		}
	}
}

// askDue reports whether the instance must ask the store itself. It also sets until when
// the instance may act on its copies.
func (g *Gateway) askDue() bool {
	if !g.views.complete() {
		return false
	}
	age := g.views.age()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.actUntil.Store(int64(g.chooser.ActUntil(age, now)))
	return g.chooser.AskDue(age, now)
}

// mayAct reports whether the instance may act on its copies. If it may not, it asks the
// store at once.
func (g *Gateway) mayAct() bool {
	if g.clock.Now().Before(clock.Time(g.actUntil.Load())) {
		return true
	}
	select {
	case g.askSoon <- struct{}{}:
	default:
	}
	return false
}

// askStoreOnce gets the changes of all kinds from the store. The call for the configuration
// shows whether the store answers this instance.
func (g *Gateway) askStoreOnce(ctx context.Context) {
	asked := g.clock.Now()
	err := g.refresh(ctx, platform.KindConfig)
	if err == nil {
		err = g.refreshOthers(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		g.log.Info("store does not answer, and the copies are old", "ageMs", int64(g.views.age()), "err", err)
		g.markDenied()
		return
	}
	g.log.Info("copies taken from the store because of their age", "tookMs", int64(g.clock.Now().Sub(asked)))
	g.views.answered()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.Answered(g.clock.Now())
}

// refreshOthers gets the changes of all kinds but the configuration.
func (g *Gateway) refreshOthers(ctx context.Context) error {
	var wait sync.WaitGroup
	kinds := g.views.kinds()
	failed := make(chan error, len(kinds))
	for _, kind := range kinds {
		if kind == platform.KindConfig {
			continue
		}
		wait.Go(func() {
			if err := g.refresh(ctx, kind); err != nil {
				failed <- err
			}
		})
	}
	wait.Wait()
	close(failed)
	return <-failed // nil if there is none
}

// refresh gets the changes of a kind from the store.
func (g *Gateway) refresh(ctx context.Context, kind string) error {
	asked := g.clock.Now()
	_, err := g.fetch(ctx, kind, false /* list */, false /* stale */, noWait)
	var gone *platform.HistoryGoneError
	if errors.As(err, &gone) {
		_, err = g.fetch(ctx, kind, true /* list */, false /* stale */, noWait)
	}
	if err == nil {
		g.views.refresh(kind, asked)
	}
	return err
}

// markDenied notes that the store does not answer this instance.
func (g *Gateway) markDenied() {
	g.views.markAway()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.Denied(g.clock.Now())
}

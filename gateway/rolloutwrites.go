package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/rollout"
	"knapweedstall/core/view"
	"knapweedstall/platform"
)

// decisionPeriod is how often the decider is asked for writes. It is short compared with
// the time within which a bad version must get no more requests.
const decisionPeriod = 50 * clock.Millisecond

// failuresLogged is the number of failed writes of which one is logged: about one in 5 s
// while the store is away.
const failuresLogged = 20

// writeDecisions makes the writes of this instance's decider until ctx is done.
func (g *Gateway) writeDecisions(ctx context.Context) {
	ticker := time.NewTicker(decisionPeriod.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, w := range g.dueWrites() {
			go g.writeDecision(ctx, w)
		}
	}
}

// dueWrites returns the writes to make now.
func (g *Gateway) dueWrites() []rollout.Write {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rollouts.decider.Due(g.clock.Now())
}

// writeDecision writes the status of an order and tells the decider the result. The
// decider repeats a write whose result is unknown.
func (g *Gateway) writeDecision(ctx context.Context, w rollout.Write) {
	started := g.clock.Now()
	name := string(w.Service)
	o, err := g.putStatus(ctx, w)
	if resultUnknown(err) {
		o, err = g.writeThrough(ctx, w, err)
	}
	took := g.clock.Now().Sub(started)
	logger := g.log.With("service", name, "target", w.Status.Target, "state", string(w.Status.State),
		"reason", w.Reason, "expected", w.Revision, "tookMs", int64(took))
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		logger.Info("rollout status written", "revision", o.Revision)
		g.noteWritten(w, o)
	case errors.As(err, &conflict):
		logger.Warn("rollout status not written: the order has changed", "revision", conflict.Object.Revision, "status", string(conflict.Object.Status))
		g.noteConflict(w, conflict.Object)
	case removed(err):
		logger.Warn("rollout status not written: the order was removed")
		g.noteWrite(w, "removed", func(d *rollout.Decider) { d.Removed(w) })
	default:
		if failures := g.noteFailedWrite(w); failures == 1 || failures%failuresLogged == 0 {
			logger.Warn("writing a rollout's status failed", "failures", failures, "err", err)
		}
	}
}

// putStatus writes the status of an order to the store.
func (g *Gateway) putStatus(ctx context.Context, w rollout.Write) (view.Object, error) {
	return g.store.PutStatus(ctx, platform.KindRollouts, string(w.Service), w.Revision, platform.OrderStatus(w.Status))
}

// noteWrite counts a write with a known result and tells the decider.
func (g *Gateway) noteWrite(w rollout.Write, result string, tell func(*rollout.Decider)) {
	g.metrics.rolloutWrite(result)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.rollouts.failedWrites, w.Service)
	tell(g.rollouts.decider)
}

// noteFailedWrite counts a write whose result is unknown and tells the decider. It returns
// how many have failed one after the other.
func (g *Gateway) noteFailedWrite(w rollout.Write) int {
	g.metrics.rolloutWrite("failed")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rollouts.failedWrites[w.Service]++
	g.rollouts.decider.Failed(w, g.clock.Now())
	return g.rollouts.failedWrites[w.Service]
}

// noteWritten notes the object that the store returned for an accepted write. If the
// answer does not describe an order, the write is repeated: the store then refuses it and
// returns the order.
func (g *Gateway) noteWritten(w rollout.Write, o view.Object) {
	current := g.parseOrder(string(w.Service), o)
	g.noteWrite(w, "accepted", func(d *rollout.Decider) {
		if !current.valid {
			d.Failed(w, g.clock.Now())
			return
		}
		d.Answered(w, current.state, g.clock.Now())
	})
}

// noteConflict notes the object that the store returned for a refused write. A malformed
// one, which has replaced the order, counts as removed.
func (g *Gateway) noteConflict(w rollout.Write, o view.Object) {
	current := g.parseOrder(string(w.Service), o)
	g.noteWrite(w, "conflict", func(d *rollout.Decider) {
		if !current.valid {
			d.Removed(w)
			return
		}
		d.Answered(w, current.state, g.clock.Now())
	})
}

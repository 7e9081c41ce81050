package gateway

import (
	"context"

	"knapweedstall/core/clock"
	"knapweedstall/core/poison"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
	"knapweedstall/platform"
)

const (
	// investigateTime is how long the answer to a new connection is waited for.
	investigateTime = 200 * clock.Millisecond
	// crashTries is how often a crash is written to the store.
	crashTries = 4
	// crashedShare is the part of a search's targets that must have ended for the
	// search to be the cause; a few may end by chance.
	crashedShare = 0.5
)

// quarantined reports whether the request may not reach a target any more.
func (g *Gateway) quarantined(f poison.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Refused(f, g.clock.UnixMillis())
}

// investigate finds out whether a target whose connection broke has ended, and
// tells all instances if the request may be the cause.
func (g *Gateway) investigate(q *request, id topology.TargetID, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), investigateTime.Std())
	defer cancel()
	if !g.pool.Refuses(ctx, id, address) {
		return
	}
	g.mu.Lock()
	q.crashed++
	suspected := float64(q.crashed) >= crashedShare*float64(len(q.services))
	c := poison.Crash{Fingerprint: q.print, Target: id, UnixMS: g.clock.UnixMillis()}
	if suspected {
		g.crashes.Add(c)
	}
	g.mu.Unlock()
	if !suspected {
		return
	}
	g.log.Warn("target ended while it ran a request", "id", q.out.ID, "target", id, "fingerprint", c.Fingerprint)
	g.tellCrash(c)
}

// tellCrash writes a crash to the store.
func (g *Gateway) tellCrash(c poison.Crash) {
	name, spec := platform.CrashObject(c)
	for range crashTries {
		err := g.store.Put(context.Background(), platform.KindCrashes, name, spec)
		if err == nil {
			return
		}
		g.log.Warn("crash not written to the store", "fingerprint", c.Fingerprint, "err", err)
		sleep(context.Background(), g.jitter(lastTry))
	}
}

func (g *Gateway) applyCrashes(k view.Copy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, o := range k.Objects {
		c, err := platform.ParseCrash(name, o.Spec)
		if err != nil {
			g.log.Warn("entry of a crash ignored", "name", name, "revision", o.Revision, "err", err)
			continue
		}
		g.crashes.Add(c)
	}
	g.crashes.Expire(g.clock.UnixMillis())
}

package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/topology"
)

// Timing of the probes that show whether the instance reaches targets.
const (
	reachProbeTimeout = 150 * clock.Millisecond // a reachable target accepts a connection within a few round trips
	reachProbePeriod  = 500 * clock.Millisecond // between two probes of an isolated instance
)

// startProbe makes a probe if one is due. mu must be held.
func (g *Gateway) startProbe() {
	at, due := g.targets.TakeProbe()
	if !due {
		return
	}
	wait := max(at.Sub(g.clock.Now()), 0)
	if wait == 0 {
		g.probeEnded = make(chan struct{})
	}
	go g.probeUntilReached(wait)
}

// awaitProbe waits for the end of the probe that is being made, if there is one, for up to
// limit and at most until the caller has left.
func (g *Gateway) awaitProbe(caller context.Context, limit clock.Duration) {
	g.mu.Lock()
	ended := g.probeEnded
	g.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(min(limit, reachProbeTimeout).Std()):
	case <-caller.Done():
	case <-g.draining:
	}
}

// probeUntilReached waits and then makes probes until one reaches a target or the
// instance stops.
func (g *Gateway) probeUntilReached(wait clock.Duration) {
	for isolated := true; isolated; wait = g.jitter(reachProbePeriod) {
		select {
		case <-g.draining:
			return
		case <-time.After(wait.Std()):
		}
		isolated = g.probe()
	}
}

// probe makes one probe and reports whether the instance is isolated.
func (g *Gateway) probe() (isolated bool) {
	targets := g.probeTargets(nil)
	return g.probed(len(targets), g.connectTo(targets))
}

// connectTo opens a connection to each target and returns how many could be opened.
func (g *Gateway) connectTo(targets []replica.Listing) int {
	ctx, cancel := context.WithTimeout(context.Background(), reachProbeTimeout.Std())
	defer cancel()
	var reached atomic.Int64
	var wait sync.WaitGroup
	for _, t := range targets {
		wait.Go(func() {
			if g.pool.Connect(ctx, t.ID, t.Address) == nil {
				reached.Add(1)
			}
		})
	}
	wait.Wait()
	return int(reached.Load())
}

// probeTargets returns the targets of a probe, without the excluded ones.
func (g *Gateway) probeTargets(excluded []topology.TargetID) []replica.Listing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.targets.ProbeTargets(excluded)
}

// probed notes the end of a probe that tried to reach a number of targets, and reports
// whether the instance is isolated.
func (g *Gateway) probed(tried, reached int) (isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.targets.Probed(reached, g.clock.Now())
	isolated = g.targets.Isolated()
	if g.probeEnded != nil {
		close(g.probeEnded)
		g.probeEnded = nil
	}
	switch {
	case changed && isolated:
		close(g.becomingIsolated)
		g.log.Warn("no target can be reached", "tried", tried)
	case changed:
		g.becomingIsolated = make(chan struct{})
		g.log.Info("targets can be reached again", "tried", tried, "reached", reached)
	}
	return isolated
}

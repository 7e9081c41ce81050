package gateway

import (
	"context"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
)

// Timing of a graceful shutdown.
const (
	// acceptPeriod is how long the instance still accepts connections after the
	// signal: the load balancer checks readiness once a second and removes an
	// instance after two failed checks.
	acceptPeriod = 3 * clock.Second
	// exitMargin is the time between the end of the shutdown and the end of the
	// grace period, at which the platform kills the process.
	exitMargin = 700 * clock.Millisecond
)

// stopTimes are the times of a planned stop.
type stopTimes struct {
	accepts clock.Time // requests that arrive later are refused if they must not be repeated
	end     clock.Time // requests in progress are ended
}

// stopping reports whether the instance stops.
func (g *Gateway) stopping() bool { return g.stop.Load() != nil }

// comesTooLate reports whether a request on the route, whose head and body have been read
// at now, can't be answered any more because the instance stops. It must not be passed on
// then: its outcome would be unknown to the caller, who can still turn to another instance.
func (g *Gateway) comesTooLate(route *routing.Route, now clock.Time) bool {
	stop := g.stop.Load()
	if stop == nil {
		return false
	}
	late := stop.accepts.Before(now) && route.Kind != routing.Idempotent
	return late || stop.end.Sub(now) < g.usualTime(route)
}

// usualTime returns the time within which a request on the route is answered as a rule.
func (g *Gateway) usualTime(route *routing.Route) clock.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	usual := route.LatencyObjective
	if estimate := g.estimates[route.Name]; estimate != nil {
		usual = max(usual, 2*estimate.Median())
	}
	return usual
}

// shutdown stops the instance without aborting a request: readiness checks fail
// first, so that the load balancer removes the instance; then connections are closed
// with their answers; and requests that are still in progress just before the end
// are answered with their final state.
func (g *Gateway) shutdown() {
	started, grace := g.clock.Now(), g.settings.Shutdown.Grace()
	accepting := min(acceptPeriod, grace/2)
	end := started.Add(grace - exitMargin)
	g.stop.Store(&stopTimes{accepts: started.Add(accepting), end: end})
	g.log.Info("stopping", "open", g.openRequests())
	drainCtx, drainCancel := context.WithTimeout(context.Background(), clock.Second.Std())
	defer drainCancel()
	g.delegated.Drain(drainCtx)
	deregistered := make(chan struct{})
	go func() {
		defer close(deregistered)
		g.deregister()
	}()
	time.Sleep(accepting.Std())
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(g.clock.Now()).Std())
	defer cancel()
	context.AfterFunc(ctx, func() { close(g.draining) })
	// Requests that are ended by draining still need time to be answered.
	closeCtx, closeCancel := context.WithTimeout(context.Background(), (end.Sub(g.clock.Now()) + exitMargin/2).Std())
	defer closeCancel()
	g.callers.Shutdown(closeCtx)
	g.awaitDelegated(closeCtx)
	<-deregistered
	g.log.Info("stopped", "tookMs", int64(g.clock.Now().Sub(started)))
}

// openPeriod is the time between two looks for requests in progress at the end of a stop.
const openPeriod = 5 * clock.Millisecond

// awaitDelegated waits until no request of another instance is in progress, or ctx is done.
// Its caller would get no answer if the process ended before.
func (g *Gateway) awaitDelegated(ctx context.Context) {
	for ctx.Err() == nil && g.openRequests() > 0 {
		sleep(ctx, openPeriod)
	}
	sleep(ctx, answerTime) // the last answers are on their way
}

// answerTime is the time for writing an answer to another instance.
const answerTime = 20 * clock.Millisecond

// openRequests returns the number of requests in progress.
func (g *Gateway) openRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.openCount
}

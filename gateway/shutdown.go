package gateway

import (
	"context"
	"time"

	"knapweedstall/core/clock"
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

// shutdown stops the instance without aborting a request: readiness checks fail
// first, so that the load balancer removes the instance; then connections are closed
// with their answers; and requests that are still in progress just before the end
// are answered with their final state.
func (g *Gateway) shutdown() {
	started := g.clock.Now()
	g.stopping.Store(true)
	g.log.Info("stopping", "open", g.openRequests())
	drainCtx, drainCancel := context.WithTimeout(context.Background(), clock.Second.Std())
	defer drainCancel()
	g.delegated.Drain(drainCtx)
	grace := g.settings.Shutdown.Grace()
	deregistered := make(chan struct{})
	go func() {
		defer close(deregistered)
		g.deregister()
	}()
	time.Sleep(min(acceptPeriod, grace/2).Std())
	end := started.Add(grace - exitMargin)
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(g.clock.Now()).Std())
	defer cancel()
	context.AfterFunc(ctx, func() { close(g.draining) })
	// Requests that are ended by draining still need time to be answered.
	closeCtx, closeCancel := context.WithTimeout(context.Background(), (end.Sub(g.clock.Now()) + exitMargin/2).Std())
	defer closeCancel()
	g.callers.Shutdown(closeCtx)
	<-deregistered
	g.log.Info("stopped", "tookMs", int64(g.clock.Now().Sub(started)))
}

// openRequests returns the number of requests in progress.
func (g *Gateway) openRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.openCount
}

package gateway

import (
	"context"
	"time"

	"knapweedstall/core/clock"
)

// Times of a graceful shutdown, from the signal.
const (
	// leaveAfter is how long the instance goes on accepting connections: the
	// balancer asks once a second and takes an instance out after two misses.
	leaveAfter = 3 * clock.Second
	// exitMargin is how long before the platform kills the process it ends by
	// itself.
	exitMargin = 700 * clock.Millisecond
)

// shutdown lets callers go without cutting a request: the balancer is told
// first, then connections are closed with their answers, and requests that are
// still open just before the end are answered.
func (g *Gateway) shutdown() {
	started := g.clock.Now()
	g.stopping.Store(true)
	g.log.Info("stopping", "open", g.openRequests())
	telling, told := context.WithTimeout(context.Background(), clock.Second.Std())
	defer told()
	g.delegated.Leave(telling)
	grace := g.settings.Shutdown.Grace()
	deregistered := make(chan struct{})
	go func() {
		defer close(deregistered)
		g.deregister()
	}()
	time.Sleep(min(leaveAfter, grace/2).Std())
	end := started.Add(grace - exitMargin)
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(g.clock.Now()).Std())
	defer cancel()
	context.AfterFunc(ctx, func() { close(g.draining) })
	// Requests that end because of the line above still need a moment.
	closing, done := context.WithTimeout(context.Background(), (end.Sub(g.clock.Now()) + exitMargin/2).Std())
	defer done()
	g.callers.Shutdown(closing)
	<-deregistered
	g.log.Info("stopped", "tookMs", int64(g.clock.Now().Sub(started)))
}

func (g *Gateway) openRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

package gateway

import (
	"context"

	"github.com/pkg/errors"

	"knapweedstall/core/coordinator"
	"knapweedstall/core/placing"
	"knapweedstall/core/topology"
	"knapweedstall/io/exchange"
)

// handle sets the function that handles the calls of a topic. A call shows that the
// instance that makes it is live.
func (g *Gateway) handle(topic string, f exchange.HandleFunc) {
	g.called.Handle(topic, func(ctx context.Context, from topology.InstanceID, payload []byte) ([]byte, error) {
		g.noteLive(from)
		return f(ctx, from, payload)
	})
}

// noteCall notes whether a call to an instance shows that it is live.
func (g *Gateway) noteCall(id topology.InstanceID, err error) {
	var unavailable *exchange.UnavailableError
	if !errors.As(err, &unavailable) {
		g.noteLive(id) // it has answered, if only that it can't handle the call
		return
	}
	if errors.Is(unavailable.Cause, context.Canceled) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.liveness.Failed(id, g.clock.Now()) {
		g.log.Warn("instance does not answer and counts as lost", "id", id, "lost", g.liveness.LostCount(), "err", err)
		g.setQuotaRing()
	}
}

// noteLive notes that an instance is live.
func (g *Gateway) noteLive(id topology.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.liveness.Heard(id) {
		g.log.Info("instance that counted as lost is back", "id", id, "lost", g.liveness.LostCount())
		g.setQuotaRing()
	}
}

// liveInstances returns the registered instances that don't count as lost. mu must be held.
func (g *Gateway) liveInstances() []placing.Instance {
	if g.liveness.LostCount() == 0 {
		return g.peers
	}
	var live []placing.Instance
	for _, in := range g.peers {
		if !g.liveness.Lost(in.ID) {
			live = append(live, in)
		}
	}
	return live
}

// setQuotaRing chooses the coordinators of quotas among the live instances. Entries and
// coordinators that know other ones as lost may choose others, but only one has a lease.
// mu must be held.
func (g *Gateway) setQuotaRing() { g.quotaRing = coordinator.New(g.liveInstances()) }

// quotaCoordinators returns the coordinators of a group of quotas in the order in which
// they are asked.
func (g *Gateway) quotaCoordinators(key string) []placing.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quotaRing.Ranked(key)
}

// checkLiveness calls the instances of which it is to be found out whether they are live. It
// does not wait for their answers.
func (g *Gateway) checkLiveness() {
	g.mu.Lock()
	due := g.liveness.Due(g.clock.Now())
	g.mu.Unlock()
	for _, id := range due {
		in, err := g.instanceWithID(id)
		if err != nil {
			continue // it has left meanwhile
		}
		go func() { _, _ = g.callForCredit(in, creditRequest{}) }() // counted, logged and noted there
	}
}

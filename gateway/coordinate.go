package gateway

import (
	"context"

	"knapweedstall/core/placing"
)

// coordinatorsOf returns the coordinators of the key in the order in which they are
// asked. There is none before the list of instances is known.
func (g *Gateway) coordinatorsOf(key string) []placing.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.coordinators.Ranked(key)
}

// call calls a topic of an instance, which may be this one. It fails like
// exchange.Client.Call.
func (g *Gateway) call(ctx context.Context, in placing.Instance, topic string, payload []byte) ([]byte, error) {
	if in.ID == g.settings.Instance {
		return g.called.Local(ctx, in.ID, topic, payload)
	}
	data, err := g.calls.Call(ctx, in.Address, topic, payload)
	g.noteCall(in.ID, err)
	return data, err
}

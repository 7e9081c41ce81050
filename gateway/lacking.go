package gateway

import (
	"context"

	"knapweedstall/io/relay"
)

// lackingKinds watches the store for the optional kinds that a followed instance does
// not copy, because its build is older or its settings are others.
type lackingKinds struct {
	g       *Gateway
	ctx     context.Context
	stopped map[string]context.CancelFunc // of the watches, by kind
}

// newLackingKinds returns the lackingKinds of an instance that is followed until ctx is
// done.
func (g *Gateway) newLackingKinds(ctx context.Context) *lackingKinds {
	return &lackingKinds{g: g, ctx: ctx, stopped: map[string]context.CancelFunc{}}
}

// watch starts to watch the optional kinds that the frame of the followed instance does
// not have, and stops watching those that it has.
func (l *lackingKinds) watch(f relay.Frame) {
	for _, kind := range l.g.views.optional {
		_, copied := f.Optional[kind]
		stop, watching := l.stopped[kind]
		switch {
		case copied && watching:
			stop()
			delete(l.stopped, kind)
		case !copied && !watching:
			ctx, stop := context.WithCancel(l.ctx)
			l.stopped[kind] = stop
			l.g.log.Info("watching a kind that the source lacks", "kind", kind)
			go l.g.watchKind(ctx, kind)
		}
	}
}

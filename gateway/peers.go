package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
	"knapweedstall/platform"
)

// Figures of the exchange with other instances.
const (
	peerPath      = "/v1/view"
	peerTimeout   = 700 * clock.Millisecond
	maxPeerBytes  = 8 << 20
	listInstances = 15 * clock.Second // between two reads of the instances
	firstListing  = 1500 * clock.Millisecond
)

// viewRequest asks a peer for the kinds of which it has a newer copy.
type viewRequest struct {
	Have map[string]view.Revision `cbor:"1,keyasint"`
}

// viewReply holds the newer copies.
type viewReply struct {
	Kinds map[string]view.Kind `cbor:"1,keyasint"`
}

// servePeer answers another instance that can't reach the store.
func (g *Gateway) servePeer(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered
	}
	defer func() { _ = c.CloseNow() }() // the exchange is over
	ctx, cancel := context.WithTimeout(r.Context(), peerTimeout.Std())
	defer cancel()
	_, data, err := c.Read(ctx)
	if err != nil {
		return // the peer gave up
	}
	var in viewRequest
	if err := cbor.Unmarshal(data, &in); err != nil {
		g.log.Warn("request of a peer ignored", "err", err)
		return
	}
	reply, err := cbor.Marshal(g.newerThan(in))
	if err != nil {
		g.log.Error("views can't be encoded", "err", err)
		return
	}
	if err := c.Write(ctx, websocket.MessageBinary, reply); err != nil {
		g.log.Debug("peer not answered", "err", err)
		return
	}
	_ = c.Close(websocket.StatusNormalClosure, "")
}

func (g *Gateway) newerThan(in viewRequest) viewReply {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	out := viewReply{Kinds: map[string]view.Kind{}}
	for kind, k := range g.views {
		if k.Revision > in.Have[kind] {
			out.Kinds[kind] = k
		}
	}
	return out
}

// syncFromPeer takes newer copies from one other instance.
func (g *Gateway) syncFromPeer(ctx context.Context) {
	address := g.somePeer()
	if address == "" {
		return
	}
	reply, err := g.askPeer(ctx, address)
	if err != nil {
		g.log.Debug("peer not reached", "address", address, "err", err)
		return
	}
	for kind, k := range reply.Kinds {
		g.adopt(kind, k)
	}
}

// somePeer returns the address of another instance, or "".
func (g *Gateway) somePeer() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, a := range g.settings.Peers {
		if a != g.settings.Listen.Peers {
			addresses = append(addresses, a)
		}
	}
	for _, p := range g.peers {
		if p.id != g.settings.Instance {
			addresses = append(addresses, p.address)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[g.random.IntN(len(addresses))]
}

func (g *Gateway) askPeer(ctx context.Context, address string) (viewReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout.Std())
	defer cancel()
	c, resp, err := websocket.Dial(ctx, "ws://"+address+peerPath, nil)
	if err != nil {
		return viewReply{}, errors.WithStack(err)
	}
	if resp.Body != nil {
		_ = resp.Body.Close() // empty after a handshake
	}
	defer func() { _ = c.CloseNow() }() // the exchange is over
	c.SetReadLimit(maxPeerBytes)
	have := viewRequest{Have: map[string]view.Revision{}}
	g.viewMu.Lock()
	for kind, k := range g.views {
		have.Have[kind] = k.Revision
	}
	g.viewMu.Unlock()
	data, err := cbor.Marshal(have)
	if err != nil {
		return viewReply{}, errors.WithStack(err)
	}
	if err := c.Write(ctx, websocket.MessageBinary, data); err != nil {
		return viewReply{}, errors.WithStack(err)
	}
	_, data, err = c.Read(ctx)
	if err != nil {
		return viewReply{}, errors.WithStack(err)
	}
	var reply viewReply
	return reply, errors.WithStack(cbor.Unmarshal(data, &reply))
}

// followInstances registers the instance and learns of the other ones.
func (g *Gateway) followInstances(ctx context.Context) {
	g.register(ctx)
	sleep(ctx, g.jitter(firstListing))
	for ctx.Err() == nil {
		wait := listInstances
		if k, err := g.store.List(ctx, platform.KindInstances, true); err == nil {
			g.applyInstances(k)
		} else {
			g.log.Debug("instances not listed", "err", err)
			wait = lastTry
		}
		sleep(ctx, g.jitter(wait))
	}
}

// register writes the instance's object, until the store has taken it.
func (g *Gateway) register(ctx context.Context) {
	spec := platform.Instance{Address: g.settings.Listen.Peers, Zone: string(g.settings.Zone)}
	for pause := firstTry; ctx.Err() == nil; pause = min(2*pause, 4*lastTry) {
		err := g.store.Put(ctx, platform.KindInstances, string(g.settings.Instance), spec)
		if err == nil {
			return
		}
		g.log.Debug("instance not registered", "err", err)
		sleep(ctx, g.jitter(pause))
	}
}

// deregister removes the instance's object. One that stays does no harm: the
// others only reckon with one instance more.
func (g *Gateway) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := g.store.Delete(ctx, platform.KindInstances, string(g.settings.Instance)); err != nil {
		g.log.Debug("instance not deregistered", "err", err)
	}
}

func (g *Gateway) applyInstances(k view.Kind) {
	var peers []peer
	for name, o := range k.Objects {
		in, err := platform.ParseInstance(name, o.Spec)
		if err != nil {
			g.log.Warn("entry of an instance ignored", "name", name, "err", err)
			continue
		}
		peers = append(peers, peer{id: topology.InstanceID(name), address: in.Address})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers = peers
	g.budget.SetSharers(len(peers))
	g.targets.SetSharers(len(peers), g.coldTurn)
}

// coldTurn reports whether this instance is among the n that may send to a
// cold target. All instances that know the same instances agree on them. The
// caller holds mu.
func (g *Gateway) coldTurn(id topology.TargetID, n int) bool {
	mine := topology.Hash64(string(id) + "/" + string(g.settings.Instance))
	before := 0
	for _, p := range g.peers {
		if p.id != g.settings.Instance && topology.Hash64(string(id)+"/"+string(p.id)) > mine {
			before++
		}
	}
	return before < n
}

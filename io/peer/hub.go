package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/websocket"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

const (
	defaultDialTimeout = 500 * clock.Millisecond
	// Path is where an instance accepts connections of its peers.
	Path = "/peer"
)

// Handler receives what happens on the connections. Its methods are called from
// many goroutines.
type Handler interface {
	// PeerConnected says that a connection to m is open.
	PeerConnected(m topology.Member)
	// PeerReceived delivers the bodies of one frame.
	PeerReceived(from topology.InstanceRef, h message.Header, bodies []message.Body)
	// PeerLost says that no connection to ref is left, or that none could be
	// opened. When terminated is true, this incarnation has provably ended: its
	// address refused the connection or answered as another incarnation.
	PeerLost(ref topology.InstanceRef, terminated bool)
	// PeerFault says that ref sent something that is not a frame.
	PeerFault(ref topology.InstanceRef, err error)
}

// Hub keeps the connections of one instance to its peers. It dials when there
// is something to send, and uses connections in both directions.
type Hub struct {
	self        topology.Member
	handler     Handler
	header      func() message.Header
	token       string
	dialTimeout time.Duration
	maxFrame    int
	ctx         context.Context
	cancel      context.CancelFunc

	sentBytes atomic.Int64

	mu      sync.Mutex
	links   map[topology.InstanceRef][]*link // open links; the last one is used for sending
	dialing map[topology.InstanceRef][]message.Body
}

// Option changes a Hub.
type Option func(*Hub)

// WithLimits sets the time for dialling a peer and the largest frame in bytes
// that is accepted; the defaults are 500 ms and 4 MB.
func WithLimits(dial clock.Duration, frameBytes int) Option {
	return func(h *Hub) { h.dialTimeout, h.maxFrame = dial.Std(), frameBytes }
}

// NewHub returns a Hub that introduces itself as self, stamps frames with the
// value of header, and accepts only peers that present token.
func NewHub(self topology.Member, token string, handler Handler, header func() message.Header, opts ...Option) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Hub{
		dialTimeout: defaultDialTimeout.Std(), maxFrame: maxFrameBytes,
		self: self, token: token, handler: handler, header: header, ctx: ctx, cancel: cancel,
		links:   map[topology.InstanceRef][]*link{},
		dialing: map[topology.InstanceRef][]message.Body{},
	}
	for _, o := range opts {
		o(h)
	}
	go h.watchSilence()
	return h
}

// Close drops all connections.
func (h *Hub) Close() { h.cancel() }

// SentBytes returns the bytes of all frames sent so far.
func (h *Hub) SentBytes() int64 { return h.sentBytes.Load() }

// Send queues b for the peer to, dialling it when no connection is open. It
// does not block. What can't be delivered is dropped, and PeerLost is called.
func (h *Hub) Send(to topology.Member, b message.Body) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if open := h.links[to.Ref]; len(open) > 0 && open[len(open)-1].enqueue(b) {
		return
	}
	waiting, dialing := h.dialing[to.Ref]
	if len(waiting) < maxQueuedBodies {
		h.dialing[to.Ref] = append(waiting, b)
	}
	if !dialing {
		go h.dial(to)
	}
}

func (h *Hub) dial(to topology.Member) {
	ctx, cancel := context.WithTimeout(h.ctx, h.dialTimeout)
	defer cancel()
	opts := &websocket.DialOptions{HTTPHeader: http.Header{"Authorization": {"Bearer " + h.token}}}
	conn, resp, err := websocket.Dial(ctx, "ws://"+to.Address+Path, opts)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		h.dialFailed(to.Ref, errors.Is(err, syscall.ECONNREFUSED))
		return
	}
	helloCtx, cancelHello := context.WithTimeout(h.ctx, helloTimeout)
	defer cancelHello()
	actual, err := h.exchangeHello(helloCtx, conn)
	switch {
	case err != nil:
		_ = conn.CloseNow()
		h.dialFailed(to.Ref, false)
	case actual.Ref != to.Ref:
		h.dialFailed(to.Ref, actual.Ref.ID == to.Ref.ID)
		h.adopt(conn, actual)
	default:
		h.adopt(conn, actual)
	}
}

func (h *Hub) dialFailed(ref topology.InstanceRef, terminated bool) {
	h.mu.Lock()
	delete(h.dialing, ref)
	h.mu.Unlock()
	h.handler.PeerLost(ref, terminated)
}

// ServeHTTP accepts a connection of a peer.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	presented := []byte(r.Header.Get("Authorization"))
	if subtle.ConstantTimeCompare(presented, []byte("Bearer "+h.token)) != 1 {
		http.Error(w, `{"code":"unauthenticated"}`, http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has written the response
	}
	ctx, cancel := context.WithTimeout(h.ctx, helloTimeout)
	actual, err := h.exchangeHello(ctx, conn)
	cancel()
	if err != nil {
		_ = conn.CloseNow()
		return
	}
	h.adopt(conn, actual)
}

// exchangeHello introduces this instance and returns the peer's introduction.
func (h *Hub) exchangeHello(ctx context.Context, conn *websocket.Conn) (topology.Member, error) {
	conn.SetReadLimit(int64(h.maxFrame))
	data, err := Encode(Frame{Header: h.header(), Bodies: []message.Body{message.Hello{Member: h.self}}})
	if err != nil {
		return topology.Member{}, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return topology.Member{}, err
	}
	_, data, err = conn.Read(ctx)
	if err != nil {
		return topology.Member{}, err
	}
	f, err := Decode(data)
	if err != nil {
		return topology.Member{}, err
	}
	if len(f.Bodies) > 0 {
		if hello, ok := f.Bodies[0].(message.Hello); ok && !hello.Member.Ref.IsZero() {
			return hello.Member, nil
		}
	}
	return topology.Member{}, &FrameError{}
}

// adopt puts an introduced connection into use and serves it until it ends.
func (h *Hub) adopt(conn *websocket.Conn, peer topology.Member) {
	l := newLink(h, conn, peer)
	h.mu.Lock()
	h.links[peer.Ref] = append(h.links[peer.Ref], l)
	waiting := h.dialing[peer.Ref]
	delete(h.dialing, peer.Ref)
	for _, b := range waiting {
		l.enqueue(b)
	}
	h.mu.Unlock()
	h.handler.PeerConnected(peer)
	l.run()
	if h.remove(l) {
		h.handler.PeerLost(peer.Ref, false)
	}
}

// abandon closes the links to a peer that were open at the given time. Whatever
// silenced one of them may have silenced the others, and finding that out one by
// one took as long again. The peer may have opened a link since; what was sent on
// the closed ones is lost all the same, and the handler must hear of it.
func (h *Hub) abandon(peer topology.Member, openAt time.Time) {
	if h.closeOpenedBefore(peer.Ref, openAt) {
		h.handler.PeerLost(peer.Ref, false)
		h.handler.PeerConnected(peer)
	}
}

// closeOpenedBefore reports whether a later link to the peer stays open.
func (h *Hub) closeOpenedBefore(ref topology.InstanceRef, openAt time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	later := false
	for _, l := range h.links[ref] {
		if l.opened.Before(openAt) {
			l.cancel()
		} else if l.ctx.Err() == nil {
			later = true
		}
	}
	return later
}

// watchSilence looks at all links in one goroutine; a timer for each of 690 links
// woke the process 5,500 times a second.
func (h *Hub) watchSilence() {
	tick := time.NewTicker(probeAfter / 4)
	defer tick.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case now := <-tick.C:
			h.checkLinks(now)
		}
	}
}

func (h *Hub) checkLinks(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, open := range h.links {
		for _, l := range open {
			l.checkSilence(now)
		}
	}
}

// remove drops l and reports whether no link to its peer is left.
func (h *Hub) remove(l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	ref := l.peer.Ref
	open := h.links[ref][:0:0]
	for _, other := range h.links[ref] {
		if other != l {
			open = append(open, other)
		}
	}
	if len(open) > 0 {
		h.links[ref] = open
		return false
	}
	delete(h.links, ref)
	return true
}

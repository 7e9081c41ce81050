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
	// Path is the URL path on which an instance accepts connections of its peers.
	Path = "/peer"
)

// Handler handles the events of connections. Its methods must be safe for concurrent
// use.
type Handler interface {
	// PeerConnected is called when a connection to m opens.
	PeerConnected(m topology.Member)
	// PeerReceived is called for each frame received, with its header and bodies.
	PeerReceived(from topology.InstanceRef, h message.Header, bodies []message.Body)
	// PeerLost is called when the last connection to ref has ended or none could be
	// opened, and when links to ref were closed because it did not answer. When
	// terminated is true, this incarnation has provably ended: its address refused
	// the connection or answered as another incarnation.
	PeerLost(ref topology.InstanceRef, terminated bool)
	// PeerFault is called when ref sent an invalid frame, or when a frame to ref could
	// not be encoded.
	PeerFault(ref topology.InstanceRef, err error)
}

// Hub manages the connections of an instance to its peers. It dials a peer when there
// is something to send, and uses every connection in both directions, whoever opened
// it.
type Hub struct {
	self          topology.Member
	handler       Handler
	header        func() message.Header
	token         string
	dialTimeout   time.Duration
	maxFrameBytes int
	ctx           context.Context
	cancel        context.CancelFunc

	sentBytes atomic.Int64

	mu      sync.Mutex
	links   map[topology.InstanceRef][]*link        // open links; the last one is used for sending
	dialing map[topology.InstanceRef][]message.Body // bodies to send when dialing has succeeded, by peer
}

// Option configures a Hub.
type Option func(*Hub)

// WithLimits sets the timeout of dialing a peer and the maximum size in bytes of a
// received frame. The defaults are 500 ms and 4 MB.
func WithLimits(dial clock.Duration, frameBytes int) Option {
	return func(h *Hub) { h.dialTimeout, h.maxFrameBytes = dial.Std(), frameBytes }
}

// NewHub returns a Hub of the instance self. Each frame that it sends gets the current
// value of header. Only peers that present token are accepted.
func NewHub(self topology.Member, token string, handler Handler, header func() message.Header, opts ...Option) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Hub{
		dialTimeout: defaultDialTimeout.Std(), maxFrameBytes: maxFrameBytes,
		self: self, token: token, handler: handler, header: header, ctx: ctx, cancel: cancel,
		links:   map[topology.InstanceRef][]*link{},
		dialing: map[topology.InstanceRef][]message.Body{},
	}
	for _, o := range opts {
		o(h)
	}
	go h.checkLinksPeriodically()
	return h
}

// Close closes all connections.
func (h *Hub) Close() { h.cancel() }

// SentBytes returns the total size in bytes of the frames sent so far.
func (h *Hub) SentBytes() int64 { return h.sentBytes.Load() }

// Send queues b for the peer to, and dials the peer when no connection is open. It does
// not block. Bodies that can't be delivered are dropped, and PeerLost is called.
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
		h.serveConn(conn, actual)
	default:
		h.serveConn(conn, actual)
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
	h.serveConn(conn, actual)
}

// exchangeHello sends a hello with this instance's member record, and returns the
// record in the peer's hello.
func (h *Hub) exchangeHello(ctx context.Context, conn *websocket.Conn) (topology.Member, error) {
	conn.SetReadLimit(int64(h.maxFrameBytes))
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

// serveConn adds a link for a connection on which hellos have been exchanged, and serves
// it until it ends.
func (h *Hub) serveConn(conn *websocket.Conn, peer topology.Member) {
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

// closeSilentLinks closes the links to a peer that were opened before openAt, after one
// of them has failed a probe. The cause may affect the others too, and probing them one
// after the other took as long again. If the peer has opened a link since, the handler
// is still told that the peer was lost, because bodies sent on the closed links are
// lost.
func (h *Hub) closeSilentLinks(peer topology.Member, openAt time.Time) {
	if h.closeOpenedBefore(peer.Ref, openAt) {
		h.handler.PeerLost(peer.Ref, false)
		h.handler.PeerConnected(peer)
	}
}

// closeOpenedBefore closes the links to the peer that were opened before openAt. It
// reports whether a later link stays open.
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

// checkLinksPeriodically checks all links in one goroutine, because a timer for each of
// 690 links woke the process 5,500 times per second.
func (h *Hub) checkLinksPeriodically() {
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
			l.checkLiveness(now)
		}
	}
}

// remove removes l and reports whether no link to its peer is left.
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

package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

const (
	// maxQueuedBodies bounds the bodies queued for a slow peer. The link is closed
	// when the queue overflows, and reads in flight are then sent to another
	// instance that holds the service. The queue is allocated with the link: with a
	// bound of 65,536 it took 1 MB for each of 690 peers.
	maxQueuedBodies = 4096
	// maxBodiesPerFrame keeps a frame with bodies of usual size below maxFrameBytes.
	maxBodiesPerFrame = 512
	writeTimeout      = 1500 * time.Millisecond
	helloTimeout      = 1500 * time.Millisecond
	// probeAfter and abandonAfter bound how long a dead connection stays in use. It
	// is probed when nothing was received for probeAfter after bytes were sent, and
	// closed after abandonAfter.
	probeAfter   = 500 * time.Millisecond
	abandonAfter = 1500 * time.Millisecond
)

// link is one WebSocket connection to a peer.
type link struct {
	hub    *Hub
	conn   *websocket.Conn
	peer   topology.Member
	queue  chan message.Body
	ctx    context.Context
	cancel context.CancelFunc

	opened          time.Time
	unansweredSince atomic.Int64 // Unix ns of the first send since the last receive; 0 when there is none
	probing         atomic.Bool
}

func newLink(h *Hub, conn *websocket.Conn, peer topology.Member) *link {
	ctx, cancel := context.WithCancel(h.ctx)
	return &link{
		hub: h, conn: conn, peer: peer, queue: make(chan message.Body, maxQueuedBodies),
		ctx: ctx, cancel: cancel, opened: time.Now(),
	}
}

// enqueue queues b for writing. It returns false when the link is closed, or when the
// queue is full, which closes the link.
func (l *link) enqueue(b message.Body) bool {
	if l.ctx.Err() != nil {
		return false
	}
	select {
	case l.queue <- b:
		return true
	default:
		l.cancel()
		return false
	}
}

// run serves the link until it ends.
func (l *link) run() {
	go l.write()
	l.read()
	l.cancel()
	_ = l.conn.CloseNow() // the link has ended; an error of closing has no consequence
}

func (l *link) read() {
	for {
		_, data, err := l.conn.Read(l.ctx)
		if err != nil {
			return
		}
		l.unansweredSince.Store(0)
		f, err := Decode(data)
		if err != nil {
			l.hub.handler.PeerFault(l.peer.Ref, err)
			return
		}
		l.hub.handler.PeerReceived(l.peer.Ref, f.Header, f.Bodies)
	}
}

func (l *link) write() {
	defer l.cancel()
	for {
		select {
		case <-l.ctx.Done():
			return
		case b := <-l.queue:
			if err := l.writeFrame(l.batch(b)); err != nil {
				return
			}
		}
	}
}

// batch returns b and the bodies queued after it, so that busy links send fewer and
// larger frames while idle ones add no delay.
func (l *link) batch(b message.Body) []message.Body {
	bodies := []message.Body{b}
	for len(bodies) < maxBodiesPerFrame {
		select {
		case next := <-l.queue:
			bodies = append(bodies, next)
		default:
			return bodies
		}
	}
	return bodies
}

func (l *link) writeFrame(bodies []message.Body) error {
	data, err := Encode(Frame{Header: l.hub.header(), Bodies: bodies})
	if err != nil {
		l.hub.handler.PeerFault(l.peer.Ref, err)
		return err
	}
	ctx, cancel := context.WithTimeout(l.ctx, writeTimeout)
	defer cancel()
	l.unansweredSince.CompareAndSwap(0, time.Now().UnixNano())
	l.hub.sentBytes.Add(int64(len(data)))
	return errors.WithStack(l.conn.Write(ctx, websocket.MessageBinary, data))
}

// checkLiveness probes the link if bytes were sent and nothing was received since. If
// the probe fails, it closes all links to the peer that were open at time now. A link
// on which nothing is sent is not probed, so idle links cause no traffic.
func (l *link) checkLiveness(now time.Time) {
	since := l.unansweredSince.Load()
	if since == 0 || now.UnixNano()-since < int64(probeAfter) || !l.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.probing.Store(false)
		// If the link was closed meanwhile, the failed probe says nothing about the
		// other links.
		if !l.probe(abandonAfter-probeAfter) && l.ctx.Err() == nil {
			l.hub.closeSilentLinks(l.peer, now)
		}
	}()
}

// probe reports whether the peer answers a WebSocket ping within d.
func (l *link) probe(d time.Duration) bool {
	ctx, cancel := context.WithTimeout(l.ctx, d)
	defer cancel()
	if err := l.conn.Ping(ctx); err != nil {
		return false
	}
	l.unansweredSince.Store(0)
	return true
}

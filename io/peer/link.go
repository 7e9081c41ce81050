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
	// maxQueuedBodies bounds what waits for a slow peer; the link is closed when
	// it overflows, and reads in flight then go to another holder. The queue is
	// allocated with the link: at 65,536 it took 1 MB for each of 690 peers.
	maxQueuedBodies = 4096
	// maxBodiesPerFrame keeps one frame below maxFrameBytes for usual bodies.
	maxBodiesPerFrame = 512
	writeTimeout      = 1500 * time.Millisecond
	helloTimeout      = 1500 * time.Millisecond
	// probeAfter and silentAfter bound how long a connection that has gone
	// silent stays in use: it is probed once bytes were sent and nothing came
	// back for probeAfter, and abandoned at silentAfter.
	probeAfter  = 500 * time.Millisecond
	silentAfter = 1500 * time.Millisecond
)

// link is one WebSocket connection to a peer.
type link struct {
	hub    *Hub
	conn   *websocket.Conn
	peer   topology.Member
	queue  chan message.Body
	ctx    context.Context
	cancel context.CancelFunc

	opened    time.Time
	firstSend atomic.Int64 // unix ns of the first bytes sent since the last ones received; 0 when none
	probing   atomic.Bool
}

func newLink(h *Hub, conn *websocket.Conn, peer topology.Member) *link {
	ctx, cancel := context.WithCancel(h.ctx)
	return &link{
		hub: h, conn: conn, peer: peer, queue: make(chan message.Body, maxQueuedBodies),
		ctx: ctx, cancel: cancel, opened: time.Now(),
	}
}

// enqueue hands b to the writer. It reports false when the link is closed or
// its queue is full.
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
	_ = l.conn.CloseNow() // the link is over; a failure to close changes nothing
}

func (l *link) read() {
	for {
		_, data, err := l.conn.Read(l.ctx)
		if err != nil {
			return
		}
		l.firstSend.Store(0)
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
			if err := l.writeFrame(l.gather(b)); err != nil {
				return
			}
		}
	}
}

// gather returns b and the bodies that wait behind it, so that busy links send
// fewer, larger frames without delaying idle ones.
func (l *link) gather(b message.Body) []message.Body {
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
	l.firstSend.CompareAndSwap(0, time.Now().UnixNano())
	l.hub.sentBytes.Add(int64(len(data)))
	return errors.WithStack(l.conn.Write(ctx, websocket.MessageBinary, data))
}

// checkSilence closes a link on which sent bytes bring nothing back, and all
// others to the peer that were open by then. A link that nobody sends on is left
// alone, so idle links cost no traffic.
func (l *link) checkSilence(now time.Time) {
	first := l.firstSend.Load()
	if first == 0 || now.UnixNano()-first < int64(probeAfter) || !l.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.probing.Store(false)
		// A link that was closed meanwhile says nothing about the others.
		if !l.probe(silentAfter-probeAfter) && l.ctx.Err() == nil {
			l.hub.abandon(l.peer, now)
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
	l.firstSend.Store(0)
	return true
}

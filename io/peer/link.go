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
	// it overflows, and reads in flight then go to another holder.
	maxQueuedBodies = 65536
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

	lastRead  atomic.Int64 // unix ns of the last bytes received
	firstSend atomic.Int64 // unix ns of the first bytes sent since then; 0 when none
}

func newLink(h *Hub, conn *websocket.Conn, peer topology.Member) *link {
	ctx, cancel := context.WithCancel(h.ctx)
	l := &link{hub: h, conn: conn, peer: peer, queue: make(chan message.Body, maxQueuedBodies), ctx: ctx, cancel: cancel}
	l.lastRead.Store(time.Now().UnixNano())
	return l
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
	go l.watchSilence()
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
		l.lastRead.Store(time.Now().UnixNano())
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

// watchSilence closes a link on which sent bytes bring nothing back. A link
// that nobody sends on is left alone, so idle links cost no traffic.
func (l *link) watchSilence() {
	tick := time.NewTicker(probeAfter / 4)
	defer tick.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-tick.C:
			first := l.firstSend.Load()
			if first == 0 || now.UnixNano()-first < int64(probeAfter) {
				continue
			}
			if !l.probe(silentAfter - probeAfter) {
				l.hub.abandon(l.peer.Ref)
				return
			}
		}
	}
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

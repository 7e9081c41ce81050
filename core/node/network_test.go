package node_test

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/node"
	"knapweedstall/core/topology"
)

const (
	probeAfter  = 500 * clock.Millisecond
	silentAfter = 1500 * clock.Millisecond
	dialTimeout = 1500 * clock.Millisecond
)

// conn is a connection between two processes. Frames of one direction arrive in
// order. While the path is blocked they wait, as in a socket.
type conn struct {
	w      *world
	ends   [2]*end
	silent bool // nothing arrives any more
	lastAt [2]clock.Time
	stuck  [2][]func()
}

type end struct {
	c         *conn
	side      int
	p         *proc
	open      bool
	firstSend clock.Time // first frame sent since anything was received; 0 when none
}

func (e *end) other() *end { return e.c.ends[1-e.side] }

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// blocked reports whether packets between two machines are lost.
func (w *world) blocked(a, b int) bool {
	return w.cut[pair(a, b)] || w.hostDown[a] || w.hostDown[b]
}

func (w *world) setCut(a, b int, cut bool) {
	w.cut[pair(a, b)] = cut
	w.oracle.disturbed()
	w.flush()
}

// flush delivers what waited for a path that works again.
func (w *world) flush() {
	for _, c := range slices.Clone(w.conns) {
		if c.blocked() {
			continue
		}
		for side := range c.stuck {
			stuck := c.stuck[side]
			c.stuck[side] = nil
			for _, do := range stuck {
				do()
			}
		}
	}
}

func (c *conn) blocked() bool { return c.w.blocked(c.ends[0].p.slot, c.ends[1].p.slot) }

// works reports whether the other end's process would answer a probe.
func (e *end) works() bool {
	q := e.other().p
	return !e.c.silent && !e.c.blocked() && e.other().open && !q.paused
}

func (p *proc) sendPeer(to topology.Member, b message.Body) {
	if open := p.links[to.Ref]; len(open) > 0 {
		open[len(open)-1].send(b)
		return
	}
	waiting, dialing := p.dialing[to.Ref]
	p.dialing[to.Ref] = append(waiting, b)
	if !dialing {
		p.w.after(p.w.ms(1, 3), func() { p.dial(to) })
	}
}

func (p *proc) dial(to topology.Member) {
	if !p.up {
		return
	}
	slot := slices.IndexFunc(p.w.procs, func(q *proc) bool { return address(q.slot) == to.Address })
	q := p.w.procs[slot]
	fail := func(after clock.Duration, terminated bool) {
		p.w.after(after, func() {
			delete(p.dialing, to.Ref)
			p.deliver(node.PeerLost{Ref: to.Ref, Terminated: terminated})
		})
	}
	switch {
	case p.w.blocked(p.slot, slot) || q.paused:
		fail(dialTimeout, false)
	case !q.up:
		fail(1, true)
	case q.member.Ref != to.Ref:
		fail(0, true)
		p.adopt(q)
	default:
		p.adopt(q)
	}
}

// adopt opens a connection.
func (p *proc) adopt(q *proc) {
	c := &conn{w: p.w}
	c.ends = [2]*end{{c: c, side: 0, p: p, open: true}, {c: c, side: 1, p: q, open: true}}
	p.w.conns = append(p.w.conns, c)
	p.join(c.ends[0], q)
	q.join(c.ends[1], p)
}

func (p *proc) join(e *end, q *proc) {
	ref := q.member.Ref
	p.links[ref] = append(p.links[ref], e)
	p.post(0, node.PeerConnected{Member: q.member})
	waiting := p.dialing[ref]
	delete(p.dialing, ref)
	for _, b := range waiting {
		e.send(b)
	}
}

func (e *end) send(b message.Body) {
	w := e.c.w
	if e.firstSend == 0 {
		first := w.now
		e.firstSend = first
		w.after(probeAfter, func() { e.probe(first) })
		w.after(silentAfter, func() { e.expire(first) })
	}
	header := e.p.node.Header(w.now)
	e.transmit(func() {
		to := e.other()
		if to.open {
			to.firstSend = 0
			to.p.deliver(node.PeerReceived{From: e.p.member.Ref, Header: header, Bodies: []message.Body{b}})
		}
	})
}

// transmit does something at the other end, in order.
func (e *end) transmit(do func()) {
	c, w := e.c, e.c.w
	at := max(c.lastAt[e.side], w.now.Add(w.ms(1, 4)))
	c.lastAt[e.side] = at
	w.after(at.Sub(w.now), func() {
		switch {
		case c.silent:
		case c.blocked() || len(c.stuck[e.side]) > 0:
			c.stuck[e.side] = append(c.stuck[e.side], do)
		default:
			do()
		}
	})
}

// probe asks the other end for a sign of life.
func (e *end) probe(first clock.Time) {
	if e.firstSend == first && e.works() {
		e.firstSend = 0
	}
}

// expire abandons a connection that has been silent for too long.
func (e *end) expire(first clock.Time) {
	switch {
	case !e.open || e.firstSend != first:
	case e.p.paused:
		e.c.w.after(probeAfter, func() { e.expire(first) })
	case e.works():
		e.firstSend = 0
	default:
		e.close()
	}
}

// close ends the connection at this end, and at the other one when it learns of
// it.
func (e *end) close() {
	if !e.open {
		return
	}
	e.open = false
	p, ref := e.p, e.other().p.member.Ref
	p.links[ref] = slices.DeleteFunc(p.links[ref], func(o *end) bool { return o == e })
	if len(p.links[ref]) == 0 {
		p.post(0, node.PeerLost{Ref: ref})
	}
	e.transmit(func() { e.other().close() })
	e.c.w.conns = slices.DeleteFunc(e.c.w.conns, func(c *conn) bool { return !c.ends[0].open && !c.ends[1].open })
}

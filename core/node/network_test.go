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

// conn is a connection between two processes. The frames of each direction arrive
// in order. While the path is blocked, they wait as in a socket.
type conn struct {
	sim          *simulation
	ends         [2]*endpoint
	silent       bool // nothing that is sent arrives
	lastAt       [2]clock.Time
	blockedSends [2][]func()
}

type endpoint struct {
	c         *conn
	side      int
	p         *proc
	open      bool
	firstSend clock.Time // when the first frame was sent since a frame was received; 0 if none was
}

func (e *endpoint) other() *endpoint { return e.c.ends[1-e.side] }

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// blocked reports whether packets between two hosts are lost.
func (sim *simulation) blocked(a, b int) bool {
	return sim.blockedPaths[pair(a, b)] || sim.hostDown[a] || sim.hostDown[b]
}

func (sim *simulation) setPathBlocked(a, b int, blocked bool) {
	sim.blockedPaths[pair(a, b)] = blocked
	sim.oracle.updateReachability()
	sim.deliverBlocked()
}

// deliverBlocked delivers the frames that waited for a path which is open again.
func (sim *simulation) deliverBlocked() {
	for _, c := range slices.Clone(sim.conns) {
		if c.blocked() {
			continue
		}
		for side := range c.blockedSends {
			sends := c.blockedSends[side]
			c.blockedSends[side] = nil
			for _, do := range sends {
				do()
			}
		}
	}
}

func (c *conn) blocked() bool { return c.sim.blocked(c.ends[0].p.host, c.ends[1].p.host) }

// responds reports whether the process at the other end would answer a probe.
func (e *endpoint) responds() bool {
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
		p.sim.after(p.sim.randomMS(1, 3), func() { p.dial(to) })
	}
}

func (p *proc) dial(to topology.Member) {
	if !p.up {
		return
	}
	host := slices.IndexFunc(p.sim.procs, func(q *proc) bool { return address(q.host) == to.Address })
	q := p.sim.procs[host]
	fail := func(after clock.Duration, terminated bool) {
		p.sim.after(after, func() {
			delete(p.dialing, to.Ref)
			p.deliver(node.PeerLost{Ref: to.Ref, Terminated: terminated})
		})
	}
	switch {
	case p.sim.blocked(p.host, host) || q.paused:
		fail(dialTimeout, false)
	case !q.up:
		fail(1, true)
	case q.member.Ref != to.Ref:
		fail(0, true)
		p.openConn(q)
	default:
		p.openConn(q)
	}
}

// openConn opens a connection to q.
func (p *proc) openConn(q *proc) {
	c := &conn{sim: p.sim}
	c.ends = [2]*endpoint{{c: c, side: 0, p: p, open: true}, {c: c, side: 1, p: q, open: true}}
	p.sim.conns = append(p.sim.conns, c)
	p.attach(c.ends[0], q)
	q.attach(c.ends[1], p)
}

func (p *proc) attach(e *endpoint, q *proc) {
	ref := q.member.Ref
	p.links[ref] = append(p.links[ref], e)
	p.post(0, node.PeerConnected{Member: q.member})
	waiting := p.dialing[ref]
	delete(p.dialing, ref)
	for _, b := range waiting {
		e.send(b)
	}
}

func (e *endpoint) send(b message.Body) {
	sim := e.c.sim
	if e.firstSend == 0 {
		first := sim.now
		e.firstSend = first
		sim.after(probeAfter, func() { e.probe(first) })
		sim.after(silentAfter, func() { e.closeIfSilent(first) })
	}
	header := e.p.node.Header(sim.now)
	e.transmit(func() {
		to := e.other()
		if to.open {
			to.firstSend = 0
			to.p.deliver(node.PeerReceived{From: e.p.member.Ref, Header: header, Bodies: []message.Body{b}})
		}
	})
}

// transmit calls do at the other end after the network latency. Calls of one
// direction are made in order.
func (e *endpoint) transmit(do func()) {
	c, sim := e.c, e.c.sim
	at := max(c.lastAt[e.side], sim.now.Add(sim.randomMS(1, 4)))
	c.lastAt[e.side] = at
	sim.after(at.Sub(sim.now), func() {
		switch {
		case c.silent:
		case c.blocked() || len(c.blockedSends[e.side]) > 0:
			c.blockedSends[e.side] = append(c.blockedSends[e.side], do)
		default:
			do()
		}
	})
}

// probe probes the other end. A reply counts as a received frame.
func (e *endpoint) probe(first clock.Time) {
	if e.firstSend == first && e.responds() {
		e.firstSend = 0
	}
}

// closeIfSilent closes the connection if the other end has been silent for too
// long.
func (e *endpoint) closeIfSilent(first clock.Time) {
	switch {
	case !e.open || e.firstSend != first:
	case e.p.paused:
		e.c.sim.after(probeAfter, func() { e.closeIfSilent(first) })
	case e.responds():
		e.firstSend = 0
	default:
		e.close()
	}
}

// close closes this end of the connection, and the other one when it learns of it.
func (e *endpoint) close() {
	if !e.open {
		return
	}
	e.open = false
	p, ref := e.p, e.other().p.member.Ref
	p.links[ref] = slices.DeleteFunc(p.links[ref], func(o *endpoint) bool { return o == e })
	if len(p.links[ref]) == 0 {
		p.post(0, node.PeerLost{Ref: ref})
	}
	e.transmit(func() { e.other().close() })
	e.c.sim.conns = slices.DeleteFunc(e.c.sim.conns, func(c *conn) bool { return !c.ends[0].open && !c.ends[1].open })
}

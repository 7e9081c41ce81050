package ingress

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// callerConn is a connection of a caller that can be ended while it is idle. To close it
// would not do: a request may have been read already whose connection still counts as
// idle, and it would be passed on to targets and get no answer.
type callerConn struct {
	net.Conn

	mu   sync.Mutex
	idle bool // an answer has been written, and no byte of the next request has been read
	used bool // a byte has been read
	// idleSince is when idle was set.
	idleSince time.Time
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle, c.used = false, true
	}
	return n, err
}

func (c *callerConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince = true, time.Now()
}

// minIdleTime is the time after an answer until its connection can be ended to make room
// for others: the http.Server sets a deadline of its own just after the answer.
const minIdleTime = 100 * time.Millisecond

// longIdle returns since when the connection has been idle, and whether that is long enough
// to end it.
func (c *callerConn) longIdle(now time.Time) (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.idle && now.Sub(c.idleSince) >= minIdleTime
}

// endIfIdle makes the connection's reads fail if it is idle, or if unused is set and it
// has not been used, so that its http.Server closes it. If a request is read at the same time, the http.Server sets another deadline
// for the rest of it. It also does so just after an answer, so endIfIdle must be called
// until the connection is closed.
func (c *callerConn) endIfIdle(unused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle || unused && !c.used {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// connSet holds the open connections of callers.
type connSet struct {
	mu    sync.Mutex
	conns map[*callerConn]bool
}

func newConnSet() *connSet { return &connSet{conns: map[*callerConn]bool{}} }

func (s *connSet) add(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
}

func (s *connSet) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// observe is the ConnState hook of all servers.
func (s *connSet) observe(c net.Conn, state http.ConnState) {
	conn, ok := c.(*callerConn)
	if !ok {
		return // there is no other type of connection
	}
	switch state {
	case http.StateIdle:
		conn.setIdle()
	case http.StateClosed, http.StateHijacked:
		s.remove(conn)
	case http.StateNew, http.StateActive:
	}
}

// endIdle ends the idle connections, and if unused is set also those that have not been
// used, and returns how many are open, these included.
func (s *connSet) endIdle(unused bool) (open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.endIfIdle(unused)
	}
	return len(s.conns)
}

func (s *connSet) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// endLongestIdle ends n connections that have been idle for the longest time, or fewer if
// there are not so many.
func (s *connSet) endLongestIdle(n int) {
	type idleConn struct {
		conn  *callerConn
		since time.Time
	}
	var idle []idleConn
	now := time.Now()
	s.mu.Lock()
	for c := range s.conns {
		if since, ok := c.longIdle(now); ok {
			idle = append(idle, idleConn{c, since})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	for _, one := range idle[:min(n, len(idle))] {
		one.conn.endIfIdle(false)
	}
}

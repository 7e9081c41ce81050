package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/routing"
)

// phase tells what a caller's connection waits for.
type phase int

// Phases of a connection. The limits of a phase are those in force when it begins; while a
// request is handled, they are those of its head.
const (
	opened phase = iota // the first byte of the first request; bounded by the header timeout
	inHead              // the rest of a request's head; bounded by the header timeout and size
	active              // the handler; not bounded here
	idle                // the first byte of the next request; bounded by the idle timeout
)

// callerConn is a connection of a caller. It enforces the limits in force on each request,
// which an http.Server does not: its limits are the same for all of its connections and
// times. It sets all deadlines of reads, and the http.Server is to have no timeouts.
//
// A connection that is to end is not closed while it is idle: a request may have been read
// already whose connection still counts as idle, and it would be passed on to targets and
// get no answer.
type callerConn struct {
	net.Conn
	inForce  func() routing.Limits
	rejected func(status int) // called when a request is rejected

	mu        sync.Mutex
	phase     phase
	since     time.Time      // when the phase began
	limits    routing.Limits // of the phase, or of the request in progress
	headBytes int            // bytes read since the beginning of the head
	handling  bool           // the handler has been called for the request
	lastRead  bool           // the time is over, and only bytes that have arrived are still read
	ending    bool           // the connection ends unless a byte arrives; only while opened or idle
	lingering bool           // the last answer has been written, and what arrives is discarded
}

// newCallerConn returns a connection in no phase. begin must be called before it is used.
func newCallerConn(c net.Conn, inForce func() routing.Limits, rejected func(status int)) *callerConn {
	return &callerConn{Conn: c, inForce: inForce, rejected: rejected}
}

// begin begins a phase.
func (c *callerConn) begin(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginLocked(p)
}

func (c *callerConn) beginLocked(p phase) {
	c.phase, c.since, c.ending, c.handling, c.lastRead, c.headBytes = p, time.Now(), false, false, false, 0
	if p != active {
		c.limits = c.inForce()
	}
	c.applyDeadline()
}

// beginHandler notes that the handler has been called. What is written from then on is
// its answer.
func (c *callerConn) beginHandler() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != active { // the request was read together with the one before it
		c.beginLocked(active)
	}
	c.handling = true
}

// bodyLimit returns the most bytes that the body of the request in progress may have.
func (c *callerConn) bodyLimit() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits.BodyBytes
}

// raise applies limits that have come into force to the present phase where they are
// higher. Lower ones apply from the next phase on: the caller may go by the earlier ones.
func (c *callerConn) raise(l routing.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.HeaderBytes = max(c.limits.HeaderBytes, l.HeaderBytes)
	c.limits.BodyBytes = max(c.limits.BodyBytes, l.BodyBytes)
	c.limits.HeaderTimeout = max(c.limits.HeaderTimeout, l.HeaderTimeout)
	c.limits.IdleTimeout = max(c.limits.IdleTimeout, l.IdleTimeout)
	if c.phase != active { // else the http.Server may be interrupting a read
		c.applyDeadline()
	}
}

// past is a deadline that makes reads fail at once.
var past = time.Unix(1, 0)

// deadline returns when the phase ends the connection; zero for never.
func (c *callerConn) deadline() time.Time {
	switch {
	case c.ending:
		return past
	case c.phase == active:
		return time.Time{}
	case c.phase == idle:
		return c.since.Add(c.limits.IdleTimeout.Std())
	default:
		return c.since.Add(c.limits.HeaderTimeout.Std())
	}
}

func (c *callerConn) applyDeadline() {
	if !c.lingering {
		_ = c.Conn.SetReadDeadline(c.deadline()) // fails only on a closed connection
	}
}

// SetReadDeadline implements net.Conn. An http.Server without timeouts sets a deadline only
// to interrupt a read, and the zero one to allow reads again.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() {
		t = c.deadline()
	}
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // http.Server ignores it
}

// Read implements net.Conn. It rejects a request whose head is too large or too slow, and
// then ends.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		switch status := c.check(p[:n], err); status {
		case 0:
			return n, err //nolint:wrapcheck // http.Server compares it
		case readAgain:
		default:
			c.reject(status)
			return 0, io.EOF
		}
	}
}

// readAgain is a result of check: the deadline has been put off.
const readAgain = -1

// lastReadTime is the time for reading what has arrived when the time of a phase is over.
const lastReadTime = 10 * time.Millisecond

// readBufferBytes is the size of http.Server's buffer: up to so many bytes that follow a head
// are read with it.
const readBufferBytes = 4 << 10

// check notes the result of a read. It returns the status with which the request must be
// rejected, readAgain, or 0.
func (c *callerConn) check(data []byte, err error) (status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Some callers send an empty line after a body.
	if (c.phase == opened || c.phase == idle) && len(bytes.Trim(data, "\r\n")) > 0 {
		c.beginLocked(inHead)
	}
	if c.phase == inHead {
		if c.headBytes += len(data); c.headBytes > c.limits.HeaderBytes+readBufferBytes {
			return http.StatusRequestHeaderFieldsTooLarge
		}
	}
	switch {
	case c.phase == active || c.lingering || !errors.Is(err, os.ErrDeadlineExceeded):
		return 0
	case time.Now().Before(c.deadline()):
		return readAgain
	case !c.ending && !c.lastRead:
		// The process may have been suspended while bytes arrived in time.
		c.lastRead = true
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)) // fails only on a closed connection
		return readAgain
	case c.phase == inHead:
		return http.StatusRequestTimeout
	}
	return 0
}

// Write implements net.Conn. What http.Server writes without a handler rejects the request,
// and the connection ends.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	handling, lingering := c.handling, c.lingering
	c.mu.Unlock()
	if lingering {
		return 0, net.ErrClosed // the last answer has been written
	}
	n, err := c.Conn.Write(p)
	if !handling {
		c.linger()
	}
	return n, err //nolint:wrapcheck // http.Server compares it
}

// reject answers the request that is being read with a status. The connection must be closed
// then.
func (c *callerConn) reject(status int) {
	c.rejected(status)
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		status, http.StatusText(status)) // the caller has gone if it fails
}

// CloseWrite ends the sending side after the last answer. http.Server calls it when bytes of
// the request may be unread.
func (c *callerConn) CloseWrite() error {
	c.linger()
	return nil
}

// Limits of what is discarded after the last answer.
const (
	lingerTime  = time.Second
	lingerBytes = 4 << 20
)

// linger ends the sending side and discards what the caller still sends, until it closes the
// connection or a limit is reached. Closing a connection with unread bytes resets it, and the
// caller would lose the answer.
func (c *callerConn) linger() {
	c.mu.Lock()
	done := c.lingering
	c.lingering = true
	c.mu.Unlock()
	if done {
		return
	}
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite() // the caller has gone if it fails
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)       // ends with an error in any case
	_ = c.Conn.SetReadDeadline(past)                       // nothing else is read
}

// minIdleTime is the time after an answer until its connection can be ended to make room for
// others: the caller may be about to send the next request.
const minIdleTime = 100 * time.Millisecond

// longIdle returns since when the connection has been idle, and whether that is long enough
// to end it.
func (c *callerConn) longIdle(now time.Time) (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.phase == idle && now.Sub(c.since) >= minIdleTime
}

// endIfIdle makes the connection's reads fail if it is idle, or if unused is set and no byte
// has been read, so that its http.Server closes it. If a request is read at the same time, it
// is served.
func (c *callerConn) endIfIdle(unused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle || unused && c.phase == opened {
		c.ending = true
		c.applyDeadline()
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

// observe is the ConnState hook of the http.Server.
func (s *connSet) observe(c net.Conn, state http.ConnState) {
	conn, ok := c.(*callerConn)
	if !ok {
		return // there is no other type of connection
	}
	switch state {
	case http.StateIdle:
		conn.begin(idle)
	case http.StateActive: // the head has been read, or it is invalid
		conn.begin(active)
	case http.StateClosed, http.StateHijacked:
		s.remove(conn)
	case http.StateNew:
	}
}

// raise applies limits that have come into force to the open connections where they are
// higher.
func (s *connSet) raise(l routing.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.raise(l)
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
	var found []idleConn
	now := time.Now()
	s.mu.Lock()
	for c := range s.conns {
		if since, ok := c.longIdle(now); ok {
			found = append(found, idleConn{c, since})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b idleConn) int { return a.since.Compare(b.since) })
	for _, one := range found[:min(n, len(found))] {
		one.conn.endIfIdle(false)
	}
}

// Package upstream sends requests to targets over persistent HTTP/1.1 connections.
package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
	"knapweedstall/io/body"
)

// Limits of connections.
const (
	dialTimeout = 300 * clock.Millisecond // a reachable target answers within a few round trips
	// idleTimeoutShare is the share of the idle timeout stated by a target during
	// which its connection is reused, so that no request is sent while the target
	// closes the connection.
	idleTimeoutShare = 0.8
	// defaultIdleTimeout applies when a target states no idle timeout.
	defaultIdleTimeout = 4 * clock.Second
	readBufferBytes    = 4096 // enough for an answer's header and a small body
)

// targetKeepAlive detects a dead idle connection before a request is sent on it.
var targetKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	limit       *limitedConn  // bounds what reader reads
	reader      *bufio.Reader // reads from limit
	target      topology.TargetID
	opened      clock.Time
	idleSince   clock.Time
	idleTimeout clock.Duration // how long it may be reused after idleSince
	carried     []carried      // requests that must not be sent on it again
}

// carried is a request that was sent on a connection and that the target did not answer
// with success, so that it may be sent to the target again. A copy of that answer may
// come late, and the request's id does not tell whether an answer is such a copy or the
// answer to the later send.
type carried struct {
	request uint64     // hash of its id; an equal hash of another id only costs a connection
	until   clock.Time // it is not sent any more from then on
}

// carriedMargin is added to the time that a request has left. Another instance that
// delegates the request to this one counts its time from another moment.
const carriedMargin = clock.Second

// carry notes that r, which has the time left, may be sent to the target again.
func (c *conn) carry(r *Request, now clock.Time, left clock.Duration) {
	c.carried = slices.DeleteFunc(c.carried, func(old carried) bool { return !now.Before(old.until) })
	c.carried = append(c.carried, carried{topology.Hash64(r.ID), now.Add(left + carriedMargin)})
}

// maySend reports whether r may be sent on the connection.
func (c *conn) maySend(r *Request, now clock.Time) bool {
	if len(c.carried) == 0 {
		return true
	}
	hash := topology.Hash64(r.ID)
	return !slices.ContainsFunc(c.carried, func(old carried) bool { return old.request == hash && now.Before(old.until) })
}

// Pool keeps idle connections to targets. It keeps no more of them than were in use
// at the same time.
type Pool struct {
	clock       clock.Clock
	dialContext DialFunc
	bodies      *body.Reader

	mu       sync.Mutex
	idle     map[topology.TargetID][]*conn // most recently used last
	opened   int64
	bypassed int64
	skipped  int64
	unframed map[WriteState]int64 // by the state of the write of the request
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a Pool.
type Option func(*Pool)

// WithDial sets the function that opens connections. ctx ends after the time that
// opening one may take.
func WithDial(dial DialFunc) Option { return func(p *Pool) { p.dialContext = dial } }

// NewPool returns an empty Pool.
func NewPool(c clock.Clock, opts ...Option) *Pool {
	dialer := net.Dialer{KeepAliveConfig: targetKeepAlive}
	p := &Pool{clock: c, dialContext: dialer.DialContext, bodies: body.NewReader(bodyLimits), idle: map[topology.TargetID][]*conn{}, unframed: map[WriteState]int64{}}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Opened returns the number of attempts so far to open a connection.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Bypassed returns how many times so far an idle connection was not used for a request
// because it had carried the same request before.
func (p *Pool) Bypassed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bypassed
}

// Skipped returns the number of answers to earlier requests that were skipped so far.
func (p *Pool) Skipped() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.skipped
}

func (p *Pool) countSkipped() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.skipped++
}

// Unframed returns the number of answers so far whose body ended with the connection while
// the write of the request was in the state.
func (p *Pool) Unframed(state WriteState) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unframed[state]
}

func (p *Pool) countUnframed(state WriteState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unframed[state]++
}

// takeIdle removes a usable idle connection to the target, on which r may be sent, from
// the pool and returns it, or nil if there is none.
func (p *Pool) takeIdle(id topology.TargetID, r *Request) *conn {
	now := p.clock.Now()
	for {
		c := p.removeIdle(id, r, now)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < c.idleTimeout && c.usable() {
			return c
		}
		c.close()
	}
}

// removeIdle removes the most recently used idle connection to the target on which r may
// be sent from the pool and returns it, or nil if there is none.
func (p *Pool) removeIdle(id topology.TargetID, r *Request, now clock.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	for i, c := range slices.Backward(list) {
		if c.maySend(r, now) {
			p.idle[id] = slices.Delete(list, i, i+1)
			return c
		}
		p.bypassed++
	}
	return nil
}

// putIdle adds c to the idle connections.
func (p *Pool) putIdle(c *conn) {
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.target] = append(p.idle[c.target], c)
}

// CloseIdle closes the idle connections to targets.
func (p *Pool) CloseIdle(ids []topology.TargetID) {
	for _, id := range ids {
		p.closeIdleOpenedBy(id, p.clock.Now())
	}
}

// closeIdleOpenedBy closes the idle connections to a target that were opened at or
// before openedBy.
func (p *Pool) closeIdleOpenedBy(id topology.TargetID, openedBy clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var kept []*conn
	for _, c := range p.idle[id] {
		if openedBy.Before(c.opened) {
			kept = append(kept, c)
			continue
		}
		c.close()
	}
	if len(kept) == 0 {
		delete(p.idle, id)
		return
	}
	p.idle[id] = kept
}

// CloseExpired closes connections that have been idle for longer than their idle
// timeout.
func (p *Pool) CloseExpired() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		expired := 0
		for expired < len(list) && now.Sub(list[expired].idleSince) >= list[expired].idleTimeout {
			list[expired].close()
			expired++
		}
		if expired == len(list) {
			delete(p.idle, id)
		} else {
			p.idle[id] = list[expired:]
		}
	}
}

// closeLongestIdle closes the connection that has been idle for the longest time, and
// reports whether there was one.
func (p *Pool) closeLongestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.target] = p.idle[oldest.target][1:]
	oldest.close()
	return true
}

// LookAtIdle looks at the idle connections to the target, without any traffic. open tells that one
// of them is still open, so that the process at its other end runs; ended tells that there
// were some and the target has ended them all.
func (p *Pool) LookAtIdle(id topology.TargetID) (open, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	for len(list) > 0 {
		last := list[len(list)-1]
		if last.usable() {
			p.idle[id] = list
			return true, false
		}
		last.close()
		list, ended = list[:len(list)-1], true
	}
	delete(p.idle, id)
	return false, ended
}

// RefusesConnections reports whether the target's address refuses connections, as it
// does after a crash.
func (p *Pool) RefusesConnections(ctx context.Context, id topology.TargetID, address string) bool {
	return errors.Is(p.Connect(ctx, id, address), syscall.ECONNREFUSED)
}

// Connect opens a connection to the target and adds it to the idle ones.
func (p *Pool) Connect(ctx context.Context, id topology.TargetID, address string) error {
	c, err := p.dial(ctx, id, address)
	if err != nil {
		return err
	}
	p.putIdle(c)
	return nil
}

// Package upstream sends requests to targets over HTTP/1.1 connections that it
// keeps open.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Figures of connections.
const (
	dialTimeout = 300 * clock.Millisecond // a target in reach answers within a few round trips
	// idleShare is the part of the idle time that a target states during which
	// its connection is used again, so that a request doesn't cross its close.
	idleShare = 0.8
	// unstatedIdle is assumed when a target states no idle time.
	unstatedIdle = 4 * clock.Second
	readBuffer   = 4096 // bytes; an answer's header and a small body
)

// targetKeepAlive finds an idle connection that went silent before a request
// is sent on it.
var targetKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	target    topology.TargetID
	opened    clock.Time
	idleSince clock.Time
	idleFor   clock.Duration // how long the target keeps it open
}

// Pool keeps idle connections, at most as many as were in use at once.
type Pool struct {
	clock  clock.Clock
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[topology.TargetID][]*conn // most recently used last
	opened int64
}

// NewPool returns an empty Pool.
func NewPool(c clock.Clock) *Pool {
	return &Pool{
		clock: c, idle: map[topology.TargetID][]*conn{},
		dialer: net.Dialer{Timeout: dialTimeout.Std(), KeepAliveConfig: targetKeepAlive},
	}
}

// Opened returns how many connections were opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// take returns an idle connection to the target that is still good, or nil.
func (p *Pool) take(id topology.TargetID) *conn {
	now := p.clock.Now()
	for {
		p.mu.Lock()
		list := p.idle[id]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[id] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Sub(c.idleSince) < c.idleFor && c.quiet() {
			return c
		}
		c.close()
	}
}

// put keeps c for another request.
func (p *Pool) put(c *conn) {
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Forget closes the idle connections of targets.
func (p *Pool) CloseIdle(ids []topology.TargetID) {
	for _, id := range ids {
		p.closeIdle(id, p.clock.Now())
	}
}

// closeIdle closes the idle connections to a target that were opened at or
// before a time.
func (p *Pool) closeIdle(id topology.TargetID, openedBy clock.Time) {
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

// Sweep closes connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		stale := 0
		for stale < len(list) && now.Sub(list[stale].idleSince) >= list[stale].idleFor {
			list[stale].close()
			stale++
		}
		if stale == len(list) {
			delete(p.idle, id)
		} else {
			p.idle[id] = list[stale:]
		}
	}
}

// Refuses opens a connection to the target and keeps it. It reports whether the
// target's address refuses connections, as it does after a crash.
func (p *Pool) RefusesConnections(ctx context.Context, id topology.TargetID, address string) bool {
	c, err := p.dial(ctx, id, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(c)
	return false
}

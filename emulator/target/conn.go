package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is an accepted connection that can be slow to open and go silent.
type conn struct {
	net.Conn
	life    *life // the life of the server that accepted it
	readyAt time.Time
	silent  atomic.Bool
	closed  sync.Once
	onClose func(*conn)
}

// Read waits until the connection counts as open.
func (c *conn) Read(p []byte) (int, error) {
	if wait := time.Until(c.readyAt); wait > 0 {
		time.Sleep(wait)
	}
	return c.Conn.Read(p)
}

// Write discards the bytes of a silent connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Do(func() { c.onClose(c) })
	return c.Conn.Close()
}

// reset closes the connection without a graceful end, as a crash does.
func (c *conn) reset() {
	abort(c.Conn)
	_ = c.Close()
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection that a request came on. Every request of a
// Server has one, because all its connections come from its listener.
func connOf(ctx context.Context) *conn { return ctx.Value(connKey{}).(*conn) }

// listener accepts for a server. It resets connections over the server's limit
// and those that arrive while the server is down.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.server.admit(c); admitted != nil {
			return admitted, nil
		}
		abort(c)
	}
}

// admit returns nil when the server does not take the connection.
func (s *Server) admit(raw net.Conn) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.config.Target.Connections
	if s.life == nil || (limit > 0 && len(s.conns) >= limit) {
		return nil
	}
	readyAt := time.Now().Add(millis(s.config.ConnectMS))
	c := &conn{Conn: raw, life: s.life, readyAt: readyAt, onClose: s.forget}
	c.silent.Store(s.faults.Silence == SilenceAll)
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

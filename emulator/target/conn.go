package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is an accepted connection that opens after a delay and can become silent.
type conn struct {
	net.Conn
	process   *process // the emulated process that accepted it
	readyAt   time.Time
	silent    atomic.Bool
	closeOnce sync.Once
	onClose   func(*conn)
}

// Read waits until readyAt, then reads.
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
	c.closeOnce.Do(func() { c.onClose(c) })
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset, as a crash does.
func (c *conn) reset() {
	abort(c.Conn)
	_ = c.Close()
}

// abort closes c with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// connKey is the context key of a request's conn.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection that a request came on. Every request of a
// Server has one, because all its connections come from its listener.
func connOf(ctx context.Context) *conn { return ctx.Value(connKey{}).(*conn) }

// listener accepts the connections of a server. It resets those over the server's
// limit and those that arrive while the server is down.
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
		if admitted := l.server.admitConn(c); admitted != nil {
			return admitted, nil
		}
		abort(c)
	}
}

// admitConn returns the conn for an accepted connection, or nil when the server does
// not admit it.
func (s *Server) admitConn(raw net.Conn) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.config.Target.Connections
	if s.process == nil || (limit > 0 && len(s.conns) >= limit) {
		return nil
	}
	readyAt := time.Now().Add(millis(s.config.ConnectMS))
	c := &conn{Conn: raw, process: s.process, readyAt: readyAt, onClose: s.removeConn}
	c.silent.Store(s.faults.Silence == SilenceAll)
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

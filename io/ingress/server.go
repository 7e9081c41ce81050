// Package ingress accepts callers' connections and enforces what a caller may
// send and how long it may take.
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"knapweedstall/core/routing"
)

// Server serves callers. Each connection keeps the limits that were in force
// when it was opened.
type Server struct {
	listener net.Listener
	handler  http.Handler

	mu      sync.Mutex
	limits  routing.Limits
	current *handoff
	servers []*http.Server
	closed  bool
}

// Listen returns a Server that listens on address.
func Listen(address string, handler http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &Server{listener: l, handler: handler}
	s.SetLimits(routing.DefaultLimits)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetLimits sets the limits of connections that are opened from now on.
func (s *Server) SetLimits(l routing.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits == l || s.closed {
		return
	}
	s.limits = l
	server := &http.Server{
		Handler:           s.handler,
		MaxHeaderBytes:    l.HeaderBytes,
		ReadHeaderTimeout: l.HeaderTimeout.Std(),
		IdleTimeout:       l.IdleTimeout.Std(),
	}
	s.current = &handoff{conns: make(chan net.Conn), done: make(chan struct{}), address: s.listener.Addr()}
	s.servers = append(s.servers, server)
	go func(h *handoff) {
		_ = server.Serve(h) // always fails, with http.ErrServerClosed or the end of h
	}(s.current)
}

// Serve hands connections to the server with the current limits until Shutdown.
func (s *Server) Serve() error {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.WithStack(err)
		}
		s.mu.Lock()
		h := s.current
		s.mu.Unlock()
		select {
		case h.conns <- c:
		case <-h.done:
			_ = c.Close() // the server is shutting down
		}
	}
}

// Shutdown stops accepting connections, closes idle ones and waits for open
// requests until ctx is done.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	servers := s.servers
	s.mu.Unlock()
	_ = s.listener.Close() // nothing is accepted from here on, whatever it returns
	var wait sync.WaitGroup
	for _, server := range servers {
		wait.Go(func() {
			_ = server.Shutdown(ctx) // fails only because ctx is done
			_ = server.Close()       // the process ends
		})
	}
	wait.Wait()
}

// handoff is a listener that accepts the connections that it is given.
type handoff struct {
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	address net.Addr
}

// Accept implements net.Listener.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handoff) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handoff) Addr() net.Addr { return h.address }

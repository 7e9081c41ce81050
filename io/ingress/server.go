// Package ingress accepts callers' connections and enforces limits on the size of
// headers and on the time that a caller may take.
package ingress

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/routing"
	"knapweedstall/io/accept"
)

// Server serves callers. A connection keeps the limits that were set when it was opened,
// since each set of limits has its own http.Server.
type Server struct {
	listener       deadlineListener
	handler        http.Handler
	maxConnections int         // open connections; 0 for no bound
	failed         func(error) // called when a connection could not be accepted

	mu      sync.Mutex
	limits  routing.Limits
	current *connListener  // of the server with the current limits
	servers []*http.Server // for all limits so far
	closed  bool
	failure time.Time // when a connection could last not be accepted

	accepting sync.WaitGroup // calls of Serve
	open      *connSet       // accepted connections that have not been closed
}

// deadlineListener is a listener whose Accept can be given a deadline.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// Option configures a Server.
type Option func(*Server)

// WithMaxConnections bounds the open connections, so that other parts of the process have
// file descriptors too. Beyond n, those that have been idle for the longest time are ended,
// and new ones are closed unread when there are not enough idle ones. The default is no
// bound.
func WithMaxConnections(n int) Option { return func(s *Server) { s.maxConnections = n } }

// OnFailure sets the function that is called when a connection could not be accepted.
func OnFailure(f func(error)) Option { return func(s *Server) { s.failed = f } }

// Listen returns a Server that listens on address.
func Listen(address string, handler http.Handler, opts ...Option) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	d, ok := l.(deadlineListener)
	if !ok {
		return nil, errors.WithStack(&ListenerError{Address: address, Listener: l})
	}
	return newServer(d, handler, opts...), nil
}

func newServer(l deadlineListener, handler http.Handler, opts ...Option) *Server {
	s := &Server{listener: l, handler: handler, failed: func(error) {}, open: newConnSet()}
	for _, o := range opts {
		o(s)
	}
	s.SetLimits(routing.DefaultLimits)
	return s
}

// ListenerError reports that the listener on an address accepts no deadline.
type ListenerError struct {
	Address  string
	Listener net.Listener
}

// Error implements error.
func (e *ListenerError) Error() string {
	return fmt.Sprintf("the listener on %s, a %T, accepts no deadline", e.Address, e.Listener)
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
		ConnState:         s.open.observe,

		DisableGeneralOptionsHandler: true, // the handler answers OPTIONS * too
	}
	s.current = &connListener{conns: make(chan net.Conn), done: make(chan struct{}), address: s.listener.Addr()}
	s.servers = append(s.servers, server)
	go func(h *connListener) {
		_ = server.Serve(h) // always returns an error: http.ErrServerClosed or that of a closed listener
	}(s.current)
}

// Times of a shutdown.
const (
	// queueTime is how long a shutdown goes on accepting connections, which the system
	// may have queued. Closing the listener would reset them.
	queueTime = 50 * time.Millisecond
	// newConnectionTime is how long a shutdown waits for requests on connections that have
	// been accepted and on which nothing has been sent yet.
	newConnectionTime = time.Second
	// pollPeriod is the time between two looks for open connections.
	pollPeriod = 5 * time.Millisecond
)

// Serve accepts connections and passes them to the http.Server with the current limits
// until Shutdown. An accept that fails, as for want of file descriptors, is repeated.
func (s *Server) Serve() error {
	s.accepting.Add(1)
	defer s.accepting.Done()
	listener := accept.NewListener(s.listener, s.acceptFailed)
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // the listener is closed or its deadline has passed
		}
		s.mu.Lock()
		h := s.current
		s.mu.Unlock()
		c := &callerConn{Conn: accepted}
		if !s.makeRoom() {
			_ = c.Close() // the caller turns to another instance
			continue
		}
		s.open.add(c)
		select {
		case h.conns <- c:
		case <-h.done:
			s.open.remove(c)
			_ = c.Close() // the server is shutting down
		}
	}
}

// Bounds of open connections, in parts of the maximum.
const (
	endedPart  = 32 // of the connections are ended at a time
	excessPart = 16 // more than the maximum may be open until these are closed
)

// makeRoom ends connections that have been idle for long if there are too many, and reports
// whether another one may be opened.
func (s *Server) makeRoom() bool {
	if s.maxConnections == 0 {
		return true
	}
	open := s.open.size()
	if open >= s.maxConnections {
		s.open.endLongestIdle(open - s.maxConnections + 1 + s.maxConnections/endedPart)
	}
	return open < s.maxConnections+s.maxConnections/excessPart+1
}

// acceptFailed ends some idle connections, since there may be too few file descriptors.
func (s *Server) acceptFailed(err error) {
	s.mu.Lock()
	s.failure = time.Now()
	s.mu.Unlock()
	s.open.endLongestIdle(1 + s.open.size()/endedPart)
	s.failed(err)
}

// failureTime is how long a server that could not accept a connection counts as one that
// can't.
const failureTime = time.Second

// Accepts reports whether the server can accept connections.
func (s *Server) Accepts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.failure) > failureTime
}

// Shutdown stops accepting connections, closes idle ones, waits for requests in progress
// until ctx is done, and then closes all connections.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	servers := s.servers
	s.mu.Unlock()
	if s.listener.SetDeadline(time.Now().Add(queueTime)) == nil {
		_ = s.Serve() // until the deadline; an error ends it sooner
		// A connection that another call accepted last must be counted before the open
		// ones are awaited.
		s.accepting.Wait()
	}
	_ = s.listener.Close() // no connection is accepted any more, even if it fails
	s.awaitConnections(ctx)
	for _, server := range servers {
		_ = server.Close() // the process exits
	}
}

// awaitConnections ends idle connections, and after newConnectionTime also those on which
// no request has begun, and waits until none is open or ctx is done. http.Server.Shutdown
// is not used: it closes a connection on which a request has just been read.
func (s *Server) awaitConnections(ctx context.Context) {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for started := time.Now(); s.open.endIdle(time.Since(started) > newConnectionTime) > 0; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// connListener is a net.Listener that returns the connections passed to its channel.
type connListener struct {
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	address net.Addr
}

// Accept implements net.Listener.
func (h *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *connListener) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *connListener) Addr() net.Addr { return h.address }

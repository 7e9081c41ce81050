// Package ingress accepts callers' connections and enforces limits on the size of
// headers and on the time that a caller may take.
package ingress

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/routing"
	"knapweedstall/io/accept"
)

// Server serves callers. The limits in force apply to each request from its first byte, on
// connections of any age.
type Server struct {
	listener       deadlineListener
	handler        http.Handler
	server         *http.Server
	accepted       *connListener // passes connections to server
	limits         atomic.Pointer[routing.Limits]
	maxConnections int         // open connections; 0 for no bound
	failed         func(error) // called when a connection could not be accepted
	rejected       func(int)   // called with the status when a request is rejected before the handler

	mu      sync.Mutex
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

// OnReject sets the function that is called with the status when the head of a request is too
// slow (408) or too large (431).
func OnReject(f func(status int)) Option { return func(s *Server) { s.rejected = f } }

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
	s := &Server{
		listener: l, handler: handler, failed: func(error) {}, rejected: func(int) {}, open: newConnSet(),
		accepted: &connListener{conns: make(chan net.Conn), done: make(chan struct{}), address: l.Addr()},
	}
	for _, o := range opts {
		o(s)
	}
	s.SetLimits(routing.DefaultLimits)
	s.server = &http.Server{
		Handler:        http.HandlerFunc(s.serve),
		MaxHeaderBytes: math.MaxInt32, // callerConn bounds them
		ConnState:      s.open.observe,
		ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },

		DisableGeneralOptionsHandler: true, // the handler answers OPTIONS * too
	}
	go func() { _ = s.server.Serve(s.accepted) }() // always returns an error: http.ErrServerClosed
	return s
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		c.beginHandler()
	}
	s.handler.ServeHTTP(w, r)
}

// BodyLimit returns the most bytes that the body of a request may have by the limits that
// were in force when its first byte arrived, or 0 if ctx is not that of a request to a Server.
func BodyLimit(ctx context.Context) int64 {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return 0
	}
	return c.bodyLimit()
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

// SetLimits puts limits in force. They apply to each request whose first byte arrives from
// now on, and to the idle time after it. Where they are higher than before, they apply to
// requests that are being received and to idle connections too.
func (s *Server) SetLimits(l routing.Limits) {
	if before := s.limits.Swap(&l); before == nil || *before != l {
		s.open.raise(l)
	}
}

func (s *Server) limitsInForce() routing.Limits { return *s.limits.Load() }

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

// Serve accepts connections and passes them to the http.Server until Shutdown. An accept that fails, as for want of file descriptors, is repeated.
func (s *Server) Serve() error {
	s.accepting.Add(1)
	defer s.accepting.Done()
	listener := accept.NewListener(s.listener, s.acceptFailed)
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // the listener is closed or its deadline has passed
		}
		if !s.makeRoom() {
			_ = accepted.Close() // the caller turns to another instance
			continue
		}
		c := newCallerConn(accepted, s.limitsInForce, s.rejected)
		s.open.add(c)
		c.begin(opened)
		select {
		case s.accepted.conns <- c:
		case <-s.accepted.done:
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
	if s.listener.SetDeadline(time.Now().Add(queueTime)) == nil {
		_ = s.Serve() // until the deadline; an error ends it sooner
		// A connection that another call accepted last must be counted before the open
		// ones are awaited.
		s.accepting.Wait()
	}
	_ = s.listener.Close() // no connection is accepted any more, even if it fails
	s.awaitConnections(ctx)
	_ = s.server.Close() // the process exits
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

package ingress

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// crossingListener accepts connections on which a request arrives just when the server
// has decided to end the connection because it is idle.
type crossingListener struct {
	*net.TCPListener
	idle   atomic.Bool // the connection is idle
	caller net.Conn    // set before idle
}

// Accept implements net.Listener.
func (l *crossingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	return &crossingConn{Conn: c, listener: l}, err
}

type crossingConn struct {
	net.Conn
	listener *crossingListener
	once     sync.Once
}

// cross sends a request and waits until the server has read it.
func (c *crossingConn) cross() {
	if c.listener.idle.Load() {
		c.once.Do(func() {
			_, _ = c.listener.caller.Write([]byte(request)) // the test fails without an answer
			time.Sleep(20 * time.Millisecond)
		})
	}
}

// Close implements net.Conn.
func (c *crossingConn) Close() error {
	c.cross()
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn.
func (c *crossingConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		c.cross()
	}
	return c.Conn.SetReadDeadline(t)
}

// crossingServer starts a server with the handler and connects a caller to it whose request
// crosses the end of the connection.
func crossingServer(t *testing.T, handler func(*crossingListener) http.HandlerFunc) (*Server, *crossingListener, *keptConn) {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l := &crossingListener{TCPListener: tcp}
	s := newServer(l, handler(l))
	go func() { _ = s.Serve() }() // ends with the shutdown
	c := dial(t, s)
	l.caller = c
	return s, l, c
}

// work waits for d, or until the request is given up, and reports whether it is answered.
func work(d time.Duration, r *http.Request) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// shutdown shuts the server down within limit.
func shutdown(t *testing.T, s *Server, limit time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	s.Shutdown(ctx)
}

// TestShutdownAnswersCrossingRequest guards against a planned stop that closes a kept
// connection on which a request has just been read: it was passed on to targets and got
// no answer.
func TestShutdownAnswersCrossingRequest(t *testing.T) {
	s, l, c := crossingServer(t, func(*crossingListener) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if work(50*time.Millisecond, r) {
				w.WriteHeader(http.StatusNoContent)
			}
		}
	})
	if !c.ask() {
		t.Fatal("the first request is not answered")
	}
	time.Sleep(20 * time.Millisecond) // until the server waits for the next request
	l.idle.Store(true)
	shutdown(t, s, 2*time.Second)
	if !c.answered() {
		t.Fatal("the request got no answer")
	}
}

// TestShutdownAnswersLateCrossingRequest guards against the same on a connection whose
// answer in progress ends late in the stop.
func TestShutdownAnswersLateCrossingRequest(t *testing.T) {
	var handled atomic.Int64
	s, _, c := crossingServer(t, func(l *crossingListener) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			duration := newConnectionTime + 300*time.Millisecond
			if handled.Add(1) > 1 {
				duration = 50 * time.Millisecond
			}
			if work(duration, r) {
				l.idle.Store(true) // the answer is written now
				w.WriteHeader(http.StatusNoContent)
			}
		}
	})
	if _, err := fmt.Fprint(c, request); err != nil {
		t.Fatal(err)
	}
	for handled.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	shutdown(t, s, 4*time.Second)
	answered := int64(0)
	for c.answered() {
		answered++
	}
	if got := handled.Load(); got != answered {
		t.Errorf("%d requests were handled and %d answered", got, answered)
	}
}

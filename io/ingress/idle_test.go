package ingress

import (
	"bufio"
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

// TestShutdownAnswersCrossingRequest guards against a planned stop that closes a kept
// connection on which a request has just been read: it was passed on to targets and got
// no answer.
func TestShutdownAnswersCrossingRequest(t *testing.T) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l := &crossingListener{TCPListener: tcp}
	s := newServer(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(50 * time.Millisecond):
			w.WriteHeader(http.StatusNoContent)
		case <-r.Context().Done(): // the request is given up
		}
	}))
	go func() { _ = s.Serve() }() // ends with the shutdown
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	answers := bufio.NewReader(c)
	if _, err := fmt.Fprint(c, request); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadResponse(answers, nil); err != nil { //nolint:bodyclose // there is no body
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // until the server waits for the next request
	l.caller = c
	l.idle.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	s.Shutdown(ctx)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatalf("the request got no answer: %v", err)
	}
	_ = resp.Body.Close()
}

// TestShutdownAnswersLateCrossingRequest guards against the same on a connection whose
// answer in progress ends late in the stop.
func TestShutdownAnswersLateCrossingRequest(t *testing.T) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l := &crossingListener{TCPListener: tcp}
	var handled atomic.Int64
	s := newServer(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		work := newConnectionTime + 300*time.Millisecond
		if handled.Add(1) > 1 {
			work = 50 * time.Millisecond
		}
		select {
		case <-time.After(work):
			l.idle.Store(true) // the answer is written now
			w.WriteHeader(http.StatusNoContent)
		case <-r.Context().Done(): // the request is given up
		}
	}))
	go func() { _ = s.Serve() }() // ends with the shutdown
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	l.caller = c
	answers := bufio.NewReader(c)
	if _, err := fmt.Fprint(c, request); err != nil {
		t.Fatal(err)
	}
	for handled.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	s.Shutdown(ctx)
	answered := int64(0)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	for {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			break
		}
		_ = resp.Body.Close()
		answered++
	}
	if got := handled.Load(); got != answered {
		t.Errorf("%d requests were handled and %d answered", got, answered)
	}
}

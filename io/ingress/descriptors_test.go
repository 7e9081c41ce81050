package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// shortListener lacks file descriptors for some time.
type shortListener struct {
	*net.TCPListener
	short atomic.Bool
}

// Accept implements net.Listener.
func (l *shortListener) Accept() (net.Conn, error) {
	if l.short.Load() {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.TCPListener.Accept()
}

// startServer starts a server on a loopback address and stops it at the end of the test.
func startServer(t *testing.T, handler http.HandlerFunc, opts ...Option) (*Server, *shortListener) {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l := &shortListener{TCPListener: tcp}
	s := newServer(l, handler, opts...)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		s.Shutdown(ctx)
	})
	return s, l
}

// keptConn is a connection of a caller.
type keptConn struct {
	net.Conn
	answers *bufio.Reader
}

func dial(t *testing.T, s *Server) *keptConn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &keptConn{c, bufio.NewReader(c)}
}

// ask sends a request and reports whether it is answered.
func (c *keptConn) ask() bool {
	if _, err := fmt.Fprint(c, request); err != nil {
		return false
	}
	return c.answered()
}

// answered reads an answer and reports whether there was one.
func (c *keptConn) answered() bool {
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

func noContent(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

// TestServeOutlastsWantOfDescriptors guards against a server that accepts no connection any
// more after it once had no file descriptor left, and meanwhile says that it does.
func TestServeOutlastsWantOfDescriptors(t *testing.T) {
	failures := atomic.Int64{}
	s, l := startServer(t, noContent, OnFailure(func(error) { failures.Add(1) }))
	l.short.Store(true)
	go func() { _ = s.Serve() }() // ends with the test
	time.Sleep(300 * time.Millisecond)
	if s.Accepts() {
		t.Error("the server says that it accepts connections")
	}
	if got := failures.Load(); got < 1 || got > 30 {
		t.Errorf("%d accepts failed in 300 ms, want 1 to 30", got)
	}
	l.short.Store(false)
	if !dial(t, s).ask() {
		t.Error("a request on a new connection is not answered")
	}
	time.Sleep(failureTime)
	if !s.Accepts() {
		t.Error("the server says that it accepts no connections")
	}
}

// TestKeptConnectionsMakeRoom guards against callers that keep so many connections that
// none is left for others: those that have been idle for long are ended, and no request in
// progress.
func TestKeptConnectionsMakeRoom(t *testing.T) {
	const most, kept = 32, 90
	release := make(chan struct{})
	s, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Wait") != "" {
			<-release
		}
		noContent(w, r)
	}, WithMaxConnections(most))
	go func() { _ = s.Serve() }() // ends with the test
	working := dial(t, s)
	if _, err := fmt.Fprint(working, "GET / HTTP/1.1\r\nHost: h\r\nX-Wait: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for i := range kept {
		if !dial(t, s).ask() {
			t.Errorf("the request on connection %d is not answered", i)
		}
		if got := s.open.size(); got > most+most/excessPart+1 {
			t.Errorf("%d connections are open, want %d at most", got, most+most/excessPart+1)
		}
		time.Sleep(minIdleTime / most * 2)
	}
	close(release)
	if !working.answered() {
		t.Error("the request in progress got no answer")
	}
}

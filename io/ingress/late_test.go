package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// lateListener returns the first connection only some time after the deadline, as an
// accept that succeeds just before it on a busy machine.
type lateListener struct {
	*net.TCPListener
	accepted atomic.Int64
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil && l.accepted.Add(1) == 1 {
		time.Sleep(queueTime + 50*time.Millisecond)
	}
	return c, err
}

// TestShutdownWaitsForLastAccept guards against a planned stop that closes a connection
// whose accept was under way when the stop ended: the request was passed on to a target
// and its connection closed without an answer.
func TestShutdownWaitsForLastAccept(t *testing.T) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l := &lateListener{TCPListener: tcp}
	s := newServer(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	}))
	go func() { _ = s.Serve() }() // ends with the shutdown
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for l.accepted.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	s.Shutdown(ctx)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("the request got no answer: %v", err)
	}
	_ = resp.Body.Close()
}

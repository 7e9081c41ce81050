package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"knapweedstall/io/ingress"
)

// TestShutdownServesQueuedConnections guards against a planned stop that cuts off
// requests that have just arrived: connections that the system has accepted, but the
// process has not, are reset when the listener is closed.
func TestShutdownServesQueuedConnections(t *testing.T) {
	const connections = 20
	s, err := ingress.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	}))
	if err != nil {
		t.Fatal(err)
	}
	var open []net.Conn
	for range connections {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	s.Shutdown(ctx)
	if err := <-served; err != nil {
		t.Errorf("accepting connections ended with %v", err)
	}
	lost := 0
	for _, c := range open {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			lost++
			continue
		}
		_ = resp.Body.Close()
	}
	if lost > 0 {
		t.Errorf("%d of %d requests got no answer", lost, connections)
	}
	if c, err := net.Dial("tcp", s.Address()); err == nil {
		_ = c.Close()
		t.Error("connections are still accepted after the shutdown")
	}
}

// TestShutdownWaitsForHeads guards against a planned stop that cuts off a request of
// which only a part has arrived, or a caller that has just connected.
func TestShutdownWaitsForHeads(t *testing.T) {
	for name, early := range map[string]string{"half a head": "GET / HTTP/1.1\r\nHo", "nothing yet": ""} {
		t.Run(name, func(t *testing.T) {
			s, err := ingress.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = s.Serve() }() // ends with the shutdown
			c, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
			rest := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"[len(early):]
			if _, err := fmt.Fprint(c, early); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // until the server has read it
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				s.Shutdown(ctx)
			}()
			time.Sleep(200 * time.Millisecond)
			if _, err := fmt.Fprint(c, rest); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("the request got no answer: %v", err)
			}
			_ = resp.Body.Close()
			<-stopped
		})
	}
}

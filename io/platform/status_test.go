package platform_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"knapweedstall/io/platform"
)

// TestOddStatus guards against bytes in place of a reply that are taken for the success of a
// write, and against a redirection that is followed.
func TestOddStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "307", "600", "999"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer func(c net.Conn) { _ = c.Close() }(c)
			_, _ = c.Write([]byte("HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\nLocation: http://127.0.0.1:1/\r\n\r\n"))
		}))
		t.Cleanup(server.Close)
		client := platform.NewClient(strings.TrimPrefix(server.URL, "http://"))
		err := client.Deregister(t.Context(), "i")
		var unavailable *platform.UnavailableError
		if !errors.As(err, &unavailable) || unavailable.Status == 0 && status != "000" {
			t.Errorf("status %s: %v, want it to be reported", status, err)
		}
	}
}

// TestEndlessHead guards against a reply whose head has no end, which would be kept in
// memory.
func TestEndlessHead(t *testing.T) {
	const limit = 8 << 20 // bytes written, buffers of the system included
	written := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func(c net.Conn) { _ = c.Close() }(c)
		n := 0
		_, err = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Long: "))
		for chunk := []byte(strings.Repeat("x", 1<<16)); err == nil; n += len(chunk) {
			_, err = c.Write(chunk)
		}
		written <- n
	}))
	t.Cleanup(server.Close)
	client := platform.NewClient(strings.TrimPrefix(server.URL, "http://"))
	if err := client.Deregister(t.Context(), "i"); err == nil {
		t.Error("a reply without an end to its head was accepted")
	}
	if n := <-written; n > limit {
		t.Errorf("%d bytes were written, want at most %d", n, limit)
	}
}

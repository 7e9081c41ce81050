package handshake_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"knapweedstall/io/handshake"
)

// TestEndlessHandshake guards against an instance, or what has its address, that answers a
// handshake with a head without end, which would be kept in memory, and against a
// redirection that is followed.
func TestEndlessHandshake(t *testing.T) {
	const limit = 8 << 20 // bytes written, buffers of the system included
	for name, before := range map[string]string{
		"status line": "", "header": "HTTP/1.1 101 Switching Protocols\r\nX-Long: ", "redirected": "HTTP/1.1 307 Elsewhere\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			var written atomic.Int64
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, err = io.WriteString(c, before)
				for chunk := strings.Repeat("x", 1<<16); err == nil; written.Add(int64(len(chunk))) {
					_, err = io.WriteString(c, chunk)
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if _, _, err := handshake.Dial(ctx, l.Addr().String(), "/", 1<<20); err == nil || strings.Contains(err.Error(), "127.0.0.1:1/") {
				t.Errorf("error %v, want one of the handshake", err)
			}
			if got := written.Load(); got > limit {
				t.Errorf("%d bytes were written, want at most %d", got, limit)
			}
		})
	}
}

package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedstall/platform/platformtest"
)

// keptCaller is a caller that keeps its connection.
type keptCaller struct {
	conn    net.Conn
	answers *bufio.Reader
}

func (in *instance) keep(t *testing.T) *keptCaller {
	t.Helper()
	c, err := net.Dial("tcp", in.settings.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &keptCaller{c, bufio.NewReader(c)}
}

// post sends a request with so many bytes of header and body, with a pause in its head, and
// returns the status of the answer, 0 for none.
func (c *keptCaller) post(path string, headerBytes, bodyBytes int, pause time.Duration) int {
	_, _ = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\n", path, host)
	time.Sleep(pause)
	_, _ = fmt.Fprintf(c.conn, "%s: %s\r\n%s: 2000\r\nX-Fill: %s\r\nContent-Length: %d\r\n\r\n%s", platformtest.HeaderRequestID, newRequestID(),
		platformtest.HeaderDeadline, strings.Repeat("h", headerBytes), bodyBytes, strings.Repeat("b", bodyBytes))
	_ = c.conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestLimitsChangeForKeptConnections guards against limits of an earlier configuration that
// stay in force on the connections that callers have kept.
func TestLimitsChangeForKeptConnections(t *testing.T) {
	low := platformtest.Limits{HeaderBytes: 8192, BodyBytes: 8192, HeaderTimeoutMS: 300, IdleTimeoutMS: 5000}
	high := platformtest.Limits{HeaderBytes: 65536, BodyBytes: 262144, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}
	requests := map[string]struct {
		headerBytes, bodyBytes int
		pause                  time.Duration
		rejected               int
	}{
		"large header": {30_000, 10, 0, http.StatusRequestHeaderFieldsTooLarge},
		"large body":   {10, 200_000, 0, http.StatusRequestEntityTooLarge},
		"slow header":  {10, 10, 800 * time.Millisecond, http.StatusRequestTimeout},
	}
	env := newTestEnv(t)
	version := 1
	set := func(l platformtest.Limits) {
		version++
		env.store.SetLimits(l)
		env.configure(version, true)
	}
	set(low)
	in := env.start(nil)
	kept := map[string]*keptCaller{}
	for name := range requests {
		for _, path := range []string{"/plain/1", "/search/1"} {
			c := in.keep(t)
			kept[name+" "+path] = c
			if got := c.post(path, 10, 10, 0); got != http.StatusOK {
				t.Fatalf("status %d before the change", got)
			}
		}
	}
	for _, raised := range []bool{true, false} {
		if raised {
			set(high)
		} else {
			set(low)
		}
		time.Sleep(time.Second)
		for name, r := range requests {
			for _, path := range []string{"/plain/1", "/search/1"} {
				want := http.StatusOK
				if !raised {
					want = r.rejected
				}
				if got := kept[name+" "+path].post(path, r.headerBytes, r.bodyBytes, r.pause); got != want {
					t.Errorf("%s, %s, limits raised %v: status %d, want %d", name, path, raised, got, want)
				}
			}
		}
	}
}

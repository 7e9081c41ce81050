package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"knapweedstall/gateway"
	"knapweedstall/platform/platformtest"
)

// askAndCloseSending sends a request, closes the sending side of the connection and returns
// all bytes that it receives.
func (in *instance) askAndCloseSending(t *testing.T, method, path string) string {
	t.Helper()
	c, err := net.Dial("tcp", in.settings.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 2000\r\n\r\n",
		method, path, host, platformtest.HeaderRequestID, newRequestID(), platformtest.HeaderDeadline)
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
	data, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("reading the answer: %v", err)
	}
	return string(data)
}

// TestAbandonedRequestHasNoAnswer guards against a success with an empty body, framed as
// whole, for a caller that has closed its sending side while targets are at work.
func TestAbandonedRequestHasNoAnswer(t *testing.T) {
	for name, isolated := range map[string]bool{"run here": false, "delegated": true} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			cut := &partition{mode: refuse}
			in := env.start(nil, gateway.WithTargetDial(cut.dial))
			env.start(nil)
			env.eventually("the instances are known", func() bool { return len(env.store.Names("knapweedstall-instances")) == 2 })
			time.Sleep(300 * time.Millisecond) // until each instance has the list
			cut.on.Store(isolated)
			if isolated {
				in.do(t, "GET", "/search/first", "") // shows that the instance is isolated
			}
			for _, target := range env.targets {
				target.SetDelay(300 * time.Millisecond)
			}
			for path, method := range map[string]string{"/search/1": "GET", "/plain/1": "GET", "/order/1": "POST"} {
				if got := in.askAndCloseSending(t, method, path); strings.HasPrefix(got, "HTTP/1.1 200") && !strings.Contains(got, "st-") {
					t.Errorf("%s %s: answer without a digest:\n%s", method, path, got)
				}
			}
		})
	}
}

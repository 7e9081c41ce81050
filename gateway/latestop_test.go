package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/gateway"
	"knapweedstall/platform"
	"knapweedstall/platform/platformtest"
	"knapweedstall/settings"
)

// lateRequest is a request of which a part arrives before a stop and the rest during it.
type lateRequest struct {
	id     string
	conn   net.Conn
	rest   string
	answer *bufio.Reader
}

// sendPart opens a connection and sends the first n bytes of an order, -1 for all but the
// last byte of its body.
func (in *instance) sendPart(t *testing.T, n int) *lateRequest {
	t.Helper()
	c, err := net.Dial("tcp", in.settings.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	id := newRequestID()
	text := fmt.Sprintf("POST /order/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\nContent-Length: 4\r\n\r\nlamp",
		host, platformtest.HeaderRequestID, id, platformtest.HeaderDeadline)
	if n < 0 {
		n = len(text) - 1
	}
	if _, err := fmt.Fprint(c, text[:n]); err != nil {
		t.Fatal(err)
	}
	return &lateRequest{id: id, conn: c, rest: text[n:], answer: bufio.NewReader(c)}
}

// finish sends the rest and returns the status of the answer, 0 for none.
func (l *lateRequest) finish() int {
	_, _ = fmt.Fprint(l.conn, l.rest) // without an answer, the status is 0
	_ = l.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(l.answer, nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestLateRequestOfStopIsRefused guards against requests that arrive late in a planned stop
// and are passed on to targets, although the instance ends before they do: their callers
// don't learn what has become of them.
func TestLateRequestOfStopIsRefused(t *testing.T) {
	const (
		grace = 2 * time.Second // as in the settings; requests are accepted for half of it
		work  = 900 * time.Millisecond
	)
	for name, c := range map[string]struct {
		sent    int // bytes that are sent before the stop
		arrives time.Duration
		status  int
	}{
		"early":                    {0, 50 * time.Millisecond, http.StatusOK},
		"half a head":              {30, 1150 * time.Millisecond, http.StatusServiceUnavailable},
		"half a body":              {-1, 1150 * time.Millisecond, http.StatusServiceUnavailable},
		"too long for what's left": {0, 800 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			in := env.start(nil)
			env.targets["single1"].SetDelay(work)
			if name == "too long for what's left" {
				env.targets["single1"].SetDelay(700 * time.Millisecond)
				for range 16 { // so that the instance knows how long requests take
					go in.sendPart(t, -1).finish()
				}
				env.eventually("all are answered", func() bool {
					return env.targets["single1"].InProgress() == 0 && len(env.targets["single1"].Runs()) >= 16
				})
			}
			var late *lateRequest
			if c.sent != 0 {
				late = in.sendPart(t, c.sent)
			}
			time.Sleep(50 * time.Millisecond) // until it has been read
			in.stop()
			started := time.Now()
			time.Sleep(c.arrives)
			if late == nil {
				late = in.sendPart(t, 40)
			}
			if got := late.finish(); got != c.status {
				t.Errorf("status %d, want %d", got, c.status)
			}
			runs := 0
			for _, r := range env.targets["single1"].Runs() {
				if r.RequestID == late.id {
					runs++
				}
			}
			want := 0
			if c.status == http.StatusOK {
				want = 1
			}
			if diff := cmp.Diff(want, runs); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
			<-in.served
			if took := time.Since(started); took > grace {
				t.Errorf("the stop took %v, longer than the grace period", took)
			}
		})
	}
}

// TestStopWaitsForDelegatedRequests guards against a planned stop that ends a request which
// another instance has delegated to this one.
func TestStopWaitsForDelegatedRequests(t *testing.T) {
	const grace, work = 4, 2600 * time.Millisecond // without requests in progress, the stop takes half of the grace period
	env := newTestEnv(t)
	env.store.PutConfig(2, []platformtest.Route{
		{Name: "search", Host: host, Prefix: "/search/", Shards: []string{"a", "b", "c", "d"}, TopK: 3, MinCoverage: 0.5},
		{Name: "order", Host: host, Prefix: "/order/", Service: "single", NonIdempotent: true, TimeoutMS: 5000},
	})
	cut := &partition{mode: refuse}
	isolated := env.start(nil, gateway.WithTargetDial(cut.dial))
	runner := env.start(func(s *settings.Gateway) { s.Shutdown.GraceSeconds = grace })
	env.eventually("the instances are known", func() bool { return len(env.store.Names(platform.KindInstances)) == 2 })
	time.Sleep(300 * time.Millisecond) // until each instance has the list
	cut.on.Store(true)
	isolated.do(t, "GET", "/search/first", "") // shows that the instance is isolated
	env.targets["single1"].SetDelay(work)
	status := make(chan int)
	request := isolated.sendPart(t, -1)
	go func() { status <- request.finish() }()
	env.eventually("the request is running", func() bool { return env.targets["single1"].InProgress() == 1 })
	runner.stop()
	select {
	case <-runner.served:
		t.Error("the instance has ended before the request")
	case got := <-status:
		if got != http.StatusOK {
			t.Errorf("status %d, want %d", got, http.StatusOK)
		}
	}
}

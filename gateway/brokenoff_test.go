package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/gateway"
	"knapweedstall/platform/platformtest"
)

// startEarly starts a target of the service single that breaks its answers off, and
// registers it at the store.
func (env *testEnv) startEarly(id string) *platformtest.EarlyTarget {
	env.t.Helper()
	text := "HTTP/1.1 200 OK\r\n" + platformtest.HeaderDigest + ": st-" + id + "\r\n\r\n" + strings.Repeat("half ", 600)
	target, err := platformtest.StartEarlyTarget(text, func(*net.TCPConn) {})
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(target.Close)
	env.store.Put("servers", id, map[string]any{
		"backend": "single", "address": target.Address(), "zone": "z1", "version": "v1", "concurrency": 2,
		"state": "ready", "coldMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return target
}

// TestBrokenOffAnswers guards against a success whose body is not the target's whole body,
// against a request that may run once and is run again after an answer that was broken off,
// and against one that may be repeated and is not.
func TestBrokenOffAnswers(t *testing.T) {
	env := newTestEnv(t)
	limits := platformtest.DefaultLimits
	limits.BodyBytes = 262144
	env.store.SetLimits(limits)
	env.configure(2, true)
	env.store.Delete("servers", "single1")
	first, second := env.startEarly("e1"), env.startEarly("e2")
	in := env.start(nil, gateway.WithTargetDial(platformtest.DialSmall))
	body := strings.Repeat("b", 200_000)
	ask := func(path string) (runs int) {
		before := first.Runs() + second.Runs()
		if diff := cmp.Diff(reply{Status: http.StatusBadGateway}, in.do(t, "POST", path, body)); diff != "" {
			t.Errorf("%s (-want +got):\n%.300s", path, diff)
		}
		return first.Runs() + second.Runs() - before
	}
	if runs := ask("/order/1"); runs != 1 {
		t.Errorf("a request that may run once was run by %d targets", runs)
	}
	// An instance repeats few requests shortly after its start.
	env.eventually("a request that may be repeated is run by both targets", func() bool { return ask("/plain/1") == 2 })
	if runs := ask("/order/2"); runs != 1 {
		t.Errorf("a request that may run once was run by %d targets", runs)
	}
	env.store.Delete("servers", "e2")
	env.startTarget("single2", "single")
	env.eventually("a request that may be repeated is answered by the sound target", func() bool {
		before := first.Runs()
		got := in.do(t, "POST", "/plain/1", body)
		if got.Status == http.StatusOK && got.Body != record("single") {
			t.Errorf("a success with %d bytes, want the target's %d", len(got.Body), len(record("single")))
		}
		return first.Runs() > before && got.Status == http.StatusOK
	})
}

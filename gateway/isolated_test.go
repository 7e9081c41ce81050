package gateway_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"knapweedstall/core/placing"
	"knapweedstall/gateway"
	"knapweedstall/platform"
)

// cutMode is what happens to an instance's connections to targets in a partition.
type cutMode int

// Modes of a partition.
const (
	hang   cutMode = iota // open and new connections hang
	refuse                // new connections are refused, and open ones live on
	reset                 // new connections are refused, and open ones are reset
)

// partition separates an instance from all targets while it is on.
type partition struct {
	on   atomic.Bool
	mode cutMode
}

// dial opens a connection to a target.
func (p *partition) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if p.on.Load() {
		if p.mode != hang {
			return nil, syscall.ECONNREFUSED
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &partitionedConn{Conn: c, partition: p}, err
}

// partitionedConn is a connection that takes part in a partition.
type partitionedConn struct {
	net.Conn
	partition *partition
}

// in reports whether there is a partition of the mode.
func (c *partitionedConn) in(mode cutMode) bool {
	return c.partition.on.Load() && c.partition.mode == mode
}

// Read implements net.Conn.
func (c *partitionedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		switch {
		case c.in(reset):
			return 0, syscall.ECONNRESET
		case err != nil || !c.in(hang):
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *partitionedConn) Write(p []byte) (int, error) {
	if c.in(hang) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestResetIsNoCrash guards against an instance that takes the reset of its connections
// in a partition for crashes which a request has caused: all instances then refuse that
// request for minutes.
func TestResetIsNoCrash(t *testing.T) {
	env := newTestEnv(t)
	cut := &partition{mode: reset}
	in := env.start(nil, gateway.WithTargetDial(cut.dial))
	for range 3 {
		in.do(t, "GET", "/search/popular", "")
		in.do(t, "GET", "/plain/popular", "")
	}
	cut.on.Store(true)
	for range 3 {
		in.do(t, "GET", "/search/popular", "")
		in.do(t, "GET", "/plain/popular", "")
		time.Sleep(100 * time.Millisecond) // until crashes are written
	}
	if diff := cmp.Diff([]string(nil), env.store.Names(platform.KindCrashes), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("crashes (-want +got):\n%s", diff)
	}
}

// TestFirstRequestOfPartitionIsServed guards against requests that fail, or wait until
// their deadline, because their instance has not noticed yet that it is cut off.
func TestFirstRequestOfPartitionIsServed(t *testing.T) {
	const limit = 900 * time.Millisecond // the request's deadline is 1 s
	for name, c := range map[string]struct {
		mode      cutMode
		connected bool // the instance has open connections
	}{
		"connections hang":        {hang, true},
		"connections are reset":   {reset, true},
		"connections are refused": {refuse, false},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			cut := &partition{mode: c.mode}
			in := env.start(nil, gateway.WithTargetDial(cut.dial))
			other := env.start(nil)
			env.eventually("the instances are known", func() bool { return len(env.store.Names(platform.KindInstances)) == 2 })
			time.Sleep(300 * time.Millisecond) // until each instance has the list
			for range 30 {                     // so that the budget allows repeats
				other.do(t, "GET", "/search/before", "")
				if c.connected {
					in.do(t, "GET", "/search/before", "")
				}
			}
			cut.on.Store(true)
			started := time.Now()
			if got := in.do(t, "GET", "/search/1", ""); got.Status != http.StatusOK {
				t.Errorf("answer %+v, want one of the other instance", got)
			}
			if took := time.Since(started); took > limit {
				t.Errorf("the answer took %v, want at most %v", took, limit)
			}
		})
	}
}

// TestIsolatedInstanceServesThroughOthers guards against an instance that is partitioned
// from all targets and refuses what the other instances could serve, and against a
// request that runs twice because another instance runs it too.
func TestIsolatedInstanceServesThroughOthers(t *testing.T) {
	const settleTime = 2 * time.Second // the users allow 4 s
	for name, mode := range map[string]cutMode{"connections hang": hang, "connections are refused": refuse, "connections are reset": reset} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			cut, cutToo := &partition{mode: mode}, &partition{mode: mode}
			in := env.start(nil, gateway.WithTargetDial(cut.dial))
			env.start(nil, gateway.WithTargetDial(cutToo.dial))
			env.start(nil)
			env.eventually("the instances are known", func() bool { return len(env.store.Names(platform.KindInstances)) == 3 })
			time.Sleep(300 * time.Millisecond) // until each instance has the list
			in.do(t, "GET", "/search/before", "")
			cut.on.Store(true)
			cutToo.on.Store(true)
			for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				in.do(t, "GET", "/search/early", "")
			}
			for range 5 {
				for path, method := range map[string]string{"/search/1": "GET", "/plain/1": "GET", "/order/1": "POST"} {
					if got := in.do(t, method, path, "lamp"); got.Status != http.StatusOK || got.Missing != "" {
						t.Errorf("%s %s: %+v, want a complete answer", method, path, got)
					}
				}
			}
			runs := map[string]int{}
			for _, r := range env.targets["single1"].Runs() {
				if strings.HasPrefix(r.Path, "/order/") {
					runs[r.RequestID]++
				}
			}
			for id, n := range runs {
				if n != 1 {
					t.Errorf("the request %s ran %d times", id, n)
				}
			}
		})
	}
}

// startBreakingPeer registers an instance that accepts each delegated request and breaks
// the link without an answer, so that it may have run the request.
func startBreakingPeer(t *testing.T, env *testEnv) {
	t.Helper()
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		_, _, _ = c.Read(r.Context())
		_ = c.CloseNow()
	}))
	t.Cleanup(peer.Close)
	name, spec := platform.InstanceObject(placing.Instance{
		ID: "breaking", Zone: "z1", Address: strings.TrimPrefix(peer.URL, "http://"), Capacity: 1,
	})
	env.store.Put(platform.KindInstances, name, spec)
}

// TestBrokenDelegationIsNoRefusal guards against an isolated instance that says that a
// request was not run after another instance may have run it.
func TestBrokenDelegationIsNoRefusal(t *testing.T) {
	for path, method := range map[string]string{"/search/1": "GET", "/order/1": "POST"} {
		t.Run(method+path, func(t *testing.T) {
			env := newTestEnv(t)
			cut := &partition{mode: refuse}
			cut.on.Store(true)
			in := env.start(nil, gateway.WithTargetDial(cut.dial))
			startBreakingPeer(t, env)
			time.Sleep(500 * time.Millisecond) // until the instance has the list
			if path != "/search/1" {
				in.do(t, "GET", "/search/first", "") // shows that the instance is isolated
				time.Sleep(600 * time.Millisecond)   // until the other instance is asked again
			}
			got := in.do(t, method, path, "lamp").Status
			if got != http.StatusBadGateway && got != http.StatusGatewayTimeout {
				t.Errorf("status %d, want %d or %d, which promise nothing", got, http.StatusBadGateway, http.StatusGatewayTimeout)
			}
		})
	}
}

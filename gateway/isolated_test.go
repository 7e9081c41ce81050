package gateway_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"knapweedstall/gateway"
	"knapweedstall/platform"
)

// partition separates an instance from all targets while it is on.
type partition struct {
	on      atomic.Bool
	refuses bool // new connections are refused and open ones live on; else both hang
}

// dial opens a connection to a target.
func (p *partition) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if p.on.Load() {
		if p.refuses {
			return nil, errors.New("connection refused")
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &partitionedConn{Conn: c, partition: p}, err
}

// partitionedConn is a connection that loses what is sent on it during a partition.
type partitionedConn struct {
	net.Conn
	partition *partition
}

func (c *partitionedConn) lost() bool { return c.partition.on.Load() && !c.partition.refuses }

// Read implements net.Conn.
func (c *partitionedConn) Read(p []byte) (int, error) {
	for {
		if n, err := c.Conn.Read(p); err != nil || !c.lost() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *partitionedConn) Write(p []byte) (int, error) {
	if c.lost() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestRequestsInProgressMoveToOthers guards against requests that wait until their
// deadline for targets from which their instance has been cut off.
func TestRequestsInProgressMoveToOthers(t *testing.T) {
	const limit = 900 * time.Millisecond // the request's deadline is 1 s
	env := newTestEnv(t)
	cut := &partition{}
	in := env.start(nil, gateway.WithTargetDial(cut.dial))
	other := env.start(nil)
	env.eventually("the instances are known", func() bool { return len(env.store.Names(platform.KindInstances)) == 2 })
	for range 30 { // so that the budget allows repeats
		in.do(t, "GET", "/search/before", "")
		other.do(t, "GET", "/search/before", "")
	}
	cut.on.Store(true)
	started := time.Now()
	if got := in.do(t, "GET", "/search/1", ""); got.Status != http.StatusOK {
		t.Errorf("answer %+v, want one of the other instance", got)
	}
	if took := time.Since(started); took > limit {
		t.Errorf("the answer took %v, want at most %v", took, limit)
	}
}

// TestIsolatedInstanceServesThroughOthers guards against an instance that is partitioned
// from all targets and refuses what the other instances could serve, and against a
// request that runs twice because another instance runs it too.
func TestIsolatedInstanceServesThroughOthers(t *testing.T) {
	const settleTime = 2 * time.Second // the users allow 4 s
	for name, refuses := range map[string]bool{"connections hang": false, "connections are refused": true} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			cut, cutToo := &partition{refuses: refuses}, &partition{refuses: refuses}
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

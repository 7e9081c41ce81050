package gateway_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"knapweedstall/platform"
)

// frozenProxy forwards connections to an address until it freezes: bytes then wait without
// end, as at a process that is suspended.
type frozenProxy struct {
	address string
	frozen  atomic.Bool
}

func newFrozenProxy(t *testing.T, to string) *frozenProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &frozenProxy{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			forward, err := net.Dial("tcp", to)
			if err != nil {
				_ = c.Close()
				continue
			}
			t.Cleanup(func() { _ = c.Close(); _ = forward.Close() })
			go p.copy(forward, c)
			go p.copy(c, forward)
		}
	}()
	return p
}

// copy forwards bytes in one direction until one side closes or the proxy freezes.
func (p *frozenProxy) copy(to io.WriteCloser, from io.Reader) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if p.frozen.Load() {
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// TestRemovedTargetIsNotUsedLongerBehindFrozenSource guards against requests to a target
// that has left, from an instance that learns of it late because its source is frozen, and
// allows itself the same time as if it had learned of it at once.
func TestRemovedTargetIsNotUsedLongerBehindFrozenSource(t *testing.T) {
	const drain = 3 * time.Second // the shortest time for which a target serves after its entry was removed
	env := newTestEnv(t)
	first := env.start(nil) // watches the store
	proxy := newFrozenProxy(t, first.settings.Listen.Peers)
	env.register("frozen", proxy.address)
	follower := env.start(nil)
	time.Sleep(2 * time.Second) // the follower has found its source
	proxy.frozen.Store(true)
	env.store.Delete(platform.KindTargets, "single1")
	removed := time.Now()
	target := env.targets["single1"]
	for time.Since(removed) < drain+2*time.Second {
		follower.do(t, "GET", "/plain/1", "")
		time.Sleep(10 * time.Millisecond)
	}
	arrivals := target.Arrivals()
	if len(arrivals) == 0 {
		t.Fatal("the target got no request")
	}
	if late := arrivals[len(arrivals)-1].Sub(removed); late > drain {
		t.Errorf("the target got a request %v after it was removed, want %v at most", late, drain)
	} else {
		t.Logf("last request %v after the removal", late)
	}
}

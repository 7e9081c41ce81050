package upstream_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/io/osclock"
	"knapweedstall/io/upstream"
)

// TestIdleConnectionGivesWay guards against a target that counts as unreachable because the
// process has no file descriptor left, while it keeps idle connections to other targets.
func TestIdleConnectionGivesWay(t *testing.T) {
	var short atomic.Bool
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if short.Swap(false) {
			return nil, &net.OpError{Op: "dial", Err: syscall.EMFILE}
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	first := newScriptedTarget(t, answerEach(answer("1", "yes")))
	second := newScriptedTarget(t, answerEach(answer("2", "yes")))
	p := upstream.NewPool(osclock.New(), upstream.WithDial(dial))
	send(t.Context(), p, first, request("1"))
	short.Store(true)
	got := p.Send(t.Context(), request("2"), "t2", second.listener.Addr().String(), clock.Second)
	if got.Outcome != replica.Answered {
		t.Errorf("outcome %q, want %q: %v", got.Outcome, replica.Answered, got.Err)
	}
}

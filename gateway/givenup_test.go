package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"knapweedstall/core/poison"
	"knapweedstall/platform"
	"knapweedstall/platform/platformtest"
)

// getFor sends a request with a deadline, in milliseconds, and leaves after a time.
func (in *instance) getFor(t *testing.T, path string, deadline int, leave time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), leave)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.settings.Listen.Callers+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = host
	r.Header.Set(platformtest.HeaderRequestID, newRequestID())
	r.Header.Set(platformtest.HeaderDeadline, fmt.Sprint(deadline))
	if resp, err := http.DefaultTransport.RoundTrip(r); err == nil {
		_ = resp.Body.Close()
	}
}

// TestCrashAfterRequestWasGivenUp guards against a request that crashes one target after the
// other because its caller leaves, or its time is over, before each crash.
func TestCrashAfterRequestWasGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		deadline          int // milliseconds
		leave, crashAfter time.Duration
	}{
		"caller leaves before the crash": {2000, 50 * time.Millisecond, 150 * time.Millisecond},
		"caller leaves at the crash":     {2000, 100 * time.Millisecond, 100 * time.Millisecond},
		"time is over":                   {100, time.Second, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			const targets = 4
			for n := 1; n <= targets; n++ {
				id := fmt.Sprintf("single%d", n)
				if n > 1 {
					env.startTarget(id, "single")
				}
				env.targets[id].SetCrashAfter(c.crashAfter)
			}
			instances := []*instance{env.start(nil), env.start(nil)}
			time.Sleep(300 * time.Millisecond) // until the instances know the targets
			for n := range 6 {
				instances[n%2].getFor(t, crashingRequest, c.deadline, c.leave)
				time.Sleep(800 * time.Millisecond)
			}
			runs := 0
			for n := 1; n <= targets; n++ {
				runs += len(env.targets[fmt.Sprintf("single%d", n)].Runs())
			}
			if runs > 3 {
				t.Errorf("the request ran at %d targets, want 3 at most", runs)
			}
			if got := len(crashes(env.store, poison.NewFingerprint("", "GET", host, crashingRequest, nil))); got < 2 {
				t.Errorf("%d crashes are recorded, want 2", got)
			}
		})
	}
}

// TestCallersWhoLeaveBlameNobody guards against crashes that are recorded for requests whose
// callers leave although no target crashes, or none but the one that another request crashes.
func TestCallersWhoLeaveBlameNobody(t *testing.T) {
	env := newTestEnv(t)
	for n := 2; n <= 5; n++ {
		env.startTarget(fmt.Sprintf("single%d", n), "single")
	}
	in := env.start(nil)
	time.Sleep(300 * time.Millisecond) // until the instance knows the targets
	for _, target := range env.targets {
		target.SetDelay(100 * time.Millisecond)
	}
	for range 30 {
		in.getFor(t, "/plain/harmless", 2000, 30*time.Millisecond)
		in.getFor(t, "/search/harmless", 2000, 30*time.Millisecond)
	}
	time.Sleep(time.Second)
	if got := env.store.Names(platform.KindCrashes); len(got) > 0 {
		t.Errorf("crashes are recorded: %v", got)
	}
	if got := in.do(t, "GET", "/plain/harmless", ""); got.Status != http.StatusOK {
		t.Errorf("status %d, want 200", got.Status)
	}
}

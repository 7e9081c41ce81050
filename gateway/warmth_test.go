package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"knapweedstall/platform/platformtest"
)

// mostInSecond returns the most of the times from a moment on that lie within a second.
func mostInSecond(times []time.Time, from time.Time) (most int) {
	times = slices.DeleteFunc(times, func(at time.Time) bool { return at.Before(from) })
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestTargetsGivenBack guards against targets of a zone that is given back and that get full
// load while they are cold, and against warm ones that are held back for long.
func TestTargetsGivenBack(t *testing.T) {
	const coldPerSecond, bound = 4, 4*1.5 + 5
	env := newTestEnv(t)
	env.store.SetServices(platformtest.Service{Name: "single", HealthPath: platformtest.HealthPath, ColdPerSecond: coldPerSecond})
	env.configure(2, true)
	far := platformtest.StartTarget(env.store, "far1", "single", "z2", record("single"))
	t.Cleanup(far.Close)
	near := env.targets["single1"] // preferred, in the zone of the instance
	in := env.start(nil)
	send := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if got := in.do(t, "GET", "/plain/1", ""); got.Status != http.StatusOK {
				t.Errorf("status %d, want 200", got.Status)
			}
		}
	}
	for _, cold := range []bool{true, false} {
		t.Run(fmt.Sprintf("cold %v", cold), func(t *testing.T) {
			env.store.Put("evacuations", "z1", map[string]any{})
			send(time.Second)
			before := len(near.Arrivals())
			send(300 * time.Millisecond)
			if got := len(near.Arrivals()); got > before {
				t.Fatalf("%d requests during the evacuation", got-before)
			}
			if cold {
				near.SetCold(2 * time.Second)
			}
			given := time.Now()
			env.store.Delete("evacuations", "z1")
			send(1500 * time.Millisecond)
			if got := mostInSecond(near.Arrivals(), given); cold && got > bound {
				t.Errorf("%d requests in a second while it was cold, %v allowed", got, bound)
			} else if !cold && got <= bound {
				t.Errorf("%d requests in a second, want full load", got)
			}
			time.Sleep(time.Second) // until it is warm
		})
	}
}

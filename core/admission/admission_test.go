package admission_test

import (
	"flag"
	"fmt"
	"testing"

	"knapweedstall/core/admission"
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// seeds is the number of simulation runs for each load. More runs are requested with
// go test ./core/admission -args -seeds=20.
var seeds = flag.Uint64("seeds", 4, "simulation runs for each load")

func newController() *admission.Controller { return admission.New() }

// goodput returns the complete answers per second that arrive in time when one
// workspace offers load times the capacity, and the mean queueing delay in ms.
func goodput(load float64, f func() *admission.Controller) (good, wait float64) {
	for seed := range *seeds {
		s := simulate(seed, map[topology.WorkspaceID]float64{"t0": load}, f)
		good += s.good["t0"] / float64(*seeds)
		wait += s.totalDelay / s.dequeued / float64(*seeds)
	}
	return good, wait
}

// Guards against goodput that collapses under overload because of refusals in the back
// end, or because entries admit too few queries. The bound is the documented goal: at
// twice the capacity, goodput is at most 5 % lower than the best goodput at capacity,
// with or without admission.
func TestOverloadKeepsGoodput(t *testing.T) {
	with := make(map[float64]float64)
	atCapacity := 0.0
	for _, load := range []float64{0.8, 1, 1.5, 2, 3} {
		none, noneWait := goodput(load, nil)
		good, wait := goodput(load, newController)
		with[load] = good
		if load == 1 {
			atCapacity = max(none, good)
		}
		t.Logf("offered %.1f of %.0f/s: without admission %.0f/s (queueing %.0f ms), with %.0f/s (%.0f ms)",
			load, simCapacityPerMS*1000, none, noneWait, good, wait)
	}
	if with[2] < 0.95*atCapacity {
		t.Errorf("goodput at twice the capacity is %.0f/s, want at least 95 %% of %.0f/s", with[2], atCapacity)
	}
}

// Guards against a workspace that takes capacity from the others by offering 10 times
// its share.
func TestHeavyWorkspaceDoesNotAffectOthers(t *testing.T) {
	const share = 0.2 // five workspaces
	served := func(load, heavy float64) float64 {
		good, offered := 0.0, 0.0
		for seed := range *seeds {
			s := simulate(seed, map[topology.WorkspaceID]float64{"t0": heavy, "t1": load, "t2": load, "t3": load, "t4": load}, newController)
			for i := 1; i < 5; i++ {
				id := topology.WorkspaceID(fmt.Sprintf("t%d", i))
				good += s.good[id]
				offered += s.offered[id]
			}
		}
		return good / offered
	}
	for _, load := range []float64{0.6 * share, 0.8 * share, share} {
		before, after := served(load, load), served(load, 10*share)
		t.Logf("others offer %.2f of the capacity each: %.3f served, %.3f with the heavy workspace", load, before, after)
		if after < 0.95*before {
			t.Errorf("others are served %.3f of %.2f with a heavy workspace, want at least 95 %% of %.3f", after, load, before)
		}
	}
}

// causeLimit makes a controller limit its rate by a standing queue. The queue then ends,
// so that the rate is not decreased any more.
func causeLimit(c *admission.Controller) clock.Time {
	now := clock.Time(1)
	for ; now < 1000; now++ {
		c.Admit(now, "light")
		c.Observe(now, "s", 0, 1000)
	}
	for ; now < 1400; now++ {
		c.Admit(now, "heavy")
		c.Observe(now, "s", 150, 1000)
	}
	for ; now < 1600; now++ {
		c.Admit(now, "heavy")
		c.Observe(now, "s", 0, 1000)
	}
	return now
}

// Guards against a limit without queueing, and against a retry-after time after which
// the query is refused again.
func TestLimitAndRetryAfter(t *testing.T) {
	c := admission.New()
	if _, limited := c.Rate(); limited {
		t.Fatal("limited before any queueing was observed")
	}
	now := causeLimit(c)
	if _, limited := c.Rate(); !limited {
		t.Fatal("not limited although the queueing delay exceeds the goal")
	}
	var waits []clock.Duration
	for len(waits) < 3 {
		if after, ok := c.Admit(now, "heavy"); !ok {
			waits = append(waits, after)
		}
	}
	for i, after := range waits {
		if i > 0 && after < waits[i-1] {
			t.Errorf("retry-after %d ms of a later refusal is less than the earlier %d ms", after, waits[i-1])
		}
		if _, ok := c.Admit(now.Add(after), "heavy"); !ok {
			t.Errorf("refused again after the stated retry-after of %d ms", after)
		}
	}
}

// Guards against a rate that is shared without regard to the workspaces' weights.
func TestSharesFollowWeights(t *testing.T) {
	c := admission.New(admission.WithWeights(func(id topology.WorkspaceID) float64 {
		return map[topology.WorkspaceID]float64{"heavy": 3}[id] + 1
	}))
	now := causeLimit(c)
	count := make(map[topology.WorkspaceID]float64)
	for end := now.Add(20 * clock.Second); now < end; now++ {
		for _, id := range []topology.WorkspaceID{"heavy", "light"} {
			if _, ok := c.Admit(now, id); ok {
				count[id]++
			}
		}
	}
	if ratio := count["heavy"] / count["light"]; ratio < 3.8 || ratio > 4.2 {
		t.Errorf("admitted %v, want 4 to 1", count)
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) {
			c := admission.New()
			now := causeLimit(c)
			ids := make([]topology.WorkspaceID, n)
			for i := range ids {
				ids[i] = topology.WorkspaceID(fmt.Sprintf("t%d", i))
			}
			for i := 0; b.Loop(); i++ {
				c.Admit(now.Add(clock.Duration(i/10)), ids[i%n]) // 10,000 decisions/s
			}
		})
	}
}

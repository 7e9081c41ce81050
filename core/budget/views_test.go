package budget_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"knapweedstall/core/budget"
	"knapweedstall/core/clock"
	"knapweedstall/core/placing"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// maxViewLag is the greatest age of an instance's list of instances in
// TestSlackOfChangingFleet.
const maxViewLag = 3 * clock.Second

// fleetLimit leaves each of hundreds of instances a few repeats.
var fleetLimit = budget.Limit{Window: 10 * clock.Second, Ratio: 0.2, Slack: 3000}

// membership is the set of running instances since a time.
type membership struct {
	since     clock.Time
	instances []placing.Instance
}

// changingFleet is a deployment whose instances come and go. Each instance divides the
// slack by a list of instances that may be outdated.
type changingFleet struct {
	now     clock.Time
	next    int          // number of the next instance
	history []membership // in ascending order of since
	budgets map[topology.InstanceID]*budget.Budget
	lags    map[topology.InstanceID]clock.Duration
	repeats []int // in each step of a second
}

func (f *changingFleet) running() []placing.Instance { return f.history[len(f.history)-1].instances }

// join starts n instances, of which few are large.
func (f *changingFleet) join(n int, lag func() clock.Duration) {
	instances := append([]placing.Instance{}, f.running()...)
	for range n {
		capacity := 0.2
		if f.next%15 == 0 {
			capacity = 0.8
		}
		in := placing.Instance{ID: topology.InstanceID(fmt.Sprint(f.next)), Capacity: capacity}
		f.next++
		instances = append(instances, in)
		b := budget.New(fleetLimit, f.now)
		b.SetShards(func(routing.ServiceName) bool { return true })
		f.budgets[in.ID] = b
		f.lags[in.ID] = lag()
	}
	f.history = append(f.history, membership{f.now, instances})
}

// leave ends the instances for which the condition holds.
func (f *changingFleet) leave(condition func(int) bool) {
	var instances []placing.Instance
	for i, in := range f.running() {
		if condition(i) {
			delete(f.budgets, in.ID)
			continue
		}
		instances = append(instances, in)
	}
	f.history = append(f.history, membership{f.now, instances})
}

// view returns the instances that an instance knows.
func (f *changingFleet) view(id topology.InstanceID) []placing.Instance {
	known := f.history[0]
	for _, m := range f.history {
		if m.since <= f.now.Add(-f.lags[id]) {
			known = m
		}
	}
	return known.instances
}

// step advances the time by a second, in which each instance sends as many repeats as
// it may.
func (f *changingFleet) step(name routing.ServiceName) {
	f.now = f.now.Add(clock.Second)
	sent := 0
	for _, in := range f.running() {
		b := f.budgets[in.ID]
		b.SetSlackShares(placing.SearchShare(in.ID, f.view(in.ID)), 0, f.now)
		for b.AllowRepeat(name, f.now) {
			sent++
		}
	}
	f.repeats = append(f.repeats, sent)
}

// TestSlackOfChangingFleet checks that hundreds of instances together keep within the
// slack while many of them come and go at once and their lists of instances differ.
func TestSlackOfChangingFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &changingFleet{
			now: 1, history: []membership{{}}, budgets: map[topology.InstanceID]*budget.Budget{},
			lags: map[topology.InstanceID]clock.Duration{},
		}
		lag := func() clock.Duration { return clock.Duration(rapid.IntRange(0, int(maxViewLag)).Draw(t, "lag")) }
		f.join(rapid.IntRange(1, 300).Draw(t, "instances"), lag)
		for range rapid.IntRange(15, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				f.join(rapid.IntRange(1, 200).Draw(t, "joined"), lag)
			case 1:
				share := rapid.IntRange(2, 10).Draw(t, "share")
				f.leave(func(i int) bool { return i%share == 0 })
			case 2: // all but the largest leave
				f.leave(func(i int) bool { return i%15 != 0 })
			}
			f.step("shard")
		}
		steps := int(fleetLimit.Window / clock.Second)
		for i := range f.repeats {
			sum := 0
			for _, n := range f.repeats[max(0, i-steps+1) : i+1] {
				sum += n
			}
			if float64(sum) > fleetLimit.Slack {
				t.Fatalf("%d repeats in the window that ends in step %d, limit %v; by step %v", sum, i, fleetLimit.Slack, f.repeats)
			}
		}
	})
}

// TestSlackIsUsedByLargeFleet checks that hundreds of instances can use most of the
// slack between them once their number is steady.
func TestSlackIsUsedByLargeFleet(t *testing.T) {
	f := &changingFleet{
		now: 1, history: []membership{{}}, budgets: map[topology.InstanceID]*budget.Budget{},
		lags: map[topology.InstanceID]clock.Duration{},
	}
	f.join(300, func() clock.Duration { return 0 })
	used := 0
	for range 21 {
		f.step("shard")
		used += f.repeats[len(f.repeats)-1]
	}
	if float64(used) < 0.7*fleetLimit.Slack {
		t.Errorf("300 instances used %d repeats in a window, want at least 0.7 of %v", used, fleetLimit.Slack)
	}
}

package budget_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedstall/core/budget"
	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
)

const window = 10 * clock.Second

var sharedLimit = budget.Limit{Window: window, Ratio: 0.2, Slack: 30}

// repeatAll requests n repeats and returns how many were allowed.
func repeatAll(b *budget.Budget, n int, now clock.Time) int {
	allowed := 0
	for range n {
		if b.AllowRepeat("s", now) {
			allowed++
		}
	}
	return allowed
}

// TestRepeatsFollowRequests checks that repeats stay within the ratio of the
// window's requests plus the instance's share of the slack, which an earlier
// process may have used during the first window.
func TestRepeatsFollowRequests(t *testing.T) {
	for name, c := range map[string]struct {
		requests int
		share    float64
		at       clock.Time // time of the repeats; requests are made at 1 s
		want     int
	}{
		"no requests, new process":       {0, 1.0 / 3, 2000, 0},
		"new process, ratio only":        {100, 1.0 / 3, 2000, 17},
		"slack after the first window":   {0, 1.0 / 3, 11000, 8},
		"no share of the slack yet":      {0, 0, 11000, 0},
		"requests older than the window": {100, 0.0, 12000, 0},
		"slack is divided":               {0, 1.0 / 30, 11000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := budget.New(sharedLimit, 0)
			b.SetSlackShares(0, c.share, 0)
			for range c.requests {
				b.AddRequest("s", 1000)
			}
			if diff := cmp.Diff(c.want, repeatAll(b, 1000, c.at)); diff != "" {
				t.Errorf("repeats (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRefund checks that a refunded repeat does not use up the budget.
func TestRefund(t *testing.T) {
	b := budget.New(sharedLimit, 0)
	for range 10 {
		b.AddRequest("s", 1000)
	}
	got := []bool{b.AllowRepeat("s", 1000), b.AllowRepeat("s", 1001)}
	b.Refund("s", 1002)
	got = append(got, b.AllowRepeat("s", 1003))
	if diff := cmp.Diff([]bool{true, false, true}, got); diff != "" {
		t.Errorf("repeats (-want +got):\n%s", diff)
	}
}

// TestSlackShares checks that the slack of shards is divided separately, so that a
// small instance that runs no searches does not keep the slack that a large one
// needs. A share must not grow until a window after another instance has left,
// since that one may have used it.
func TestSlackShares(t *testing.T) {
	isShard := func(name routing.ServiceName) bool { return name == "shard" }
	for name, c := range map[string]struct {
		service routing.ServiceName
		change  func(*budget.Budget)
		at      clock.Time
		want    int
	}{
		"a shard of searches":          {"shard", func(*budget.Budget) {}, 11000, 15},
		"another service":              {"other", func(*budget.Budget) {}, 11000, 2},
		"another instance has joined":  {"shard", func(b *budget.Budget) { b.SetSlackShares(0.2, 0.1, 11000) }, 11000, 5},
		"another instance has left":    {"shard", func(b *budget.Budget) { b.SetSlackShares(1, 0.1, 11000) }, 20900, 15},
		"another left a window ago":    {"shard", func(b *budget.Budget) { b.SetSlackShares(1, 0.1, 11000) }, 21000, 25},
		"two left one after the other": {"shard", func(b *budget.Budget) { b.SetSlackShares(0.8, 0.1, 11000); b.SetSlackShares(1, 0.1, 15000) }, 21000, 15},
		"another left and came back":   {"shard", func(b *budget.Budget) { b.SetSlackShares(1, 0.1, 11000); b.SetSlackShares(0.6, 0.1, 12000) }, 22000, 15},
	} {
		t.Run(name, func(t *testing.T) {
			b := budget.New(sharedLimit, 0)
			b.SetShards(isShard)
			b.SetSlackShares(0.6, 0.1, 1000)
			c.change(b)
			allowed := 0
			for range 100 {
				if b.AllowRepeat(c.service, c.at) {
					allowed++
				}
			}
			if diff := cmp.Diff(c.want, allowed); diff != "" {
				t.Errorf("repeats (-want +got):\n%s", diff)
			}
		})
	}
}

// fleet holds the budgets of all instances, some of which have left.
type fleet struct {
	budgets []*budget.Budget
	left    []bool
}

// assignShares divides the slack among the instances that have not left, in
// proportion to the square of their index.
func (f *fleet) assignShares(now clock.Time) {
	all := 0.0
	for i, left := range f.left {
		if !left {
			all += float64((i + 1) * (i + 1))
		}
	}
	for i, b := range f.budgets {
		if !f.left[i] {
			b.SetSlackShares(0, float64((i+1)*(i+1))/all, now)
		}
	}
}

// TestSharedLimitHolds checks that all instances together keep within the limit in
// any window. Traffic and shares are uneven, and instances restart, leave and come
// back.
func TestSharedLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		f := &fleet{left: make([]bool, n)}
		for range n {
			f.budgets = append(f.budgets, budget.New(sharedLimit, clock.Time(-window)))
		}
		now := clock.Time(1)
		f.assignShares(now)
		var requests, repeats []clock.Time
		name := routing.ServiceName("s")
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(clock.Duration(rapid.IntRange(0, 200).Draw(t, "pause")))
			i := max(rapid.IntRange(0, n-1).Draw(t, "a"), rapid.IntRange(0, n-1).Draw(t, "b"))
			switch event := rapid.IntRange(0, 20).Draw(t, "event"); {
			case event == 0:
				f.budgets[i] = budget.New(sharedLimit, now)
				f.assignShares(now)
			case event == 1:
				f.left[i] = !f.left[i]
				f.budgets[i] = budget.New(sharedLimit, now)
				f.assignShares(now)
			case f.left[i]:
			case event <= 8:
				f.budgets[i].AddRequest(name, now)
				requests = append(requests, now)
			default:
				if f.budgets[i].AllowRepeat(name, now) {
					repeats = append(repeats, now)
				}
			}
		}
		for _, end := range repeats {
			in := func(list []clock.Time) (count int) {
				for _, at := range list {
					if at > end-clock.Time(window) && at <= end {
						count++
					}
				}
				return count
			}
			if got, limit := float64(in(repeats)), sharedLimit.Ratio*float64(in(requests))+sharedLimit.Slack; got > limit {
				t.Fatalf("%v repeats in the window that ends at %v, limit %v", got, end, limit)
			}
		}
	})
}

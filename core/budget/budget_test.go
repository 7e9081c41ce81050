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

var terms = budget.Limit{Window: window, Ratio: 0.2, Slack: 30}

// repeatAll asks for n repeats and returns how many were allowed.
func repeatAll(b *budget.Budget, n int, now clock.Time) int {
	allowed := 0
	for range n {
		if b.AllowRepeat("s", now) {
			allowed++
		}
	}
	return allowed
}

// TestRepeatsFollowRequests guards against repeats that the requests of the
// window don't pay for, and against slack that an earlier run may have used.
func TestRepeatsFollowRequests(t *testing.T) {
	for name, c := range map[string]struct {
		requests int
		part     float64
		at       clock.Time // of the repeats; requests come at 1 s
		want     int
	}{
		"no requests, new process":       {0, 1.0 / 3, 2000, 0},
		"ratio only while new":           {100, 1.0 / 3, 2000, 17},
		"slack after the first window":   {0, 1.0 / 3, 11000, 8},
		"no slack while others unknown":  {0, 0, 11000, 0},
		"requests older than the window": {100, 0.0, 12000, 0},
		"slack is divided":               {0, 1.0 / 30, 11000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := budget.New(terms, 0)
			b.SetSlackShares(0, c.part, 0)
			for range c.requests {
				b.AddRequest("s", 1000)
			}
			if diff := cmp.Diff(c.want, repeatAll(b, 1000, c.at)); diff != "" {
				t.Errorf("repeats (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRefund guards against sends that reached nothing using up the budget.
func TestRefund(t *testing.T) {
	b := budget.New(terms, 0)
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

// TestParts guards against a small instance that runs no searches keeping slack
// that a large one needs, and against slack that an instance which has just left
// may have used.
func TestParts(t *testing.T) {
	isShard := func(name routing.ServiceName) bool { return name == "shard" }
	for name, c := range map[string]struct {
		service routing.ServiceName
		change  func(*budget.Budget)
		at      clock.Time
		want    int
	}{
		"a service that searches ask":  {"shard", func(*budget.Budget) {}, 11000, 15},
		"another service":              {"other", func(*budget.Budget) {}, 11000, 2},
		"another instance has come":    {"shard", func(b *budget.Budget) { b.SetSlackShares(0.2, 0.1, 11000) }, 11000, 5},
		"another instance has left":    {"shard", func(b *budget.Budget) { b.SetSlackShares(1, 0.1, 11000) }, 20900, 15},
		"it left a window ago":         {"shard", func(b *budget.Budget) { b.SetSlackShares(1, 0.1, 11000) }, 21000, 25},
		"two have left, one after one": {"shard", func(b *budget.Budget) { b.SetSlackShares(0.8, 0.1, 11000); b.SetSlackShares(1, 0.1, 15000) }, 21000, 15},
		"it left and came back":        {"shard", func(b *budget.Budget) { b.SetSlackShares(1, 0.1, 11000); b.SetSlackShares(0.6, 0.1, 12000) }, 22000, 15},
	} {
		t.Run(name, func(t *testing.T) {
			b := budget.New(terms, 0)
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

// fleet is the budgets of all instances, some of which have left.
type fleet struct {
	budgets []*budget.Budget
	gone    []bool
}

// share divides the slack by the square of the index among the instances that
// are there.
func (f *fleet) share(now clock.Time) {
	all := 0.0
	for i, gone := range f.gone {
		if !gone {
			all += float64((i + 1) * (i + 1))
		}
	}
	for i, b := range f.budgets {
		if !f.gone[i] {
			b.SetSlackShares(0, float64((i+1)*(i+1))/all, now)
		}
	}
}

// TestSharedLimitHolds guards the limit of all instances together in any
// window, with traffic and parts that are spread unevenly and instances that
// restart, leave and come back.
func TestSharedLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		f := &fleet{gone: make([]bool, n)}
		for range n {
			f.budgets = append(f.budgets, budget.New(terms, clock.Time(-window)))
		}
		now := clock.Time(1)
		f.share(now)
		var requests, repeats []clock.Time
		name := routing.ServiceName("s")
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(clock.Duration(rapid.IntRange(0, 200).Draw(t, "pause")))
			i := max(rapid.IntRange(0, n-1).Draw(t, "a"), rapid.IntRange(0, n-1).Draw(t, "b"))
			switch event := rapid.IntRange(0, 20).Draw(t, "event"); {
			case event == 0:
				f.budgets[i] = budget.New(terms, now)
				f.share(now)
			case event == 1:
				f.gone[i] = !f.gone[i]
				f.budgets[i] = budget.New(terms, now)
				f.share(now)
			case f.gone[i]:
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
			if got, limit := float64(in(repeats)), terms.Ratio*float64(in(requests))+terms.Slack; got > limit {
				t.Fatalf("%v repeats in the window that ends at %v, limit %v", got, end, limit)
			}
		}
	})
}

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

var terms = budget.Terms{Window: window, Ratio: 0.2, Slack: 30}

// repeatAll asks for n repeats and returns how many were allowed.
func repeatAll(b *budget.Budget, n int, now clock.Time) int {
	allowed := 0
	for range n {
		if b.Repeat("s", now) {
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
		sharers  int
		at       clock.Time // of the repeats; requests come at 1 s
		want     int
	}{
		"no requests, new process":       {0, 3, 2000, 0},
		"ratio only while new":           {100, 3, 2000, 17},
		"slack after the first window":   {0, 3, 11000, 8},
		"no slack while others unknown":  {0, 0, 11000, 0},
		"requests older than the window": {100, 0, 12000, 0},
		"slack is divided":               {0, 30, 11000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := budget.New(terms, 0)
			b.SetSharers(c.sharers)
			for range c.requests {
				b.Request("s", 1000)
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
		b.Request("s", 1000)
	}
	got := []bool{b.Repeat("s", 1000), b.Repeat("s", 1001)}
	b.Refund("s", 1002)
	got = append(got, b.Repeat("s", 1003))
	if diff := cmp.Diff([]bool{true, false, true}, got); diff != "" {
		t.Errorf("repeats (-want +got):\n%s", diff)
	}
}

// TestSharedLimitHolds guards the limit of all instances together in any
// window, with traffic that is spread unevenly and instances that restart.
func TestSharedLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		budgets := make([]*budget.Budget, n)
		for i := range budgets {
			budgets[i] = budget.New(terms, clock.Time(-window))
			budgets[i].SetSharers(n)
		}
		var requests, repeats []clock.Time
		name := routing.ServiceName("s")
		now := clock.Time(1)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(clock.Duration(rapid.IntRange(0, 200).Draw(t, "pause")))
			i := min(rapid.IntRange(0, n-1).Draw(t, "a"), rapid.IntRange(0, n-1).Draw(t, "b"))
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0:
				budgets[i] = budget.New(terms, now)
				budgets[i].SetSharers(n)
			case 1, 2, 3, 4, 5, 6, 7, 8:
				budgets[i].Request(name, now)
				requests = append(requests, now)
			default:
				if budgets[i].Repeat(name, now) {
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

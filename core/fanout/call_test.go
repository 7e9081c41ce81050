package fanout_test

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/budget"
	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// world has services a and b with two targets each.
type world struct {
	targets *replica.Set
	budget  *budget.Budget
	table   *routing.Table
	latency *fanout.LatencyEstimate
}

func newWorld(services ...routing.ServiceName) *world {
	w := &world{
		targets: replica.NewSet("z", rand.New(rand.NewPCG(1, 2))),
		budget:  budget.New(budget.Limit{Window: 10 * clock.Second, Ratio: 0.2, Slack: 100}, -20_000),
		table:   routing.NewTable(&routing.Config{}),
		latency: fanout.NewLatencyEstimate(100),
	}
	w.budget.SetSlackShares(1, 1, -20_000)
	var listings []replica.Listing
	for _, s := range services {
		for _, copy := range []string{"1", "2"} {
			listings = append(listings, replica.Listing{ID: topology.TargetID(string(s) + copy), Service: s, Zone: "z", Slots: 2})
		}
	}
	w.targets.Update(listings, 1)
	return w
}

func (w *world) call(terms fanout.Params, now clock.Time) (*fanout.Call, []fanout.Send) {
	if terms.MaxAttempts == 0 {
		terms.MaxAttempts = 2
	}
	if terms.MinCoverage == 0 {
		terms.MinCoverage = 1
	}
	if terms.Deadline == 0 {
		terms.Deadline = now.Add(1000)
	}
	if terms.SelectBy == 0 {
		terms.SelectBy = now.Add(60)
	}
	return fanout.New(terms, w.table, w.targets, w.budget, w.latency, now)
}

func search(services ...routing.ServiceName) fanout.Params {
	return fanout.Params{Kind: routing.Idempotent, Services: services}
}

func once(service routing.ServiceName) fanout.Params {
	return fanout.Params{Kind: routing.NonIdempotent, Services: []routing.ServiceName{service}}
}

// TestRepeatsByOutcome guards against a request that may have run being sent
// again though it may not be repeated, and against giving up one that may be.
func TestRepeatsByOutcome(t *testing.T) {
	type result struct {
		Sends int
		State fanout.State
	}
	for name, c := range map[string]struct {
		terms    fanout.Params
		outcomes []replica.Outcome
		want     result
	}{
		"answered":                    {once("a"), []replica.Outcome{replica.Answered}, result{1, fanout.Complete}},
		"once, lost":                  {once("a"), []replica.Outcome{replica.Lost}, result{1, fanout.Failure}},
		"once, failed":                {once("a"), []replica.Outcome{replica.Failed}, result{1, fanout.Failure}},
		"once, shed, answered":        {once("a"), []replica.Outcome{replica.Shed, replica.Answered}, result{2, fanout.Complete}},
		"once, unsent, lost":          {once("a"), []replica.Outcome{replica.Unsent, replica.Lost}, result{2, fanout.Failure}},
		"once, shed, shed, answered":  {once("a"), []replica.Outcome{replica.Shed, replica.Shed, replica.Answered}, result{3, fanout.Complete}},
		"once, shed everywhere":       {once("a"), []replica.Outcome{replica.Shed, replica.Shed, replica.Shed, replica.Shed}, result{4, fanout.Refused}},
		"once, replaced, unsent":      {once("a"), []replica.Outcome{replica.Replaced, replica.Unsent}, result{2, fanout.Refused}},
		"repeatable, lost, answered":  {search("a"), []replica.Outcome{replica.Lost, replica.Answered}, result{2, fanout.Complete}},
		"repeatable, failed twice":    {search("a"), []replica.Outcome{replica.Failed, replica.Failed}, result{2, fanout.Failure}},
		"repeatable, lost, then shed": {search("a"), []replica.Outcome{replica.Lost, replica.Shed, replica.Shed, replica.Shed}, result{4, fanout.Failure}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld("a")
			call, sends := w.call(c.terms, 10)
			made := len(sends)
			now := clock.Time(20)
			for i, o := range c.outcomes {
				for ; made <= i; now++ {
					made += len(call.Tick(now))
				}
				made += len(call.Done(i, o, now))
			}
			if diff := cmp.Diff(c.want, result{made, call.State(now + 100)}); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHedge guards against a search that waits for a paused target, and against
// hedging a request that may run only once.
func TestHedge(t *testing.T) {
	w := newWorld("a", "b")
	call, sends := w.call(search("a", "b"), 10)
	call.Done(sends[0].Attempt, replica.Answered, 15)
	at := call.Next()
	hedges := call.Tick(at)
	if len(hedges) != 1 || hedges[0].Service != sends[1].Service || hedges[0].Target.ID == sends[1].Target.ID {
		t.Fatalf("hedges %+v, want one to the other target of %s", hedges, sends[1].Service)
	}
	if more := call.Tick(at.Add(200)); len(more) != 0 {
		t.Errorf("hedged twice: %+v", more)
	}
	call.Done(hedges[0].Attempt, replica.Answered, at.Add(5))
	if got := call.State(at.Add(5)); got != fanout.Complete {
		t.Errorf("state %q, want complete", got)
	}
	call.Done(sends[1].Attempt, replica.Answered, at.Add(100))
	if got := call.InFlight(); got != 0 {
		t.Errorf("%d sends under way, want none", got)
	}

	call, _ = w.call(once("a"), 10)
	if hedges := call.Tick(900); len(hedges) != 0 {
		t.Errorf("request that may run once was hedged: %+v", hedges)
	}
}

// TestEarlyAnswer guards against an answer with too few shards, one that leaves
// shards out although there is time, and one that waits for shards that no
// target will answer.
func TestEarlyAnswer(t *testing.T) {
	terms := search("a", "b", "c", "d")
	terms.MinCoverage, terms.PartialAt = 0.75, 100
	for name, c := range map[string]struct {
		answered int
		at       clock.Time
		want     fanout.State
	}{
		"time left":              {3, 99, fanout.Open},
		"due":                    {3, 100, fanout.Partial},
		"due, too few":           {2, 100, fanout.Open},
		"too few until the end":  {2, 1010, fanout.TimedOut},
		"complete before it due": {4, 50, fanout.Complete},
	} {
		t.Run(name, func(t *testing.T) {
			call, sends := newWorld("a", "b", "c", "d").call(terms, 10)
			for i := range c.answered {
				call.Done(sends[i].Attempt, replica.Answered, 20)
			}
			if got := call.State(c.at); got != c.want {
				t.Errorf("state %q, want %q", got, c.want)
			}
		})
	}
	t.Run("a shard without targets", func(t *testing.T) {
		call, sends := newWorld("a", "b", "c").call(terms, 10)
		for i := range 3 {
			call.Done(sends[i].Attempt, replica.Answered, 20)
		}
		if got := call.State(20); got != fanout.Partial {
			t.Errorf("state %q, want partial at once", got)
		}
	})
	t.Run("too many shards without targets", func(t *testing.T) {
		w := newWorld("a", "b")
		call, sends := w.call(terms, 10)
		if got := call.State(10); got != fanout.Refused || len(sends) != 0 {
			t.Errorf("state %q after %d sends, want a refusal without any", got, len(sends))
		}
		if diff := cmp.Diff(fanout.Counts{}, call.Counts()); diff != "" {
			t.Errorf("sends that the log tells of (-want +got):\n%s", diff)
		}
		for range 4 { // two connections to each target of the service are left
			if c := w.targets.Pick("a", &routing.Service{MaxConnections: 1}, nil, replica.First, 11); c.Target == nil {
				t.Errorf("a target is still counted as busy: %s", c.Reason)
			}
		}
	})
	t.Run("too many shards without targets, and it may have run", func(t *testing.T) {
		again := terms
		again.AlreadySent = true
		call, _ := newWorld("a", "b").call(again, 10)
		if got := call.State(10); got != fanout.Failure {
			t.Errorf("state %q, want a failure, which promises nothing", got)
		}
	})
	t.Run("no targets at all", func(t *testing.T) {
		call, sends := newWorld().call(terms, 10)
		if got := call.State(10); got != fanout.Refused || len(sends) != 0 {
			t.Errorf("state %q after %d sends, want a refusal at once", got, len(sends))
		}
	})
}

// TestPacedShardIsAskedWhenNeeded guards against a search that fails because a
// shard is lost while another one, whose targets answer late, was left out.
func TestPacedShardIsAskedWhenNeeded(t *testing.T) {
	w := newWorld("a", "b", "c", "d")
	for now := clock.Time(1); now < 12; now++ {
		if c := w.targets.Pick("a", nil, nil, replica.Needed, now); c.Target != nil {
			w.targets.Done(c.Target, replica.Result{Outcome: replica.Answered, Late: true}, now)
		}
	}
	terms := search("a", "b", "c", "d")
	terms.MinCoverage = 0.75
	call, sends := w.call(terms, 12)
	if len(sends) != 3 || call.State(12) != fanout.Open {
		t.Fatalf("%d sends and state %q, want one to each shard but a", len(sends), call.State(12))
	}
	var asked []routing.ServiceName
	first := sends[0] // to b
	for _, s := range call.Done(first.Attempt, replica.Lost, 20) {
		for _, again := range call.Done(s.Attempt, replica.Lost, 25) {
			asked = append(asked, again.Service)
		}
	}
	if diff := cmp.Diff([]routing.ServiceName{"a"}, asked); diff != "" {
		t.Errorf("shards asked after b was lost (-want +got):\n%s", diff)
	}
}

// TestBlockedShardAsksTheBudget guards against repeats that nobody counts: a
// shard that was shed and then found no target sent again for free. The log must
// say that the budget is why the shard is missing.
func TestBlockedShardAsksTheBudget(t *testing.T) {
	w := newWorld("a")
	w.budget = budget.New(budget.Limit{Window: 10 * clock.Second}, 0) // allows no repeats
	call, sends := w.call(search("a"), 10)
	made := len(call.Done(sends[0].Attempt, replica.Shed, 12))
	for now := clock.Time(13); now < 200; now++ {
		made += len(call.Tick(now))
	}
	if made != 0 {
		t.Errorf("%d repeats without a budget", made)
	}
	if diff := cmp.Diff(fanout.Counts{Sent: 1, Denied: 1}, call.Counts()); diff != "" {
		t.Errorf("sends (-want +got):\n%s", diff)
	}
	want := []fanout.FailureDetail{{Service: "a", Target: "a1", Outcome: "shed", Took: 2}, {Service: "a", Outcome: "budget"}}
	got := call.FailureDetails(8, 200)
	got[0].Target = "a1" // either one
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("what the log says (-want +got):\n%s", diff)
	}
}

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

// testEnv holds the targets of some services, two for each, and the other
// arguments of fanout.New.
type testEnv struct {
	targets *replica.Set
	budget  *budget.Budget
	table   *routing.Table
	latency *fanout.LatencyEstimate
}

func newTestEnv(services ...routing.ServiceName) *testEnv {
	env := &testEnv{
		targets: replica.NewSet("z", rand.New(rand.NewPCG(1, 2))),
		budget:  budget.New(budget.Limit{Window: 10 * clock.Second, Ratio: 0.2, Slack: 100}, -20_000),
		table:   routing.NewTable(&routing.Config{}),
		latency: fanout.NewLatencyEstimate(100),
	}
	env.budget.SetSlackShares(1, 1, -20_000)
	var listings []replica.Listing
	for _, s := range services {
		for _, copy := range []string{"1", "2"} {
			listings = append(listings, replica.Listing{ID: topology.TargetID(string(s) + copy), Service: s, Zone: "z", Slots: 2})
		}
	}
	env.targets.Update(listings, 1)
	return env
}

// newCall returns a call at now and its first sends. Params that are not stated
// get defaults.
func (env *testEnv) newCall(params fanout.Params, now clock.Time) (*fanout.Call, []fanout.Send) {
	if params.MaxAttempts == 0 {
		params.MaxAttempts = 2
	}
	if params.MinCoverage == 0 {
		params.MinCoverage = 1
	}
	if params.Deadline == 0 {
		params.Deadline = now.Add(1000)
	}
	if params.SelectBy == 0 {
		params.SelectBy = now.Add(60)
	}
	return fanout.New(params, env.table, env.targets, env.budget, env.latency, now)
}

func searchParams(services ...routing.ServiceName) fanout.Params {
	return fanout.Params{Kind: routing.Idempotent, Services: services}
}

func nonIdempotent(service routing.ServiceName) fanout.Params {
	return fanout.Params{Kind: routing.NonIdempotent, Services: []routing.ServiceName{service}}
}

// TestRepeatsByOutcome checks after which outcomes a request is sent again. A
// non-idempotent request must not be sent again when it may have run, and a
// request that may be repeated must not fail after the first send.
func TestRepeatsByOutcome(t *testing.T) {
	type result struct {
		Sends int
		State fanout.State
	}
	for name, c := range map[string]struct {
		params   fanout.Params
		outcomes []replica.Outcome
		want     result
	}{
		"answered":                             {nonIdempotent("a"), []replica.Outcome{replica.Answered}, result{1, fanout.Complete}},
		"non-idempotent, lost":                 {nonIdempotent("a"), []replica.Outcome{replica.Lost}, result{1, fanout.Failure}},
		"non-idempotent, failed":               {nonIdempotent("a"), []replica.Outcome{replica.Failed}, result{1, fanout.Failure}},
		"non-idempotent, shed, answered":       {nonIdempotent("a"), []replica.Outcome{replica.Shed, replica.Answered}, result{2, fanout.Complete}},
		"non-idempotent, unsent, lost":         {nonIdempotent("a"), []replica.Outcome{replica.Unsent, replica.Lost}, result{2, fanout.Failure}},
		"non-idempotent, shed, shed, answered": {nonIdempotent("a"), []replica.Outcome{replica.Shed, replica.Shed, replica.Answered}, result{3, fanout.Complete}},
		"non-idempotent, shed by each target":  {nonIdempotent("a"), []replica.Outcome{replica.Shed, replica.Shed, replica.Shed, replica.Shed}, result{4, fanout.Refused}},
		"non-idempotent, replaced, unsent":     {nonIdempotent("a"), []replica.Outcome{replica.Replaced, replica.Unsent}, result{2, fanout.Refused}},
		"idempotent, lost, answered":           {searchParams("a"), []replica.Outcome{replica.Lost, replica.Answered}, result{2, fanout.Complete}},
		"idempotent, failed twice":             {searchParams("a"), []replica.Outcome{replica.Failed, replica.Failed}, result{2, fanout.Failure}},
		"idempotent, lost, then shed":          {searchParams("a"), []replica.Outcome{replica.Lost, replica.Shed, replica.Shed, replica.Shed}, result{4, fanout.Failure}},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv("a")
			call, sends := env.newCall(c.params, 10)
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

// TestHedge checks that an overdue send of a search is hedged once, to the other
// target, and that a non-idempotent request is not hedged.
func TestHedge(t *testing.T) {
	env := newTestEnv("a", "b")
	call, sends := env.newCall(searchParams("a", "b"), 10)
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
		t.Errorf("%d sends in flight, want none", got)
	}

	call, _ = env.newCall(nonIdempotent("a"), 10)
	if hedges := call.Tick(900); len(hedges) != 0 {
		t.Errorf("non-idempotent request was hedged: %+v", hedges)
	}
}

// TestPartialAnswer checks when a search is answered although shards are missing:
// not with too few shards, not before the partial answer is due, and at once if
// the missing shards have no targets.
func TestPartialAnswer(t *testing.T) {
	params := searchParams("a", "b", "c", "d")
	params.MinCoverage, params.PartialAt = 0.75, 100
	for name, c := range map[string]struct {
		answered int
		at       clock.Time
		want     fanout.State
	}{
		"before it is due":               {3, 99, fanout.Open},
		"due":                            {3, 100, fanout.Partial},
		"due, too few shards":            {2, 100, fanout.Open},
		"too few shards at the deadline": {2, 1010, fanout.TimedOut},
		"complete before it is due":      {4, 50, fanout.Complete},
	} {
		t.Run(name, func(t *testing.T) {
			call, sends := newTestEnv("a", "b", "c", "d").newCall(params, 10)
			for i := range c.answered {
				call.Done(sends[i].Attempt, replica.Answered, 20)
			}
			if got := call.State(c.at); got != c.want {
				t.Errorf("state %q, want %q", got, c.want)
			}
		})
	}
	t.Run("a shard without targets", func(t *testing.T) {
		call, sends := newTestEnv("a", "b", "c").newCall(params, 10)
		for i := range 3 {
			call.Done(sends[i].Attempt, replica.Answered, 20)
		}
		if got := call.State(20); got != fanout.Partial {
			t.Errorf("state %q, want partial at once", got)
		}
	})
	t.Run("too many shards without targets", func(t *testing.T) {
		env := newTestEnv("a", "b")
		call, sends := env.newCall(params, 10)
		if got := call.State(10); got != fanout.Refused || len(sends) != 0 {
			t.Errorf("state %q after %d sends, want a refusal without any", got, len(sends))
		}
		if diff := cmp.Diff(fanout.Counts{}, call.Counts()); diff != "" {
			t.Errorf("counts of sends (-want +got):\n%s", diff)
		}
		for range 4 { // two connections of this instance to each of the two targets
			if c := env.targets.Pick("a", &routing.Service{MaxConnections: 40}, nil, replica.First, 11); c.Target == nil {
				t.Errorf("a target of the refused call still counts its send: %s", c.Reason)
			}
		}
	})
	t.Run("too many shards without targets, and it may have run", func(t *testing.T) {
		again := params
		again.AlreadySent = true
		call, _ := newTestEnv("a", "b").newCall(again, 10)
		if got := call.State(10); got != fanout.Failure {
			t.Errorf("state %q, want failure, since the request may have run", got)
		}
	})
	t.Run("no targets at all", func(t *testing.T) {
		call, sends := newTestEnv().newCall(params, 10)
		if got := call.State(10); got != fanout.Refused || len(sends) != 0 {
			t.Errorf("state %q after %d sends, want a refusal at once", got, len(sends))
		}
	})
}

// TestPacedShardIsSentToWhenNeeded checks that a search sends to a service that it
// skipped because its targets answer late, once the answer needs it because another
// shard has failed.
func TestPacedShardIsSentToWhenNeeded(t *testing.T) {
	env := newTestEnv("a", "b", "c", "d")
	for now := clock.Time(1); now < 12; now++ {
		if c := env.targets.Pick("a", nil, nil, replica.Needed, now); c.Target != nil {
			env.targets.Done(c.Target, replica.Result{Outcome: replica.Answered, Late: true}, now)
		}
	}
	params := searchParams("a", "b", "c", "d")
	params.MinCoverage = 0.75
	call, sends := env.newCall(params, 12)
	if len(sends) != 3 || call.State(12) != fanout.Open {
		t.Fatalf("%d sends and state %q, want one send to each shard except a", len(sends), call.State(12))
	}
	var services []routing.ServiceName
	first := sends[0] // to b
	for _, s := range call.Done(first.Attempt, replica.Lost, 20) {
		for _, again := range call.Done(s.Attempt, replica.Lost, 25) {
			services = append(services, again.Service)
		}
	}
	if diff := cmp.Diff([]routing.ServiceName{"a"}, services); diff != "" {
		t.Errorf("services sent to after b failed (-want +got):\n%s", diff)
	}
}

// TestBlockedShardUsesBudget guards against repeats that the budget does not
// count: a shard whose request was shed and that then found no target was sent
// again without asking the budget. The failure details, which are logged, must name
// the budget as the reason why the shard is missing.
func TestBlockedShardUsesBudget(t *testing.T) {
	env := newTestEnv("a")
	env.budget = budget.New(budget.Limit{Window: 10 * clock.Second}, 0) // allows no repeats
	call, sends := env.newCall(searchParams("a"), 10)
	made := len(call.Done(sends[0].Attempt, replica.Shed, 12))
	for now := clock.Time(13); now < 200; now++ {
		made += len(call.Tick(now))
	}
	if made != 0 {
		t.Errorf("%d repeats, want none without a budget", made)
	}
	if diff := cmp.Diff(fanout.Counts{Sent: 1, Denied: 1}, call.Counts()); diff != "" {
		t.Errorf("sends (-want +got):\n%s", diff)
	}
	want := []fanout.FailureDetail{{Service: "a", Target: "a1", Outcome: "shed", Took: 2}, {Service: "a", Outcome: "budget"}}
	got := call.FailureDetails(8, 200)
	got[0].Target = "a1" // either target is right
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("failure details (-want +got):\n%s", diff)
	}
}

// TestRefusedSearchUsesNoLimit guards against searches that are refused because another
// shard has no target, and that use up the requests which a limited target takes.
func TestRefusedSearchUsesNoLimit(t *testing.T) {
	const told = clock.Time(10)
	env := newTestEnv("a")
	env.targets.SetInstances(1, 1, func(topology.TargetID, int) bool { return false })
	for _, other := range []topology.TargetID{"a1", "a2"} {
		limited := env.targets.Pick("a", nil, []topology.TargetID{other}, replica.First, told).Target
		env.targets.Done(limited, replica.Result{Outcome: replica.Answered}, told)
		env.targets.ObserveLimit(limited, replica.StatedLimit{Kind: replica.LimitStated, Rate: 0.5}, told, told)
	}
	now := told.Add(10 * clock.Second)
	for env.targets.Pick("a", nil, nil, replica.First, now).Reason != replica.Selected {
		now++ // until a slot begins
	}
	now = now.Add(2300) // the interval of the slots is 2222 ms
	for range 5 {
		call, sends := env.newCall(searchParams("a", "unlisted"), now)
		if state := call.State(now); state != fanout.Refused || len(sends) != 0 {
			t.Fatalf("state %s with %d sends, want it refused without any", state, len(sends))
		}
	}
	if _, sends := env.newCall(searchParams("a"), now); len(sends) != 1 {
		t.Errorf("%d sends after refused searches, want 1", len(sends))
	}
}

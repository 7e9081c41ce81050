package fanout_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"knapweedstall/core/budget"
	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// The simulated load: searches over 20 services with two targets each, which run
// two requests at a time and pause for 150 ms every 3.6 s, each at its own time.
const (
	loadServices  = 20
	loadPerSecond = 60
	loadSeconds   = 30
	pauseLength   = 150 * clock.Millisecond
	pausePeriod   = 3600 * clock.Millisecond
	workSigma     = 0.35
	networkTime   = 2 * clock.Millisecond
	minCoverage   = 0.89
	// callerOverhead is the time that a caller 3 ms away waits in addition to the
	// time within the instance: for a new connection, the request and the answer.
	callerOverhead = 12 * clock.Millisecond
)

// searchProfile describes one kind of search.
type searchProfile struct {
	objective clock.Duration
	work      float64 // mean processing time of a shard, in ms
}

var (
	fullSearch  = searchProfile{objective: 120, work: 15}
	quickSearch = searchProfile{objective: 60, work: 5}
)

// event is an action of the simulation at a point in time.
type event struct {
	at clock.Time
	do func(now clock.Time)
}

// events is a heap of events, the earliest first.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// target is a simulated target: a queue in front of two slots.
type target struct {
	freeAt     [2]clock.Time // when each slot becomes free
	phase      clock.Duration
	slowFactor float64 // factor of the processing time; 0 means 1
	shedRate   float64 // share of the requests that it sheds
}

// serve returns when a request that arrives at now is answered.
func (s *target) serve(now clock.Time, work clock.Duration) clock.Time {
	slot := 0
	if s.freeAt[1] < s.freeAt[0] {
		slot = 1
	}
	start := max(s.freeAt[slot], now)
	if into := (clock.Duration(start) + s.phase) % pausePeriod; into < pauseLength {
		start = start.Add(pauseLength - into)
	}
	if s.slowFactor > 0 {
		work = clock.Duration(s.slowFactor * float64(work))
	}
	s.freeAt[slot] = start.Add(work)
	return s.freeAt[slot]
}

// simulation runs the load in simulated time and records what callers get.
type simulation struct {
	profile  searchProfile
	env      *testEnv
	queue    events
	random   *rand.Rand
	targets  map[topology.TargetID]*target
	hedging  bool
	selector fanout.Targets // selects targets in place of env.targets; nil for none

	latencies []clock.Duration
	failed    int
	missing   int
	repeats   int
}

func newSimulation(profile searchProfile, hedging bool) *simulation {
	var names []routing.ServiceName
	for i := range loadServices {
		names = append(names, routing.ServiceName(rune('a'+i)))
	}
	sim := &simulation{profile: profile, env: newTestEnv(names...), random: rand.New(rand.NewPCG(3, 4)), targets: map[topology.TargetID]*target{}, hedging: hedging}
	for i := range loadServices {
		for _, copy := range []string{"1", "2"} {
			id := topology.TargetID(string(rune('a'+i)) + copy)
			sim.targets[id] = &target{phase: clock.Duration(sim.random.Int64N(int64(pausePeriod)))}
		}
	}
	for i := range loadPerSecond * loadSeconds {
		sim.schedule(clock.Time(i*1000/loadPerSecond+1), func(now clock.Time) { sim.startSearch(names, now) })
	}
	return sim
}

func (sim *simulation) schedule(t clock.Time, do func(clock.Time)) {
	heap.Push(&sim.queue, event{t, do})
}

func (sim *simulation) run() {
	for sim.queue.Len() > 0 {
		e := heap.Pop(&sim.queue).(event)
		e.do(e.at)
	}
	slices.Sort(sim.latencies)
}

func (sim *simulation) startSearch(names []routing.ServiceName, now clock.Time) {
	params := searchParams(names...)
	params.MinCoverage, params.PartialAt, params.Deadline = minCoverage, now.Add(fanout.PartialAnswerDelay(sim.profile.objective)), now.Add(1200)
	targets := fanout.Targets(sim.env.targets)
	if sim.selector != nil {
		targets = sim.selector
	}
	params.MaxAttempts = max(params.MaxAttempts, 1)
	if sim.hedging {
		params.MaxAttempts = 2
	}
	params.SelectBy = now.Add(20)
	call, sends := fanout.New(params, sim.env.table, targets, sim.env.budget, sim.env.latency, now)
	done := false
	var step func(now clock.Time, sends []fanout.Send)
	step = func(now clock.Time, sends []fanout.Send) {
		for _, s := range sends {
			if sim.random.Float64() < sim.targets[s.Target.ID].shedRate {
				sim.schedule(now.Add(2*networkTime), func(now clock.Time) { step(now, call.Done(s.Attempt, replica.Shed, now)) })
				continue
			}
			work := clock.Duration(math.Round(sim.profile.work * math.Exp(workSigma*sim.random.NormFloat64())))
			answer := sim.targets[s.Target.ID].serve(now.Add(networkTime), work).Add(networkTime)
			sim.schedule(answer, func(now clock.Time) { step(now, call.Done(s.Attempt, replica.Answered, now)) })
		}
		if done || call.State(now) == fanout.Open {
			return
		}
		done = true
		if !slices.Contains([]fanout.State{fanout.Complete, fanout.Partial}, call.State(now)) {
			sim.failed++
		}
		sim.latencies = append(sim.latencies, now.Sub(params.Deadline)+1200)
		sim.missing += len(call.Missing())
		sim.repeats += call.Counts().Repeated
	}
	step(now, sends)
	var tick func(now clock.Time)
	tick = func(now clock.Time) {
		if done {
			return
		}
		step(now, call.Tick(now))
		if !done {
			sim.schedule(max(call.Next(), now+1), tick)
		}
	}
	sim.schedule(call.Next(), tick)
}

func (sim *simulation) quantile(q float64) clock.Duration {
	return sim.latencies[int(q*float64(len(sim.latencies)))]
}

// TestPausesAreHedged simulates targets that pause. 99 in 100 searches must be
// answered within the latency objective and nearly completely, within the budget
// of repeats. Without hedges, every second search is delayed by a pause.
func TestPausesAreHedged(t *testing.T) {
	sim := newSimulation(fullSearch, true)
	sim.run()
	n := len(sim.latencies)
	if got := sim.quantile(0.99); got > sim.profile.objective {
		t.Errorf("p99 is %d ms, want at most %d ms", got, sim.profile.objective)
	}
	if got := 1 - float64(sim.missing)/float64(n*loadServices); got < 0.995 {
		t.Errorf("mean coverage is %.4f, want at least 0.995", got)
	}
	if got := float64(sim.repeats) / float64(n*loadServices); got > 0.2 {
		t.Errorf("%.3f repeats for each send, want at most 0.2", got)
	}
	baseline := newSimulation(fullSearch, false)
	baseline.run()
	if got, base := sim.quantile(0.9), baseline.quantile(0.9); got > base*3/4 {
		t.Errorf("p90 is %d ms, want at most three quarters of the %d ms without hedges", got, base)
	}
	t.Logf("p50 %d, p90 %d, p99 %d ms, missing %d of %d, repeats %d; without hedges p90 %d ms", sim.quantile(0.5), sim.quantile(0.9), sim.quantile(0.99), sim.missing, n*loadServices, sim.repeats, baseline.quantile(0.9))
}

// TestQuickSearchesAreInTime simulates one service whose two targets are far too
// slow and get requests all the same, so that no search is complete. The partial
// answers must reach callers that open a connection for each search within the
// latency objective, which is short.
func TestQuickSearchesAreInTime(t *testing.T) {
	sim := newSimulation(quickSearch, true)
	sim.selector = unpaced{sim.env.targets}
	sim.targets["a1"].slowFactor, sim.targets["a2"].slowFactor = 40, 40
	sim.run()
	if got := sim.onTimeShare(); got < 0.95 {
		t.Errorf("%.3f of the answers in time, want at least 0.95", got)
	}
	if got, want := float64(sim.missing)/float64(len(sim.latencies)), 1.1; got > want {
		t.Errorf("%.3f shards missing from an answer, want at most %.1f", got, want)
	}
}

// unpaced selects targets without regard to pacing.
type unpaced struct{ *replica.Set }

func (u unpaced) Pick(name routing.ServiceName, svc *routing.Service, excluded []topology.TargetID, _ replica.Purpose, now clock.Time) replica.Choice {
	return u.Set.Pick(name, svc, excluded, replica.Needed, now)
}

// onTimeShare returns the share of the answers that callers get within the
// latency objective.
func (sim *simulation) onTimeShare() float64 {
	n, _ := slices.BinarySearch(sim.latencies, sim.profile.objective-callerOverhead+1)
	return float64(n) / float64(len(sim.latencies))
}

// TestLateShardsArePaced simulates four services whose targets are all four times
// as slow, which is more services than an answer may leave out. If every search
// sends to all of them, requests queue up and none is answered in time; a search
// must send only to as many as it needs.
func TestLateShardsArePaced(t *testing.T) {
	simulate := func(selector func(*testEnv) fanout.Targets) *simulation {
		sim := newSimulation(fullSearch, true)
		sim.selector = selector(sim.env)
		for _, id := range []topology.TargetID{"a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2"} {
			sim.targets[id].slowFactor = 4
		}
		sim.run()
		return sim
	}
	paced := simulate(func(env *testEnv) fanout.Targets { return env.targets })
	baseline := simulate(func(env *testEnv) fanout.Targets { return unpaced{env.targets} })
	t.Logf("in time: %.3f, unpaced %.3f; p50 %d ms, unpaced %d ms", paced.onTimeShare(), baseline.onTimeShare(), paced.quantile(0.5), baseline.quantile(0.5))
	if got, base := paced.onTimeShare(), baseline.onTimeShare(); got < 2*base {
		t.Errorf("%.3f of the answers in time, want at least twice the %.3f without pacing", got, base)
	}
}

// unfilteredHedges selects targets of hedges without regard to shedding.
type unfilteredHedges struct{ *replica.Set }

func (h unfilteredHedges) Pick(name routing.ServiceName, svc *routing.Service, excluded []topology.TargetID, purpose replica.Purpose, now clock.Time) replica.Choice {
	if purpose == replica.Hedge {
		purpose = replica.First
	}
	return h.Set.Pick(name, svc, excluded, purpose, now)
}

// TestHedgesAvoidSheddingTargets simulates services with one target that sheds
// requests; in five of them, more than an answer may leave out, both targets shed
// and are slow. The budget of repeats is small: hedges to shedding targets must
// not use up repeats that searches need whose request was shed.
func TestHedgesAvoidSheddingTargets(t *testing.T) {
	simulate := func(selector func(*testEnv) fanout.Targets) *simulation {
		sim := newSimulation(fullSearch, true)
		sim.env.budget = budget.New(budget.Limit{Window: 10 * clock.Second, Ratio: 0.2, Slack: 0}, -20_000)
		sim.selector = selector(sim.env)
		for i := range loadServices {
			sim.targets[topology.TargetID(string(rune('a'+i))+"1")].shedRate = 0.3
			if i < 5 {
				sim.targets[topology.TargetID(string(rune('a'+i))+"2")].shedRate = 0.3
				sim.targets[topology.TargetID(string(rune('a'+i))+"1")].slowFactor = 2
				sim.targets[topology.TargetID(string(rune('a'+i))+"2")].slowFactor = 2
			}
		}
		sim.run()
		return sim
	}
	filtered := simulate(func(env *testEnv) fanout.Targets { return env.targets })
	baseline := simulate(func(env *testEnv) fanout.Targets { return unfilteredHedges{env.targets} })
	t.Logf("failed: %d of %d, with unfiltered hedges %d; missing %d and %d, repeats %d and %d", filtered.failed, len(filtered.latencies), baseline.failed, filtered.missing, baseline.missing, filtered.repeats, baseline.repeats)
	if got, base := filtered.failed, baseline.failed; got > base*9/10 {
		t.Errorf("%d searches failed, want at most nine tenths of the %d with unfiltered hedges", got, base)
	}
}

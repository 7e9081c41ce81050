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

// The load: searches over 20 services of two targets, which run two requests at
// a time and pause for 150 ms every 3.6 s, each at its own time.
const (
	loadServices  = 20
	loadPerSecond = 60
	loadSeconds   = 30
	pauseLength   = 150 * clock.Millisecond
	pausePeriod   = 3600 * clock.Millisecond
	workSpread    = 0.35
	networkTime   = 2 * clock.Millisecond
	loadCoverage  = 0.89
	// connectAndBack is what a caller 3 ms away waits for in addition to the time
	// within the instance: a new connection, the request and the answer.
	connectAndBack = 12 * clock.Millisecond
)

// kind is a kind of search.
type kind struct {
	objective clock.Duration
	work      float64 // mean work of a shard, in ms
}

var (
	fullSearch  = kind{objective: 120, work: 15}
	quickSearch = kind{objective: 60, work: 5}
)

// event is something that happens at a time.
type event struct {
	at clock.Time
	do func(now clock.Time)
}

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
	free  [2]clock.Time // when each slot is free
	phase clock.Duration
	slow  float64 // factor on the work; 0 for 1
	shed  float64 // part of the requests that it sheds
}

// serve returns when a request that arrives at now is answered.
func (s *target) serve(now clock.Time, work clock.Duration) clock.Time {
	slot := 0
	if s.free[1] < s.free[0] {
		slot = 1
	}
	start := max(s.free[slot], now)
	if into := (clock.Duration(start) + s.phase) % pausePeriod; into < pauseLength {
		start = start.Add(pauseLength - into)
	}
	if s.slow > 0 {
		work = clock.Duration(s.slow * float64(work))
	}
	s.free[slot] = start.Add(work)
	return s.free[slot]
}

// load plays the load and keeps what callers got.
type load struct {
	kind    kind
	world   *world
	queue   events
	random  *rand.Rand
	targets map[topology.TargetID]*target
	hedging bool
	picks   fanout.Targets // nil for the world's

	took    []clock.Duration
	failed  int
	missing int
	repeats int
}

func newLoad(kind kind, hedging bool) *load {
	var names []routing.ServiceName
	for i := range loadServices {
		names = append(names, routing.ServiceName(rune('a'+i)))
	}
	l := &load{kind: kind, world: newWorld(names...), random: rand.New(rand.NewPCG(3, 4)), targets: map[topology.TargetID]*target{}, hedging: hedging}
	for i := range loadServices {
		for _, copy := range []string{"1", "2"} {
			id := topology.TargetID(string(rune('a'+i)) + copy)
			l.targets[id] = &target{phase: clock.Duration(l.random.Int64N(int64(pausePeriod)))}
		}
	}
	for i := range loadPerSecond * loadSeconds {
		l.at(clock.Time(i*1000/loadPerSecond+1), func(now clock.Time) { l.start(names, now) })
	}
	return l
}

func (l *load) at(t clock.Time, do func(clock.Time)) { heap.Push(&l.queue, event{t, do}) }

func (l *load) run() {
	for l.queue.Len() > 0 {
		e := heap.Pop(&l.queue).(event)
		e.do(e.at)
	}
	slices.Sort(l.took)
}

func (l *load) start(names []routing.ServiceName, now clock.Time) {
	terms := search(names...)
	terms.MinCoverage, terms.PartialAt, terms.Deadline = loadCoverage, now.Add(fanout.PartialAnswerDelay(l.kind.objective)), now.Add(1200)
	targets := fanout.Targets(l.world.targets)
	if l.picks != nil {
		targets = l.picks
	}
	terms.MaxAttempts = max(terms.MaxAttempts, 1)
	if l.hedging {
		terms.MaxAttempts = 2
	}
	terms.SelectBy = now.Add(20)
	call, sends := fanout.New(terms, l.world.table, targets, l.world.budget, l.world.latency, now)
	done := false
	var step func(now clock.Time, sends []fanout.Send)
	step = func(now clock.Time, sends []fanout.Send) {
		for _, s := range sends {
			if l.random.Float64() < l.targets[s.Target.ID].shed {
				l.at(now.Add(2*networkTime), func(now clock.Time) { step(now, call.Done(s.Attempt, replica.Shed, now)) })
				continue
			}
			work := clock.Duration(math.Round(l.kind.work * math.Exp(workSpread*l.random.NormFloat64())))
			answer := l.targets[s.Target.ID].serve(now.Add(networkTime), work).Add(networkTime)
			l.at(answer, func(now clock.Time) { step(now, call.Done(s.Attempt, replica.Answered, now)) })
		}
		if done || call.State(now) == fanout.Open {
			return
		}
		done = true
		if !slices.Contains([]fanout.State{fanout.Complete, fanout.Partial}, call.State(now)) {
			l.failed++
		}
		l.took = append(l.took, now.Sub(terms.Deadline)+1200)
		l.missing += len(call.Missing())
		l.repeats += call.Counts().Repeated
	}
	step(now, sends)
	var tick func(now clock.Time)
	tick = func(now clock.Time) {
		if done {
			return
		}
		step(now, call.Tick(now))
		if !done {
			l.at(max(call.Next(), now+1), tick)
		}
	}
	l.at(call.Next(), tick)
}

func (l *load) quantile(q float64) clock.Duration { return l.took[int(q*float64(len(l.took)))] }

// TestPausesAreHedged plays targets that pause, and checks what callers get:
// 99 in 100 answers within the objective, nearly complete, within the budget of
// repeats. Without hedges, every second search meets a pause.
func TestPausesAreHedged(t *testing.T) {
	l := newLoad(fullSearch, true)
	l.run()
	n := len(l.took)
	if got := l.quantile(0.99); got > l.kind.objective {
		t.Errorf("p99 is %d ms, want at most %d ms", got, l.kind.objective)
	}
	if got := 1 - float64(l.missing)/float64(n*loadServices); got < 0.995 {
		t.Errorf("mean coverage is %.4f, want at least 0.995", got)
	}
	if got := float64(l.repeats) / float64(n*loadServices); got > 0.2 {
		t.Errorf("%.3f repeats for each send, want at most 0.2", got)
	}
	baseline := newLoad(fullSearch, false)
	baseline.run()
	if got, base := l.quantile(0.9), baseline.quantile(0.9); got > base*3/4 {
		t.Errorf("p90 is %d ms, want at most three quarters of the %d ms without hedges", got, base)
	}
	t.Logf("p50 %d, p90 %d, p99 %d ms, missing %d of %d, repeats %d; without hedges p90 %d ms", l.quantile(0.5), l.quantile(0.9), l.quantile(0.99), l.missing, n*loadServices, l.repeats, baseline.quantile(0.9))
}

// TestQuickSearchesAreInTime plays one service whose targets are both far too
// slow, and which is asked all the same, so that no search is complete. The
// incomplete answers must reach callers that open a connection for each search
// within the objective, which is short.
func TestQuickSearchesAreInTime(t *testing.T) {
	l := newLoad(quickSearch, true)
	l.picks = unpaced{l.world.targets}
	l.targets["a1"].slow, l.targets["a2"].slow = 40, 40
	l.run()
	if got := l.inTime(); got < 0.95 {
		t.Errorf("%.3f of the answers in time, want at least 0.95", got)
	}
	if got, want := float64(l.missing)/float64(len(l.took)), 1.1; got > want {
		t.Errorf("%.3f shards missing from an answer, want at most %.1f", got, want)
	}
}

// unpaced sends to targets that answer too late as to any other.
type unpaced struct{ *replica.Set }

func (u unpaced) Pick(name routing.ServiceName, svc *routing.Service, excluded []topology.TargetID, _ replica.Purpose, now clock.Time) replica.Choice {
	return u.Set.Pick(name, svc, excluded, replica.Needed, now)
}

// inTime returns the share of the answers that callers get within the
// objective.
func (l *load) inTime() float64 {
	n, _ := slices.BinarySearch(l.took, l.kind.objective-connectAndBack+1)
	return float64(n) / float64(len(l.took))
}

// TestLateShardsArePaced plays four services whose targets are all four times
// as slow, more than an answer may leave out. Asked by every search, they queue
// and none of them answers in time; a search must ask only as many as it needs.
func TestLateShardsArePaced(t *testing.T) {
	play := func(picks func(*world) fanout.Targets) *load {
		l := newLoad(fullSearch, true)
		l.picks = picks(l.world)
		for _, id := range []topology.TargetID{"a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2"} {
			l.targets[id].slow = 4
		}
		l.run()
		return l
	}
	paced := play(func(w *world) fanout.Targets { return w.targets })
	baseline := play(func(w *world) fanout.Targets { return unpaced{w.targets} })
	t.Logf("in time: %.3f, unpaced %.3f; p50 %d ms, unpaced %d ms", paced.inTime(), baseline.inTime(), paced.quantile(0.5), baseline.quantile(0.5))
	if got, base := paced.inTime(), baseline.inTime(); got < 2*base {
		t.Errorf("%.3f of the answers in time, want at least twice the %.3f without pacing", got, base)
	}
}

// hedgingAnywhere hedges to targets that shed as to any other.
type hedgingAnywhere struct{ *replica.Set }

func (h hedgingAnywhere) Pick(name routing.ServiceName, svc *routing.Service, excluded []topology.TargetID, purpose replica.Purpose, now clock.Time) replica.Choice {
	if purpose == replica.Hedge {
		purpose = replica.First
	}
	return h.Set.Pick(name, svc, excluded, purpose, now)
}

// TestHedgesSpareRepeats plays services of which one target sheds requests, and
// five of which both do and are slow, more than an answer may leave out. Repeats
// are few; hedges to the shedding targets must not take them from searches whose
// request was shed.
func TestHedgesSpareRepeats(t *testing.T) {
	play := func(picks func(*world) fanout.Targets) *load {
		l := newLoad(fullSearch, true)
		l.world.budget = budget.New(budget.Limit{Window: 10 * clock.Second, Ratio: 0.2, Slack: 0}, -20_000)
		l.picks = picks(l.world)
		for i := range loadServices {
			l.targets[topology.TargetID(string(rune('a'+i))+"1")].shed = 0.3
			if i < 5 {
				l.targets[topology.TargetID(string(rune('a'+i))+"2")].shed = 0.3
				l.targets[topology.TargetID(string(rune('a'+i))+"1")].slow = 2
				l.targets[topology.TargetID(string(rune('a'+i))+"2")].slow = 2
			}
		}
		l.run()
		return l
	}
	sparing := play(func(w *world) fanout.Targets { return w.targets })
	baseline := play(func(w *world) fanout.Targets { return hedgingAnywhere{w.targets} })
	t.Logf("failed: %d of %d, hedging anywhere %d; missing %d and %d, repeats %d and %d", sparing.failed, len(sparing.took), baseline.failed, sparing.missing, baseline.missing, sparing.repeats, baseline.repeats)
	if got, base := sparing.failed, baseline.failed; got > base*9/10 {
		t.Errorf("%d searches failed, want at most nine tenths of the %d with hedges to any target", got, base)
	}
}

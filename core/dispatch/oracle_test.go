package dispatch_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"knapweedstall/core/clock"
	"knapweedstall/core/dispatch"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"

	"pgregory.net/rapid"
)

// TestMain fixes the seed. Longer runs: go test -rapid.checks=5000 -rapid.seed=7.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// info is the newest that a holder could know of a target, in the order of what
// happened at the target.
type info struct {
	stamp       int // order of the answer, or of the loss
	bears       int
	warm        bool
	delivered   clock.Time
	closedUntil clock.Time // the target said shed or draining
}

type fakeTarget struct {
	conf     topology.Target
	index    int
	bears    int
	draining bool
	shed     int // calls to shed next
	slow     clock.Duration
	silent   bool // answers and failures do not arrive
	out      bool
}

func (t *fakeTarget) state() message.TargetState {
	if t.draining {
		return message.TargetDraining
	}
	return map[bool]message.TargetState{true: message.TargetWarm, false: message.TargetCold}[t.bears == t.conf.Slots]
}

// fakeCall is a call in transit or running; calls that ended are removed.
type fakeCall struct {
	dispatch.Send
	holder  int
	target  *fakeTarget
	running bool
}

// world holds two Services, one for each share, on the same targets, and checks
// every command against what the targets run. Without chaos, messages take 1 ms
// and nothing is lost or repeated.
type world struct {
	t         rapid.TB
	chaos     bool
	takes     func(*fakeTarget) clock.Duration
	rnd       *rand.Rand
	now       clock.Time
	stamp     int
	events    map[clock.Time][]func()
	service   topology.Service
	holders   [2]*dispatch.Service
	rights    [2]dispatch.Use
	targets   []*fakeTarget
	calls     []*fakeCall
	know      [2]map[topology.TargetID]info
	subs      []message.SubRequest
	index     map[string]int           // of subs by query
	span      map[string][2]clock.Time // arrival and reply by query
	replies   map[string][]message.Status
	started   map[string]int // executions by query
	sends     map[string]int
	reportsAt [2]clock.Time // reports arrive in order
}

type right func() dispatch.Use

func (r right) Use(clock.Time, topology.ServiceID) dispatch.Use { return r() }

func fleet(targets, slots int) topology.Service {
	s := topology.Service{ID: "s"}
	for i := range targets {
		s.Targets = append(s.Targets, topology.Target{ID: topology.TargetID(fmt.Sprint("t", i)), Slots: slots})
	}
	return s
}

func newWorld(t rapid.TB, seed uint64, service topology.Service, opts ...dispatch.Option) *world {
	w := &world{t: t, now: 1, service: service, index: map[string]int{}, events: map[clock.Time][]func(){},
		span: map[string][2]clock.Time{}, replies: map[string][]message.Status{}, started: map[string]int{}, sends: map[string]int{}}
	w.rnd = rand.New(rand.NewPCG(seed, 1))
	for i, conf := range service.Targets {
		w.targets = append(w.targets, &fakeTarget{conf: conf, index: i, bears: 1})
	}
	for k := range w.holders {
		w.rights[k].Warm[k], w.rights[k].Cold[k] = true, true
		w.know[k] = map[topology.TargetID]info{}
		w.holders[k] = dispatch.New(service, right(func() dispatch.Use { return w.rights[k] }), opts...)
	}
	return w
}

// upTo returns 1 to n ms, 1 without chaos.
func (w *world) upTo(n int) clock.Duration {
	if !w.chaos {
		return 1
	}
	return clock.Duration(1 + w.rnd.IntN(n))
}

func (w *world) oneIn(n int) bool { return w.chaos && w.rnd.IntN(n) == 0 }

func (w *world) logf(format string, args ...any) {
	if w.chaos {
		w.t.Logf(format, args...)
	}
}

// after schedules for a later ms, transit for the arrival of a message.
func (w *world) after(d clock.Duration, do func()) {
	at := w.now.Add(d)
	w.events[at] = append(w.events[at], do)
}

func (w *world) transit(do func()) { w.after(w.upTo(5), do) }

func (w *world) learn(holder int, t topology.TargetID, i info) {
	if i.stamp > w.know[holder][t].stamp {
		i.delivered = w.now
		w.logf("%d holder %d knows %+v of %s", w.now, holder, i, t)
		w.know[holder][t] = i
	}
}

// advance lets time pass.
func (w *world) advance(d clock.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.now++
		for _, do := range w.events[w.now] {
			do()
		}
		delete(w.events, w.now)
		for k, s := range w.holders {
			if wake := s.NextWake(); wake != 0 && wake <= w.now {
				w.apply(k, s.Tick(w.now))
			}
		}
	}
}

func (w *world) apply(holder int, cmds []dispatch.Command) {
	for _, c := range cmds {
		w.logf("%d holder %d: %T%+v", w.now, holder, c, c)
		switch c := c.(type) {
		case dispatch.Send:
			w.send(holder, c)
		case dispatch.CancelCall:
			w.cancel(holder, c.Call)
		case dispatch.Reply:
			w.reply(c.SubReply)
		case dispatch.ReportTarget:
			w.report(holder, c.TargetReport)
		}
	}
}

func (w *world) send(holder int, c dispatch.Send) {
	i := slices.IndexFunc(w.targets, func(t *fakeTarget) bool { return t.conf.ID == c.Target })
	call := &fakeCall{Send: c, holder: holder, target: w.targets[i]}
	w.calls = append(w.calls, call)
	w.checkSend(call)
	w.checkItems(call)
	if w.oneIn(20) {
		w.fail(call, dispatch.FailureNotSent)
		return
	}
	w.transit(func() { w.arrive(call) })
}

// checkSend guards against more calls than the share of what the target last
// said to whom the holder could know of.
func (w *world) checkSend(c *fakeCall) {
	know, limit, warm := w.know[c.holder][c.Target], 1, false
	if know.stamp > 0 && w.now.Sub(know.delivered) < 10*clock.Second {
		limit, warm = max(1, know.bears), know.warm
	}
	allowed := (limit + (c.target.index+c.holder+1)%2) / 2
	inFlight := len(w.some(func(o *fakeCall) bool { return o.target == c.target && o.holder == c.holder && w.now < o.freeAt() }))
	use, fault := w.rights[c.holder], ""
	switch {
	case inFlight > allowed:
		fault = fmt.Sprintf("%d calls in flight, the share of limit %d allows %d", inFlight, limit, allowed)
	case w.now < know.closedUntil:
		fault = fmt.Sprintf("closed until %d", know.closedUntil)
	case c.target.out:
		fault = "zone out"
	case !use.Warm[c.holder], !use.Cold[c.holder] && !warm:
		fault = fmt.Sprintf("right %v, warm %v", use, warm)
	}
	if fault != "" {
		w.t.Fatalf("at %d holder %d sends call %d to %s: %s", w.now, c.holder, c.Call, c.Target, fault)
	}
}

func (w *world) checkItems(c *fakeCall) {
	first := w.subs[w.index[c.Items[0].Query]]
	for _, item := range c.Items {
		sub := w.subs[w.index[item.Query]]
		if sub.Tenant != first.Tenant || item.Tenant != sub.Tenant || sub.Snapshot != c.Snapshot {
			w.t.Fatalf("call %d mixes tenants or snapshots", c.Call)
		}
		w.sends[item.Query]++
		if sub.Kind != message.KindSearch && len(c.Items) > 1 || sub.Kind == message.KindCanary && w.sends[item.Query] > 1 {
			w.t.Fatalf("kind %d is batched or sent again", sub.Kind)
		}
		if c.Once != (sub.Kind == message.KindRun) {
			w.t.Fatalf("kind %d is sent with once %v", sub.Kind, c.Once)
		}
	}
}

func (w *world) some(is func(*fakeCall) bool) []*fakeCall {
	return slices.DeleteFunc(slices.Clone(w.calls), func(c *fakeCall) bool { return !is(c) })
}

// freeAt returns when the holder may use the call's slot again without proof
// that the call has ended.
func (c *fakeCall) freeAt() clock.Time { return c.Deadline.Add(dispatch.EndMargin) }

func (w *world) ended(c *fakeCall) bool { return !slices.Contains(w.calls, c) }

func (w *world) arrive(c *fakeCall) {
	t := c.target
	switch {
	case w.ended(c):
	case t.draining:
		w.answer(c, dispatch.Answer{Status: dispatch.AnswerDraining})
	case w.now > c.StartBy:
		w.answer(c, dispatch.Answer{Status: dispatch.AnswerLate})
	case t.shed > 0 || len(w.some(func(o *fakeCall) bool { return o.target == t && o.running })) >= t.bears:
		t.shed = max(0, t.shed-1)
		w.answer(c, dispatch.Answer{Status: dispatch.AnswerShed, RetryAfter: clock.Duration(w.rnd.IntN(3) * 40)})
	default:
		w.run(c)
	}
}

func (w *world) run(c *fakeCall) {
	c.running = true
	for _, item := range c.Items {
		sub := w.subs[w.index[item.Query]]
		w.started[item.Query]++
		if slices.Contains(w.replies[item.Query], message.StatusNotRun) {
			w.t.Fatalf("%s runs after the reply not run", item.Query)
		}
		key := fmt.Sprint("run ", sub.ID.Request.Seq)
		if w.started[key]++; w.started[key] > 1 && sub.Kind == message.KindRun {
			w.t.Fatalf("%s runs twice", key)
		}
	}
	w.after(min(w.takes(c.target), c.Deadline.Sub(w.now)), func() {
		if !w.ended(c) {
			w.answer(c, dispatch.Answer{Status: dispatch.AnswerOK, Items: answers(c.Send)})
		}
	})
}

func answers(c dispatch.Send) []dispatch.ItemAnswer {
	var items []dispatch.ItemAnswer
	for _, item := range c.Items {
		hits := []message.ShardAnswer{{Hits: []message.Hit{{ID: item.Query}}}}
		items = append(items, dispatch.ItemAnswer{ID: item.ID, Tenant: item.Tenant, Snapshot: c.Snapshot, Status: dispatch.ItemOK, Shards: hits})
	}
	return items
}

// answer ends the call at the target. The answer may arrive late, twice, under
// the id of another call too, or never.
func (w *world) answer(c *fakeCall, a dispatch.Answer) {
	w.calls = slices.DeleteFunc(w.calls, func(o *fakeCall) bool { return o == c })
	t := c.target
	a.State, a.Bears = t.state(), t.bears
	w.stamp++
	i := info{stamp: w.stamp, bears: t.bears, warm: a.State == message.TargetWarm}
	if t.silent {
		return
	}
	w.transit(func() {
		switch a.Status {
		case dispatch.AnswerShed:
			i.closedUntil = w.now.Add(a.RetryAfter)
		case dispatch.AnswerDraining:
			i.closedUntil = w.now.Add(30 * clock.Second)
		}
		if w.now < c.freeAt() { // later the call is unknown to the holder
			w.learn(c.holder, c.Target, i)
		}
		for range w.upTo(2) {
			w.apply(c.holder, w.holders[c.holder].Answered(w.now, c.Call, a))
		}
	})
}

// fail ends the call at the target and tells the holder.
func (w *world) fail(c *fakeCall, f dispatch.Failure) {
	w.calls = slices.DeleteFunc(w.calls, func(o *fakeCall) bool { return o == c })
	if !c.target.silent {
		w.transit(func() { w.notice(c, f) })
	}
}

func (w *world) notice(c *fakeCall, f dispatch.Failure) {
	if f != dispatch.FailureEnded && w.now < c.freeAt() {
		w.stamp++
		w.learn(c.holder, c.Target, info{stamp: w.stamp, bears: 1})
	}
	w.apply(c.holder, w.holders[c.holder].Failed(w.now, c.Call, f))
}

// cancel reaches the target later, which ends the call or goes on.
func (w *world) cancel(holder int, id dispatch.CallID) {
	for _, c := range w.some(func(c *fakeCall) bool { return c.holder == holder && c.Call == id && !w.oneIn(2) }) {
		w.transit(func() {
			if !w.ended(c) {
				w.fail(c, dispatch.FailureEnded)
			}
		})
	}
}

func (w *world) report(holder int, r message.TargetReport) {
	i, other := w.know[holder][r.Target], 1-holder
	if r.State == message.TargetWarm && r.Bears > i.bears {
		w.t.Fatalf("at %d holder %d reports %+v, it was told %d", w.now, holder, r, i.bears)
	}
	i.bears = min(i.bears, r.Bears)
	i.closedUntil, i.warm = 0, i.warm && r.State == message.TargetWarm
	w.reportsAt[other] = max(w.reportsAt[other], w.now.Add(w.upTo(200)))
	w.after(w.reportsAt[other].Sub(w.now), func() {
		w.learn(other, r.Target, i)
		w.apply(other, w.holders[other].Reported(w.now, r))
	})
}

func (w *world) reply(r message.SubReply) {
	key := query(r.ID)
	sub := w.subs[w.index[key]]
	w.replies[key] = append(w.replies[key], r.Status)
	w.span[key] = [2]clock.Time{w.span[key][0], w.now}
	switch {
	case len(w.replies[key]) > 1:
		w.t.Fatalf("%s gets replies %v", key, w.replies[key])
	case r.Tenant != sub.Tenant || r.Snapshot != sub.Snapshot:
		w.t.Fatalf("%s gets the stamps of another", key)
	case r.Status == message.StatusOK && r.Shards[0].Hits[0].ID != key:
		w.t.Fatalf("%s gets the answer to %s", key, r.Shards[0].Hits[0].ID)
	case r.Status == message.StatusNotRun && w.started[key] > 0:
		w.t.Fatalf("%s is replied to as not run, but ran", key)
	case r.Status == message.StatusNotRun && r.RetryAfterMS <= 0:
		w.t.Fatalf("%s is refused without a time to retry after", key)
	case r.Status == message.StatusNotRun && sub.Kind == message.KindRun && sub.ID.Attempt < 3:
		sub.ID.Attempt++
		w.after(1, func() { w.submit(w.rnd.IntN(2), sub) })
	}
}

func query(id message.SubID) string { return fmt.Sprint(id.Request.Seq, "/", id.Attempt) }

func (w *world) submit(holder int, sub message.SubRequest) {
	sub.Query = query(sub.ID)
	w.index[sub.Query] = len(w.subs)
	w.subs = append(w.subs, sub)
	w.span[sub.Query] = [2]clock.Time{w.now, 0}
	s := w.holders[holder]
	w.apply(holder, s.Submit(w.now, sub, w.now.Add(sub.RemainingMS)))
	if w.oneIn(10) {
		w.apply(holder, s.CancelSub(w.now, sub.ID))
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	some := func(t *rapid.T) *fakeTarget { return rapid.SampledFrom(w.targets).Draw(t, "target") }
	submit := func(kind message.Kind) {
		w.submit(w.rnd.IntN(2), message.SubRequest{
			ID:   message.SubID{Request: message.RequestID{Seq: uint64(len(w.subs)) + 1000}, Service: "s"},
			Kind: kind, Tenant: topology.TenantID(fmt.Sprint(w.rnd.IntN(2))), Snapshot: topology.SnapshotID(fmt.Sprint(w.rnd.IntN(2))),
			Rank: w.rnd.Uint64N(10), RemainingMS: clock.Duration(5 + w.rnd.IntN(300))})
	}
	zones := func(share func() bool) {
		out := map[topology.TargetID]bool{}
		for _, x := range w.targets {
			x.out = share()
			out[x.conf.ID] = x.out
		}
		for k, s := range w.holders {
			w.apply(k, s.Configure(w.now, w.service, out))
		}
	}
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "count") {
				submit([]message.Kind{message.KindSearch, message.KindCanary, message.KindRun}[max(0, w.rnd.IntN(5)-2)])
			}
		},
		"steady": func(t *rapid.T) { // earns tokens and latencies for hedges
			for range rapid.IntRange(1, 80).Draw(t, "count") {
				submit([]message.Kind{message.KindSearch, message.KindRun}[w.rnd.IntN(6)/5])
				w.advance(8)
			}
		},
		"advance": func(t *rapid.T) { w.advance(clock.Duration(rapid.IntRange(1, 60).Draw(t, "ms"))) },
		"idle": func(t *rapid.T) {
			w.advance(clock.Duration(rapid.SampledFrom([]int{300, 2_000, 11_000}).Draw(t, "ms")))
		},
		"warm": func(t *rapid.T) { x := some(t); x.bears = min(x.conf.Slots, x.bears+2) },
		"heal": func(*rapid.T) {
			for _, x := range w.targets {
				x.bears, x.draining, x.silent, x.slow = x.conf.Slots, false, false, 0
				for k, s := range w.holders {
					if len(w.some(func(c *fakeCall) bool { return c.target == x && c.holder == k })) == 0 {
						w.stamp++
						w.learn(k, x.conf.ID, info{stamp: w.stamp, bears: 1})
						w.apply(k, append(s.Disconnected(w.now, x.conf.ID), s.Connected(w.now, x.conf.ID)...))
					}
				}
			}
			zones(func() bool { return false })
			for k := range w.rights {
				w.rights[k].Warm[k], w.rights[k].Cold[k] = true, true
			}
		},
		"restart": func(t *rapid.T) { // unnoticed by a holder without a call
			x := some(t)
			for _, c := range w.some(func(c *fakeCall) bool { return c.target == x && c.running }) {
				w.fail(c, dispatch.FailureLost)
			}
			x.bears, x.draining = rapid.IntRange(0, 1).Draw(t, "bears"), false
		},
		"connectionLost": func(*rapid.T) { // the calls go on at the target
			for _, c := range w.some(func(*fakeCall) bool { return w.oneIn(2) }) {
				w.notice(c, dispatch.FailureLost)
			}
		},
		"shed":   func(t *rapid.T) { some(t).shed = rapid.IntRange(1, 3).Draw(t, "calls") },
		"slow":   func(t *rapid.T) { some(t).slow = clock.Duration(rapid.SampledFrom([]int{0, 50, 500}).Draw(t, "ms")) },
		"silent": func(t *rapid.T) { x := some(t); x.silent = !x.silent },
		"drain":  func(t *rapid.T) { some(t).draining = rapid.IntRange(0, 3).Draw(t, "drain") == 0 },
		"crossed": func(*rapid.T) {
			if len(w.calls) < 2 {
				return
			}
			if a, b := w.calls[0], w.calls[len(w.calls)-1]; b.running && a.holder == b.holder {
				w.answer(b, dispatch.Answer{Status: dispatch.AnswerOK, Items: answers(a.Send)})
			}
		},
		"zone": func(t *rapid.T) { zones(func() bool { return rapid.IntRange(0, 5).Draw(t, "out") == 0 }) },
		"right": func(t *rapid.T) {
			k := rapid.IntRange(0, 1).Draw(t, "holder")
			w.rights[k].Warm[k] = rapid.IntRange(0, 5).Draw(t, "warm") > 0
			w.rights[k].Cold[k] = w.rights[k].Warm[k] && rapid.IntRange(0, 3).Draw(t, "cold") > 0
		},
	}
}

// Guards against every breach of the allowance, of the right, of at most one
// run, of a true "not run" and of exactly one reply, under faults of targets,
// connections and reports.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := fleet(rapid.IntRange(1, 3).Draw(t, "targets"), 0)
		for i := range service.Targets {
			service.Targets[i].Slots = rapid.IntRange(1, 5).Draw(t, "slots")
		}
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), service, dispatch.WithMaxBatch(rapid.IntRange(1, 3).Draw(t, "batch")))
		w.chaos = true
		w.takes = func(t *fakeTarget) clock.Duration { return clock.Duration(1+w.rnd.IntN(20)) + t.slow }
		t.Repeat(w.actions())
		w.advance(3 * clock.Second)
		for _, sub := range w.subs {
			if r := w.replies[sub.Query]; len(r) != 1 {
				t.Fatalf("%s gets replies %v", sub.Query, r)
			}
		}
		for k, s := range w.holders {
			if l := s.Load(); l.Queued+l.InFlight > 0 || s.BusyUntil(w.now, k) != 0 {
				t.Fatalf("holder %d ends with %+v", k, l)
			}
		}
	})
}

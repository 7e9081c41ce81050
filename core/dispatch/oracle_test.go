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
	holders   [2]*dispatch.Dispatcher
	rights    [2]dispatch.Permission
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

type right func() dispatch.Permission

func (r right) Use(clock.Time, topology.ServiceID) dispatch.Permission { return r() }

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
		w.holders[k] = dispatch.New(service, right(func() dispatch.Permission { return w.rights[k] }), opts...)
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
		if sub.Workspace != first.Workspace || item.Workspace != sub.Workspace || sub.Snapshot != c.Snapshot {
			w.t.Fatalf("call %d mixes workspaces or snapshots", c.Call)
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
func (c *fakeCall) freeAt() clock.Time { return c.Deadline.Add(dispatch.SlotReleaseDelay) }

func (w *world) ended(c *fakeCall) bool { return !slices.Contains(w.calls, c) }

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

// TestMain sets a fixed seed unless flags give another one. A longer run:
// go test -rapid.checks=5000 -rapid.seed=7.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// targetInfo is the newest information on a target that a holder may have, in the order
// of events at the target.
type targetInfo struct {
	seq         int // position of the answer or loss in the order of events
	capacity    int
	warm        bool
	delivered   clock.Time
	closedUntil clock.Time // the target shed a call or is draining
}

type fakeTarget struct {
	conf     topology.Target
	index    int
	capacity int
	draining bool
	shedNext int // number of the next calls to shed
	slow     clock.Duration
	silent   bool // its answers and failures are lost
	zoneOut  bool
}

func (t *fakeTarget) state() message.TargetState {
	if t.draining {
		return message.TargetDraining
	}
	return map[bool]message.TargetState{true: message.TargetWarm, false: message.TargetCold}[t.capacity == t.conf.Slots]
}

// fakeCall is a call in transit or running. Calls are removed when they end.
type fakeCall struct {
	dispatch.Send
	holder  int
	target  *fakeTarget
	running bool
}

// simulation runs two Dispatchers, one for each share, against the same targets, and
// checks every command against what the targets run. Unless faults is set, messages
// take 1 ms and none is lost or repeated.
type simulation struct {
	t            rapid.TB
	faults       bool
	callDuration func(*fakeTarget) clock.Duration
	rnd          *rand.Rand
	now          clock.Time
	seq          int
	events       map[clock.Time][]func()
	service      topology.Service
	holders      [2]*dispatch.Dispatcher
	permissions  [2]dispatch.Permission
	targets      []*fakeTarget
	calls        []*fakeCall
	knowledge    [2]map[topology.TargetID]targetInfo
	subs         []message.SubRequest
	index        map[string]int           // of subs by query
	times        map[string][2]clock.Time // arrival and reply by query
	replies      map[string][]message.Status
	executions   map[string]int // executions by query
	sends        map[string]int
	reportsAt    [2]clock.Time // arrival time of the latest report; reports arrive in order
}

type leaseFunc func() dispatch.Permission

func (f leaseFunc) Use(clock.Time, topology.ServiceID) dispatch.Permission { return f() }

func newService(targets, slots int) topology.Service {
	s := topology.Service{ID: "s"}
	for i := range targets {
		s.Targets = append(s.Targets, topology.Target{ID: topology.TargetID(fmt.Sprint("t", i)), Slots: slots})
	}
	return s
}

func newSimulation(t rapid.TB, seed uint64, service topology.Service, opts ...dispatch.Option) *simulation {
	sim := &simulation{t: t, now: 1, service: service, index: map[string]int{}, events: map[clock.Time][]func(){},
		times: map[string][2]clock.Time{}, replies: map[string][]message.Status{}, executions: map[string]int{}, sends: map[string]int{}}
	sim.rnd = rand.New(rand.NewPCG(seed, 1))
	for i, conf := range service.Targets {
		sim.targets = append(sim.targets, &fakeTarget{conf: conf, index: i, capacity: 1})
	}
	for k := range sim.holders {
		sim.permissions[k].Warm[k], sim.permissions[k].Cold[k] = true, true
		sim.knowledge[k] = map[topology.TargetID]targetInfo{}
		sim.holders[k] = dispatch.New(service, leaseFunc(func() dispatch.Permission { return sim.permissions[k] }), opts...)
	}
	return sim
}

// upTo returns a random number of ms from 1 to n, or 1 unless faults is set.
func (sim *simulation) upTo(n int) clock.Duration {
	if !sim.faults {
		return 1
	}
	return clock.Duration(1 + sim.rnd.IntN(n))
}

// chance reports true once in n times on average, or never unless faults is set.
func (sim *simulation) chance(n int) bool { return sim.faults && sim.rnd.IntN(n) == 0 }

func (sim *simulation) logf(format string, args ...any) {
	if sim.faults {
		sim.t.Logf(format, args...)
	}
}

// schedule calls do after d.
func (sim *simulation) schedule(d clock.Duration, do func()) {
	at := sim.now.Add(d)
	sim.events[at] = append(sim.events[at], do)
}

// deliver calls do after the transit time of a message.
func (sim *simulation) deliver(do func()) { sim.schedule(sim.upTo(5), do) }

// updateKnowledge records that the holder received i, unless it knows something newer.
func (sim *simulation) updateKnowledge(holder int, t topology.TargetID, i targetInfo) {
	if i.seq > sim.knowledge[holder][t].seq {
		i.delivered = sim.now
		sim.logf("%d holder %d knows %+v of %s", sim.now, holder, i, t)
		sim.knowledge[holder][t] = i
	}
}

// advance moves the time forward by d and executes what is due.
func (sim *simulation) advance(d clock.Duration) {
	for end := sim.now.Add(d); sim.now < end; {
		sim.now++
		for _, do := range sim.events[sim.now] {
			do()
		}
		delete(sim.events, sim.now)
		for k, s := range sim.holders {
			if wake := s.NextWake(); wake != 0 && wake <= sim.now {
				sim.apply(k, s.Tick(sim.now))
			}
		}
	}
}

func (sim *simulation) apply(holder int, cmds []dispatch.Command) {
	for _, c := range cmds {
		sim.logf("%d holder %d: %T%+v", sim.now, holder, c, c)
		switch c := c.(type) {
		case dispatch.Send:
			sim.send(holder, c)
		case dispatch.CancelCall:
			sim.cancel(holder, c.Call)
		case dispatch.Reply:
			sim.reply(c.SubReply)
		case dispatch.ReportTarget:
			sim.report(holder, c.TargetReport)
		}
	}
}

func (sim *simulation) send(holder int, c dispatch.Send) {
	i := slices.IndexFunc(sim.targets, func(t *fakeTarget) bool { return t.conf.ID == c.Target })
	call := &fakeCall{Send: c, holder: holder, target: sim.targets[i]}
	sim.calls = append(sim.calls, call)
	sim.checkSend(call)
	sim.checkItems(call)
	if sim.chance(20) {
		sim.fail(call, dispatch.FailureNotSent)
		return
	}
	sim.deliver(func() { sim.arrive(call) })
}

// checkSend checks that the holder has no more calls in flight at the target than its
// share of the capacity in the newest information that it may have, and that the target
// and the lease permit the call.
func (sim *simulation) checkSend(c *fakeCall) {
	know, limit, warm := sim.knowledge[c.holder][c.Target], 1, false
	if know.seq > 0 && sim.now.Sub(know.delivered) < 10*clock.Second {
		limit, warm = max(1, know.capacity), know.warm
	}
	allowed := (limit + (c.target.index+c.holder+1)%2) / 2
	inFlight := len(sim.callsWhere(func(o *fakeCall) bool { return o.target == c.target && o.holder == c.holder && sim.now < o.freeAt() }))
	permission, violation := sim.permissions[c.holder], ""
	switch {
	case inFlight > allowed:
		violation = fmt.Sprintf("%d calls in flight, the share of limit %d allows %d", inFlight, limit, allowed)
	case sim.now < know.closedUntil:
		violation = fmt.Sprintf("closed until %d", know.closedUntil)
	case c.target.zoneOut:
		violation = "zone out"
	case !permission.Warm[c.holder], !permission.Cold[c.holder] && !warm:
		violation = fmt.Sprintf("lease permits %v, target is warm: %v", permission, warm)
	}
	if violation != "" {
		sim.t.Fatalf("at %d holder %d sends call %d to %s: %s", sim.now, c.holder, c.Call, c.Target, violation)
	}
}

func (sim *simulation) checkItems(c *fakeCall) {
	first := sim.subs[sim.index[c.Items[0].Query]]
	for _, item := range c.Items {
		sub := sim.subs[sim.index[item.Query]]
		if sub.Workspace != first.Workspace || item.Workspace != sub.Workspace || sub.Snapshot != c.Snapshot {
			sim.t.Fatalf("call %d has items of several workspaces or snapshots", c.Call)
		}
		sim.sends[item.Query]++
		if sub.Kind != message.KindSearch && len(c.Items) > 1 || sub.Kind == message.KindCanary && sim.sends[item.Query] > 1 {
			sim.t.Fatalf("kind %d is batched or sent again", sub.Kind)
		}
		if c.Once != (sub.Kind == message.KindRun) {
			sim.t.Fatalf("kind %d is sent with once %v", sub.Kind, c.Once)
		}
	}
}

func (sim *simulation) callsWhere(is func(*fakeCall) bool) []*fakeCall {
	return slices.DeleteFunc(slices.Clone(sim.calls), func(c *fakeCall) bool { return !is(c) })
}

// freeAt returns when the holder may reuse the call's slot without proof that the call
// has ended.
func (c *fakeCall) freeAt() clock.Time { return c.Deadline.Add(dispatch.SlotReleaseDelay) }

func (sim *simulation) ended(c *fakeCall) bool { return !slices.Contains(sim.calls, c) }

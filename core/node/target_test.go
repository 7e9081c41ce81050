package node_test

import (
	"fmt"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/dispatch"
	"knapweedstall/core/message"
	"knapweedstall/core/node"
	"knapweedstall/core/topology"
)

const (
	// poison is a query that crashes every target that runs it.
	poison = "poison"
	// warmAfter is the number of calls after which a cold target is warm.
	warmAfter   = 3
	dialFailure = 250 * clock.Millisecond
	// answerMargin is the time after its deadline in which a call can still be
	// answered.
	answerMargin = 100 * clock.Millisecond
)

// fakeTarget is a back-end server. While it is cold, its capacity is one call, and
// a second call at the same time crashes it.
type fakeTarget struct {
	sim             *simulation
	service         topology.ServiceID
	conf            topology.Target
	up              bool
	unreachable     bool // its zone is down, so connections time out instead of being refused
	cold            bool
	coldAt          clock.Time // when it last became cold
	answered        int
	draining        bool
	slow            bool
	shedNext        int // number of calls to shed next
	stallNext       int // number of calls to run slowly next
	loseNextAnswers int // number of calls whose answers are lost next
	mixNextAnswers  int // number of items to answer next with another workspace's documents in addition
	silent          map[*proc]bool
	running         []*call
	snapshots       []topology.SnapshotID
}

func newTarget(sim *simulation, service, k int) *fakeTarget {
	id := fmt.Sprintf("t%d%d", service, k)
	return &fakeTarget{
		sim: sim, service: topology.ServiceID(fmt.Sprint("s", service)), up: true, cold: true, coldAt: 1,
		silent: map[*proc]bool{}, snapshots: []topology.SnapshotID{"v1"},
		conf: topology.Target{
			ID: topology.TargetID(id), Address: fmt.Sprintf("10.1.%d.%d:80", service, k),
			Zone: zones[(service+k)%3], Slots: 2 + service%2, Connections: 50,
		},
	}
}

// call is a CallTarget in progress.
type call struct {
	node.CallTarget
	p           *proc
	t           *fakeTarget
	sentAt      clock.Time
	knownColdAt clock.Time // latest time at which the target was cold, as far as the sender knew when it sent the call
	knownWarmAt clock.Time // when the sender last learned, before it sent the call, that the target was warm
	coldAllowed bool       // the sender had the right to use cold targets
	reported    bool       // the sender received the event that ends the call
}

func (t *fakeTarget) capacity() int {
	if t.cold {
		return 1
	}
	return t.conf.Slots
}

func (t *fakeTarget) state() message.TargetState {
	switch {
	case t.draining:
		return message.TargetDraining
	case t.cold:
		return message.TargetCold
	}
	return message.TargetWarm
}

func (p *proc) callTarget(cmd node.CallTarget) {
	c := &call{CallTarget: cmd, p: p, sentAt: p.sim.now}
	p.calls[cmd.Call] = c
	i := slices.IndexFunc(p.sim.targets, func(t *fakeTarget) bool { return t.conf.Address == cmd.Address })
	if i < 0 {
		c.fail(0, dispatch.FailureNotSent)
		return
	}
	c.t = p.sim.targets[i]
	p.sim.oracle.callSent(c)
	p.sim.after(c.Deadline.Sub(p.sim.now)+answerMargin, func() {
		if !c.reported {
			delete(c.t.silent, p) // the connection is closed, so the next call opens a new one
			c.t.disconnect(p)
		}
		c.fail(0, dispatch.FailureTimeout)
	})
	p.sim.after(p.sim.randomMS(1, 4), func() { c.t.arrive(c) })
}

func (p *proc) cancelTarget(id node.TargetCallID) {
	c := p.calls[id]
	if c == nil || c.t == nil {
		return
	}
	p.sim.after(p.sim.randomMS(1, 4), func() {
		if c.t.end(c) && !c.t.silent[p] {
			c.fail(p.sim.randomMS(1, 4), dispatch.FailureEnded)
		}
	})
}

// fail reports the end of a call without an answer after d.
func (c *call) fail(d clock.Duration, f dispatch.Failure) {
	at := c.p.sim.now
	c.report(d, func() node.Event {
		if f == dispatch.FailureLost || f == dispatch.FailureNotSent {
			c.p.sim.oracle.callEnded(c, message.TargetCold, at)
		}
		return node.TargetFailed{Call: c.Call, Failure: f}
	})
}

// answer reports an answer, unless it is lost because the connection is silent.
func (c *call) answer(a dispatch.Answer) {
	t, at := c.t, c.p.sim.now
	if t.silent[c.p] {
		return
	}
	a.State, a.Capacity = t.state(), t.capacity()
	if t.draining {
		a.Capacity = 0
	}
	c.report(t.sim.randomMS(1, 4), func() node.Event {
		t.sim.oracle.callEnded(c, a.State, at)
		return node.TargetAnswered{Call: c.Call, Answer: a}
	})
}

func (c *call) report(d clock.Duration, e func() node.Event) {
	c.p.sim.after(d, func() {
		if !c.reported && c.p.up {
			c.reported = true
			delete(c.p.calls, c.Call)
			c.p.deliver(e())
		}
	})
}

// connect reports the first connection of the process to the target.
func (t *fakeTarget) connect(p *proc) {
	if !p.connected[t] {
		p.connected[t] = true
		p.post(1, node.TargetConnected{Address: t.conf.Address})
	}
}

// disconnect closes the connections of a process to the target.
func (t *fakeTarget) disconnect(p *proc) {
	if p.connected[t] {
		delete(p.connected, t)
		at := t.sim.now
		t.sim.after(t.sim.randomMS(1, 3), func() {
			t.sim.oracle.recordTargetState(p, t.conf.ID, message.TargetUnknown, at)
			p.deliver(node.TargetDisconnected{Address: t.conf.Address})
		})
	}
}

func (t *fakeTarget) arrive(c *call) {
	if t.up && !t.unreachable && !t.silent[c.p] {
		t.connect(c.p)
	}
	switch sim := t.sim; {
	case t.unreachable:
		c.fail(dialFailure, dispatch.FailureNotSent)
	case !t.up:
		c.fail(1, dispatch.FailureNotSent)
	case t.silent[c.p]:
	case sim.now > c.StartBy || sim.now >= c.Deadline:
		c.answer(dispatch.Answer{Status: dispatch.AnswerLate})
	case t.draining:
		c.answer(dispatch.Answer{Status: dispatch.AnswerDraining})
	case t.shedNext > 0:
		t.shedNext--
		c.answer(dispatch.Answer{Status: dispatch.AnswerShed, RetryAfter: clock.Duration(sim.rand.IntN(3) * 40)})
	case !slices.Contains(t.snapshots, c.Snapshot):
		c.answer(t.snapshotGone(c)) // runs nothing
	case len(t.running) >= t.capacity():
		sim.oracle.checkOverload(c)
		if t.cold {
			t.crash()
			c.fail(1, dispatch.FailureLost)
			return
		}
		c.answer(dispatch.Answer{Status: dispatch.AnswerShed})
	default:
		t.start(c)
	}
}

func (t *fakeTarget) start(c *call) {
	sim := t.sim
	sim.oracle.checkCallStart(c)
	t.running = append(t.running, c)
	takes := sim.randomMS(5, 20)
	switch {
	case t.stallNext > 0:
		t.stallNext--
		takes = sim.randomMS(200, 1500)
	case t.slow && sim.oneIn(2):
		takes = sim.randomMS(200, 3000)
	case t.cold:
		takes = sim.randomMS(20, 60)
	}
	if slices.ContainsFunc(c.Items, func(i dispatch.Item) bool { return i.Query == poison }) {
		sim.after(sim.randomMS(1, 5), func() {
			if slices.Contains(t.running, c) {
				sim.oracle.checkCrash(c)
				t.crash()
			}
		})
		return
	}
	if sim.now.Add(takes) >= c.Deadline {
		sim.after(c.Deadline.Sub(sim.now), func() {
			if t.end(c) && !t.silent[c.p] {
				c.fail(sim.randomMS(1, 4), dispatch.FailureEnded)
			}
		})
		return
	}
	sim.after(takes, func() { t.finish(c) })
}

// end removes a call from the running ones. It reports whether the call was
// running.
func (t *fakeTarget) end(c *call) bool {
	if !slices.Contains(t.running, c) {
		return false
	}
	t.running = slices.DeleteFunc(t.running, func(o *call) bool { return o == c })
	return true
}

func (t *fakeTarget) finish(c *call) {
	if !t.end(c) {
		return
	}
	t.answered++
	if t.cold && t.answered >= warmAfter {
		t.cold = false
	}
	if t.loseNextAnswers > 0 {
		t.loseNextAnswers--
		c.fail(1, dispatch.FailureLost)
		return
	}
	a := dispatch.Answer{Status: dispatch.AnswerOK}
	for _, item := range c.Items {
		if t.mixNextAnswers > 0 {
			t.mixNextAnswers--
			other := item
			other.Workspace = map[topology.WorkspaceID]topology.WorkspaceID{"a": "b", "b": "a"}[item.Workspace]
			a.Items = append(a.Items, t.answerItem(c, other))
		}
		a.Items = append(a.Items, t.answerItem(c, item))
	}
	c.answer(a)
}

func (t *fakeTarget) answerItem(c *call, item dispatch.Item) dispatch.ItemAnswer {
	a := dispatch.ItemAnswer{ID: item.ID, Workspace: item.Workspace, Snapshot: c.Snapshot, Status: dispatch.ItemOK}
	for _, shard := range item.Shards {
		hits := hitsOf(item.Workspace, c.Snapshot, shard, item.Query)
		if c.Once {
			hits = []message.Hit{{ID: receipt(item.Workspace, item.Query)}}
		}
		a.Shards = append(a.Shards, message.ShardAnswer{Shard: shard, Hits: hits})
	}
	return a
}

// snapshotGone returns the answer to a call for a snapshot that the target does not
// have.
func (t *fakeTarget) snapshotGone(c *call) dispatch.Answer {
	a := dispatch.Answer{Status: dispatch.AnswerOK}
	for _, item := range c.Items {
		a.Items = append(a.Items, dispatch.ItemAnswer{
			ID: item.ID, Workspace: item.Workspace, Snapshot: c.Snapshot, Status: dispatch.ItemSnapshotGone, Snapshots: slices.Clone(t.snapshots),
		})
	}
	return a
}

func receipt(workspace topology.WorkspaceID, payload string) string {
	return "receipt " + string(workspace) + " " + payload
}

// crash crashes the target. All running calls are lost, and the target is cold
// after its restart.
func (t *fakeTarget) crash() {
	if !t.up {
		return
	}
	t.up = false
	t.turnCold()
	running := t.running
	t.running = nil
	for _, c := range running {
		if !t.silent[c.p] && !t.unreachable {
			c.fail(1, dispatch.FailureLost)
		}
	}
	for _, p := range t.sim.procs {
		if !t.silent[p] && !t.unreachable {
			t.disconnect(p)
		}
	}
	clear(t.silent)
	t.sim.after(t.sim.randomMS(300, 2000), func() { t.up = true })
}

func (t *fakeTarget) turnCold() { t.cold, t.coldAt, t.answered = true, t.sim.now, 0 }

package quarantine_test

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object/objecttest"
	q "knapweedstall/core/quarantine"
	"knapweedstall/core/topology"
)

func TestMain(m *testing.M) { os.Exit(objecttest.Main(m, 3000)) }

// node is one instance of the simulated tier.
type node struct {
	*q.Coordinator
	ref        topology.InstanceRef
	memberView int         // index into simulation.memberLists
	calls      []q.Command // outstanding store calls
}

type packet struct {
	from, to topology.InstanceRef
	body     message.Body
}

// runningCanary is a canary on a target. It continues when its coordinator is
// lost.
type runningCanary struct {
	coordinator topology.InstanceRef
	q.RunCanary
}

// request is a sub-request that was sent to a coordinator.
type request struct {
	sub         message.SubRequest
	deadline    clock.Time
	coordinator *node
	issued      bool
	verdict     *message.CanaryVerdict
}

// simulation is a model of the tier: instances, their messages, the store and the
// targets.
type simulation struct {
	now         clock.Time
	store       *objecttest.Store
	nodes       []*node
	memberLists [][]topology.Member // true member lists, oldest first; the views of the nodes may lag behind
	started     topology.Incarnation
	packets     []packet
	canaries    []runningCanary
	requests    map[message.SubID]*request
	crashes     []clock.Time // of the crashing fingerprint
	passed      map[topology.SnapshotID]bool
	losses      int // lost instances; each may leave a canary whose result no instance knows
	seq         uint64
}

var (
	crashing = q.Fingerprint("acme", "dockdesk", message.KindSearch, "bad")
	harmless = q.Fingerprint("acme", "dockdesk", message.KindSearch, "good")
)

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{now: 1, store: objecttest.NewStore(), requests: map[message.SubID]*request{}, passed: map[topology.SnapshotID]bool{}}
	for range 4 {
		sim.start()
	}
	for _, n := range sim.nodes {
		sim.updateView(t, n)
	}
	return sim
}

func (sim *simulation) start() *node {
	sim.started++
	ref := topology.InstanceRef{ID: topology.InstanceID(fmt.Sprintf("i%d", sim.started)), Incarnation: sim.started}
	n := &node{Coordinator: q.NewCoordinator(ref), ref: ref, memberView: -1}
	sim.nodes = append(sim.nodes, n)
	sim.appendMemberList()
	return n
}

func (sim *simulation) appendMemberList() {
	var members []topology.Member
	for _, n := range sim.nodes {
		members = append(members, topology.Member{Ref: n.ref})
	}
	sim.memberLists = append(sim.memberLists, members)
}

func (sim *simulation) updateView(t *rapid.T, n *node) {
	n.memberView = len(sim.memberLists) - 1
	sim.handle(t, n, n.SetMembers(sim.now, sim.memberLists[n.memberView]))
}

func (sim *simulation) node(ref topology.InstanceRef) *node {
	i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.ref == ref })
	if i < 0 {
		return nil
	}
	return sim.nodes[i]
}

func (sim *simulation) handle(t *rapid.T, n *node, commands []q.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case q.Send:
			if v, ok := c.Body.(message.CanaryVerdict); ok {
				sim.checkVerdict(t, v)
				continue
			}
			sim.packets = append(sim.packets, packet{n.ref, c.To, c.Body})
		case q.RunCanary:
			sim.checkCanary(t, n, c)
		default:
			n.calls = append(n.calls, c)
		}
	}
}

// serveCall completes the oldest outstanding store call of an instance.
func (sim *simulation) serveCall(t *rapid.T) {
	n := rapid.SampledFrom(sim.nodes).Draw(t, "caller")
	if len(n.calls) == 0 {
		t.Skip("no call")
	}
	call := n.calls[0]
	n.calls = n.calls[1:]
	fault := rapid.SampledFrom(objecttest.Faults).Draw(t, "fault")
	switch c := call.(type) {
	case q.ReadObject:
		sim.handle(t, n, n.ReadDone(sim.now, sim.store.Read(c.Key, fault)))
	case q.WriteObject:
		sim.handle(t, n, n.WriteDone(sim.now, sim.store.Write(c.Key, c.Expect, c.Value, fault)))
	}
}

func (sim *simulation) checkCanary(t *rapid.T, n *node, c q.RunCanary) {
	for _, other := range sim.canaries {
		if other.Sub.Fingerprint == c.Sub.Fingerprint {
			t.Fatalf("%v starts a canary while one of %v is running", n.ref, other.coordinator)
		}
	}
	r := sim.requests[c.Sub.ID]
	if r.issued || r.verdict != nil || c.Deadline > r.deadline {
		t.Fatalf("%v run twice, after its verdict or beyond its deadline", c.Sub.ID)
	}
	r.issued = true
	sim.canaries = append(sim.canaries, runningCanary{n.ref, c})
}

func (sim *simulation) checkVerdict(t *rapid.T, v message.CanaryVerdict) {
	r := sim.requests[v.ID]
	if r.verdict != nil {
		t.Fatalf("%v got two verdicts", v.ID)
	}
	r.verdict = &v
	isCrashing := r.sub.Fingerprint == crashing
	switch {
	case v.Verdict == message.VerdictNotRun && r.issued:
		t.Fatalf("%v reported as not run, but it ran", v.ID)
	case v.Verdict == message.VerdictPassed && (isCrashing || !sim.passed[r.sub.Snapshot] || r.sub.Kind == message.KindRun):
		t.Fatalf("%v passed without a passed canary on its snapshot", v.ID)
	case v.Verdict == message.VerdictQuarantined && !isCrashing && sim.losses < 2:
		t.Fatalf("harmless request refused after %d lost instances", sim.losses)
	}
}

func (sim *simulation) sendRequest(t *rapid.T) {
	n := rapid.SampledFrom(sim.nodes).Draw(t, "entry")
	sim.seq++
	sub := message.SubRequest{
		ID:          message.SubID{Request: message.RequestID{Entry: n.ref, Seq: sim.seq}},
		Kind:        rapid.SampledFrom([]message.Kind{message.KindSearch, message.KindSearch, message.KindRun}).Draw(t, "kind"),
		Fingerprint: rapid.SampledFrom([]message.Fingerprint{crashing, crashing, harmless}).Draw(t, "fingerprint"),
		Snapshot:    rapid.SampledFrom([]topology.SnapshotID{"s1", "s2"}).Draw(t, "snapshot"),
		RemainingMS: clock.Duration(rapid.SampledFrom([]int{60, 1000, 5000}).Draw(t, "remaining")),
	}
	var refs []topology.InstanceRef
	for _, m := range sim.memberLists[n.memberView] {
		refs = append(refs, m.Ref)
	}
	coordinator := sim.node(q.Rank(sub.Fingerprint, refs)[0])
	if coordinator == nil {
		t.Skip("the entry does not know that the coordinator is lost")
	}
	sim.requests[sub.ID] = &request{sub: sub, deadline: sim.now.Add(sub.RemainingMS), coordinator: coordinator}
	sim.handle(t, coordinator, coordinator.Receive(sim.now, n.ref, message.CanaryRequest{Sub: sub}))
}

// deliver delivers the oldest packet between two instances, or drops it. Only
// CanaryEnd and NoticeAck are dropped; the records sent after a membership change
// are not.
func (sim *simulation) deliver(t *rapid.T) {
	if len(sim.packets) == 0 {
		t.Skip("no packet")
	}
	p := rapid.SampledFrom(sim.packets).Draw(t, "packet")
	i := slices.IndexFunc(sim.packets, func(x packet) bool { return x.from == p.from && x.to == p.to })
	p = sim.packets[i]
	sim.packets = slices.Delete(sim.packets, i, i+1)
	to := sim.node(p.to)
	if to == nil {
		return
	}
	_, isEnd := p.body.(message.CanaryEnd)
	_, isAck := p.body.(message.NoticeAck)
	if (isEnd || isAck) && rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		return
	}
	sim.handle(t, to, to.Receive(sim.now, p.from, p.body))
}

// finishCanary ends the i-th running canary. The crashing request crashes most targets.
func (sim *simulation) finishCanary(t *rapid.T, i int) {
	c := sim.canaries[i]
	sim.canaries = slices.Delete(sim.canaries, i, i+1)
	r := message.SubReply{ID: c.Sub.ID, Snapshot: c.Sub.Snapshot, Status: message.StatusOK}
	switch {
	case c.Sub.Fingerprint == harmless:
		sim.passed[c.Sub.Snapshot] = true
	case rapid.IntRange(0, 4).Draw(t, "harmless") > 0:
		r.Status = message.StatusCrashed
		sim.crashes = append(sim.crashes, sim.now)
	default:
		r.Status = message.StatusFailed
	}
	if n := len(sim.crashes); n > 2 && sim.crashes[n-1].Sub(sim.crashes[n-3]) < clock.Hour {
		t.Fatalf("the request crashed 3 targets within %d ms", sim.crashes[n-1].Sub(sim.crashes[n-3]))
	}
	if n := sim.node(c.coordinator); n != nil {
		sim.handle(t, n, n.CanaryDone(sim.now, c.Sub.Fingerprint, c.Seq, r))
	}
}

func (sim *simulation) finishAnyCanary(t *rapid.T) {
	if len(sim.canaries) == 0 {
		t.Skip("no canary")
	}
	sim.finishCanary(t, rapid.IntRange(0, len(sim.canaries)-1).Draw(t, "canary"))
}

// tick advances the clock. Packets arrive before the timeout of an
// acknowledgement, and targets keep their deadlines.
func (sim *simulation) tick(t *rapid.T) {
	sim.advance(t, rapid.SampledFrom([]clock.Duration{5, 30, 120, 3100, clock.Hour / 2}).Draw(t, "ms"))
}

func (sim *simulation) advance(t *rapid.T, step clock.Duration) {
	for step > 100 && len(sim.packets) > 0 {
		sim.deliver(t)
	}
	for _, n := range sim.nodes {
		if step > 10*clock.Second && n.memberView != len(sim.memberLists)-1 {
			sim.updateView(t, n) // member lists do not lag that long
		}
	}
	for i := len(sim.canaries) - 1; i >= 0; i-- {
		if sim.canaries[i].Deadline < sim.now.Add(step) {
			sim.finishCanary(t, i)
		}
	}
	sim.now = sim.now.Add(step)
	for _, n := range slices.Clone(sim.nodes) {
		sim.handle(t, n, n.Tick(sim.now))
	}
}

// changeMembers starts an instance or removes one, when all instances know of the
// previous change.
func (sim *simulation) changeMembers(t *rapid.T) {
	for _, n := range sim.nodes {
		if n.memberView != len(sim.memberLists)-1 {
			t.Skip("views differ")
		}
	}
	for len(sim.packets) > 0 {
		sim.deliver(t)
	}
	if len(sim.nodes) < 4 || len(sim.nodes) < 6 && rapid.Bool().Draw(t, "join") {
		sim.updateView(t, sim.start())
		return
	}
	i := rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "lost")
	sim.nodes = slices.Delete(sim.nodes, i, i+1)
	sim.losses++
	sim.appendMemberList()
}

func (sim *simulation) updateAnyView(t *rapid.T) {
	sim.updateView(t, rapid.SampledFrom(sim.nodes).Draw(t, "node"))
}

// TestAtMostTwoCrashes guards against a third crash of one request, two canaries of
// a request at the same time, a harmless request that is refused, and a false "not
// run", across changes of the coordinator, lagging member lists, lost messages and
// store faults.
func TestAtMostTwoCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"canaryRequest":  sim.sendRequest,
			"canaryRequest2": sim.sendRequest,
			"deliver":        sim.deliver,
			"deliver2":       sim.deliver,
			"deliver3":       sim.deliver,
			"deliver4":       sim.deliver,
			"finishCanary":   sim.finishAnyCanary,
			"finishCanary2":  sim.finishAnyCanary,
			"tick":           sim.tick,
			"changeMembers":  sim.changeMembers,
			"serveCall":      sim.serveCall,
			"serveCall2":     sim.serveCall,
			"serveCall3":     sim.serveCall,
			"updateView":     sim.updateAnyView,
			"updateView2":    sim.updateAnyView,
			"store":          func(*rapid.T) { sim.store.Down = !sim.store.Down },
		})
		for id, r := range sim.requests {
			if wake := r.coordinator.NextWake(); r.verdict == nil && slices.Contains(sim.nodes, r.coordinator) && (wake == 0 || wake > r.deadline+clock.Time(clock.Second)) {
				t.Fatalf("%v waits until %d, but the next tick is at %d", id, r.deadline, wake)
			}
		}
		for range 4 {
			sim.advance(t, 3100)
		}
		for id, r := range sim.requests {
			if r.verdict == nil && slices.Contains(sim.nodes, r.coordinator) {
				t.Fatalf("%v has no verdict after its deadline", id)
			}
		}
	})
}

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

type node struct {
	*q.Coordinator
	ref   topology.InstanceRef
	view  int         // index into tier.history
	calls []q.Command // outstanding store calls
}

type packet struct {
	from, to topology.InstanceRef
	body     message.Body
}

// canary outlives the keeper that ordered it.
type canary struct {
	keeper topology.InstanceRef
	q.RunCanary
}

type ask struct {
	sub      message.SubRequest
	deadline clock.Time
	keeper   *node
	handed   bool
	verdict  *message.CanaryVerdict
}

type tier struct {
	now      clock.Time
	store    *objecttest.Store
	nodes    []*node
	history  [][]topology.Member // true member lists; views lag behind the last
	started  topology.Incarnation
	net      []packet
	canaries []canary
	asks     map[message.SubID]*ask
	crashes  []clock.Time // of the crashing fingerprint
	passed   map[topology.SnapshotID]bool
	losses   int // lost instances; each may leave a canary whose result nobody knows
	seq      uint64
}

var (
	bad  = q.Fingerprint("acme", "dockdesk", message.KindSearch, "bad")
	good = q.Fingerprint("acme", "dockdesk", message.KindSearch, "good")
)

func newTier(t *rapid.T) *tier {
	w := &tier{now: 1, store: objecttest.NewStore(), asks: map[message.SubID]*ask{}, passed: map[topology.SnapshotID]bool{}}
	for range 4 {
		w.start()
	}
	for _, n := range w.nodes {
		w.learn(t, n)
	}
	return w
}

func (w *tier) start() *node {
	w.started++
	ref := topology.InstanceRef{ID: topology.InstanceID(fmt.Sprintf("i%d", w.started)), Incarnation: w.started}
	n := &node{Coordinator: q.NewCoordinator(ref), ref: ref, view: -1}
	w.nodes = append(w.nodes, n)
	w.changed()
	return n
}

func (w *tier) changed() {
	var members []topology.Member
	for _, n := range w.nodes {
		members = append(members, topology.Member{Ref: n.ref})
	}
	w.history = append(w.history, members)
}

func (w *tier) learn(t *rapid.T, n *node) {
	n.view = len(w.history) - 1
	w.handle(t, n, n.SetMembers(w.now, w.history[n.view]))
}

func (w *tier) node(ref topology.InstanceRef) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.ref == ref })
	if i < 0 {
		return nil
	}
	return w.nodes[i]
}

func (w *tier) handle(t *rapid.T, n *node, commands []q.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case q.Send:
			if v, ok := c.Body.(message.CanaryVerdict); ok {
				w.judge(t, v)
				continue
			}
			w.net = append(w.net, packet{n.ref, c.To, c.Body})
		case q.RunCanary:
			w.handOut(t, n, c)
		default:
			n.calls = append(n.calls, c)
		}
	}
}

// settle completes the oldest outstanding store call of an instance.
func (w *tier) settle(t *rapid.T) {
	n := rapid.SampledFrom(w.nodes).Draw(t, "caller")
	if len(n.calls) == 0 {
		t.Skip("no call")
	}
	call := n.calls[0]
	n.calls = n.calls[1:]
	fault := rapid.SampledFrom(objecttest.Faults).Draw(t, "fault")
	switch c := call.(type) {
	case q.ReadObject:
		w.handle(t, n, n.ReadDone(w.now, w.store.Read(c.Key, fault)))
	case q.WriteObject:
		w.handle(t, n, n.WriteDone(w.now, w.store.Write(c.Key, c.Expect, c.Value, fault)))
	}
}

func (w *tier) handOut(t *rapid.T, n *node, c q.RunCanary) {
	for _, other := range w.canaries {
		if other.Sub.Fingerprint == c.Sub.Fingerprint {
			t.Fatalf("%v runs a canary while %v runs one", n.ref, other.keeper)
		}
	}
	a := w.asks[c.Sub.ID]
	if a.handed || a.verdict != nil || c.Deadline > a.deadline {
		t.Fatalf("%v handed out twice, after its verdict or beyond its deadline", c.Sub.ID)
	}
	a.handed = true
	w.canaries = append(w.canaries, canary{n.ref, c})
}

func (w *tier) judge(t *rapid.T, v message.CanaryVerdict) {
	a := w.asks[v.ID]
	if a.verdict != nil {
		t.Fatalf("%v got two verdicts", v.ID)
	}
	a.verdict = &v
	isBad := a.sub.Fingerprint == bad
	switch {
	case v.Verdict == message.VerdictNotRun && a.handed:
		t.Fatalf("%v reported as not run, and it ran", v.ID)
	case v.Verdict == message.VerdictPassed && (isBad || !w.passed[a.sub.Snapshot] || a.sub.Kind == message.KindRun):
		t.Fatalf("%v passed without a passed canary on its snapshot", v.ID)
	case v.Verdict == message.VerdictQuarantined && !isBad && w.losses < 2:
		t.Fatalf("harmless request refused after %d losses", w.losses)
	}
}

func (w *tier) ask(t *rapid.T) {
	n := rapid.SampledFrom(w.nodes).Draw(t, "entry")
	w.seq++
	sub := message.SubRequest{
		ID:          message.SubID{Request: message.RequestID{Entry: n.ref, Seq: w.seq}},
		Kind:        rapid.SampledFrom([]message.Kind{message.KindSearch, message.KindSearch, message.KindRun}).Draw(t, "kind"),
		Fingerprint: rapid.SampledFrom([]message.Fingerprint{bad, bad, good}).Draw(t, "fingerprint"),
		Snapshot:    rapid.SampledFrom([]topology.SnapshotID{"s1", "s2"}).Draw(t, "snapshot"),
		RemainingMS: clock.Duration(rapid.SampledFrom([]int{60, 1000, 5000}).Draw(t, "remaining")),
	}
	var refs []topology.InstanceRef
	for _, m := range w.history[n.view] {
		refs = append(refs, m.Ref)
	}
	keeper := w.node(q.Rank(sub.Fingerprint, refs)[0])
	if keeper == nil {
		t.Skip("the entry does not know yet that the keeper is lost")
	}
	w.asks[sub.ID] = &ask{sub: sub, deadline: w.now.Add(sub.RemainingMS), keeper: keeper}
	w.handle(t, keeper, keeper.Receive(w.now, n.ref, message.CanaryRequest{Sub: sub}))
}

// deliver hands over the oldest packet between two instances, or loses it.
// Charges that are handed over after a change of membership are not lost.
func (w *tier) deliver(t *rapid.T) {
	if len(w.net) == 0 {
		t.Skip("nothing under way")
	}
	p := rapid.SampledFrom(w.net).Draw(t, "packet")
	i := slices.IndexFunc(w.net, func(x packet) bool { return x.from == p.from && x.to == p.to })
	p = w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	to := w.node(p.to)
	if to == nil {
		return
	}
	_, isEnd := p.body.(message.CanaryEnd)
	_, isAck := p.body.(message.NoticeAck)
	if (isEnd || isAck) && rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		return
	}
	w.handle(t, to, to.Receive(w.now, p.from, p.body))
}

// finishCanary ends the i-th canary. The crashing request crashes most targets.
func (w *tier) finishCanary(t *rapid.T, i int) {
	c := w.canaries[i]
	w.canaries = slices.Delete(w.canaries, i, i+1)
	r := message.SubReply{ID: c.Sub.ID, Snapshot: c.Sub.Snapshot, Status: message.StatusOK}
	switch {
	case c.Sub.Fingerprint == good:
		w.passed[c.Sub.Snapshot] = true
	case rapid.IntRange(0, 4).Draw(t, "harmless") > 0:
		r.Status = message.StatusCrashed
		w.crashes = append(w.crashes, w.now)
	default:
		r.Status = message.StatusFailed
	}
	if n := len(w.crashes); n > 2 && w.crashes[n-1].Sub(w.crashes[n-3]) < clock.Hour {
		t.Fatalf("the request crashed 3 targets within %d ms", w.crashes[n-1].Sub(w.crashes[n-3]))
	}
	if n := w.node(c.keeper); n != nil {
		w.handle(t, n, n.CanaryDone(w.now, c.Sub.Fingerprint, c.Seq, r))
	}
}

func (w *tier) run(t *rapid.T) {
	if len(w.canaries) == 0 {
		t.Skip("no canary")
	}
	w.finishCanary(t, rapid.IntRange(0, len(w.canaries)-1).Draw(t, "canary"))
}

// tick moves the clock. Packets arrive before the time of an acknowledgement
// is over, and targets keep their deadlines.
func (w *tier) tick(t *rapid.T) {
	w.advance(t, rapid.SampledFrom([]clock.Duration{5, 30, 120, 3100, clock.Hour / 2}).Draw(t, "ms"))
}

func (w *tier) advance(t *rapid.T, step clock.Duration) {
	for step > 100 && len(w.net) > 0 {
		w.deliver(t)
	}
	for _, n := range w.nodes {
		if step > 10*clock.Second && n.view != len(w.history)-1 {
			w.learn(t, n) // member lists do not lag that long
		}
	}
	for i := len(w.canaries) - 1; i >= 0; i-- {
		if w.canaries[i].Deadline < w.now.Add(step) {
			w.finishCanary(t, i)
		}
	}
	w.now = w.now.Add(step)
	for _, n := range slices.Clone(w.nodes) {
		w.handle(t, n, n.Tick(w.now))
	}
}

// change lets an instance start, or lose its memory, once everyone knows of the
// change before.
func (w *tier) change(t *rapid.T) {
	for _, n := range w.nodes {
		if n.view != len(w.history)-1 {
			t.Skip("views differ")
		}
	}
	for len(w.net) > 0 {
		w.deliver(t)
	}
	if len(w.nodes) < 4 || len(w.nodes) < 6 && rapid.Bool().Draw(t, "join") {
		w.learn(t, w.start())
		return
	}
	i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "lost")
	w.nodes = slices.Delete(w.nodes, i, i+1)
	w.losses++
	w.changed()
}

func (w *tier) view(t *rapid.T) {
	w.learn(t, rapid.SampledFrom(w.nodes).Draw(t, "node"))
}

// Guards against a third crash of one request, two canaries of a request at the
// same time, a harmless request that is refused, and a false "not run", across
// changes of the keeper, lagging member lists, lost messages and store faults.
func TestAtMostTwoCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTier(t)
		t.Repeat(map[string]func(*rapid.T){
			"ask":      w.ask,
			"ask2":     w.ask,
			"deliver":  w.deliver,
			"deliver2": w.deliver,
			"deliver3": w.deliver,
			"deliver4": w.deliver,
			"run":      w.run,
			"run2":     w.run,
			"tick":     w.tick,
			"change":   w.change,
			"settle":   w.settle,
			"settle2":  w.settle,
			"settle3":  w.settle,
			"view":     w.view,
			"view2":    w.view,
			"store":    func(*rapid.T) { w.store.Down = !w.store.Down },
		})
		for id, a := range w.asks {
			if wake := a.keeper.NextWake(); a.verdict == nil && slices.Contains(w.nodes, a.keeper) && (wake == 0 || wake > a.deadline+clock.Time(clock.Second)) {
				t.Fatalf("%v waits until %d, but the next tick is at %d", id, a.deadline, wake)
			}
		}
		for range 4 {
			w.advance(t, 3100)
		}
		for id, a := range w.asks {
			if a.verdict == nil && slices.Contains(w.nodes, a.keeper) {
				t.Fatalf("%v waits after its deadline", id)
			}
		}
	})
}

package node_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"knapweedstall/core/clock"
	"knapweedstall/core/node"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
)

// recoveryLimit is what the tier may take after the last fault until every
// query is complete: a target that drained gets nothing new for 30 s, and
// shares move within 10 s.
const recoveryLimit = 40 * clock.Second

// action is one step of a case, written "name.a.b.wait".
type action struct {
	name string
	a, b int
	wait clock.Duration // after the action
}

func (a action) String() string { return fmt.Sprint(a.name, ".", a.a, ".", a.b, ".", int64(a.wait)) }

// parse reads a case as a failing test prints it.
func parse(text string) (list []action) {
	for _, word := range strings.Fields(text) {
		var a action
		f := strings.SplitN(word, ".", 2)
		a.name = f[0]
		if _, err := fmt.Sscanf(f[1], "%d.%d.%d", &a.a, &a.b, &a.wait); err != nil {
			panic(word + ": " + err.Error())
		}
		list = append(list, a)
	}
	return list
}

func format(list []action) string {
	words := make([]string, len(list))
	for i, a := range list {
		words[i] = a.String()
	}
	return strings.Join(words, " ")
}

var actionNames = slices.Concat(slices.Sorted(maps.Keys(actions)),
	[]string{"search", "search", "search", "search", "search", "burst", "burst", "run", "run", "run", "again", "again", "again", "wait", "wait"})

func drawAction(t *rapid.T) action {
	return action{
		name: rapid.SampledFrom(actionNames).Draw(t, "name"),
		a:    rapid.IntRange(0, 5).Draw(t, "a"),
		b:    rapid.IntRange(0, 11).Draw(t, "b"),
		wait: rapid.SampledFrom([]clock.Duration{0, 0, 0, 1, 5, 30, 200, 600, 1700, 3500, 6000}).Draw(t, "wait"),
	}
}

// actions are what can happen. Parameters out of range wrap around.
var actions = map[string]func(w *world, a, b int){
	"wait":   func(*world, int, int) {},
	"search": func(w *world, a, b int) { w.search(a, b, fmt.Sprint("q", w.calls)) },
	"burst": func(w *world, a, b int) {
		for i := range 6 {
			w.search(a+i, b+i/3, fmt.Sprint("q", w.calls))
		}
	},
	"poison": func(w *world, a, b int) { w.search(a, b, poison) },
	"run":    func(w *world, a, b int) { w.keys++; w.submit(a, b, w.keys) },
	"again":  func(w *world, a, b int) { w.submit(a, b, max(0, w.keys-b/4)) },
	"gone":   (*world).gone,
	"orphan": (*world).orphan,

	"zoneOut":  func(w *world, a, b int) { w.file(a, 0, zoneChange(b, ticket.ZoneOut)) },
	"zoneIn":   func(w *world, a, b int) { w.file(a, 0, zoneChange(b, ticket.ZoneIn)) },
	"leave":    func(w *world, a, b int) { w.file(a, 0, w.leaveChange(w.target(b).conf.ID)) },
	"stay":     func(w *world, a, _ int) { w.file(a, 0, w.leaveChange("")) },
	"snapshot": (*world).newSnapshot,
	"retire":   (*world).retireSnapshot,
	"conflict": func(w *world, a, b int) {
		n := w.oracle.log.Number() + 1
		w.file(a, n, zoneChange(b, ticket.ZoneOut))
		w.file(a+1, n, zoneChange(b+1, ticket.ZoneOut))
		w.file(a+2, 0, w.leaveChange(w.target(b).conf.ID))
	},

	"storeDown":  func(w *world, _, b int) { w.platform.down = b%3 != 0; w.oracle.disturbed() },
	"storeSlow":  func(w *world, _, b int) { w.platform.slow = b%2 != 0; w.oracle.disturbed() },
	"storeLoses": func(w *world, _, b int) { w.platform.losing = b%2 != 0 },
	"storeCut":   func(w *world, a, b int) { w.platform.cut[w.proc(a).slot] = b%3 != 0; w.oracle.disturbed() },
	"listLags":   func(w *world, _, b int) { w.platform.lag = clock.Duration(b) * clock.Second },
	"cut":        func(w *world, a, b int) { w.cutPair(a, b, true) },
	"join":       func(w *world, a, b int) { w.cutPair(a, b, false) },
	"isolate":    func(w *world, a, b int) { w.isolate(a, b%3 != 0) },
	"silence":    (*world).silence,

	"cold": func(w *world, a, _ int) { w.target(a).turnCold() },
	"warm": func(w *world, _, _ int) {
		for _, t := range w.targets {
			t.cold = false
		}
	},
	"crash":   func(w *world, a, _ int) { w.target(a).crash() },
	"drain":   func(w *world, a, b int) { w.target(a).draining = b%2 != 0 },
	"slow":    func(w *world, a, b int) { w.target(a).slow = b%3 != 0 },
	"shed":    func(w *world, a, b int) { w.target(a).shed = b%4 + 1 },
	"lose":    func(w *world, a, b int) { w.target(a).loses = b%3 + 1 },
	"confuse": func(w *world, a, b int) { w.target(a).confuses = b%3 + 1 },
	"mute": func(w *world, a, _ int) {
		for _, p := range w.procs {
			w.target(a).silent[p] = true
		}
	},

	"kill":      func(w *world, a, b int) { w.crashProc(w.proc(a), b) },
	"restart":   func(w *world, a, b int) { w.crashProc(w.proc(a), b); w.revive(a) },
	"start":     func(w *world, a, _ int) { w.revive(a) },
	"stop":      func(w *world, a, _ int) { w.proc(a).stop() },
	"pause":     func(w *world, a, b int) { w.proc(a).pauseNow(clock.Duration(b+1) * 400) },
	"pauseSend": func(w *world, a, b int) { w.proc(a).pauseFor = clock.Duration(b+1) * 400 },
	"zoneLost":  func(w *world, a, _ int) { w.loseZone(a % 3) },
	"zoneBack":  func(w *world, a, _ int) { w.restoreZone(a % 3) },
}

func (w *world) proc(i int) *proc         { return w.procs[i%len(w.procs)] }
func (w *world) target(i int) *fakeTarget { return w.targets[i%len(w.targets)] }

// ask makes a request, unless the machine refuses the connection.
func (w *world) ask(slot int, r request, event func(node.CallID) node.Event) *request {
	p := w.proc(slot)
	if !p.up || w.hostDown[p.slot] {
		return nil
	}
	w.calls++
	r.call, r.p = w.calls, p
	w.oracle.requests[r.call] = &r
	p.deliver(event(r.call))
	return &r
}

// traffic makes requests through all machines until the faults end.
func (w *world) traffic() {
	if w.calm {
		return
	}
	slot := w.rnd.IntN(len(w.procs))
	if p := w.procs[slot]; w.balanced && (!p.node.Ready(w.now) && !p.stopping || p.stopping && w.now.Sub(p.stopAt) > 2000) {
		w.after(w.ms(1, 120), w.traffic)
		return
	}
	switch w.rnd.IntN(8) {
	case 0:
		w.keys++
		w.submit(slot, w.rnd.IntN(4), w.keys)
	case 1:
		w.submit(slot, w.rnd.IntN(4), max(0, w.keys-w.rnd.IntN(3)))
	default:
		w.search(slot, w.rnd.IntN(12), fmt.Sprint("q", w.calls))
	}
	w.after(w.ms(1, 120), w.traffic)
}

func workspaceN(i int) topology.WorkspaceID { return []topology.WorkspaceID{"a", "b"}[i%2] }

func (w *world) search(slot, b int, text string) *request {
	r := request{workspace: workspaceN(b), text: text, limit: []int{50, 3}[b/2%2], deadline: w.now.Add([]clock.Duration{1000, 1000, 400, 2000}[b/4])}
	return w.ask(slot, r, func(c node.CallID) node.Event {
		return node.SearchArrived{Call: c, Workspace: r.workspace, Collection: "c", Query: text, Limit: r.limit, Deadline: r.deadline}
	})
}

// submit makes a run request. Requests with the same n have the same key.
func (w *world) submit(slot, b, n int) {
	text := fmt.Sprint("run", n)
	r := request{workspace: workspaceN(n), text: text, once: true, deadline: w.now.Add([]clock.Duration{1000, 2000, 300, 1500}[b%4])}
	w.ask(slot, r, func(c node.CallID) node.Event {
		return node.RunArrived{Call: c, Workspace: r.workspace, Collection: "c", Key: text, Payload: text, Deadline: r.deadline}
	})
}

// orphan kills an instance while a run request that may have gone through it is
// at a target, and sends the request again through others.
func (w *world) orphan(slot, b int) {
	for _, t := range w.targets {
		t.stalls = 1
	}
	w.keys++
	n := w.keys
	w.submit(slot, 1, n)
	w.after(w.ms(5, 60), func() { w.crashProc(w.proc(slot+1+b%3), 2) })
	for i := range 3 {
		w.after(w.ms(100, 1500), func() { w.submit(slot+2+i, 1, n) })
	}
}

func (w *world) gone(slot, _ int) {
	for c := w.calls; c > 0; c-- {
		if r := w.oracle.requests[c]; r != nil && !r.done && r.p == w.proc(slot) && !r.once && r.ticket == "" {
			r.done, r.gone = true, true
			r.p.deliver(node.CallerDisconnected{Call: c})
			return
		}
	}
}

func (w *world) file(slot int, n ticket.Number, changes ...ticket.Change) *request {
	w.filings++
	t := ticket.Ticket{Number: n, FilingID: ticket.FilingID(fmt.Sprint("f", w.filings)), Operator: ticket.Operator(fmt.Sprint("op", slot)), At: w.unixMS(), Changes: changes}
	r := request{text: string(t.FilingID), ticket: t.FilingID, deadline: w.now.Add(filingLimit)}
	return w.ask(slot, r, func(c node.CallID) node.Event { return node.TicketFiled{Call: c, Ticket: t} })
}

func zoneChange(b int, s ticket.ZoneState) ticket.Change {
	return ticket.Change{Scope: ticket.Scope{Kind: ticket.KindZone, ID: string(zones[b%3])}, Value: ticket.Zone{Region: region, State: s}}
}

func (w *world) leaveChange(id topology.TargetID) ticket.Change {
	return ticket.Change{Scope: ticket.Scope{Kind: ticket.KindCollection, ID: "c"}, Value: ticket.Collection{Collection: w.collection(id)}}
}

func snapshotChange(ids ...int) ticket.Change {
	var list ticket.Snapshots
	for _, n := range ids {
		list = append(list, snapshotN(n))
	}
	return ticket.Change{Scope: ticket.Scope{Kind: ticket.KindSnapshot, ID: "c"}, Value: list}
}

// newSnapshot loads the next snapshot into one target after the other and
// announces it at once.
func (w *world) newSnapshot(slot, _ int) {
	w.snapshot++
	id := snapshotN(w.snapshot).ID
	for _, t := range w.targets {
		w.after(w.ms(0, 2000), func() { t.snapshots = append(t.snapshots, id) })
	}
	w.file(slot, 0, snapshotChange(w.snapshot, w.snapshot-1))
}

// retireSnapshot removes old snapshots from the targets, before or after the
// ticket that says so.
func (w *world) retireSnapshot(slot, b int) {
	for _, t := range w.targets {
		w.after(clock.Duration(b)*200+w.ms(0, 500), func() { t.snapshots = t.snapshots[len(t.snapshots)-1:] })
	}
	w.file(slot, 0, snapshotChange(w.snapshot))
}

func (w *world) cutPair(a, b int, cut bool) {
	if x, y := w.proc(a).slot, w.proc(b).slot; x != y {
		w.setCut(x, y, cut)
	}
}

// isolate cuts a machine off from the others and the store.
func (w *world) isolate(a int, cut bool) {
	p := w.proc(a)
	w.platform.cut[p.slot] = cut
	for _, q := range w.procs {
		w.cutPair(p.slot, q.slot, cut)
	}
	w.oracle.disturbed()
}

// silence makes the open connections of two machines silent for good.
func (w *world) silence(a, b int) {
	want := pair(w.proc(a).slot, w.proc(b).slot)
	for _, c := range slices.Clone(w.conns) {
		if pair(c.ends[0].p.slot, c.ends[1].p.slot) == want {
			c.silent = true
		}
	}
}

func (p *proc) pauseNow(d clock.Duration) {
	if p.up && !p.paused {
		p.pause(d)
	}
}

// crashProc kills a process. The platform notices some time later.
func (w *world) crashProc(p *proc, b int) {
	if p.up {
		p.kill()
		w.after(clock.Duration(b)*300, func() { w.platform.deregister(p) })
	}
}

func (w *world) revive(a int) {
	if p := w.proc(a); !p.up && !w.hostDown[p.slot] {
		w.platform.deregister(p)
		w.start(p.slot)
	}
}

func (w *world) loseZone(z int) {
	for _, p := range w.procs {
		if p.slot%3 == z {
			w.hostDown[p.slot] = true
			w.crashProc(p, 7)
		}
	}
	for _, t := range w.targets {
		if t.conf.Zone == zones[z] {
			t.away = true
			t.crash()
		}
	}
	w.oracle.disturbed()
}

func (w *world) restoreZone(z int) {
	for _, t := range w.targets {
		if t.conf.Zone == zones[z] {
			t.away = false
		}
	}
	for _, p := range w.procs {
		if p.slot%3 == z && w.hostDown[p.slot] {
			w.hostDown[p.slot] = false
			w.revive(p.slot)
		}
	}
	w.flush()
	w.oracle.disturbed()
}

// endFaults ends everything that disturbs the deployment.
func (w *world) endFaults() {
	f := w.platform
	f.down, f.slow, f.losing, f.lag = false, false, false, 0
	clear(f.cut)
	clear(w.cut)
	w.flush()
	for z := range zones {
		w.restoreZone(z)
	}
	for _, t := range w.targets {
		t.draining, t.slow, t.shed, t.loses, t.confuses, t.stalls = false, false, 0, 0, 0, 0
		t.snapshots = []topology.SnapshotID{snapshotN(w.snapshot).ID}
		clear(t.silent)
	}
	for i, p := range w.procs {
		p.pauseFor = 0
		p.resume()
		w.revive(i)
	}
	w.oracle.disturbed()
}

// recover checks that everything is answered completely again in a bounded time
// after the last fault.
func (w *world) recover() {
	w.calm = true
	w.endFaults()
	w.run(16 * clock.Second) // graceful stops have ended
	w.endFaults()
	var restored *request
	for i := 0; w.broken == "" && (restored == nil || w.oracle.filed[restored.ticket] == 0); i++ {
		restored = w.file(i, 0, zoneChange(0, ticket.ZoneIn), zoneChange(1, ticket.ZoneIn), zoneChange(2, ticket.ZoneIn),
			w.leaveChange(""), snapshotChange(w.snapshot))
		w.run(2 * clock.Second)
		if i == 10 {
			w.breaks("recovery: no ticket is accepted in 20 s")
		}
	}
	w.run(recoveryLimit)
	for range 3 {
		before, asked := w.oracle.complete, 0
		for i := range w.procs {
			if w.search(i, 0, fmt.Sprint("q", w.calls)) != nil {
				asked++
			}
			w.run(100)
		}
		w.run(1100)
		if got := w.oracle.complete - before; got != asked || asked != len(w.procs) {
			w.breaks("recovery: %d of %d queries were answered completely", got, len(w.procs))
		}
	}
}

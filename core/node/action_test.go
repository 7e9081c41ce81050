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

// recoveryLimit is the time after the last fault in which the instances must
// recover, so that every query is answered completely: a target that drained gets
// no new calls for 30 s, and shares move within 10 s.
const recoveryLimit = 40 * clock.Second

// action is one step of a case, written "name.first.second.wait". The first and
// second parameters select, for example, a process and a target.
type action struct {
	name          string
	first, second int
	wait          clock.Duration // after the action
}

func (a action) String() string {
	return fmt.Sprint(a.name, ".", a.first, ".", a.second, ".", int64(a.wait))
}

// parseActions parses a case in the form in which a failing test prints it.
func parseActions(text string) (list []action) {
	for _, word := range strings.Fields(text) {
		var a action
		f := strings.SplitN(word, ".", 2)
		a.name = f[0]
		if _, err := fmt.Sscanf(f[1], "%d.%d.%d", &a.first, &a.second, &a.wait); err != nil {
			panic(word + ": " + err.Error())
		}
		list = append(list, a)
	}
	return list
}

func formatActions(list []action) string {
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
		name:   rapid.SampledFrom(actionNames).Draw(t, "name"),
		first:  rapid.IntRange(0, 5).Draw(t, "a"),
		second: rapid.IntRange(0, 11).Draw(t, "b"),
		wait:   rapid.SampledFrom([]clock.Duration{0, 0, 0, 1, 5, 30, 200, 600, 1700, 3500, 6000}).Draw(t, "wait"),
	}
}

// actions are the requests and faults of a case by name. Parameters out of range
// wrap around. The names are part of the regression cases, and their order
// decides which actions a seed draws.
var actions = map[string]func(sim *simulation, a, b int){
	"wait":   func(*simulation, int, int) {},
	"search": func(sim *simulation, a, b int) { sim.search(a, b, fmt.Sprint("q", sim.calls)) },
	"burst": func(sim *simulation, a, b int) {
		for i := range 6 {
			sim.search(a+i, b+i/3, fmt.Sprint("q", sim.calls))
		}
	},
	"poison": func(sim *simulation, a, b int) { sim.search(a, b, poison) },
	"run":    func(sim *simulation, a, b int) { sim.runs++; sim.submitRun(a, b, sim.runs) },
	"again":  func(sim *simulation, a, b int) { sim.submitRun(a, b, max(0, sim.runs-b/4)) },
	"gone":   (*simulation).disconnectCaller,
	"orphan": (*simulation).killDuringRun,

	"zoneOut":  func(sim *simulation, a, b int) { sim.fileTicket(a, 0, zoneChange(b, ticket.ZoneOut)) },
	"zoneIn":   func(sim *simulation, a, b int) { sim.fileTicket(a, 0, zoneChange(b, ticket.ZoneIn)) },
	"leave":    func(sim *simulation, a, b int) { sim.fileTicket(a, 0, sim.leavingChange(sim.target(b).conf.ID)) },
	"stay":     func(sim *simulation, a, _ int) { sim.fileTicket(a, 0, sim.leavingChange("")) },
	"snapshot": (*simulation).newSnapshot,
	"retire":   (*simulation).retireSnapshot,
	"conflict": func(sim *simulation, a, b int) {
		n := sim.oracle.log.Number() + 1
		sim.fileTicket(a, n, zoneChange(b, ticket.ZoneOut))
		sim.fileTicket(a+1, n, zoneChange(b+1, ticket.ZoneOut))
		sim.fileTicket(a+2, 0, sim.leavingChange(sim.target(b).conf.ID))
	},

	"storeDown":  func(sim *simulation, _, b int) { sim.platform.down = b%3 != 0; sim.oracle.updateReachability() },
	"storeSlow":  func(sim *simulation, _, b int) { sim.platform.slow = b%2 != 0; sim.oracle.updateReachability() },
	"storeLoses": func(sim *simulation, _, b int) { sim.platform.losesReplies = b%2 != 0 },
	"storeCut": func(sim *simulation, a, b int) {
		sim.platform.cutOff[sim.proc(a).host] = b%3 != 0
		sim.oracle.updateReachability()
	},
	"listLags": func(sim *simulation, _, b int) { sim.platform.listLag = clock.Duration(b) * clock.Second },
	"cut":      func(sim *simulation, a, b int) { sim.setPairBlocked(a, b, true) },
	"join":     func(sim *simulation, a, b int) { sim.setPairBlocked(a, b, false) },
	"isolate":  func(sim *simulation, a, b int) { sim.isolate(a, b%3 != 0) },
	"silence":  (*simulation).silenceConns,

	"cold": func(sim *simulation, a, _ int) { sim.target(a).turnCold() },
	"warm": func(sim *simulation, _, _ int) {
		for _, t := range sim.targets {
			t.cold = false
		}
	},
	"crash":   func(sim *simulation, a, _ int) { sim.target(a).crash() },
	"drain":   func(sim *simulation, a, b int) { sim.target(a).draining = b%2 != 0 },
	"slow":    func(sim *simulation, a, b int) { sim.target(a).slow = b%3 != 0 },
	"shed":    func(sim *simulation, a, b int) { sim.target(a).shedNext = b%4 + 1 },
	"lose":    func(sim *simulation, a, b int) { sim.target(a).loseNextAnswers = b%3 + 1 },
	"confuse": func(sim *simulation, a, b int) { sim.target(a).mixNextAnswers = b%3 + 1 },
	"mute": func(sim *simulation, a, _ int) {
		for _, p := range sim.procs {
			sim.target(a).silent[p] = true
		}
	},

	"kill":      func(sim *simulation, a, b int) { sim.crashProc(sim.proc(a), b) },
	"restart":   func(sim *simulation, a, b int) { sim.crashProc(sim.proc(a), b); sim.restart(a) },
	"start":     func(sim *simulation, a, _ int) { sim.restart(a) },
	"stop":      func(sim *simulation, a, _ int) { sim.proc(a).stop() },
	"pause":     func(sim *simulation, a, b int) { sim.proc(a).pauseNow(clock.Duration(b+1) * 400) },
	"pauseSend": func(sim *simulation, a, b int) { sim.proc(a).pauseBeforeCall = clock.Duration(b+1) * 400 },
	"zoneLost":  func(sim *simulation, a, _ int) { sim.loseZone(a % 3) },
	"zoneBack":  func(sim *simulation, a, _ int) { sim.restoreZone(a % 3) },
}

func (sim *simulation) proc(i int) *proc         { return sim.procs[i%len(sim.procs)] }
func (sim *simulation) target(i int) *fakeTarget { return sim.targets[i%len(sim.targets)] }

// send sends a request to the process on a host. It returns nil if the host
// refuses the connection.
func (sim *simulation) send(host int, r request, event func(node.CallID) node.Event) *request {
	p := sim.proc(host)
	if !p.up || sim.hostDown[p.host] {
		return nil
	}
	sim.calls++
	r.call, r.p = sim.calls, p
	sim.oracle.requests[r.call] = &r
	p.deliver(event(r.call))
	return &r
}

// generateTraffic sends requests to all hosts until the faults end.
func (sim *simulation) generateTraffic() {
	if sim.trafficStopped {
		return
	}
	host := sim.rand.IntN(len(sim.procs))
	if p := sim.procs[host]; sim.avoidNotReady && (!p.node.Ready(sim.now) && !p.stopping || p.stopping && sim.now.Sub(p.stopAt) > 2000) {
		sim.after(sim.randomMS(1, 120), sim.generateTraffic)
		return
	}
	switch sim.rand.IntN(8) {
	case 0:
		sim.runs++
		sim.submitRun(host, sim.rand.IntN(4), sim.runs)
	case 1:
		sim.submitRun(host, sim.rand.IntN(4), max(0, sim.runs-sim.rand.IntN(3)))
	default:
		sim.search(host, sim.rand.IntN(12), fmt.Sprint("q", sim.calls))
	}
	sim.after(sim.randomMS(1, 120), sim.generateTraffic)
}

func workspaceN(i int) topology.WorkspaceID { return []topology.WorkspaceID{"a", "b"}[i%2] }

func (sim *simulation) search(host, variant int, text string) *request {
	r := request{workspace: workspaceN(variant), text: text, limit: []int{50, 3}[variant/2%2], deadline: sim.now.Add([]clock.Duration{1000, 1000, 400, 2000}[variant/4])}
	return sim.send(host, r, func(c node.CallID) node.Event {
		return node.SearchArrived{Call: c, Workspace: r.workspace, Collection: "c", Query: text, Limit: r.limit, Deadline: r.deadline}
	})
}

// submitRun sends a run request. Requests with the same n have the same key.
func (sim *simulation) submitRun(host, variant, n int) {
	text := fmt.Sprint("run", n)
	r := request{workspace: workspaceN(n), text: text, once: true, deadline: sim.now.Add([]clock.Duration{1000, 2000, 300, 1500}[variant%4])}
	sim.send(host, r, func(c node.CallID) node.Event {
		return node.RunArrived{Call: c, Workspace: r.workspace, Collection: "c", Key: text, Payload: text, Deadline: r.deadline}
	})
}

// killDuringRun kills an instance while a target processes a run request that may
// have passed through the instance, and sends the request again to others.
func (sim *simulation) killDuringRun(host, b int) {
	for _, t := range sim.targets {
		t.stallNext = 1
	}
	sim.runs++
	n := sim.runs
	sim.submitRun(host, 1, n)
	sim.after(sim.randomMS(5, 60), func() { sim.crashProc(sim.proc(host+1+b%3), 2) })
	for i := range 3 {
		sim.after(sim.randomMS(100, 1500), func() { sim.submitRun(host+2+i, 1, n) })
	}
}

func (sim *simulation) disconnectCaller(host, _ int) {
	for c := sim.calls; c > 0; c-- {
		if r := sim.oracle.requests[c]; r != nil && !r.done && r.p == sim.proc(host) && !r.once && r.filing == "" {
			r.done, r.callerDisconnected = true, true
			r.p.deliver(node.CallerDisconnected{Call: c})
			return
		}
	}
}

func (sim *simulation) fileTicket(host int, n ticket.Number, changes ...ticket.Change) *request {
	sim.filings++
	t := ticket.Ticket{Number: n, FilingID: ticket.FilingID(fmt.Sprint("f", sim.filings)), Operator: ticket.Operator(fmt.Sprint("op", host)), At: sim.unixMS(), Changes: changes}
	r := request{text: string(t.FilingID), filing: t.FilingID, deadline: sim.now.Add(filingLimit)}
	return sim.send(host, r, func(c node.CallID) node.Event { return node.TicketFiled{Call: c, Ticket: t} })
}

func zoneChange(b int, s ticket.ZoneState) ticket.Change {
	return ticket.Change{Scope: ticket.Scope{Kind: ticket.KindZone, ID: string(zones[b%3])}, Value: ticket.Zone{Region: region, State: s}}
}

func (sim *simulation) leavingChange(id topology.TargetID) ticket.Change {
	return ticket.Change{Scope: ticket.Scope{Kind: ticket.KindCollection, ID: "c"}, Value: ticket.Collection{Collection: sim.collection(id)}}
}

func snapshotChange(ids ...int) ticket.Change {
	var list ticket.Snapshots
	for _, n := range ids {
		list = append(list, snapshotN(n))
	}
	return ticket.Change{Scope: ticket.Scope{Kind: ticket.KindSnapshot, ID: "c"}, Value: list}
}

// newSnapshot files a ticket that adds the next snapshot. The targets load the
// snapshot one after the other, some of them later than the ticket.
func (sim *simulation) newSnapshot(host, _ int) {
	sim.snapshot++
	id := snapshotN(sim.snapshot).ID
	for _, t := range sim.targets {
		sim.after(sim.randomMS(0, 2000), func() { t.snapshots = append(t.snapshots, id) })
	}
	sim.fileTicket(host, 0, snapshotChange(sim.snapshot, sim.snapshot-1))
}

// retireSnapshot removes old snapshots from the targets, before or after the
// ticket that removes them is filed.
func (sim *simulation) retireSnapshot(host, b int) {
	for _, t := range sim.targets {
		sim.after(clock.Duration(b)*200+sim.randomMS(0, 500), func() { t.snapshots = t.snapshots[len(t.snapshots)-1:] })
	}
	sim.fileTicket(host, 0, snapshotChange(sim.snapshot))
}

func (sim *simulation) setPairBlocked(a, b int, blocked bool) {
	if x, y := sim.proc(a).host, sim.proc(b).host; x != y {
		sim.setPathBlocked(x, y, blocked)
	}
}

// isolate cuts a host off from the other hosts and from the platform, or
// ends this.
func (sim *simulation) isolate(a int, isolated bool) {
	p := sim.proc(a)
	sim.platform.cutOff[p.host] = isolated
	for _, q := range sim.procs {
		sim.setPairBlocked(p.host, q.host, isolated)
	}
	sim.oracle.updateReachability()
}

// silenceConns makes all open connections between two hosts silent: nothing
// that is sent on them arrives.
func (sim *simulation) silenceConns(a, b int) {
	want := pair(sim.proc(a).host, sim.proc(b).host)
	for _, c := range slices.Clone(sim.conns) {
		if pair(c.ends[0].p.host, c.ends[1].p.host) == want {
			c.silent = true
		}
	}
}

func (p *proc) pauseNow(d clock.Duration) {
	if p.up && !p.paused {
		p.pause(d)
	}
}

// crashProc kills a process. The platform detects it some time later.
func (sim *simulation) crashProc(p *proc, b int) {
	if p.up {
		p.kill()
		sim.after(clock.Duration(b)*300, func() { sim.platform.deregister(p) })
	}
}

func (sim *simulation) restart(a int) {
	if p := sim.proc(a); !p.up && !sim.hostDown[p.host] {
		sim.platform.deregister(p)
		sim.start(p.host)
	}
}

func (sim *simulation) loseZone(z int) {
	for _, p := range sim.procs {
		if p.host%3 == z {
			sim.hostDown[p.host] = true
			sim.crashProc(p, 7)
		}
	}
	for _, t := range sim.targets {
		if t.conf.Zone == zones[z] {
			t.unreachable = true
			t.crash()
		}
	}
	sim.oracle.updateReachability()
}

func (sim *simulation) restoreZone(z int) {
	for _, t := range sim.targets {
		if t.conf.Zone == zones[z] {
			t.unreachable = false
		}
	}
	for _, p := range sim.procs {
		if p.host%3 == z && sim.hostDown[p.host] {
			sim.hostDown[p.host] = false
			sim.restart(p.host)
		}
	}
	sim.deliverBlocked()
	sim.oracle.updateReachability()
}

// endFaults ends all faults and planned changes.
func (sim *simulation) endFaults() {
	f := sim.platform
	f.down, f.slow, f.losesReplies, f.listLag = false, false, false, 0
	clear(f.cutOff)
	clear(sim.blockedPaths)
	sim.deliverBlocked()
	for z := range zones {
		sim.restoreZone(z)
	}
	for _, t := range sim.targets {
		t.draining, t.slow, t.shedNext, t.loseNextAnswers, t.mixNextAnswers, t.stallNext = false, false, 0, 0, 0, 0
		t.snapshots = []topology.SnapshotID{snapshotN(sim.snapshot).ID}
		clear(t.silent)
	}
	for i, p := range sim.procs {
		p.pauseBeforeCall = 0
		p.resume()
		sim.restart(i)
	}
	sim.oracle.updateReachability()
}

// checkRecovery checks that all queries are answered completely again within a
// bounded time after the last fault.
func (sim *simulation) checkRecovery() {
	sim.trafficStopped = true
	sim.endFaults()
	sim.run(16 * clock.Second) // until graceful stops have ended
	sim.endFaults()
	var restored *request
	for i := 0; sim.violation == "" && (restored == nil || sim.oracle.ticketByFiling[restored.filing] == 0); i++ {
		restored = sim.fileTicket(i, 0, zoneChange(0, ticket.ZoneIn), zoneChange(1, ticket.ZoneIn), zoneChange(2, ticket.ZoneIn),
			sim.leavingChange(""), snapshotChange(sim.snapshot))
		sim.run(2 * clock.Second)
		if i == 10 {
			sim.violated("recovery: no ticket was accepted within 20 s")
		}
	}
	sim.run(recoveryLimit)
	for range 3 {
		before, asked := sim.oracle.completeAnswers, 0
		for i := range sim.procs {
			if sim.search(i, 0, fmt.Sprint("q", sim.calls)) != nil {
				asked++
			}
			sim.run(100)
		}
		sim.run(1100)
		if got := sim.oracle.completeAnswers - before; got != asked || asked != len(sim.procs) {
			sim.violated("recovery: %d of %d queries were answered completely", got, len(sim.procs))
		}
	}
}

package node_test

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/node"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
)

const (
	// workLimit is the time in which an instance must stop sending work to a
	// target, in guarantees P4 and P8.
	workLimit = 3000 * clock.Millisecond
	// configLimit is the time in which an instance must apply a ticket, in
	// guarantee P10.
	configLimit = 5000 * clock.Millisecond
	// warmthTTL is the time for which a target counts as warm after it last
	// reported so; see docs/design.md section 4.
	warmthTTL = 10 * clock.Second
	// answerSlack is the time by which an answer may miss the request's deadline,
	// because of the resolution of the timers.
	answerSlack = 2 * clock.Millisecond
	// stopLimit is the time for which a handover may delay a graceful stop.
	stopLimit = 15 * clock.Second
	// filingLimit is the time in which an operator must get an answer.
	filingLimit = 15 * clock.Second
)

// request is one caller's or operator's request.
type request struct {
	call               node.CallID
	p                  *proc
	workspace          topology.WorkspaceID
	text               string // query, or payload of a run request
	once               bool   // a run request
	limit              int
	deadline           clock.Time
	filing             ticket.FilingID
	done               bool // answered, or nobody waits for the answer
	callerDisconnected bool
	notRun             bool // refused, or reported as not run
}

// knowledge is what a process can know about the configuration, the other
// instances and the targets.
type knowledge struct {
	ticket        ticket.Number
	canLearnSince clock.Time // since when it could learn about accepted tickets
	hasContact    bool       // it received the instance list or had a connection to a peer
	isolatedSince clock.Time // since when it reaches neither a peer nor the platform; 0 if it does
	coldAt        map[topology.TargetID]clock.Time
	warmAt        map[topology.TargetID]clock.Time
	reachable     []int // hosts that it reaches directly or through others
}

// oracle checks the guarantees of docs/design.md section 1.1:
//
//   - P1: a query is answered from a snapshot of the configuration that it uses.
//   - P2: the coverage of an answer is exact.
//   - P3: a target gets no more calls at a time than its capacity, unless the
//     sender of one of them could not know its state.
//   - P4: no call starts later than workLimit after the zone of the target was
//     taken out of service or the sender was cut off.
//   - P5: each request gets exactly one answer, its own, by its deadline.
//   - P6: a request that was reported as not run is not run.
//   - P7: a run request runs at most once.
//   - P8: no call starts later than workLimit after the target was told to leave.
//   - P9: a graceful stop interrupts nothing.
//   - P10: instances apply exactly the accepted tickets, in order and within
//     configLimit, and the answer to a filing agrees with the store.
type oracle struct {
	sim             *simulation
	requests        map[node.CallID]*request
	knowledge       map[*proc]*knowledge
	log             *ticket.Log // of the tickets that the store accepted
	checkpoints     map[ticket.Number][]byte
	snapshots       map[ticket.Number][]topology.Snapshot
	acceptedAt      map[ticket.Number]clock.Time
	ticketByFiling  map[ticket.FilingID]ticket.Number
	refusedFilings  map[ticket.FilingID]bool
	zoneOutSince    map[topology.ZoneID]clock.Time
	leavingSince    map[topology.TargetID]clock.Time
	runCount        map[string]int // starts of run requests
	startedSearches map[string]bool
	crashes         map[string]int // targets crashed by a request
	completeAnswers int            // queries answered completely
	counts          map[string]int // number of events of each kind
}

func newOracle(sim *simulation) *oracle {
	return &oracle{
		sim: sim, requests: map[node.CallID]*request{}, knowledge: map[*proc]*knowledge{}, log: ticket.NewLog(),
		checkpoints: map[ticket.Number][]byte{}, snapshots: map[ticket.Number][]topology.Snapshot{}, acceptedAt: map[ticket.Number]clock.Time{},
		ticketByFiling: map[ticket.FilingID]ticket.Number{}, refusedFilings: map[ticket.FilingID]bool{},
		zoneOutSince: map[topology.ZoneID]clock.Time{}, leavingSince: map[topology.TargetID]clock.Time{},
		runCount: map[string]int{}, startedSearches: map[string]bool{}, crashes: map[string]int{}, counts: map[string]int{},
	}
}

func (o *oracle) processStarted(p *proc) {
	o.knowledge[p] = &knowledge{canLearnSince: o.sim.now, coldAt: map[topology.TargetID]clock.Time{}, warmAt: map[topology.TargetID]clock.Time{}}
}

func (o *oracle) processEnded(p *proc) {
	for _, r := range o.requests {
		if r.p == p {
			r.done = true // the connection broke, so the caller gets no answer
		}
	}
}

// objectStored records an object that the store accepted, if it is a ticket.
func (o *oracle) objectStored(key string, value []byte) {
	if !strings.HasPrefix(key, "tickets/") {
		return
	}
	t, err := ticket.Decode(value)
	if err == nil {
		err = o.log.Apply(t)
	}
	if err != nil {
		o.sim.violated("P10: invalid ticket %s was accepted: %v", key, err)
		return
	}
	if o.refusedFilings[t.FilingID] || o.ticketByFiling[t.FilingID] != 0 {
		o.sim.violated("P10: filing %s was accepted after it was refused, or twice", t.FilingID)
	}
	o.ticketByFiling[t.FilingID] = t.Number
	o.acceptedAt[t.Number] = o.sim.now
	state := o.log.State()
	o.checkpoints[t.Number], _ = ticket.EncodeCheckpoint(state)
	o.snapshots[t.Number] = state.Snapshots("c")
	for _, z := range zones {
		zone, _ := state.Zone(z)
		o.updateZoneOutSince(o.zoneOutSince, z, zone.State == ticket.ZoneOut)
	}
	c, _ := state.Collection("c")
	leaving := map[topology.TargetID]bool{}
	for _, s := range c.Services {
		for _, t := range s.Targets {
			leaving[t.ID] = t.Leaving
		}
	}
	for _, t := range o.sim.targets {
		if leaving[t.conf.ID] && o.leavingSince[t.conf.ID] == 0 {
			o.leavingSince[t.conf.ID] = o.sim.now
		} else if !leaving[t.conf.ID] {
			delete(o.leavingSince, t.conf.ID)
		}
	}
}

func (o *oracle) updateZoneOutSince(m map[topology.ZoneID]clock.Time, z topology.ZoneID, out bool) {
	if !out {
		delete(m, z)
	} else if m[z] == 0 {
		m[z] = o.sim.now
	}
}

// checkConfig checks the configuration of a node after each event.
func (o *oracle) checkConfig(p *proc) {
	k, n := o.knowledge[p], p.node.ConfigLog().Number()
	if n == k.ticket {
		return
	}
	if n < k.ticket {
		o.sim.violated("P10: %s went from ticket %d back to %d", p, k.ticket, n)
	}
	k.ticket = n
	if state, err := ticket.EncodeCheckpoint(p.node.ConfigLog().State()); err != nil || !bytes.Equal(state, o.checkpoints[n]) {
		o.sim.violated("P10: configuration of %s at ticket %d differs from the accepted one", p, n)
	}
}

// checkPeriodically checks the time limits of what must happen without a further
// event.
func (o *oracle) checkPeriodically() {
	o.updateReachability()
	for _, p := range o.sim.procs {
		k := o.knowledge[p]
		n := o.log.Number()
		if late := o.sim.now.Sub(max(k.canLearnSince, o.acceptedAt[n])); p.up && !p.paused && k.ticket < n && late > configLimit {
			o.sim.violated("P10: %s still has ticket %d, not %d, %d ms after it could learn about it", p, k.ticket, n, late)
		}
	}
	for _, call := range slices.Sorted(maps.Keys(o.requests)) {
		r := o.requests[call]
		if r.done {
			continue
		}
		if late := o.sim.now.Sub(r.deadline); late > answerSlack+50 && !r.p.paused {
			o.sim.violated("P5: call %d (%s) at %s is not answered %d ms after its deadline", call, r.text, r.p, late)
		}
	}
	o.sim.after(100, o.checkPeriodically)
}

// updateReachability records which processes can learn about tickets, and which
// are cut off. It is called when a fault changes, and periodically.
func (o *oracle) updateReachability() {
	n := o.log.Number()
	for i, p := range o.sim.procs {
		k := o.knowledge[p]
		reached := o.reachableFrom(i)
		source := false
		for _, j := range reached {
			q := o.sim.procs[j]
			f := o.sim.platform
			source = source || f.reachable(j) && !f.slow || q != p && o.knowledge[q].ticket >= n
		}
		if !source || !k.hasContact || !p.up || p.paused || !slices.Equal(reached, k.reachable) {
			k.canLearnSince = o.sim.now
		}
		k.reachable = reached
		switch cutOff := len(reached) <= 1 && !o.sim.platform.reachable(i); {
		case !cutOff:
			k.isolatedSince = 0
		case k.isolatedSince == 0:
			k.isolatedSince = o.sim.now
		}
	}
}

// reachableFrom returns the hosts whose processes are running and can be
// reached from the given host, directly or through others.
func (o *oracle) reachableFrom(host int) []int {
	seen := []int{host}
	for i := 0; i < len(seen); i++ {
		for j, q := range o.sim.procs {
			if q.up && !q.paused && !slices.Contains(seen, j) && !o.sim.blocked(seen[i], j) {
				seen = append(seen, j)
			}
		}
	}
	slices.Sort(seen)
	return seen
}

// eventDelivered records what an event tells a node about targets and peers.
func (o *oracle) eventDelivered(p *proc, e node.Event) {
	switch e.(type) {
	case node.MembersListed, node.PeerConnected:
		o.knowledge[p].hasContact = true // before this, neither side knew an address of the other
	}
	received, ok := e.(node.PeerReceived)
	if !ok {
		return
	}
	for _, b := range received.Bodies {
		if r, ok := b.(message.TargetReport); ok {
			o.recordTargetState(p, r.Target, r.State, received.Header.SentAt)
		}
	}
}

// callEnded records what the end of a call tells its sender about the target.
func (o *oracle) callEnded(c *call, state message.TargetState, at clock.Time) {
	o.recordTargetState(c.p, c.t.conf.ID, state, at)
}

func (o *oracle) recordTargetState(p *proc, id topology.TargetID, state message.TargetState, at clock.Time) {
	k := o.knowledge[p]
	if state == message.TargetWarm {
		k.warmAt[id] = o.sim.now
	} else {
		k.coldAt[id] = max(k.coldAt[id], at)
	}
}

// callSent records what the sender of a call knows about the target.
func (o *oracle) callSent(c *call) {
	k := o.knowledge[c.p]
	c.knownColdAt, c.knownWarmAt = k.coldAt[c.t.conf.ID], k.warmAt[c.t.conf.ID]
	for _, h := range c.p.node.Status(o.sim.now).Holdings {
		if h.Service == c.t.service {
			c.coldAllowed = h.Cold != [2]bool{}
		}
	}
	if c.p.stopping && !c.p.up {
		o.sim.violated("P9: %s sent a call after it had stopped", c.p)
	}
}

// mustAssumeCold reports whether the sender had to treat the target as cold.
func (c *call) mustAssumeCold() bool {
	return c.knownColdAt >= c.t.coldAt || c.knownWarmAt == 0 || c.sentAt.Sub(c.knownWarmAt) >= warmthTTL
}

// checkOverload checks a call that arrives at a target without free capacity. The
// overload is permitted if, for one of the calls there, the target is cold and
// the sender could not know it, or the target is warm and the sender did not
// have the right to use cold targets.
func (o *oracle) checkOverload(c *call) {
	t := c.t
	for _, other := range append(slices.Clone(t.running), c) {
		if t.cold && !other.mustAssumeCold() || !t.cold && !other.coldAllowed {
			o.counts["permitted overload"]++
			return
		}
	}
	var list []string
	for _, other := range append(slices.Clone(t.running), c) {
		list = append(list, fmt.Sprintf("%s sent at %d (cold targets allowed %v, known cold at %d)", other.p, other.sentAt, other.coldAllowed, other.knownColdAt))
	}
	o.sim.violated("P3: target %s (cold %v, last since %d) has capacity %d and got calls %v", t.conf.ID, t.cold, t.coldAt, t.capacity(), list)
}

// checkCallStart checks a call that a target starts to run.
func (o *oracle) checkCallStart(c *call) {
	o.counts["call"]++
	k, now := o.knowledge[c.p], o.sim.now
	out, leaving := o.zoneOutSince[c.t.conf.Zone], o.leavingSince[c.t.conf.ID]
	if out != 0 && now.Sub(max(out, k.canLearnSince)) > workLimit {
		o.sim.violated("P4: %s started a call of %s %d ms after its zone was taken out of service", c.t.conf.ID, c.p, now.Sub(out))
	}
	if leaving != 0 && now.Sub(max(leaving, k.canLearnSince)) > workLimit {
		o.sim.violated("P8: %s started a call of %s %d ms after it was told to leave", c.t.conf.ID, c.p, now.Sub(leaving))
	}
	if k.isolatedSince != 0 && now.Sub(k.isolatedSince) > workLimit+50 && c.p.knowsOthers() {
		o.sim.violated("P4: %s started a call of %s, which was cut off %d ms ago", c.t.conf.ID, c.p, now.Sub(k.isolatedSince))
	}
	for _, item := range c.Items {
		if item.Workspace != c.Items[0].Workspace {
			o.sim.violated("a call contains items of several workspaces")
		}
		key := string(item.Workspace) + "/" + item.Query
		if !c.Once {
			o.startedSearches[key] = true
		} else if o.runCount[key]++; o.runCount[key] > 1 {
			o.sim.violated("P7: %s was run a second time, at %s", key, c.t.conf.ID)
		}
		if item.Query != poison && o.allNotRun(key, c.Once) {
			o.sim.violated("P6: %s was started after its callers were told that it was not run", key)
		}
	}
}

// knowsOthers reports whether the instance knows another one that is not proven to
// have ended. Without one, it need not refuse work.
func (p *proc) knowsOthers() bool {
	s := p.node.Status(p.sim.now)
	return len(s.Live)+len(s.Suspected) > 1
}

// checkCrash counts the targets that a request crashed. At most two are allowed in
// the retention period; see docs/design.md sections 1.5 and 10.
func (o *oracle) checkCrash(c *call) {
	for _, item := range c.Items {
		if item.Query != poison {
			continue
		}
		key := string(item.Workspace) + "/" + item.Query
		if o.crashes[key]++; o.crashes[key] > 2 {
			o.sim.violated("crashing request: %s crashed %d targets", key, o.crashes[key])
		}
	}
}

// allNotRun reports whether every request with the key was reported as not run.
func (o *oracle) allNotRun(key string, once bool) bool {
	for _, r := range o.requests {
		if r.key() == key && r.once == once && !r.notRun {
			return false
		}
	}
	return true
}

func (r *request) key() string { return string(r.workspace) + "/" + r.text }

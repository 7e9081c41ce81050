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
	workLimit   = 3000 * clock.Millisecond // P4 and P8
	configLimit = 5000 * clock.Millisecond // P10
	warmthTerm  = 10 * clock.Second        // docs/design.md section 4
	// answerSlack is what an answer may come after the request's deadline, for
	// the timers.
	answerSlack = 2 * clock.Millisecond
	// stopLimit is how long a handover may hold up a graceful stop.
	stopLimit = 15 * clock.Second
	// filingLimit bounds how long an operator waits.
	filingLimit = 15 * clock.Second
)

// request is one caller's or operator's request.
type request struct {
	call               node.CallID
	p                  *proc
	workspace          topology.WorkspaceID
	text               string // query, or payload of a run
	once               bool
	limit              int
	deadline           clock.Time
	filing             ticket.FilingID
	done               bool
	callerDisconnected bool // the caller went away
	notRun             bool
}

// known is what a process knows of itself and of targets.
type knowledge struct {
	ticket        ticket.Number
	canLearnSince clock.Time // since when it could learn of accepted tickets
	hasContact    bool       // it has seen the instance list, or a peer that had
	isolatedSince clock.Time // since when it reaches nobody; 0 when it does
	coldAt        map[topology.TargetID]clock.Time
	warmAt        map[topology.TargetID]clock.Time
	reachable     []int // machines that it reaches, over others too
}

// oracle checks the promises of docs/design.md section 1.1.
type oracle struct {
	sim             *simulation
	requests        map[node.CallID]*request
	knowledge       map[*proc]*knowledge
	log             *ticket.Log // of what the store accepted
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
	counts          map[string]int // what happened how often
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
			r.done = true // the connection broke, so the caller knows nothing
		}
	}
}

// stored notes an accepted ticket.
func (o *oracle) objectStored(key string, value []byte) {
	if !strings.HasPrefix(key, "tickets/") {
		return
	}
	t, err := ticket.Decode(value)
	if err == nil {
		err = o.log.Apply(t)
	}
	if err != nil {
		o.sim.violated("P10: ticket %s was accepted: %v", key, err)
		return
	}
	if o.refusedFilings[t.FilingID] || o.ticketByFiling[t.FilingID] != 0 {
		o.sim.violated("P10: filing %s is accepted after a refusal or a second time", t.FilingID)
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
	left := map[topology.TargetID]bool{}
	for _, s := range c.Services {
		for _, t := range s.Targets {
			left[t.ID] = t.Leaving
		}
	}
	for _, t := range o.sim.targets {
		if left[t.conf.ID] && o.leavingSince[t.conf.ID] == 0 {
			o.leavingSince[t.conf.ID] = o.sim.now
		} else if !left[t.conf.ID] {
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

// handled checks the configuration of a node after each input.
func (o *oracle) checkConfig(p *proc) {
	k, n := o.knowledge[p], p.node.ConfigLog().Number()
	if n == k.ticket {
		return
	}
	if n < k.ticket {
		o.sim.violated("P10: %s goes from ticket %d back to %d", p, k.ticket, n)
	}
	k.ticket = n
	if state, err := ticket.EncodeCheckpoint(p.node.ConfigLog().State()); err != nil || !bytes.Equal(state, o.checkpoints[n]) {
		o.sim.violated("P10: %s has another state at ticket %d than was accepted", p, n)
	}
}

// watch checks at intervals what must happen by itself.
func (o *oracle) checkPeriodically() {
	o.updateReachability()
	for _, p := range o.sim.procs {
		k := o.knowledge[p]
		n := o.log.Number()
		if late := o.sim.now.Sub(max(k.canLearnSince, o.acceptedAt[n])); p.up && !p.paused && k.ticket < n && late > configLimit {
			o.sim.violated("P10: %s has ticket %d, not %d, %d ms after it could learn of it", p, k.ticket, n, late)
		}
	}
	for _, call := range slices.Sorted(maps.Keys(o.requests)) {
		r := o.requests[call]
		if r.done {
			continue
		}
		if late := o.sim.now.Sub(r.deadline); late > answerSlack+50 && !r.p.paused {
			o.sim.violated("P5: call %d (%s) at %s has no answer %d ms after its deadline", call, r.text, r.p, late)
		}
	}
	o.sim.after(100, o.checkPeriodically)
}

// disturbed notes which processes could learn of tickets, and which are cut off.
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
		switch alone := len(reached) <= 1 && !o.sim.platform.reachable(i); {
		case !alone:
			k.isolatedSince = 0
		case k.isolatedSince == 0:
			k.isolatedSince = o.sim.now
		}
	}
}

// reached returns the machines whose processes work and can be reached, over
// others too.
func (o *oracle) reachableFrom(slot int) []int {
	seen := []int{slot}
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

// learned notes reports of targets that reach a node.
func (o *oracle) eventDelivered(p *proc, e node.Event) {
	switch e.(type) {
	case node.MembersListed, node.PeerConnected:
		o.knowledge[p].hasContact = true // before, no address was known to either side
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

// news notes what the end of a call tells its sender of the target.
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

// sends notes what the sender of a call knows.
func (o *oracle) callSent(c *call) {
	k := o.knowledge[c.p]
	c.knownColdAt, c.knownWarmAt = k.coldAt[c.t.conf.ID], k.warmAt[c.t.conf.ID]
	for _, h := range c.p.node.Status(o.sim.now).Holdings {
		if h.Service == c.t.service {
			c.freshRight = h.Cold != [2]bool{}
		}
	}
	if c.p.stopping && !c.p.up {
		o.sim.violated("P9: %s sends after its stop", c.p)
	}
}

// couldKnow reports whether the sender had to count the target as cold.
func (c *call) mustAssumeCold() bool {
	return c.knownColdAt >= c.t.coldAt || c.knownWarmAt == 0 || c.sentAt.Sub(c.knownWarmAt) >= warmthTerm
}

// overloaded judges a call that arrives at a target that bears no more.
func (o *oracle) checkOverload(c *call) {
	t := c.t
	for _, other := range append(slices.Clone(t.running), c) {
		if t.cold && !other.mustAssumeCold() || !t.cold && !other.freshRight {
			o.counts["permitted overload"]++
			return
		}
	}
	var list []string
	for _, other := range append(slices.Clone(t.running), c) {
		list = append(list, fmt.Sprintf("%s sent at %d (fresh %v, cold news %d)", other.p, other.sentAt, other.freshRight, other.knownColdAt))
	}
	o.sim.violated("P3: %s (cold %v since %d) bears %d and gets %v", t.conf.ID, t.cold, t.coldAt, t.capacity(), list)
}

// starts checks a call that a target begins to run.
func (o *oracle) checkCallStart(c *call) {
	o.counts["call"]++
	k, now := o.knowledge[c.p], o.sim.now
	out, left := o.zoneOutSince[c.t.conf.Zone], o.leavingSince[c.t.conf.ID]
	if out != 0 && now.Sub(max(out, k.canLearnSince)) > workLimit {
		o.sim.violated("P4: %s starts a call of %s %d ms after its zone was taken out", c.t.conf.ID, c.p, now.Sub(out))
	}
	if left != 0 && now.Sub(max(left, k.canLearnSince)) > workLimit {
		o.sim.violated("P8: %s starts a call of %s %d ms after it was told to leave", c.t.conf.ID, c.p, now.Sub(left))
	}
	if k.isolatedSince != 0 && now.Sub(k.isolatedSince) > workLimit+50 && c.p.knowsOthers() {
		o.sim.violated("P4: %s starts a call of %s, which was cut off %d ms ago", c.t.conf.ID, c.p, now.Sub(k.isolatedSince))
	}
	for _, item := range c.Items {
		if item.Workspace != c.Items[0].Workspace {
			o.sim.violated("workspaces are mixed in a call")
		}
		key := string(item.Workspace) + "/" + item.Query
		if !c.Once {
			o.startedSearches[key] = true
		} else if o.runCount[key]++; o.runCount[key] > 1 {
			o.sim.violated("P7: %s runs a second time, at %s", key, c.t.conf.ID)
		}
		if item.Query != poison && o.allNotRun(key, c.Once) {
			o.sim.violated("P6: %s starts, but its callers were told that it was not run", key)
		}
	}
}

// knowsOthers reports whether the instance knows of another one that has not
// provably ended. Without one it need not refuse work.
func (p *proc) knowsOthers() bool {
	s := p.node.Status(p.sim.now)
	return len(s.Live)+len(s.Suspected) > 1
}

// crashed counts the targets that a request crashed: at most two in its
// retention period, docs/design.md sections 1.5 and 10.
func (o *oracle) checkCrash(c *call) {
	for _, item := range c.Items {
		if item.Query != poison {
			continue
		}
		key := string(item.Workspace) + "/" + item.Query
		if o.crashes[key]++; o.crashes[key] > 2 {
			o.sim.violated("crashing request: %s crashes %d targets", key, o.crashes[key])
		}
	}
}

// allNotRun reports whether every request for the key was told "not run".
func (o *oracle) allNotRun(key string, once bool) bool {
	for _, r := range o.requests {
		if r.key() == key && r.once == once && !r.notRun {
			return false
		}
	}
	return true
}

func (r *request) key() string { return string(r.workspace) + "/" + r.text }

package holding

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// simTarget is a target on which the simulation checks the limit: its index in
// the service, its limit of concurrent calls and whether it is cold. Every instance
// keeps all slots that it may use busy.
type simTarget struct {
	index, limit int
	cold         bool
}

var simTargets = [...]simTarget{{0, 2, false}, {1, 3, false}, {0, 1, true}, {1, 1, true}, {1, 3, true}}

// call is one call to a simulated target. Its end is simulation time. An exempt call
// does not count towards the limit; see simulation.exempt.
type call struct {
	end    int64
	exempt bool
}

// usage is what one instance does with one share at one simulated target.
type usage struct {
	calls          []call
	usable, exempt bool // in the current step
}

// simInstance is one incarnation of an instance. The instances are numbered by the
// machine on which they run.
type simInstance struct {
	sim         *simulation
	machine     int
	member      topology.Member
	h           *Holder
	dead        bool
	leaving     bool
	started     int64
	pausedUntil int64
	rate        float64 // speed of the local clock relative to simulation time
	origin      int64   // local clock at the start
	wasListed   map[topology.InstanceRef]bool
	usage       [][2][len(simTargets)]usage // by service and share
}

func (n *simInstance) local() clock.Time {
	return clock.Time(n.origin + int64(float64(n.sim.now-n.started)*n.rate))
}

func (n *simInstance) running() bool { return !n.dead && n.sim.now >= n.pausedUntil }

// BusyUntil implements WorkTracker.
func (n *simInstance) BusyUntil(now clock.Time, s topology.ServiceID, share int) clock.Time {
	until := now
	i := slices.IndexFunc(n.sim.services, func(t topology.Service) bool { return t.ID == s })
	for _, u := range n.usage[i][share] {
		for _, c := range u.calls {
			until = max(until, now.Add(clock.Duration(float64(c.end-n.sim.now)*n.rate)+1))
		}
	}
	return until
}

// event is a function that runs at a simulation time.
type event struct {
	at       int64
	receiver *simInstance // the event waits while this instance is paused; nil for the store
	run      func()
}

// simulation is a simulated network, store and platform list of instances. Its time
// is in ms.
type simulation struct {
	rng       *rand.Rand
	now       int64
	queue     []event
	zones     int
	machines  []*simInstance // current incarnation on each machine; dead ones stay until restarted
	instances []*simInstance // all incarnations that may have work in flight
	services  []topology.Service
	buckets   map[string]Bucket // the store's objects
	revision  int64

	cutLinks      map[[2]int]bool  // by pair of machines; machine -1 is the store
	lastFault     map[[2]int]int64 // when the link of a pair was last cut or slow
	lastDue       map[[2]int]int64 // newest delivery time on a connection, by direction
	slowLinks     map[[2]int]bool
	storeDown     bool
	storeSlow     bool
	storeDownAt   int64 // when the store was last down
	replyLossRate float64
	listDelay     int64
	hidden        map[int]bool // machines that the list omits although they run

	exemptExcess int    // steps and targets over the limit in the case that the design allows
	failure      string // first violation of the limit; empty when there is none
}

const storeEndpoint = -1

func newSimulation(seed uint64, machines, zones, services int) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), zones: zones, buckets: map[string]Bucket{},
		cutLinks: map[[2]int]bool{}, lastFault: map[[2]int]int64{}, lastDue: map[[2]int]int64{}, slowLinks: map[[2]int]bool{}, hidden: map[int]bool{},
		storeDownAt: -1 << 40, listDelay: 100, now: 1,
	}
	for i := range services {
		sim.services = append(sim.services, testService(i, zones))
	}
	sim.machines = make([]*simInstance, machines)
	for m := range machines {
		sim.startInstance(m)
	}
	return sim
}

func testService(i, zones int) topology.Service {
	s := topology.Service{ID: topology.ServiceID(fmt.Sprintf("dockdesk-%04d", i)), Region: "ga"}
	for j := range 2 {
		s.Targets = append(s.Targets, topology.Target{Zone: testZone((i+j)%zones, zones), Slots: 2})
	}
	return s
}

func testZone(m, zones int) topology.ZoneID { return topology.ZoneID(fmt.Sprintf("z%d", m%zones)) }

func testMember(m, zones int, incarnation uint64) topology.Member {
	ref := topology.InstanceRef{ID: topology.InstanceID(fmt.Sprintf("i%03d", m)), Incarnation: topology.Incarnation(incarnation)}
	return topology.Member{Ref: ref, Zone: testZone(m, zones), Region: "ga", State: topology.MemberLive}
}

func (sim *simulation) startInstance(m int) {
	n := &simInstance{
		sim: sim, machine: m, member: testMember(m, sim.zones, sim.rng.Uint64()|1), started: sim.now,
		rate: 0.96 + 0.08*sim.rng.Float64(), origin: 1 + sim.rng.Int64N(1e6), wasListed: map[topology.InstanceRef]bool{},
	}
	n.h = New(n.member, n, WithBuckets(2), WithSeed(sim.rng.Uint64()))
	n.usage = make([][2][len(simTargets)]usage, len(sim.services))
	sim.machines[m] = n
	sim.instances = append(sim.instances, n)
	sim.execute(n, n.h.SetServices(n.local(), sim.services))
	// As in a real deployment, the periods of the instances are not aligned.
	sim.schedule(n, sim.rng.Int64N(500), func() { n.sendHeartbeats() })
	sim.schedule(n, sim.rng.Int64N(500), func() { n.pollStore() })
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (sim *simulation) schedule(n *simInstance, delay int64, run func()) {
	at := sim.now + delay
	i := sort.Search(len(sim.queue), func(i int) bool { return sim.queue[i].at > at })
	sim.queue = slices.Insert(sim.queue, i, event{at, n, run})
}

// send delivers messages in order on each connection. A cut ends the connection;
// messages in flight then arrive late or not at all.
func (sim *simulation) send(from, to *simInstance, run func()) {
	p, dir := pair(from.machine, to.machine), [2]int{from.machine, to.machine}
	if sim.cutLinks[p] || sim.rng.IntN(100) == 0 {
		return
	}
	due := sim.now + 1 + sim.rng.Int64N(40)
	if sim.slowLinks[p] {
		due += sim.rng.Int64N(2500)
	}
	due = max(due, sim.lastDue[dir])
	sim.lastDue[dir] = due
	sim.schedule(to, due-sim.now, run)
}

// reachesStore reports whether the store currently answers the instance.
func (sim *simulation) reachesStore(n *simInstance) bool {
	return !sim.storeDown && !sim.cutLinks[pair(storeEndpoint, n.machine)]
}

func (sim *simulation) execute(n *simInstance, cmds []Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case Send:
			if to := sim.findInstance(c.To); to != nil {
				body := c.Body
				sim.send(n, to, func() { sim.execute(to, to.h.Receive(to.local(), n.member.Ref, body)) })
			}
		case ReadObject:
			sim.readObject(n, c)
		case WriteObject:
			sim.writeObject(n, c)
		}
	}
}

func (sim *simulation) findInstance(ref topology.InstanceRef) *simInstance {
	for _, n := range sim.machines {
		if n.member.Ref == ref && !n.dead {
			return n
		}
	}
	return nil
}

func (sim *simulation) storeDelay() int64 {
	if sim.storeSlow {
		return 100 + sim.rng.Int64N(900)
	}
	return 1 + sim.rng.Int64N(20)
}

func (sim *simulation) readObject(n *simInstance, c ReadObject) {
	fail := func() { sim.execute(n, n.h.ReadDone(n.local(), ReadResult{ID: c.ID, Outcome: ReadFailed})) }
	if !sim.reachesStore(n) {
		sim.schedule(n, 1000, fail)
		return
	}
	sim.schedule(nil, sim.storeDelay(), func() {
		r := ReadResult{ID: c.ID, Outcome: ReadAbsent}
		if b, ok := sim.buckets[c.Key]; ok {
			r.Outcome, r.Bucket = ReadFound, b
		}
		if !sim.reachesStore(n) {
			sim.schedule(n, 1000, fail)
			return
		}
		sim.schedule(n, sim.storeDelay(), func() { sim.execute(n, n.h.ReadDone(n.local(), r)) })
	})
}

func (sim *simulation) writeObject(n *simInstance, c WriteObject) {
	unknown := func() { sim.execute(n, n.h.WriteDone(n.local(), WriteResult{Key: c.Key, Outcome: WriteUnknown})) }
	reached := sim.reachesStore(n)
	if !reached && sim.rng.IntN(3) > 0 {
		sim.schedule(n, 1000, unknown)
		return
	}
	delay := sim.storeDelay()
	if !reached {
		delay = sim.rng.Int64N(3000) // the request is delayed in the network
	}
	sim.schedule(nil, delay, func() {
		r := WriteResult{Key: c.Key, Outcome: WriteConflict}
		if sim.buckets[c.Key].Version == c.Expect {
			sim.revision++
			r.Outcome, r.Version = WriteSucceeded, sim.revision
			sim.publish(c)
		}
		if !reached || !sim.reachesStore(n) || sim.rng.Float64() < sim.replyLossRate {
			sim.schedule(n, 1000, unknown)
			return
		}
		sim.schedule(n, sim.storeDelay(), func() { sim.execute(n, n.h.WriteDone(n.local(), r)) })
	})
}

// publish stores a written bucket and delivers it to some of the instances that
// reach the store.
func (sim *simulation) publish(c WriteObject) {
	b, err := DecodeBucket(c.Key, sim.revision, c.Value)
	if err != nil {
		panic(err)
	}
	sim.buckets[c.Key] = b
	for _, n := range sim.machines {
		if sim.reachesStore(n) && sim.rng.IntN(4) > 0 {
			sim.schedule(n, 5+sim.rng.Int64N(800), func() { sim.execute(n, n.h.ApplyBucket(n.local(), b)) })
		}
	}
}

// sendHeartbeats sends heartbeats, some of them with buckets of the table, and
// detects ended incarnations by dialling their addresses.
func (n *simInstance) sendHeartbeats() {
	sim := n.sim
	sim.schedule(n, 500, n.sendHeartbeats)
	ok := n.h.storeReachable
	for _, to := range sim.machines {
		if to == n || sim.cutLinks[pair(n.machine, to.machine)] {
			continue
		}
		if to.dead {
			sim.execute(n, n.h.Terminated(n.local(), to.member.Ref))
			continue
		}
		for _, ref := range n.namedInstances() {
			if ref.ID == to.member.Ref.ID && ref != to.member.Ref && sim.findInstance(ref) == nil {
				sim.execute(n, n.h.Terminated(n.local(), ref))
			}
		}
		from, tables := n.member.Ref, []Bucket{}
		for _, key := range sortedKeys(n.h.tables) {
			if sim.rng.IntN(3) == 0 {
				tables = append(tables, n.h.tables[key])
			}
		}
		sim.send(n, to, func() {
			sim.execute(to, to.h.HeartbeatReceived(to.local(), from, ok))
			for _, b := range tables {
				sim.execute(to, to.h.ApplyBucket(to.local(), b))
			}
		})
	}
}

// namedInstances returns the holders, former holders and their partners that the
// instance's entries name.
func (n *simInstance) namedInstances() []topology.InstanceRef {
	var refs []topology.InstanceRef
	for _, s := range n.sim.services {
		e, _ := n.h.Holders(s.ID)
		for k := range e.Holders {
			refs = append(refs, e.Holders[k])
			for _, f := range e.Former[k] {
				refs = append(append(refs, f.Ref), f.Partners...)
			}
		}
	}
	return refs
}

// pollStore reports whether the store answers, and fetches the delayed list of
// instances.
func (n *simInstance) pollStore() {
	sim := n.sim
	sim.schedule(n, 500, n.pollStore)
	sim.execute(n, n.h.StoreReachable(n.local(), sim.reachesStore(n)))
	if !sim.reachesStore(n) {
		return
	}
	var members []topology.Member
	for _, m := range sim.machines {
		if m.started+sim.listDelay > sim.now || sim.hidden[m.machine] {
			continue // not listed yet
		}
		if m.dead && m.pausedUntil+sim.listDelay <= sim.now {
			continue // pausedUntil of a dead instance is the time of its end
		}
		mm := m.member
		if m.leaving {
			mm.State = topology.MemberLeaving
		}
		members = append(members, mm)
		n.wasListed[mm.Ref] = true
	}
	present := map[topology.InstanceRef]bool{}
	for _, m := range members {
		present[m.Ref] = true
	}
	for ref := range n.wasListed {
		if !present[ref] && sim.findInstance(ref) == nil {
			delete(n.wasListed, ref)
			sim.execute(n, n.h.Terminated(n.local(), ref))
		}
	}
	sim.execute(n, n.h.SetMembers(n.local(), members))
}

// stepMS is the length of a simulation step.
const stepMS = 20

// run advances the simulation by d ms and checks the limit in every step.
func (sim *simulation) run(d int64) {
	for end := sim.now + d; sim.now < end; {
		sim.now += stepMS
		sim.recordFaults()
		// After a pause, an instance may start work before it handles any input.
		if sim.rng.IntN(2) == 0 {
			sim.startWork()
		}
		sim.deliver()
		for _, n := range sim.machines {
			if n.running() && n.local() >= n.h.NextWake() {
				sim.execute(n, n.h.Tick(n.local()))
			}
			if n.running() && n.leaving && n.h.ServicesInUse(n.local()) == 0 && sim.now > n.started+3000 {
				sim.kill(n.machine)
			}
		}
		sim.startWork()
		sim.checkLimits()
	}
}

func (sim *simulation) deliver() {
	for len(sim.queue) > 0 && sim.queue[0].at <= sim.now {
		e := sim.queue[0]
		sim.queue = sim.queue[1:]
		switch {
		case e.receiver == nil || e.receiver.running():
			e.run()
		case !e.receiver.dead:
			sim.schedule(e.receiver, e.receiver.pausedUntil-sim.now, e.run)
		}
	}
}

func (sim *simulation) kill(m int) {
	n := sim.machines[m]
	if !n.dead {
		n.dead, n.pausedUntil = true, sim.now
	}
}

// setCut cuts or restores a link. Messages in flight arrive late and out of order.
func (sim *simulation) setCut(a, b int, cut bool) {
	sim.cutLinks[pair(a, b)] = cut
	delete(sim.lastDue, [2]int{a, b})
	delete(sim.lastDue, [2]int{b, a})
}

package holding

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// probe is a target as the oracle loads it: its index, its limit and whether it
// is cold. Every instance keeps all slots that it may use busy.
type probe struct {
	index, limit int
	cold         bool
}

var probes = [...]probe{{0, 2, false}, {1, 3, false}, {0, 1, true}, {1, 1, true}, {1, 3, true}}

// call is one call at a probe. Its end is true time.
type call struct {
	end    int64
	exempt bool
}

// usage is what one node does with one share at one probe.
type usage struct {
	calls          []call
	usable, exempt bool // at this step
}

// node is one run of one instance.
type node struct {
	w           *world
	machine     int
	member      topology.Member
	h           *Holder
	dead        bool
	leaving     bool
	started     int64
	pausedUntil int64
	rate        float64 // local clock against true time
	origin      int64
	listed      map[topology.InstanceRef]bool
	uses        [][2][len(probes)]usage // by service and share
}

func (n *node) local() clock.Time {
	return clock.Time(n.origin + int64(float64(n.w.now-n.started)*n.rate))
}

func (n *node) running() bool { return !n.dead && n.w.now >= n.pausedUntil }

// BusyUntil implements Work.
func (n *node) BusyUntil(now clock.Time, s topology.ServiceID, share int) clock.Time {
	until := now
	i := slices.IndexFunc(n.w.services, func(t topology.Service) bool { return t.ID == s })
	for _, u := range n.uses[i][share] {
		for _, c := range u.calls {
			until = max(until, now.Add(clock.Duration(float64(c.end-n.w.now)*n.rate)+1))
		}
	}
	return until
}

type event struct {
	at   int64
	node *node // receives the event once it runs; nil for the store
	run  func()
}

// world is a fake network, store and platform list with true time in ms.
type world struct {
	rng      *rand.Rand
	now      int64
	queue    []event
	zones    int
	machines []*node // present run of each machine; dead ones stay until restarted
	nodes    []*node // all runs that may have work in flight
	services []topology.Service
	buckets  map[string]Bucket // the store's objects
	revision int64

	cut       map[[2]int]bool  // machine pairs; machine -1 is the store
	bad       map[[2]int]int64 // when a pair was last cut or slow
	fifo      map[[2]int]int64 // last due time on a connection, by direction
	slow      map[[2]int]bool
	storeDown bool
	storeSlow bool
	downAt    int64 // when the store was last down
	loseReply float64
	listLag   int64
	hidden    map[int]bool // machines that the list omits although they run

	allowed int // probe steps over the limit in the case that the design allows
	failure string
}

const storeEnd = -1

func newWorld(seed uint64, machines, zones, services int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), zones: zones, buckets: map[string]Bucket{},
		cut: map[[2]int]bool{}, bad: map[[2]int]int64{}, fifo: map[[2]int]int64{}, slow: map[[2]int]bool{}, hidden: map[int]bool{},
		downAt: -1 << 40, listLag: 100, now: 1,
	}
	for i := range services {
		w.services = append(w.services, testService(i, zones))
	}
	w.machines = make([]*node, machines)
	for m := range machines {
		w.start(m)
	}
	return w
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

func (w *world) start(m int) {
	n := &node{
		w: w, machine: m, member: testMember(m, w.zones, w.rng.Uint64()|1), started: w.now,
		rate: 0.96 + 0.08*w.rng.Float64(), origin: 1 + w.rng.Int64N(1e6), listed: map[topology.InstanceRef]bool{},
	}
	n.h = New(n.member, n, WithBuckets(2), WithSeed(w.rng.Uint64()))
	n.uses = make([][2][len(probes)]usage, len(w.services))
	w.machines[m] = n
	w.nodes = append(w.nodes, n)
	w.do(n, n.h.SetServices(n.local(), w.services))
	// The driver of the real node works in periods of its own phase.
	w.later(n, w.rng.Int64N(500), func() { n.beat() })
	w.later(n, w.rng.Int64N(500), func() { n.poll() })
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (w *world) later(n *node, delay int64, run func()) {
	at := w.now + delay
	i := sort.Search(len(w.queue), func(i int) bool { return w.queue[i].at > at })
	w.queue = slices.Insert(w.queue, i, event{at, n, run})
}

// send delivers in order on each connection; a cut ends the connection and lets
// what was in flight arrive late or not at all.
func (w *world) send(from, to *node, run func()) {
	p, dir := pair(from.machine, to.machine), [2]int{from.machine, to.machine}
	if w.cut[p] || w.rng.IntN(100) == 0 {
		return
	}
	due := w.now + 1 + w.rng.Int64N(40)
	if w.slow[p] {
		due += w.rng.Int64N(2500)
	}
	due = max(due, w.fifo[dir])
	w.fifo[dir] = due
	w.later(to, due-w.now, run)
}

// reaches reports whether the store answers the machine now.
func (w *world) reaches(n *node) bool { return !w.storeDown && !w.cut[pair(storeEnd, n.machine)] }

func (w *world) do(n *node, cmds []Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case Send:
			if to := w.find(c.To); to != nil {
				body := c.Body
				w.send(n, to, func() { w.do(to, to.h.Receive(to.local(), n.member.Ref, body)) })
			}
		case ReadObject:
			w.read(n, c)
		case WriteObject:
			w.write(n, c)
		}
	}
}

func (w *world) find(ref topology.InstanceRef) *node {
	for _, n := range w.machines {
		if n.member.Ref == ref && !n.dead {
			return n
		}
	}
	return nil
}

func (w *world) storeDelay() int64 {
	if w.storeSlow {
		return 100 + w.rng.Int64N(900)
	}
	return 1 + w.rng.Int64N(20)
}

func (w *world) read(n *node, c ReadObject) {
	fail := func() { w.do(n, n.h.ReadDone(n.local(), ReadResult{ID: c.ID, Outcome: ReadFailed})) }
	if !w.reaches(n) {
		w.later(n, 1000, fail)
		return
	}
	w.later(nil, w.storeDelay(), func() {
		r := ReadResult{ID: c.ID, Outcome: ReadAbsent}
		if b, ok := w.buckets[c.Key]; ok {
			r.Outcome, r.Bucket = ReadFound, b
		}
		if !w.reaches(n) {
			w.later(n, 1000, fail)
			return
		}
		w.later(n, w.storeDelay(), func() { w.do(n, n.h.ReadDone(n.local(), r)) })
	})
}

func (w *world) write(n *node, c WriteObject) {
	unknown := func() { w.do(n, n.h.WriteDone(n.local(), WriteResult{Key: c.Key, Outcome: WriteUnknown})) }
	reached := w.reaches(n)
	if !reached && w.rng.IntN(3) > 0 {
		w.later(n, 1000, unknown)
		return
	}
	delay := w.storeDelay()
	if !reached {
		delay = w.rng.Int64N(3000) // the request waits on the way
	}
	w.later(nil, delay, func() {
		r := WriteResult{Key: c.Key, Outcome: WriteConflict}
		if w.buckets[c.Key].Version == c.Expect {
			w.revision++
			r.Outcome, r.Version = WriteSucceeded, w.revision
			w.publish(c)
		}
		if !reached || !w.reaches(n) || w.rng.Float64() < w.loseReply {
			w.later(n, 1000, unknown)
			return
		}
		w.later(n, w.storeDelay(), func() { w.do(n, n.h.WriteDone(n.local(), r)) })
	})
}

// publish stores a written bucket and gives it to machines that watch the store.
func (w *world) publish(c WriteObject) {
	b, err := DecodeBucket(c.Key, w.revision, c.Value)
	if err != nil {
		panic(err)
	}
	w.buckets[c.Key] = b
	for _, n := range w.machines {
		if w.reaches(n) && w.rng.IntN(4) > 0 {
			w.later(n, 5+w.rng.Int64N(800), func() { w.do(n, n.h.ApplyBucket(n.local(), b)) })
		}
	}
}

// beat sends heartbeats, some with the table, and finds ended incarnations by
// dialling their address.
func (n *node) beat() {
	w := n.w
	w.later(n, 500, n.beat)
	ok := n.h.storeOK
	for _, to := range w.machines {
		if to == n || w.cut[pair(n.machine, to.machine)] {
			continue
		}
		if to.dead {
			w.do(n, n.h.Terminated(n.local(), to.member.Ref))
			continue
		}
		for _, ref := range n.named() {
			if ref.ID == to.member.Ref.ID && ref != to.member.Ref && w.find(ref) == nil {
				w.do(n, n.h.Terminated(n.local(), ref))
			}
		}
		from, tables := n.member.Ref, []Bucket{}
		for _, key := range sortedKeys(n.h.tables) {
			if w.rng.IntN(3) == 0 {
				tables = append(tables, n.h.tables[key])
			}
		}
		w.send(n, to, func() {
			w.do(to, to.h.HeartbeatReceived(to.local(), from, ok))
			for _, b := range tables {
				w.do(to, to.h.ApplyBucket(to.local(), b))
			}
		})
	}
}

// named returns the former holders that the node's entries name.
func (n *node) named() []topology.InstanceRef {
	var refs []topology.InstanceRef
	for _, s := range n.w.services {
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

// poll reports whether the store answers, and fetches the lagging list.
func (n *node) poll() {
	w := n.w
	w.later(n, 500, n.poll)
	w.do(n, n.h.StoreReachable(n.local(), w.reaches(n)))
	if !w.reaches(n) {
		return
	}
	var members []topology.Member
	for _, m := range w.machines {
		if m.started+w.listLag > w.now || w.hidden[m.machine] {
			continue // listed late
		}
		if m.dead && m.pausedUntil+w.listLag <= w.now {
			continue // pausedUntil of a dead node is the time of its end
		}
		mm := m.member
		if m.leaving {
			mm.State = topology.MemberLeaving
		}
		members = append(members, mm)
		n.listed[mm.Ref] = true
	}
	present := map[topology.InstanceRef]bool{}
	for _, m := range members {
		present[m.Ref] = true
	}
	for ref := range n.listed {
		if !present[ref] && w.find(ref) == nil {
			delete(n.listed, ref)
			w.do(n, n.h.Terminated(n.local(), ref))
		}
	}
	w.do(n, n.h.SetMembers(n.local(), members))
}

const step = 20

// run advances the world by d ms and lets the oracle check every step.
func (w *world) run(d int64) {
	for end := w.now + d; w.now < end; {
		w.now += step
		w.note()
		// After a pause, a send may come before any input.
		if w.rng.IntN(2) == 0 {
			w.load()
		}
		w.deliver()
		for _, n := range w.machines {
			if n.running() && n.local() >= n.h.NextWake() {
				w.do(n, n.h.Tick(n.local()))
			}
			if n.running() && n.leaving && n.h.HeldCount(n.local()) == 0 && w.now > n.started+3000 {
				w.kill(n.machine)
			}
		}
		w.load()
		w.check()
	}
}

func (w *world) deliver() {
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		e := w.queue[0]
		w.queue = w.queue[1:]
		switch {
		case e.node == nil || e.node.running():
			e.run()
		case !e.node.dead:
			w.later(e.node, e.node.pausedUntil-w.now, e.run)
		}
	}
}

func (w *world) kill(m int) {
	n := w.machines[m]
	if !n.dead {
		n.dead, n.pausedUntil = true, w.now
	}
}

// setCut cuts or heals a link. What was in flight arrives late, out of order.
func (w *world) setCut(a, b int, cut bool) {
	w.cut[pair(a, b)] = cut
	delete(w.fifo, [2]int{a, b})
	delete(w.fifo, [2]int{b, a})
}

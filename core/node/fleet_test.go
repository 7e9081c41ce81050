package node

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/holding"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
	"knapweedstall/io/peer"
)

const (
	fleetStart     = clock.Time(40 * clock.Second) // late enough that gossip no longer counts the members of the first list as recent changes
	peerDelay      = clock.Millisecond
	storeDelay     = 3 * clock.Millisecond
	zonesPerRegion = 4
)

// fakeRegions is 2, or 1 while a benchmark runs one region by itself.
var fakeRegions = 2

// fleetSize is a number of instances and services.
type fleetSize struct{ instances, services int }

func (s fleetSize) String() string {
	return fmt.Sprintf("instances=%d/services=%d", s.instances, s.services)
}

// fleetSizes are the sizes from the present one up to that of the design: 1,950
// services with 2 targets each on 690 instances. All have the design's ratio of
// services to instances.
var fleetSizes = []fleetSize{{15, 42}, {100, 282}, {345, 975}, {690, 1950}}

// fakeFleet simulates, in virtual time, a fleet of nodes with an in-memory network
// and store. Each frame carries one message.
type fakeFleet struct {
	now        clock.Time
	nodes      []*fakeNode
	byRef      map[topology.InstanceRef]*fakeNode
	objects    map[string]message.StoredObject
	revision   int64
	queue      fakeQueue
	lastSeq    uint64
	allRunning bool // all members are simulated
	running    int  // nodes at the start

	sent   map[string]int // bytes of frames by message type
	frames map[string]int
	reads  int
	writes int
	busy   time.Duration // time spent in Handle
}

type fakeNode struct {
	*Node
	dead     bool
	since    int64
	sent     int // bytes
	received int // bytes
}

type fakeEvent struct {
	at  clock.Time
	seq uint64
	run func()
}

type fakeQueue []fakeEvent

func (q fakeQueue) Len() int { return len(q) }
func (q fakeQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q fakeQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fakeQueue) Push(x any)   { *q = append(*q, x.(fakeEvent)) }
func (q *fakeQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func fakeMember(i int) topology.Member {
	region := i % fakeRegions
	return topology.Member{
		Ref:     topology.InstanceRef{ID: topology.InstanceID(fmt.Sprintf("tier-%04d", i)), Incarnation: topology.NewIncarnation(1750000000000+int64(i), uint64(i))},
		Address: fmt.Sprintf("10.20.%d.%d:7001", i/250, i%250),
		Zone:    topology.ZoneID(fmt.Sprintf("region-%d-%c", region, 'a'+i/fakeRegions%zonesPerRegion)),
		Region:  topology.RegionID(fmt.Sprintf("region-%d", region)), State: topology.MemberLive,
	}
}

// fakeState returns a configuration with the given number of services with 2
// targets each, in collections of 750 services. Each collection has 1 snapshot.
func fakeState(services int) *ticket.State {
	t := ticket.Ticket{Number: 1, FilingID: "f", Operator: "o", At: 1}
	add := func(kind ticket.Kind, id string, v ticket.Value) {
		t.Changes = append(t.Changes, ticket.Change{Scope: ticket.Scope{Kind: kind, ID: id}, Value: v})
	}
	for z := range fakeRegions * zonesPerRegion {
		m := fakeMember(z)
		add(ticket.KindZone, string(m.Zone), ticket.Zone{Region: m.Region, State: ticket.ZoneIn})
	}
	var ids []topology.CollectionID
	for from := 0; from < services; from += 750 {
		c := topology.Collection{ID: topology.CollectionID(fmt.Sprintf("col%d", from/750))}
		s := topology.Snapshot{ID: "s1", Shards: map[topology.ServiceID][]topology.ShardID{}}
		for i := from; i < min(from+750, services); i++ {
			c.Services = append(c.Services, fakeService(i))
			s.Shards[fakeService(i).ID] = []topology.ShardID{topology.ShardID(fmt.Sprintf("sh-%04d", i))}
		}
		add(ticket.KindCollection, string(c.ID), ticket.Collection{Collection: c})
		add(ticket.KindSnapshot, string(c.ID), ticket.Snapshots{s})
		ids = append(ids, c.ID)
	}
	add(ticket.KindWorkspace, "acme", ticket.Workspace{Weight: 1, Collections: ids})
	l := ticket.NewLog()
	if err := l.Apply(t); err != nil {
		panic(err)
	}
	return l.State()
}

func fakeService(i int) topology.Service {
	s := topology.Service{ID: topology.ServiceID(fmt.Sprintf("dockdesk-%04d", i)), Region: fakeMember(i).Region}
	for j := range 2 {
		s.Targets = append(s.Targets, topology.Target{
			ID: topology.TargetID(fmt.Sprintf("t%04d-%d", i, j)), Address: fmt.Sprintf("10.%d.%d.%d:8080", 30+j, i/250, i%250),
			Zone: fakeMember(i + fakeRegions*j).Zone, Slots: 2, Connections: 55,
		})
	}
	return s
}

// fakeTable returns a holder table that assigns each share to the instance with the
// fewest holdings in the zone of one of the service's targets. The planner does
// the same, so no holding needs to move.
func fakeTable(s fleetSize) map[topology.ServiceID]holding.Entry {
	zones := map[topology.ZoneID][]topology.InstanceRef{}
	for m := range s.instances {
		member := fakeMember(m)
		zones[member.Zone] = append(zones[member.Zone], member.Ref)
	}
	load := map[topology.InstanceRef]int{}
	table := map[topology.ServiceID]holding.Entry{}
	for i := range s.services {
		conf := fakeService(i)
		e := holding.Entry{Epoch: 1, Since: [2]uint64{1, 1}}
		for j, t := range conf.Targets {
			e.Holders[j] = slices.MinFunc(zones[t.Zone], func(a, b topology.InstanceRef) int {
				return cmp.Or(cmp.Compare(load[a], load[b]),
					cmp.Compare(topology.Hash64(string(conf.ID), string(a.ID)), topology.Hash64(string(conf.ID), string(b.ID))))
			})
			load[e.Holders[j]]++
		}
		table[conf.ID] = e
	}
	return table
}

func fakeBuckets(s fleetSize) map[string]holding.Bucket {
	buckets := map[string]holding.Bucket{}
	for r := range fakeRegions {
		for n := range defaultBuckets {
			key := fmt.Sprintf("holdings/region-%d.%d", r, n)
			buckets[key] = holding.Bucket{Key: key, Version: int64(1 + r*defaultBuckets + n), Entries: map[topology.ServiceID]holding.Entry{}}
		}
	}
	table := fakeTable(s)
	for i := range s.services {
		conf := fakeService(i)
		buckets[holding.BucketKey(conf.Region, conf.ID, defaultBuckets)].Entries[conf.ID] = table[conf.ID]
	}
	return buckets
}

// newFakeFleet returns a fleet in which every node knows the members, the
// configuration and the holder table. Only the first nodes, as many as running
// says, are simulated. Frames to the others are counted and dropped.
func newFakeFleet(s fleetSize, running int) *fakeFleet {
	f := &fakeFleet{
		now: fleetStart, byRef: map[topology.InstanceRef]*fakeNode{}, objects: map[string]message.StoredObject{},
		sent: map[string]int{}, frames: map[string]int{}, revision: 1000, allRunning: running == s.instances, running: running,
	}
	var members []topology.Member
	for i := range s.instances {
		members = append(members, fakeMember(i))
	}
	state, buckets := fakeState(s.services), fakeBuckets(s)
	for key, b := range buckets {
		value, _ := json.Marshal(map[string]any{"entries": b.Entries})
		f.objects[key] = message.StoredObject{Key: key, Version: b.Version, Value: value}
	}
	for i := range running {
		f.add(members[i], members, state, buckets)
	}
	return f
}

// add starts a node that knows the members, the configuration and the holder
// table.
func (f *fakeFleet) add(self topology.Member, members []topology.Member, state *ticket.State, buckets map[string]holding.Bucket) {
	i := len(f.nodes)
	n := &fakeNode{Node: New(1, self, WithSeed(uint64(i))), since: f.revision}
	n.Handle(1, MembersListed{Members: members})
	n.configSync.done, n.configSync.listedRevision = true, f.revision
	n.configLog.Restore(state)
	n.Handle(2, Tick{})
	n.configChanged(f.now)
	n.adoptTable(f.now, f.objects, buckets)
	f.nodes = append(f.nodes, n)
	f.byRef[self.Ref] = n
	f.after(clock.Duration(i)%TickPeriod, func() { f.tick(n) })
	f.after(30*clock.Second*clock.Duration(i%f.running)/clock.Duration(f.running), func() { f.readMemberList(n) })
	f.pollWatch(n, clock.Duration(i)%clock.Second)
}

func (n *fakeNode) adoptTable(now clock.Time, objects map[string]message.StoredObject, buckets map[string]holding.Bucket) {
	for _, key := range slices.Sorted(maps.Keys(buckets)) {
		b := buckets[key]
		n.propagation.buckets[key] = objects[key]
		n.holder.ApplyBucket(now, b)
		for _, id := range slices.Sorted(maps.Keys(b.Entries)) {
			n.heldChanged(now, id)
		}
	}
	n.propagation.tableHash = n.computeTableHash()
	n.commands, n.propagation.announceAt = nil, 0
}

func (f *fakeFleet) at(t clock.Time, run func()) {
	f.lastSeq++
	heap.Push(&f.queue, fakeEvent{max(t, f.now), f.lastSeq, run})
}

func (f *fakeFleet) after(d clock.Duration, run func()) { f.at(f.now.Add(d), run) }

// run advances the time until done reports true, by at most d. It returns the time
// that has passed.
func (f *fakeFleet) run(d clock.Duration, done func() bool) clock.Duration {
	start := f.now
	for len(f.queue) > 0 && f.queue[0].at <= start.Add(d) && !done() {
		e := heap.Pop(&f.queue).(fakeEvent)
		f.now = e.at
		e.run()
	}
	return f.now.Sub(start)
}

func neverDone() bool { return false }

func (f *fakeFleet) tick(n *fakeNode) {
	if !n.dead {
		f.handle(n, Tick{UnixMS: int64(f.now)})
		f.after(TickPeriod, func() { f.tick(n) })
	}
}

// readMemberList reads the instance list as often as package instance does.
func (f *fakeFleet) readMemberList(n *fakeNode) {
	if n.dead {
		return
	}
	f.reads++
	var live []topology.Member
	for _, m := range f.nodes {
		if !m.dead {
			live = append(live, m.self)
		}
	}
	if f.allRunning {
		f.handle(n, MembersListed{Members: live})
	}
	period := 30 * clock.Second
	if n.watching {
		period = clock.Second
	}
	f.after(period, func() { f.readMemberList(n) })
}

// pollWatch simulates the watch on the store: a long poll that waits up to 1 s.
func (f *fakeFleet) pollWatch(n *fakeNode, in clock.Duration) {
	f.after(in, func() {
		if n.dead {
			return
		}
		if n.watching {
			f.deliverObjects(n)
		}
		f.pollWatch(n, clock.Second)
	})
}

func (f *fakeFleet) deliverObjects(n *fakeNode) {
	if n.dead || !n.watching {
		return
	}
	f.reads++
	e := ObjectsReceived{Revision: f.revision}
	for _, o := range f.objects {
		if o.Version > n.since && (strings.HasPrefix(o.Key, ticketsPrefix) || strings.HasPrefix(o.Key, holdingsPrefix)) {
			e.Objects = append(e.Objects, o)
		}
	}
	slices.SortFunc(e.Objects, func(a, b message.StoredObject) int { return cmp.Compare(a.Version, b.Version) })
	n.since = f.revision
	f.handle(n, e)
}

func (f *fakeFleet) handle(n *fakeNode, e Event) {
	if n.dead {
		return
	}
	start := time.Now()
	commands := n.Handle(f.now, e)
	f.busy += time.Since(start)
	for _, c := range commands {
		f.execute(n, c)
	}
}

func (f *fakeFleet) execute(n *fakeNode, c Command) {
	switch c := c.(type) {
	case SendPeer:
		f.send(n, c)
	case ReadObject:
		f.reads++
		f.after(storeDelay, func() {
			o := f.objects[string(c.Key)]
			f.handle(n, ObjectRead{Op: c.Op, Result: object.ReadResult{Key: c.Key, Known: true, Version: object.Version(o.Version), Value: o.Value}})
		})
	case WriteObject:
		f.writes++
		f.after(storeDelay, func() { f.put(n, c) })
	}
}

func (f *fakeFleet) put(n *fakeNode, c WriteObject) {
	result := object.WriteResult{Key: c.Key, Status: object.Conflict}
	if f.objects[string(c.Key)].Version == int64(c.Expect) {
		f.revision++
		f.objects[string(c.Key)] = message.StoredObject{Key: string(c.Key), Version: f.revision, Value: c.Value}
		result.Status, result.Version = object.Written, object.Version(f.revision)
		for _, w := range f.nodes {
			if w.watching {
				f.after(storeDelay, func() { f.deliverObjects(w) })
			}
		}
	}
	f.handle(n, ObjectWritten{Op: c.Op, Result: result})
}

func (f *fakeFleet) send(n *fakeNode, c SendPeer) {
	header := n.Header(f.now)
	size := frameSize(header, c.Body)
	name := reflect.TypeOf(c.Body).Name()
	f.sent[name] += size
	f.frames[name]++
	n.sent += size
	to := f.byRef[c.To.Ref]
	if to == nil {
		return
	}
	if to.dead {
		f.after(2*peerDelay, func() { f.handle(n, PeerLost{Ref: c.To.Ref, Terminated: true}) })
		return
	}
	to.received += size
	f.after(peerDelay, func() {
		f.handle(to, PeerReceived{From: n.self.Ref, Header: header, Bodies: []message.Body{c.Body}})
	})
}

func frameSize(h message.Header, b message.Body) int {
	if t, ok := b.(message.TableBuckets); ok && len(t.Buckets) > 0 {
		size := 40 // header and keys; encoding the values each time would take most of the run time
		for _, o := range t.Buckets {
			size += len(o.Key) + len(o.Value) + 16
		}
		return size
	}
	data, err := peer.Encode(peer.Frame{Header: h, Bodies: []message.Body{b}})
	if err != nil {
		panic(err)
	}
	return len(data)
}

// reset sets all counts to zero.
func (f *fakeFleet) reset() {
	clear(f.sent)
	clear(f.frames)
	f.reads, f.writes, f.busy = 0, 0, 0
	for _, n := range f.nodes {
		n.sent, n.received = 0, 0
	}
}

func total(counts map[string]int) float64 {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return float64(sum)
}

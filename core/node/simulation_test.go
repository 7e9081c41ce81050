package node_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/node"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
	"knapweedstall/core/trace"
)

const (
	region = topology.RegionID("r")
	// epoch is the wall clock at time 0.
	epoch = 1_780_000_000_000
	// settleTime is enough for a new fleet to fill the holder table.
	settleTime = 8 * clock.Second
	// shutdownLimit is the default of timeouts.shutdownMs.
	shutdownLimit = 30 * clock.Second
)

var zones = []topology.ZoneID{"za", "zb", "zc"}

// event is a function to call at a time. Events of the same time keep their order.
type event struct {
	at  clock.Time
	seq uint64
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is a simulated deployment of instances, targets and the platform. It
// depends only on its seed and the actions.
type simulation struct {
	now            clock.Time
	rand           *rand.Rand
	queue          eventQueue
	lastSeq        uint64
	procs          []*proc // the current process of each host
	hostDown       []bool  // hosts that do not respond at all, so that connections time out
	blockedPaths   map[[2]int]bool
	conns          []*conn
	platform       *platform
	targets        []*fakeTarget
	oracle         *oracle
	snapshot       int // number of the newest snapshot
	calls          node.CallID
	filings        int
	runs           int    // number of the newest key of run requests
	trafficStopped bool   // no more traffic
	avoidNotReady  bool   // traffic avoids instances that are not ready, or have been stopping for 2 s
	violation      string // the first violated guarantee
	logged         []string
	wrap           func(*proc) trace.Machine[node.Event, node.Command]
}

func newSimulation(seed uint64, hosts int, wrap func(*proc) trace.Machine[node.Event, node.Command]) *simulation {
	sim := &simulation{now: 1, rand: rand.New(rand.NewPCG(seed, 1)), blockedPaths: map[[2]int]bool{}, hostDown: make([]bool, hosts), snapshot: 1, wrap: wrap}
	sim.platform = newPlatform(sim)
	sim.oracle = newOracle(sim)
	for s := range 3 {
		for k := range 2 {
			sim.targets = append(sim.targets, newTarget(sim, s, k))
		}
	}
	sim.platform.put(string(ticket.Key(1)), 0, encode(sim.firstTicket()))
	for i := range hosts {
		sim.procs = append(sim.procs, nil)
		sim.start(i)
	}
	sim.after(100, sim.oracle.checkPeriodically)
	sim.run(settleTime)
	return sim
}

// after schedules a call of do after d.
func (sim *simulation) after(d clock.Duration, do func()) {
	sim.lastSeq++
	heap.Push(&sim.queue, event{sim.now.Add(max(0, d)), sim.lastSeq, do})
}

// randomMS returns a random duration from lo to hi, in ms.
func (sim *simulation) randomMS(lo, hi int) clock.Duration {
	return clock.Duration(lo + sim.rand.IntN(hi-lo+1))
}

func (sim *simulation) oneIn(n int) bool { return sim.rand.IntN(n) == 0 }

// run advances the time by d, or until a guarantee is violated.
func (sim *simulation) run(d clock.Duration) {
	end := sim.now.Add(d)
	for sim.violation == "" && len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
	if sim.violation == "" {
		sim.now = end
	}
}

func (sim *simulation) violated(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("at %d: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) logf(format string, args ...any) {
	if *showLog {
		sim.logged = append(sim.logged, fmt.Sprintf("%d ", sim.now)+fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) unixMS() int64 { return epoch + int64(sim.now) }

// firstTicket returns a ticket with a collection of three services, each with two
// targets in different zones.
func (sim *simulation) firstTicket() ticket.Ticket {
	t := ticket.Ticket{Number: 1, FilingID: "f0", Operator: "setup", At: epoch}
	set := func(kind ticket.Kind, id string, v ticket.Value) {
		t.Changes = append(t.Changes, ticket.Change{Scope: ticket.Scope{Kind: kind, ID: id}, Value: v})
	}
	for _, z := range zones {
		set(ticket.KindZone, string(z), ticket.Zone{Region: region, State: ticket.ZoneIn})
	}
	set(ticket.KindCollection, "c", ticket.Collection{Collection: sim.collection("")})
	set(ticket.KindSnapshot, "c", ticket.Snapshots{snapshotN(1)})
	for _, workspace := range []string{"a", "b"} {
		set(ticket.KindWorkspace, workspace, ticket.Workspace{Weight: 1, Collections: []topology.CollectionID{"c"}})
	}
	return t
}

// collection returns the collection with the given target leaving, or none.
func (sim *simulation) collection(leaving topology.TargetID) topology.Collection {
	c := topology.Collection{ID: "c"}
	for i, t := range sim.targets {
		if i%2 == 0 {
			c.Services = append(c.Services, topology.Service{ID: t.service, Region: region})
		}
		conf := t.conf
		conf.Leaving = conf.ID == leaving
		s := &c.Services[i/2]
		s.Targets = append(s.Targets, conf)
	}
	return c
}

// snapshotN returns the n-th snapshot. Each places the six shards differently.
func snapshotN(n int) topology.Snapshot {
	s := topology.Snapshot{ID: topology.SnapshotID(fmt.Sprint("v", n)), Shards: map[topology.ServiceID][]topology.ShardID{}}
	for i := range 6 {
		id := topology.ServiceID(fmt.Sprint("s", (i*n+i/3+n)%3))
		s.Shards[id] = append(s.Shards[id], topology.ShardID(fmt.Sprint("sh", i)))
	}
	return s
}

// hitsOf returns the correct hits of one shard.
func hitsOf(workspace topology.WorkspaceID, snapshot topology.SnapshotID, shard topology.ShardID, query string) []message.Hit {
	var hits []message.Hit
	for i := range 2 {
		text := fmt.Sprint(workspace, "/", snapshot, "/", shard, "/", query, "/", i)
		hits = append(hits, message.Hit{ID: text, Score: float64(topology.Hash64(text) % 1000), Text: text})
	}
	return hits
}

// proc is a process of an instance. It simulates how package instance drives the
// node.
type proc struct {
	sim             *simulation
	host            int
	member          topology.Member
	node            *node.Node
	machine         trace.Machine[node.Event, node.Command]
	up              bool
	paused          bool
	stopAt          clock.Time
	resumedAt       clock.Time
	pauseBeforeCall clock.Duration // how long to pause the process before its next call to a target
	inbox           []node.Event
	interrupted     []node.Command // commands to execute after the pause
	wakeAt          clock.Time
	links           map[topology.InstanceRef][]*endpoint
	dialing         map[topology.InstanceRef][]message.Body
	watchID         int
	watching        bool
	stopping        bool
	calls           map[node.TargetCallID]*call
	connected       map[*fakeTarget]bool
}

func (sim *simulation) start(host int) {
	ref := topology.InstanceRef{ID: topology.InstanceID(fmt.Sprint("i", host)), Incarnation: topology.NewIncarnation(sim.unixMS(), sim.rand.Uint64())}
	p := &proc{
		sim: sim, host: host, up: true,
		member: topology.Member{Ref: ref, Address: address(host), Zone: zones[host%3], Region: region, State: topology.MemberLive},
		links:  map[topology.InstanceRef][]*endpoint{}, dialing: map[topology.InstanceRef][]message.Body{},
		calls: map[node.TargetCallID]*call{}, connected: map[*fakeTarget]bool{},
	}
	p.node = node.New(sim.now, p.member, node.WithSeed(uint64(ref.Incarnation)), node.WithBuckets(2), node.WithUnixOffset(epoch))
	p.machine = p.node
	if sim.wrap != nil {
		p.machine = sim.wrap(p)
	}
	sim.procs[host] = p
	sim.oracle.processStarted(p)
	sim.logf("%s starts", p)
	p.tick()
	p.listMembers(false)
}

func address(host int) string { return fmt.Sprintf("10.0.0.%d:7000", host+1) }

func (p *proc) String() string { return string(p.member.Ref.ID) }

func (p *proc) tick() {
	if p.up {
		p.deliver(node.Tick{UnixMS: p.sim.unixMS()})
		p.sim.after(node.TickPeriod, p.tick)
	}
}

// post delivers an event after d.
func (p *proc) post(d clock.Duration, e node.Event) { p.sim.after(d, func() { p.deliver(e) }) }

func (p *proc) deliver(e node.Event) {
	switch _, tick := e.(node.Tick); {
	case !p.up || p.paused && tick:
	case p.paused:
		p.inbox = append(p.inbox, e)
	default:
		p.handle(e)
	}
}

func (p *proc) handle(e node.Event) {
	if p.sim.violation != "" {
		return
	}
	if _, tick := e.(node.Tick); !tick {
		p.sim.logf("%s < %T%+v", p, e, e)
	}
	p.sim.oracle.eventDelivered(p, e)
	commands := p.machine.Handle(p.sim.now, e)
	p.sim.oracle.checkConfig(p)
	p.execute(commands)
	if at := p.node.NextWake(); at != 0 && (p.wakeAt <= p.sim.now || at < p.wakeAt) {
		p.wakeAt = max(at, p.sim.now+1)
		p.sim.after(p.wakeAt.Sub(p.sim.now), func() { p.deliver(node.Tick{UnixMS: p.sim.unixMS()}) })
	}
}

func (p *proc) execute(commands []node.Command) {
	for i, c := range commands {
		if _, sends := c.(node.CallTarget); sends && p.pauseBeforeCall > 0 {
			p.interrupted = commands[i:]
			p.pause(p.pauseBeforeCall)
			return
		}
		p.sim.logf("%s > %T%+v", p, c, c)
		p.executeCommand(c)
	}
}

func (p *proc) executeCommand(c node.Command) {
	switch c := c.(type) {
	case node.AnswerSearch:
		p.sim.oracle.searchAnswered(p, c)
	case node.RefuseCall:
		p.sim.oracle.callRefused(p, c)
	case node.AnswerRun:
		p.sim.oracle.runAnswered(p, c)
	case node.AnswerTicket:
		p.sim.oracle.ticketAnswered(p, c)
	case node.SendPeer:
		p.sendPeer(c.To, c.Body)
	case node.CallTarget:
		p.callTarget(c)
	case node.CancelTarget:
		p.cancelTarget(c.Call)
	case node.ReadObject:
		p.sim.platform.read(p, c)
	case node.WriteObject:
		p.sim.platform.write(p, c)
	case node.ListObjects:
		p.sim.platform.list(p, c)
	case node.WatchStore:
		p.watchID++
		p.watching = c.On
		if c.On {
			p.sim.platform.watch(p, p.watchID, c.Prefixes, c.Since)
		}
	case node.Stopped:
		p.sim.oracle.checkStopComplete(p)
		p.sim.after(10, p.shutdown)
	}
}

// pause suspends the process for d, like a virtual machine that is suspended.
func (p *proc) pause(d clock.Duration) {
	p.paused, p.pauseBeforeCall = true, 0
	p.sim.oracle.updateReachability()
	p.sim.after(d, p.resume)
}

func (p *proc) resume() {
	if !p.up || !p.paused {
		return
	}
	p.sim.logf("%s resumes", p)
	p.paused, p.resumedAt = false, p.sim.now
	interrupted := p.interrupted
	p.interrupted = nil
	p.execute(interrupted)
	if p.sim.oneIn(2) { // timers and sockets may be served in either order
		p.deliver(node.Tick{UnixMS: p.sim.unixMS()})
	}
	inbox := p.inbox
	p.inbox = nil
	for _, e := range inbox {
		p.deliver(e)
	}
	p.sim.oracle.updateReachability()
}

// kill ends the process immediately.
func (p *proc) kill() {
	if !p.up {
		return
	}
	p.sim.logf("%s ends", p)
	p.up, p.paused = false, false
	p.sim.oracle.processEnded(p)
	for _, c := range slices.Clone(p.sim.conns) {
		for _, e := range c.ends {
			if e.p == p {
				e.close()
			}
		}
	}
}

// stop starts a graceful stop of the process.
func (p *proc) stop() {
	if p.up && !p.stopping {
		p.stopping, p.stopAt = true, p.sim.now
		p.sim.platform.register(p, topology.MemberLeaving)
		p.deliver(node.StopRequested{})
	}
}

// shutdown waits for the requests in progress, as HTTP servers do, and ends the
// process.
func (p *proc) shutdown() {
	switch {
	case !p.up:
	case p.sim.oracle.countOpenRequests(p) > 0 && p.sim.now.Sub(p.stopAt) < shutdownLimit:
		p.sim.after(10, p.shutdown)
	default:
		p.sim.oracle.checkStopEnd(p)
		p.kill()
		p.sim.platform.deregister(p)
	}
}

// log returns the last lines of the log.
func (sim *simulation) log() string {
	return strings.Join(sim.logged[max(0, len(sim.logged)-*logLines):], "\n")
}

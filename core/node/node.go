package node

import (
	"strconv"

	"knapweedstall/core/admission"
	"knapweedstall/core/clock"
	"knapweedstall/core/holding"
	"knapweedstall/core/membership"
	"knapweedstall/core/message"
	"knapweedstall/core/query"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
)

// Node is the decision logic of one instance. In the terms of this package, an
// entry instance is the instance that received a request from its caller, and a holder is
// an instance that may send work to one half, a share, of the slots of a
// service's targets. Every instance acts as both. The configuration is the
// result of all tickets, the numbered changes that operators make. A Node is not
// safe for concurrent use.
type Node struct {
	self      topology.Member
	opts      options
	setup     Setup // for the header of a trace
	members   *membership.Set
	configLog *ticket.Log
	holder    *holding.Holder
	timers    *timers
	counters  Counters
	commands  []Command

	propagation propagation
	storeOps    storeOps
	configSync  configSync
	watching    bool
	stopping    bool
	stopped     bool
	stopAt      clock.Time

	// State as an entry instance.
	lastSeq      uint64
	searches     map[uint64]*search // by sequence number of the request
	searchByCall map[CallID]*search
	delayTracker *query.DelayTracker
	admission    map[topology.CollectionID]*admission.Controller
	loads        map[topology.ServiceID]*serviceLoad
	filings      map[CallID]*filing
	runs         runState
	canaries     canaryState
	unixOffset   int64 // wall clock in Unix ms minus now, from WithUnixOffset or the latest Tick

	// State as a holder.
	services        map[topology.ServiceID]topology.Service // in the current configuration
	targetByAddress map[string]targetCall                   // service and target at each address
	zoneOut         map[topology.ZoneID]bool                // zones that operators have taken out of service
	held            map[topology.ServiceID]*heldService
	targetCalls     map[TargetCallID]targetCall
	lastTargetCall  TargetCallID

	localMessages []localMessage // not delivered yet
}

// localMessage is a message of this instance to itself. It is delivered after
// the current input has been handled, so that no state machine is called
// recursively.
type localMessage struct {
	body message.Body
}

type options struct {
	seed       uint64
	unixOffset int64
	buckets    int
	hedging    bool
	admission  bool
	canary     bool
}

// Option configures a Node.
type Option func(*options)

// WithSeed sets the seed of all pseudo-random choices.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithUnixOffset sets the wall clock in Unix ms minus now. It is used for times
// that other instances read.
func WithUnixOffset(ms int64) Option { return func(o *options) { o.unixOffset = ms } }

// WithBuckets sets the number of holder table buckets of each region. All
// instances must agree on it.
func WithBuckets(n int) Option { return func(o *options) { o.buckets = n } }

// WithoutHedging disables hedging: no search is sent to a second target. Like
// the other options that disable a policy, it serves to measure a baseline.
func WithoutHedging() Option { return func(o *options) { o.hedging = false } }

// WithoutAdmission disables admission control: every query is admitted.
func WithoutAdmission() Option { return func(o *options) { o.admission = false } }

// WithoutCanary disables canaries: every query is treated as safe.
func WithoutCanary() Option { return func(o *options) { o.canary = false } }

const defaultBuckets = 16

// New returns a Node for the instance self that starts at now.
func New(now clock.Time, self topology.Member, opts ...Option) *Node {
	o := options{buckets: defaultBuckets, hedging: true, admission: true, canary: true}
	for _, opt := range opts {
		opt(&o)
	}
	n := &Node{
		self: self, opts: o,
		members:      membership.New(now, self, o.seed),
		configLog:    ticket.NewLog(),
		timers:       newTimers(),
		propagation:  newPropagation(),
		storeOps:     newStoreOps(),
		configSync:   configSync{ticketRevision: map[ticket.Number]int64{}},
		searches:     map[uint64]*search{},
		searchByCall: map[CallID]*search{},
		delayTracker: query.NewDelayTracker(),
		admission:    map[topology.CollectionID]*admission.Controller{},
		loads:        map[topology.ServiceID]*serviceLoad{},
		filings:      map[CallID]*filing{},
		runs:         newRunState(),
		canaries:     newCanaryState(self.Ref, clock.Duration(o.unixOffset)),
		unixOffset:   o.unixOffset,
		services:     map[topology.ServiceID]topology.Service{},
		zoneOut:      map[topology.ZoneID]bool{},
		held:         map[topology.ServiceID]*heldService{},
		targetCalls:  map[TargetCallID]targetCall{},
	}
	n.setup = Setup{Now: now, Self: self, Seed: o.seed, UnixOffset: o.unixOffset, Buckets: o.buckets, Hedging: o.hedging, Admission: o.admission, Canary: o.canary}
	n.holder = holding.New(self, workInFlight{n}, holding.WithSeed(o.seed^uint64(self.Ref.Incarnation)), holding.WithBuckets(o.buckets))
	return n
}

// Handle applies one event that happened at now, which must never decrease. The
// caller must execute the returned commands in order.
func (n *Node) Handle(now clock.Time, e Event) []Command {
	n.commands = nil
	n.apply(now, e)
	n.deliverLocal(now)
	n.timers.run(now)
	n.deliverLocal(now)
	return n.commands
}

func (n *Node) deliverLocal(now clock.Time) {
	for len(n.localMessages) > 0 {
		m := n.localMessages[0]
		n.localMessages = n.localMessages[1:]
		n.receive(now, n.self.Ref, m.body)
	}
}

// NextWake returns the time at which a Tick is next needed, in addition to the
// regular one every TickPeriod. It returns 0 if none is needed.
func (n *Node) NextWake() clock.Time { return n.timers.next() }

// memberCheckPeriod is the interval of the check for silent members. The check
// sorts the members. When every tick made it, it took half of the processor time
// of the control work at 690 members.
const memberCheckPeriod = 250 * clock.Millisecond

// TickPeriod is the interval at which a driver sends Tick when nothing else is
// due.
const TickPeriod = 50 * clock.Millisecond

func (n *Node) apply(now clock.Time, e Event) {
	switch e := e.(type) {
	case SearchArrived:
		n.searchArrived(now, e)
	case RunArrived:
		n.runArrived(now, e)
	case CallerDisconnected:
		n.callerDisconnected(now, e.Call)
	case TicketFiled:
		n.ticketFiled(e)
	case PeerReceived:
		n.peerReceived(now, e)
	case PeerConnected:
		n.incarnationsEnded(now, n.members.Connected(now, e.Member))
		n.membersChanged(now)
	case PeerLost:
		n.peerLost(now, e)
	case TargetAnswered:
		n.targetAnswered(now, e)
	case TargetFailed:
		n.targetFailed(now, e)
	case TargetConnected:
		n.targetConnectionChanged(now, e.Address, true)
	case TargetDisconnected:
		n.targetConnectionChanged(now, e.Address, false)
	case ObjectRead:
		n.objectRead(now, e)
	case ObjectWritten:
		n.objectWritten(now, e)
	case ObjectsReceived:
		n.objectsReceived(now, e)
	case StoreFailed:
		n.executeHolder(n.holder.StoreReachable(now, n.members.ReachesStore(now)))
	case MembersListed:
		n.storeReplied(now)
		n.incarnationsEnded(now, n.members.ListReceived(now, e.Members))
		n.membersChanged(now)
	case StopRequested:
		n.stopRequested(now)
	case Tick:
		if e.UnixMS != 0 {
			n.unixOffset = e.UnixMS - int64(now)
		}
		n.tick(now)
	}
}

// tick does the periodic work of the components that have no timer.
func (n *Node) tick(now clock.Time) {
	for _, send := range n.members.Tick(now) {
		n.send(send.To, send.Body)
	}
	if !now.Before(n.propagation.nextMembersCheck) {
		n.propagation.nextMembersCheck = now.Add(memberCheckPeriod)
		n.membersChanged(now)
		n.updateWatch(now)
	}
	n.executeHolder(n.holder.StoreReachable(now, n.members.ReachesStore(now)))
	n.executeHolder(n.holder.Tick(now))
	n.loadConfig(now)
	n.removeIdleHeld(now)
	n.tickPropagation(now)
	n.checkStopped(now)
}

// membersChanged passes the current members on to the components that assign
// work to them, if the members have changed.
func (n *Node) membersChanged(now clock.Time) {
	live := n.members.Live(now)
	hash := uint64(len(live))
	for i, m := range live {
		if n.zoneOut[m.Zone] {
			// Holdings move away from a zone that operators have taken out of
			// service.
			live[i].State = topology.MemberLeaving
			m = live[i]
		}
		hash = hash*31 + topology.Hash64(m.Ref.String(), string(m.State))
	}
	if hash == n.propagation.membersHash {
		return
	}
	n.propagation.membersHash = hash
	n.executeHolder(n.holder.SetMembers(now, live))
	n.executeCoordinator(now, n.canaries.coordinator.SetMembers(now, live))
}

// incarnationsEnded handles incarnations that are proven to have ended.
func (n *Node) incarnationsEnded(now clock.Time, refs []topology.InstanceRef) {
	for _, ref := range refs {
		n.logf(LevelInfo, "instanceEnded", Attr{"instance", ref.String()})
		n.executeHolder(n.holder.Terminated(now, ref))
		n.holderLost(now, ref)
	}
}

func (n *Node) peerLost(now clock.Time, e PeerLost) {
	ended := n.members.ConnectionLost(now, e.Ref, e.Terminated)
	n.counters.PeersLost++
	n.holderLost(now, e.Ref)
	n.incarnationsEnded(now, ended)
	n.membersChanged(now)
}

// updateWatch starts or stops this instance's watch on the store, so that one
// instance of each zone watches it.
func (n *Node) updateWatch(now clock.Time) {
	on := n.configSync.done && n.members.IsWatcher(now) && !n.stopped
	if on != n.watching {
		n.watching = on
		n.emit(WatchStore{On: on, Prefixes: []string{ticketsPrefix, holdingsPrefix}, Since: n.configSync.listedRevision})
	}
}

func (n *Node) emit(c Command) { n.commands = append(n.commands, c) }

// send sends a message to a member, which may be this instance itself.
func (n *Node) send(to topology.Member, b message.Body) {
	if to.Ref == n.self.Ref {
		n.localMessages = append(n.localMessages, localMessage{body: b})
		return
	}
	n.emit(SendPeer{To: to, Body: b})
}

// sendRef sends a message to an incarnation. It reports whether the incarnation
// is known; if not, nothing is sent.
func (n *Node) sendRef(to topology.InstanceRef, b message.Body) bool {
	m, ok := n.members.Member(to)
	if ok {
		n.send(m, b)
	}
	return ok
}

func (n *Node) logf(level Level, code string, attrs ...Attr) {
	n.emit(LogRecord{Level: level, Code: code, Attrs: attrs})
}

// unixNow returns the wall clock in Unix ms.
func (n *Node) unixNow(now clock.Time) int64 { return int64(now) + n.unixOffset }

func formatUint(v uint64) string { return strconv.FormatUint(v, 10) }

// Header returns the header of frames that this instance sends at now.
func (n *Node) Header(now clock.Time) message.Header {
	return message.Header{
		Config:       uint64(n.configLog.Number()),
		TableHash:    n.propagation.tableHash,
		ReachesStore: n.members.ReachesStore(now),
		Leaving:      n.stopping,
		SentAt:       now,
	}
}

// Ready reports whether the load balancer should send callers' requests to the
// instance.
func (n *Node) Ready(now clock.Time) bool {
	return !n.stopping && n.configLog.Number() > 0 && !n.members.Isolated(now)
}

// receive handles one message.
func (n *Node) receive(now clock.Time, from topology.InstanceRef, b message.Body) {
	switch b := b.(type) {
	case message.SubRequest:
		n.subRequest(now, from, b)
	case message.SubReply:
		n.subReply(now, from, b)
	case message.CancelSub:
		n.cancelSub(now, b.ID)
	case message.TargetReport:
		n.targetReport(now, b)
	case message.Gossip, message.MemberList:
		ended, sends := n.members.Receive(now, from, b)
		n.incarnationsEnded(now, ended)
		for _, s := range sends {
			n.send(s.To, s.Body)
		}
		n.membersChanged(now)
	case message.TicketsRequest:
		n.ticketsRequest(from, b)
	case message.Tickets:
		n.ticketsReceived(now, b)
	case message.TableDigest:
		n.tableDigest(from, b)
	case message.Announce: // the frame's header was handled already
	case message.TableBuckets:
		n.tableBuckets(now, b)
	case message.LeaseRenewal, message.EntryNotice, message.EntryAck, message.EntryRead, message.EntryReadReply:
		n.executeHolder(n.holder.Receive(now, from, b))
	default:
		n.receiveRun(now, from, b)
	}
}

func (n *Node) peerReceived(now clock.Time, e PeerReceived) {
	n.members.HeaderReceived(now, e.From, e.Header)
	n.executeHolder(n.holder.HeartbeatReceived(now, e.From, e.Header.ReachesStore))
	n.handleHeader(now, e.From, e.Header)
	for _, b := range e.Bodies {
		n.receive(now, e.From, b)
	}
}

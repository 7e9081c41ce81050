package holding

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

const (
	// tickInterval is so much shorter than maxPause that a gap of maxPause
	// between inputs means that the instance was paused.
	tickInterval    = 100 * clock.Millisecond
	renewalInterval = 500 * clock.Millisecond
	defaultBuckets  = 16
)

// Option configures a Holder.
type Option func(*Holder)

// WithSeed sets the seed of the random delays; the default is derived from the
// instance.
func WithSeed(seed uint64) Option {
	return func(h *Holder) { h.rng = rand.New(rand.NewPCG(seed, 0)) }
}

// WithBuckets sets the number of buckets of each region's table; the default is
// 16. All instances must agree on it for as long as the table exists.
func WithBuckets(n int) Option {
	return func(h *Holder) { h.buckets = n }
}

// peer is what this instance knows of another.
type peer struct {
	heartbeatAt    clock.Time
	reachesStore   bool
	requestedAt    clock.Time           // newest request for a renewal, on the peer's clock
	sharedServices []topology.ServiceID // services in that request, in ascending order
}

// read is one read of the store in progress.
type read struct {
	key      string
	at       clock.Time
	relayTo  topology.InstanceRef // peer that requested the read; zero when this instance reads for itself
	relayAt  clock.Time           // time of the peer's request, on the peer's clock
	services []topology.ServiceID // entries that the peer wants
}

// Holder is one instance in its role as a holder of shares: its copy of the holder
// table, its planner and its leases. It is a state machine without I/O. The code
// that drives it passes in all inputs with their times, carries out the returned
// commands, calls Tick at NextWake, and delivers messages only to the incarnation
// to which they are addressed. A Holder is not safe for concurrent use.
type Holder struct {
	self    topology.Member
	work    WorkTracker
	rng     *rand.Rand
	buckets int

	services     []topology.Service // services of this region, in ascending order of ID
	members      map[topology.InstanceRef]topology.Member
	lastSeen     map[topology.InstanceRef]clock.Time // when each instance that ever was a member was last listed as one
	unknownSince map[topology.InstanceRef]clock.Time // for holders that never were members, when that was noticed
	// terminated is when the end of each terminated incarnation became known.
	terminated   map[topology.InstanceRef]clock.Time
	peers        map[topology.InstanceRef]*peer
	tables       map[string]Bucket // newest copy of each bucket; entries of states may be newer
	states       map[topology.ServiceID]*serviceState
	heldServices []topology.ServiceID // services of which this instance holds a share, in ascending order

	// listenUntil ends the time after a pause in which peers are given the chance
	// to send a heartbeat. writeAt is when planned changes are written; 0 when
	// there are none. dirty is set when an input may have changed the plan.
	started, lastInput, lastTick, lastHeartbeat, listenUntil clock.Time
	nextRenewal, nextPlan, writeAt, nextRebalance            clock.Time
	storeReachable, leaving, dirty                           bool

	// continueCheckedAt is when mayContinue was last computed, or zero after an
	// input. The result is cached because UsableShares is called before every
	// send, and there may be hundreds of peers.
	continueCheckedAt clock.Time
	continueAllowed   bool

	reads    map[ReadID]read
	lastRead ReadID
	reading  map[string]bool   // buckets that this instance is reading for itself
	writing  map[string]Bucket // buckets with a write in progress
}

// New returns a Holder for self. Earlier incarnations of self must have ended.
func New(self topology.Member, work WorkTracker, opts ...Option) *Holder {
	h := &Holder{
		self: self, work: work, buckets: defaultBuckets,
		members:      map[topology.InstanceRef]topology.Member{},
		lastSeen:     map[topology.InstanceRef]clock.Time{},
		unknownSince: map[topology.InstanceRef]clock.Time{},
		terminated:   map[topology.InstanceRef]clock.Time{},
		peers:        map[topology.InstanceRef]*peer{},
		tables:       map[string]Bucket{},
		states:       map[topology.ServiceID]*serviceState{},
		reads:        map[ReadID]read{},
		reading:      map[string]bool{},
		writing:      map[string]Bucket{},
	}
	WithSeed(topology.Hash64(self.Ref.String()))(h)
	for _, o := range opts {
		o(h)
	}
	return h
}

// recordInput records the time of an input and detects pauses.
func (h *Holder) recordInput(now clock.Time) {
	if h.started == 0 {
		h.started, h.lastHeartbeat = now, now
	} else if now.Sub(h.lastInput) > maxPause {
		h.listenUntil = now.Add(heartbeatTimeout)
	}
	h.lastInput = now
	h.continueCheckedAt = 0
}

// SetServices replaces the services by those of the configuration in force. Their
// targets are not copied and must not change afterwards. Entries of services that
// are not listed stay in the table, because another instance may have a newer
// configuration and epochs must never restart.
func (h *Holder) SetServices(now clock.Time, services []topology.Service) []Command {
	h.recordInput(now)
	h.services = h.services[:0]
	for _, s := range services {
		if s.Region == h.self.Region {
			h.services = append(h.services, s)
		}
	}
	slices.SortFunc(h.services, func(a, b topology.Service) int { return cmp.Compare(a.ID, b.ID) })
	h.dirty = true
	return nil
}

// SetMembers replaces the instances that are known to be live or leaving. The
// absence of an instance does not prove that it terminated.
func (h *Holder) SetMembers(now clock.Time, members []topology.Member) []Command {
	h.recordInput(now)
	clear(h.members)
	for _, m := range members {
		h.members[m.Ref] = m
		h.lastSeen[m.Ref] = now
		delete(h.unknownSince, m.Ref)
	}
	h.dirty = true
	return nil
}

// Terminated records proof that the incarnation has ended: its address refuses
// connections or answers with another incarnation, or the platform's list no
// longer has an incarnation that it once had.
func (h *Holder) Terminated(now clock.Time, ref topology.InstanceRef) []Command {
	h.recordInput(now)
	if _, ok := h.terminated[ref]; !ok && ref != h.self.Ref {
		h.terminated[ref] = now
		delete(h.peers, ref)
		h.dirty = true
	}
	return nil
}

// HeartbeatReceived records a message or heartbeat from a peer, and whether that
// peer reaches the store.
func (h *Holder) HeartbeatReceived(now clock.Time, from topology.InstanceRef, reachesStore bool) []Command {
	h.recordInput(now)
	p := h.peer(from)
	p.heartbeatAt, p.reachesStore = now, reachesStore
	h.lastHeartbeat = now
	return nil
}

// StoreReachable records whether this instance reaches the store. The driver
// reports a change within 1 s.
func (h *Holder) StoreReachable(now clock.Time, ok bool) []Command {
	h.recordInput(now)
	h.dirty = h.dirty || ok && !h.storeReachable
	h.storeReachable = ok
	return nil
}

// ApplyBucket adopts a bucket from the store or a peer. Versions that are not newer
// than the known one are ignored. The bucket is not copied and must not change
// afterwards.
func (h *Holder) ApplyBucket(now clock.Time, b Bucket) []Command {
	h.recordInput(now)
	return h.applyBucket(now, b)
}

func (h *Holder) applyBucket(now clock.Time, b Bucket) []Command {
	if old, ok := h.tables[b.Key]; ok && b.Version <= old.Version {
		return nil
	}
	h.tables[b.Key] = b
	h.dirty = true
	var cmds []Command
	for _, id := range sortedKeys(b.Entries) {
		cmds = append(cmds, h.learnEntry(now, id, b.Entries[id], true)...)
	}
	return cmds
}

// learnEntry adopts an entry if its epoch is newer than the known one. Of two
// lists of former holders in the same epoch, only the order of versions in the
// store tells which is newer; ordered says that the entry is newer by that order.
func (h *Holder) learnEntry(now clock.Time, id topology.ServiceID, e Entry, ordered bool) []Command {
	st := h.state(id)
	if e.Epoch == st.entry.Epoch && ordered {
		st.entry.Former = e.Former
	}
	if e.Epoch <= st.entry.Epoch {
		return nil
	}
	h.adoptEntry(now, id, e)
	if !st.holds() {
		return nil
	}
	cmds := h.requestAcks(now, id, st)
	if p, _ := st.partner(h.self.Ref); p != h.self.Ref {
		cmds = append(cmds, h.renewLease(now, p))
	}
	return cmds
}

// Leave starts a graceful stop: it writes the table without this instance, which
// continues to work until it acknowledges the new entries.
func (h *Holder) Leave(now clock.Time) []Command {
	h.recordInput(now)
	h.leaving = true
	return h.writeChanges(now)
}

// ServicesInUse returns the number of services of which the instance holds a share,
// or may still use one that another instance received. A leaving instance may stop
// when it is zero.
func (h *Holder) ServicesInUse(now clock.Time) int {
	n := 0
	for _, st := range h.states {
		if st.holds() || now < max(st.handoverUntil[0], st.handoverUntil[1]) {
			n++
		}
	}
	return n
}

// Holders returns the entry of a service as this instance knows it.
func (h *Holder) Holders(service topology.ServiceID) (Entry, bool) {
	st := h.states[service]
	if st == nil || st.entry.Epoch == 0 {
		return Entry{}, false
	}
	return st.entry, true
}

// NextWake returns when Tick is next needed. Other inputs do not postpone it.
func (h *Holder) NextWake() clock.Time {
	return min(h.lastTick.Add(tickInterval), max(h.nextRenewal, h.lastTick+1))
}

// Tick sends the periodic messages that are due, and plans and writes changes of
// the table.
func (h *Holder) Tick(now clock.Time) []Command {
	h.recordInput(now)
	h.lastTick = now
	var cmds []Command
	if now >= h.nextRenewal {
		h.nextRenewal = now.Add(renewalInterval)
		cmds = append(cmds, h.sendPeriodic(now)...)
	}
	return append(cmds, h.plan(now)...)
}

func (h *Holder) peer(ref topology.InstanceRef) *peer {
	p := h.peers[ref]
	if p == nil {
		p = &peer{}
		h.peers[ref] = p
	}
	return p
}

func (h *Holder) state(id topology.ServiceID) *serviceState {
	st := h.states[id]
	if st == nil {
		st = &serviceState{lastRenewalSent: map[topology.InstanceRef]clock.Time{}}
		h.states[id] = st
	}
	return st
}

// updateHeldServices adds the service to h.heldServices or removes it, according
// to its state.
func (h *Holder) updateHeldServices(id topology.ServiceID, st *serviceState) {
	i, found := slices.BinarySearch(h.heldServices, id)
	switch {
	case st.holds() && !found:
		h.heldServices = slices.Insert(h.heldServices, i, id)
	case !st.holds() && found:
		h.heldServices = slices.Delete(h.heldServices, i, i+1)
	}
}

// knowsOthers reports whether any other known member may still be running.
func (h *Holder) knowsOthers() bool {
	for ref := range h.members {
		if _, terminated := h.terminatedAt(ref); !terminated && ref != h.self.Ref {
			return true
		}
	}
	return false
}

func compareRefs(a, b topology.InstanceRef) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

package holding

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

const (
	// tickInterval is short enough for a gap of maxPause to mean a pause.
	tickInterval   = 100 * clock.Millisecond
	vouchInterval  = 500 * clock.Millisecond
	defaultBuckets = 16
)

// Option changes a Holder.
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

// peer is what one instance knows of another.
type peer struct {
	heardAt      clock.Time
	reachesStore bool
	requestedAt  clock.Time           // newest request of a vouch, by the peer's clock
	listed       []topology.ServiceID // services in that request, ascending
}

// read is one read of the store in progress.
type read struct {
	key      string
	at       clock.Time
	relayTo  topology.InstanceRef // zero when the read is this instance's own
	relayAt  clock.Time           // the relayed request's time by the requester's clock
	services []topology.ServiceID // entries that the requester wants
}

// Holder is the table copy, the planner and the rights machine of one instance.
// It is not safe for concurrent use. The driver calls Tick when NextWake says
// so, and delivers messages only to the incarnation that they name.
type Holder struct {
	self    topology.Member
	work    WorkTracker
	rng     *rand.Rand
	buckets int

	services []topology.Service // of the own region, ascending by id
	members  map[topology.InstanceRef]topology.Member
	seen     map[topology.InstanceRef]clock.Time // refs that were ever members: when last
	missing  map[topology.InstanceRef]clock.Time // holders that never were members: since when
	// terminated holds when the end of an incarnation became known.
	terminated map[topology.InstanceRef]clock.Time
	peers      map[topology.InstanceRef]*peer
	tables     map[string]Bucket // newest copy of each bucket; entries of states may be newer
	states     map[topology.ServiceID]*state
	mine       []topology.ServiceID // services with a held share, ascending

	started, lastInput, lastTick, lastHeard, listenUntil clock.Time
	nextVouch, nextCheck, planAt, nextRelief             clock.Time
	storeOK, leaving, dirty                              bool

	// continueAsked is when mayContinue was last computed, or zero after an
	// input. Use asks before every send, and may hear hundreds of peers.
	continueAsked clock.Time
	continueOK    bool

	reads    map[ReadID]read
	lastRead ReadID
	reading  map[string]bool // buckets with an own read in progress
	writing  map[string]Bucket
}

// New returns a Holder for self. Earlier incarnations of self must have ended.
func New(self topology.Member, work WorkTracker, opts ...Option) *Holder {
	h := &Holder{
		self: self, work: work, buckets: defaultBuckets,
		members:    map[topology.InstanceRef]topology.Member{},
		seen:       map[topology.InstanceRef]clock.Time{},
		missing:    map[topology.InstanceRef]clock.Time{},
		terminated: map[topology.InstanceRef]clock.Time{},
		peers:      map[topology.InstanceRef]*peer{},
		tables:     map[string]Bucket{},
		states:     map[topology.ServiceID]*state{},
		reads:      map[ReadID]read{},
		reading:    map[string]bool{},
		writing:    map[string]Bucket{},
	}
	WithSeed(topology.Hash64(self.Ref.String()))(h)
	for _, o := range opts {
		o(h)
	}
	return h
}

// enter notes the time of an input and detects pauses.
func (h *Holder) enter(now clock.Time) {
	if h.started == 0 {
		h.started, h.lastHeard = now, now
	} else if now.Sub(h.lastInput) > maxPause {
		h.listenUntil = now.Add(silence)
	}
	h.lastInput = now
	h.continueAsked = 0
}

// SetServices replaces the services of the configuration in force. Their targets
// are kept and must not change afterwards. Entries of services that are not
// listed stay in the table, because another instance may be ahead in the
// configuration and an epoch must never start again.
func (h *Holder) SetServices(now clock.Time, services []topology.Service) []Command {
	h.enter(now)
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

// SetMembers replaces the instances that are known to be live or leaving. That
// one is absent is no proof that it terminated.
func (h *Holder) SetMembers(now clock.Time, members []topology.Member) []Command {
	h.enter(now)
	clear(h.members)
	for _, m := range members {
		h.members[m.Ref] = m
		h.seen[m.Ref] = now
		delete(h.missing, m.Ref)
	}
	h.dirty = true
	return nil
}

// Terminated records proof that the incarnation has ended: its address refuses
// connections or answers with another incarnation, or the platform's list no
// longer has an incarnation that it once had.
func (h *Holder) Terminated(now clock.Time, ref topology.InstanceRef) []Command {
	h.enter(now)
	if _, ok := h.terminated[ref]; !ok && ref != h.self.Ref {
		h.terminated[ref] = now
		delete(h.peers, ref)
		h.dirty = true
	}
	return nil
}

// Heard records a message or heartbeat from a peer and whether that peer reaches
// the store.
func (h *Holder) HeartbeatReceived(now clock.Time, from topology.InstanceRef, reachesStore bool) []Command {
	h.enter(now)
	p := h.peer(from)
	p.heardAt, p.reachesStore = now, reachesStore
	h.lastHeard = now
	return nil
}

// StoreReachable records whether this instance reaches the store. The driver
// reports a change within 1 s.
func (h *Holder) StoreReachable(now clock.Time, ok bool) []Command {
	h.enter(now)
	h.dirty = h.dirty || ok && !h.storeOK
	h.storeOK = ok
	return nil
}

// ApplyBucket adopts a bucket from the store or a peer. Older versions are
// ignored. The bucket is kept and must not change afterwards.
func (h *Holder) ApplyBucket(now clock.Time, b Bucket) []Command {
	h.enter(now)
	return h.apply(now, b)
}

func (h *Holder) apply(now clock.Time, b Bucket) []Command {
	if old, ok := h.tables[b.Key]; ok && b.Version <= old.Version {
		return nil
	}
	h.tables[b.Key] = b
	h.dirty = true
	var cmds []Command
	for _, id := range sortedKeys(b.Entries) {
		cmds = append(cmds, h.learn(now, id, b.Entries[id], true)...)
	}
	return cmds
}

// learn adopts an entry if it is newer than the known one. Within an epoch only
// the store's order tells which of two lists of former holders is newer.
func (h *Holder) learn(now clock.Time, id topology.ServiceID, e Entry, ordered bool) []Command {
	st := h.state(id)
	if e.Epoch == st.entry.Epoch && ordered {
		st.entry.Former = e.Former
	}
	if e.Epoch <= st.entry.Epoch {
		return nil
	}
	h.adopt(now, id, e)
	if !st.holds() {
		return nil
	}
	cmds := h.requestAcks(now, id, st)
	if p, _ := st.partner(h.self.Ref); p != h.self.Ref {
		cmds = append(cmds, h.vouchFor(now, p))
	}
	return cmds
}

// Leave starts a graceful stop: the table is rewritten without this instance,
// which keeps working until it acknowledges the new entries.
func (h *Holder) Leave(now clock.Time) []Command {
	h.enter(now)
	h.leaving = true
	return h.write(now)
}

// Held returns how many services the instance holds a share of, or still uses
// one of. A leaving instance may stop when it is zero.
func (h *Holder) HeldCount(now clock.Time) int {
	n := 0
	for _, st := range h.states {
		if st.holds() || now < max(st.lameUntil[0], st.lameUntil[1]) {
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
	return min(h.lastTick.Add(tickInterval), max(h.nextVouch, h.lastTick+1))
}

// Tick does what is due.
func (h *Holder) Tick(now clock.Time) []Command {
	h.enter(now)
	h.lastTick = now
	var cmds []Command
	if now >= h.nextVouch {
		h.nextVouch = now.Add(vouchInterval)
		cmds = append(cmds, h.exchange(now)...)
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

func (h *Holder) state(id topology.ServiceID) *state {
	st := h.states[id]
	if st == nil {
		st = &state{gave: map[topology.InstanceRef]clock.Time{}}
		h.states[id] = st
	}
	return st
}

// index keeps h.mine in step with the state.
func (h *Holder) index(id topology.ServiceID, st *state) {
	i, found := slices.BinarySearch(h.mine, id)
	switch {
	case st.holds() && !found:
		h.mine = slices.Insert(h.mine, i, id)
	case !st.holds() && found:
		h.mine = slices.Delete(h.mine, i, i+1)
	}
}

// knowsOthers reports whether another instance is known that may be alive.
func (h *Holder) knowsOthers() bool {
	for ref := range h.members {
		if _, gone := h.terminatedAt(ref); !gone && ref != h.self.Ref {
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

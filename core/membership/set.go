// Package membership keeps what one instance knows of the others: the
// platform's lagging list, what it hears on its connections, and what peers
// pass on. It proves when an incarnation has ended, suspects the silent, and
// tells when this instance is cut off from everything.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

const (
	// suspectAfter is how long a peer may be without a connection, after one
	// was lost, before it no longer counts as live.
	suspectAfter = 1000 * clock.Millisecond
	// isolatedAfter is how long an instance serves without hearing the store or
	// any peer. After a zone is taken out there must be no new work within 3 s,
	// and an isolated instance cannot learn of it.
	isolatedAfter = 3000 * clock.Millisecond
	// storeTerm is how long a reply counts as proof that the store is reachable.
	storeTerm = 2000 * clock.Millisecond

	gossipPeriod = 1000 * clock.Millisecond
	gossipFanout = 2
	// searchFanout peers are tried in each period by an instance that hears
	// neither a peer nor the store, since most of them may be out of reach.
	searchFanout  = 32
	gossipChanges = 16                // members and ended incarnations in one message
	gossipTerm    = 30 * clock.Second // how long a change is passed on
	syncPeriod    = 5 * clock.Second  // at most one whole list per peer in this time
	endedTerm     = 60 * clock.Minute // how long ended incarnations are remembered
	heardTerm     = 1500 * clock.Millisecond

	// maxPause is the longest gap between inputs that counts as running. What is
	// handled within drainTerm of a longer one may have waited through it, so it
	// does not show that anything is reachable now.
	maxPause  = 250 * clock.Millisecond
	drainTerm = 100 * clock.Millisecond
)

// record is what is known of one instance. The newest incarnation replaces
// older ones.
type record struct {
	member    topology.Member
	listed    bool       // the platform's list has named this incarnation
	heardAt   clock.Time // last frame; 0 when never
	lostAt    clock.Time // when the last connection was lost; 0 when not lost
	changedAt clock.Time
	leaving   bool
	syncedAt  clock.Time
}

// Set is the membership as one instance sees it.
type Set struct {
	self       topology.Member
	rand       *rand.Rand
	records    map[topology.InstanceID]*record // never holds self
	ended      map[topology.InstanceRef]clock.Time
	storeAt    clock.Time // last reply of the store; 0 when never
	heardAt    clock.Time // last frame of any peer; 0 when never
	startedAt  clock.Time
	nextGossip clock.Time

	lastInput   clock.Time
	pausedAt    clock.Time // last input before the newest pause
	drainsUntil clock.Time // what arrives until then may be as old as pausedAt
}

// New returns the Set of the instance self, which knows nobody else.
func New(now clock.Time, self topology.Member, seed uint64) *Set {
	return &Set{
		self: self, rand: rand.New(rand.NewPCG(seed, uint64(self.Ref.Incarnation))),
		records:   map[topology.InstanceID]*record{},
		ended:     map[topology.InstanceRef]clock.Time{},
		startedAt: now,
	}
}

// arrivedAt returns the time from which an input that is handled now is certain
// to be.
func (s *Set) arrivedAt(now clock.Time) clock.Time {
	if s.lastInput != 0 && now.Sub(s.lastInput) > maxPause {
		s.pausedAt, s.drainsUntil = s.lastInput, now.Add(drainTerm)
	}
	s.lastInput = now
	if now < s.drainsUntil {
		return s.pausedAt
	}
	return now
}

// Listed applies the platform's list. An incarnation that the list has named
// and no longer names has ended; the list lags, so one that it has not named
// yet may just be new. It returns the incarnations that are now known to have
// ended.
func (s *Set) ListReceived(now clock.Time, list []topology.Member) []topology.InstanceRef {
	named := make(map[topology.InstanceRef]bool, len(list))
	var ended []topology.InstanceRef
	for _, m := range list {
		named[m.Ref] = true
		ended = append(ended, s.learn(now, m)...)
		if r := s.records[m.Ref.ID]; r != nil && r.member.Ref == m.Ref {
			r.listed = true
		}
	}
	for _, id := range s.ids() {
		r := s.records[id]
		if r.listed && !named[r.member.Ref] {
			ended = append(ended, s.end(now, r.member.Ref)...)
		}
	}
	return ended
}

// Connected applies the introduction of a peer.
func (s *Set) Connected(now clock.Time, m topology.Member) []topology.InstanceRef {
	ended := s.learn(now, m)
	s.touch(now, m.Ref)
	return ended
}

// Heard applies the header of a frame.
func (s *Set) HeaderReceived(now clock.Time, from topology.InstanceRef, h message.Header) {
	r := s.touch(now, from)
	if r == nil {
		return
	}
	if h.Leaving && !r.leaving {
		r.leaving = true
		r.member.State = topology.MemberLeaving
		r.changedAt = now
	}
}

func (s *Set) touch(now clock.Time, ref topology.InstanceRef) *record {
	at := s.arrivedAt(now)
	r := s.records[ref.ID]
	if r == nil || r.member.Ref != ref {
		return nil
	}
	r.heardAt, r.lostAt = now, 0
	s.heardAt = max(s.heardAt, at)
	return r
}

// Lost says that no connection to ref is left, or that none could be opened.
func (s *Set) ConnectionLost(now clock.Time, ref topology.InstanceRef, terminated bool) []topology.InstanceRef {
	if terminated {
		return s.end(now, ref)
	}
	if r := s.records[ref.ID]; r != nil && r.member.Ref == ref && r.lostAt == 0 {
		r.lostAt = now
	}
	return nil
}

// StoreReplied says that the store answered.
func (s *Set) StoreReplied(now clock.Time) { s.storeAt = max(s.storeAt, s.arrivedAt(now)) }

// learn adds or updates a member. It returns the older incarnation that m
// proves to have ended, if there is one.
func (s *Set) learn(now clock.Time, m topology.Member) []topology.InstanceRef {
	if m.Ref.ID == s.self.Ref.ID || m.Ref.IsZero() {
		return nil
	}
	if _, gone := s.ended[m.Ref]; gone {
		return nil
	}
	r := s.records[m.Ref.ID]
	if r != nil && r.member.Ref.Incarnation > m.Ref.Incarnation {
		return s.end(now, m.Ref)
	}
	if r != nil && r.member.Ref == m.Ref {
		if r.member != m && !r.leaving {
			r.member, r.changedAt = m, now
			r.leaving = m.State == topology.MemberLeaving
		}
		return nil
	}
	var ended []topology.InstanceRef
	if r != nil {
		ended = s.end(now, r.member.Ref)
	}
	s.records[m.Ref.ID] = &record{member: m, changedAt: now, leaving: m.State == topology.MemberLeaving}
	return ended
}

// end records that an incarnation has ended, and returns it when that is news.
func (s *Set) end(now clock.Time, ref topology.InstanceRef) []topology.InstanceRef {
	if _, known := s.ended[ref]; known || ref == s.self.Ref {
		return nil
	}
	s.ended[ref] = now
	if r := s.records[ref.ID]; r != nil && r.member.Ref == ref {
		delete(s.records, ref.ID)
	}
	return []topology.InstanceRef{ref}
}

// Member returns the member with this reference. The second result is false
// when it is unknown or has ended.
func (s *Set) Member(ref topology.InstanceRef) (topology.Member, bool) {
	if ref == s.self.Ref {
		return s.self, true
	}
	r := s.records[ref.ID]
	if r == nil || r.member.Ref != ref {
		return topology.Member{}, false
	}
	return r.member, true
}

// Live returns the members that can be expected to work, this instance
// included, ordered by id. Leaving members are included with their state.
func (s *Set) Live(now clock.Time) []topology.Member {
	live := []topology.Member{s.self}
	for _, r := range s.records {
		if r.lostAt == 0 || now.Sub(r.lostAt) < suspectAfter {
			live = append(live, r.member)
		}
	}
	slices.SortFunc(live, byID)
	return live
}

// Silent reports whether no connection to the member is left, or it is leaving.
func (s *Set) DisconnectedOrLeaving(ref topology.InstanceRef) bool {
	r := s.records[ref.ID]
	return r != nil && r.member.Ref == ref && (r.lostAt != 0 || r.leaving)
}

// Suspected returns the members that no connection reaches, ordered by id.
func (s *Set) Suspected(now clock.Time) []topology.Member {
	var out []topology.Member
	for _, r := range s.records {
		if r.lostAt != 0 && now.Sub(r.lostAt) >= suspectAfter {
			out = append(out, r.member)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

// ReachesStore reports whether the store answered this instance lately.
func (s *Set) ReachesStore(now clock.Time) bool {
	return s.storeAt != 0 && now.Sub(s.storeAt) < storeTerm
}

// Isolated reports whether this instance has heard neither the store nor any
// peer for isolatedAfter although other instances are known. Such an instance
// can't know which configuration is in force.
func (s *Set) Isolated(now clock.Time) bool {
	if len(s.records) == 0 {
		return false
	}
	last := max(s.heardAt, s.storeAt, s.startedAt)
	return now.Sub(last) >= isolatedAfter
}

// Watcher reports whether this instance is the one that watches the store for
// its zone: the live member of the zone with the lowest hash. Members that see
// different fleets may both watch; that costs calls but no correctness.
func (s *Set) IsWatcher(now clock.Time) bool {
	own := watchRank(s.self)
	for _, m := range s.Live(now) {
		if m.Zone == s.self.Zone && m.State == topology.MemberLive && watchRank(m) < own {
			return false
		}
	}
	return true
}

func watchRank(m topology.Member) uint64 {
	return topology.Hash64("watch", string(m.Ref.ID), strconv.FormatUint(uint64(m.Ref.Incarnation), 16))
}

func (s *Set) ids() []topology.InstanceID {
	ids := make([]topology.InstanceID, 0, len(s.records))
	for id := range s.records {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func byID(a, b topology.Member) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) }

// Package membership keeps what one instance knows of the other instances, from
// the delayed list of the platform, its own connections and the gossip of its
// peers. It determines when an incarnation has provably ended, which members are
// suspected because no connection reaches them, and when this instance is isolated
// from the store and all peers.
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
	// isolatedAfter is how long an instance serves without a message from the
	// store or any peer. When operators take a zone out, new work must stop
	// within 3 s, and an isolated instance cannot learn of that change.
	isolatedAfter = 3000 * clock.Millisecond
	// storeReplyTimeout is how long a reply counts as proof that the store is
	// reachable.
	storeReplyTimeout = 2000 * clock.Millisecond

	gossipInterval = 1000 * clock.Millisecond
	gossipFanout   = 2
	// isolatedFanout is the number of peers to which an instance gossips in each
	// interval when it has received nothing from any peer or the store for
	// contactTimeout, since most of the peers may be out of reach.
	isolatedFanout   = 32
	maxGossipChanges = 16                // members and ended incarnations in one message
	gossipDuration   = 30 * clock.Second // how long a change is gossiped
	minSyncInterval  = 5 * clock.Second  // at most one complete list is sent to a peer in this time
	endedRetention   = 60 * clock.Minute // how long ended incarnations are remembered
	contactTimeout   = 1500 * clock.Millisecond

	// maxPause is the longest gap between inputs at which the instance counts as
	// running without a pause. Inputs that are handled within backlogDuration
	// after a longer gap may have waited during the pause, so they do not show
	// that anything is reachable now.
	maxPause        = 250 * clock.Millisecond
	backlogDuration = 100 * clock.Millisecond
)

// memberRecord is what is known of one instance. The record of the newest
// incarnation replaces those of older ones.
type memberRecord struct {
	member         topology.Member
	listed         bool       // the platform's list has contained this incarnation
	lastFrameAt    clock.Time // when its last frame was handled; 0 when there was none
	disconnectedAt clock.Time // when the last connection was lost; 0 while there is one
	changedAt      clock.Time // when member last changed
	leaving        bool
	syncedAt       clock.Time // when the complete list was last sent to it; 0 when never
}

// Set is the membership as one instance sees it.
type Set struct {
	self         topology.Member
	rand         *rand.Rand
	records      map[topology.InstanceID]*memberRecord // never holds self
	ended        map[topology.InstanceRef]clock.Time
	storeReplyAt clock.Time // when the store last replied; 0 when never
	peerFrameAt  clock.Time // when the last frame of any peer arrived; 0 when never
	startedAt    clock.Time
	nextGossip   clock.Time

	lastInput    clock.Time
	beforePause  clock.Time // time of the last input before the newest pause
	backlogUntil clock.Time // inputs handled before this time may be as old as beforePause
}

// New returns the Set of the instance self, which knows no other instance yet.
func New(now clock.Time, self topology.Member, seed uint64) *Set {
	return &Set{
		self: self, rand: rand.New(rand.NewPCG(seed, uint64(self.Ref.Incarnation))),
		records:   map[topology.InstanceID]*memberRecord{},
		ended:     map[topology.InstanceRef]clock.Time{},
		startedAt: now,
	}
}

// arrivalTime returns the earliest time at which an input that is handled now may
// have arrived, and records the time of the input.
func (s *Set) arrivalTime(now clock.Time) clock.Time {
	if s.lastInput != 0 && now.Sub(s.lastInput) > maxPause {
		s.beforePause, s.backlogUntil = s.lastInput, now.Add(backlogDuration)
	}
	s.lastInput = now
	if now < s.backlogUntil {
		return s.beforePause
	}
	return now
}

// ListReceived applies the platform's list. An incarnation that the list once
// contained and no longer contains has ended. The list is delayed, so an
// incarnation that it has never contained may just be new. It returns the
// incarnations that are now known to have ended.
func (s *Set) ListReceived(now clock.Time, list []topology.Member) []topology.InstanceRef {
	inList := make(map[topology.InstanceRef]bool, len(list))
	var ended []topology.InstanceRef
	for _, m := range list {
		inList[m.Ref] = true
		ended = append(ended, s.update(now, m)...)
		if r := s.records[m.Ref.ID]; r != nil && r.member.Ref == m.Ref {
			r.listed = true
		}
	}
	for _, id := range s.ids() {
		r := s.records[id]
		if r.listed && !inList[r.member.Ref] {
			ended = append(ended, s.markEnded(now, r.member.Ref)...)
		}
	}
	return ended
}

// Connected records a new connection to the peer m, which has introduced itself.
// It returns the incarnations that are now known to have ended.
func (s *Set) Connected(now clock.Time, m topology.Member) []topology.InstanceRef {
	ended := s.update(now, m)
	s.recordFrame(now, m.Ref)
	return ended
}

// HeaderReceived records the header of a frame from a peer.
func (s *Set) HeaderReceived(now clock.Time, from topology.InstanceRef, h message.Header) {
	r := s.recordFrame(now, from)
	if r == nil {
		return
	}
	if h.Leaving && !r.leaving {
		r.leaving = true
		r.member.State = topology.MemberLeaving
		r.changedAt = now
	}
}

// recordFrame records a sign of life from the incarnation. It returns nil when the
// incarnation is not a known member.
func (s *Set) recordFrame(now clock.Time, ref topology.InstanceRef) *memberRecord {
	at := s.arrivalTime(now)
	r := s.records[ref.ID]
	if r == nil || r.member.Ref != ref {
		return nil
	}
	r.lastFrameAt, r.disconnectedAt = now, 0
	s.peerFrameAt = max(s.peerFrameAt, at)
	return r
}

// ConnectionLost records that no connection to ref is left, or that none could be
// opened; terminated says that this proves the end of the incarnation. It returns
// the incarnations that are now known to have ended.
func (s *Set) ConnectionLost(now clock.Time, ref topology.InstanceRef, terminated bool) []topology.InstanceRef {
	if terminated {
		return s.markEnded(now, ref)
	}
	if r := s.records[ref.ID]; r != nil && r.member.Ref == ref && r.disconnectedAt == 0 {
		r.disconnectedAt = now
	}
	return nil
}

// StoreReplied records a reply of the store.
func (s *Set) StoreReplied(now clock.Time) { s.storeReplyAt = max(s.storeReplyAt, s.arrivalTime(now)) }

// update adds or updates a member. It returns the incarnation that is proven to
// have ended, if any: the older one of m and the known incarnation.
func (s *Set) update(now clock.Time, m topology.Member) []topology.InstanceRef {
	if m.Ref.ID == s.self.Ref.ID || m.Ref.IsZero() {
		return nil
	}
	if _, known := s.ended[m.Ref]; known {
		return nil
	}
	r := s.records[m.Ref.ID]
	if r != nil && r.member.Ref.Incarnation > m.Ref.Incarnation {
		return s.markEnded(now, m.Ref)
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
		ended = s.markEnded(now, r.member.Ref)
	}
	s.records[m.Ref.ID] = &memberRecord{member: m, changedAt: now, leaving: m.State == topology.MemberLeaving}
	return ended
}

// markEnded records that an incarnation has ended, and returns it if that was not
// known before.
func (s *Set) markEnded(now clock.Time, ref topology.InstanceRef) []topology.InstanceRef {
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

// Live returns the members that are presumed to be running, including this
// instance and leaving members, in ascending order of ID.
func (s *Set) Live(now clock.Time) []topology.Member {
	live := []topology.Member{s.self}
	for _, r := range s.records {
		if r.disconnectedAt == 0 || now.Sub(r.disconnectedAt) < suspectAfter {
			live = append(live, r.member)
		}
	}
	slices.SortFunc(live, compareByID)
	return live
}

// DisconnectedOrLeaving reports whether no connection to the member is left or the
// member is leaving.
func (s *Set) DisconnectedOrLeaving(ref topology.InstanceRef) bool {
	r := s.records[ref.ID]
	return r != nil && r.member.Ref == ref && (r.disconnectedAt != 0 || r.leaving)
}

// Suspected returns the members to which there has been no connection for
// suspectAfter, in ascending order of ID.
func (s *Set) Suspected(now clock.Time) []topology.Member {
	var out []topology.Member
	for _, r := range s.records {
		if r.disconnectedAt != 0 && now.Sub(r.disconnectedAt) >= suspectAfter {
			out = append(out, r.member)
		}
	}
	slices.SortFunc(out, compareByID)
	return out
}

// ReachesStore reports whether the store has replied to this instance within
// storeReplyTimeout.
func (s *Set) ReachesStore(now clock.Time) bool {
	return s.storeReplyAt != 0 && now.Sub(s.storeReplyAt) < storeReplyTimeout
}

// Isolated reports whether this instance has received nothing from the store or any
// peer for isolatedAfter although other instances are known. Such an instance
// cannot know which configuration is in force.
func (s *Set) Isolated(now clock.Time) bool {
	if len(s.records) == 0 {
		return false
	}
	last := max(s.peerFrameAt, s.storeReplyAt, s.startedAt)
	return now.Sub(last) >= isolatedAfter
}

// IsWatcher reports whether this instance is the one that watches the store for
// its zone: the live member of the zone with the lowest hash. Two members that know
// different memberships may both watch. That is correct, but costs additional calls.
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

func compareByID(a, b topology.Member) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) }

package membership

import (
	"cmp"
	"slices"
	"strconv"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Send is a command to send Body to the member To.
type Send struct {
	To   topology.Member
	Body message.Body
}

// Tick sends gossip when it is due, and then also removes ended incarnations after
// endedRetention.
func (s *Set) Tick(now clock.Time) []Send {
	s.arrivalTime(now)
	if now.Before(s.nextGossip) {
		return nil
	}
	s.nextGossip = now.Add(gossipInterval)
	for ref, at := range s.ended {
		if now.Sub(at) > endedRetention {
			delete(s.ended, ref)
		}
	}
	g := s.newGossip(now)
	var out []Send
	fanout := gossipFanout
	if now.Sub(max(s.peerFrameAt, s.storeReplyAt, s.startedAt)) >= contactTimeout {
		fanout = isolatedFanout
	}
	for _, m := range s.pickRandom(fanout) {
		out = append(out, Send{To: m, Body: g})
	}
	return out
}

// pickRandom returns up to n random members. Suspected members are included, so
// that a connection to them is tried again.
func (s *Set) pickRandom(n int) []topology.Member {
	ids := s.ids()
	s.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var out []topology.Member
	for _, id := range ids[:min(n, len(ids))] {
		out = append(out, s.records[id].member)
	}
	return out
}

func (s *Set) newGossip(now clock.Time) message.Gossip {
	g := message.Gossip{Hash: s.hash()}
	for _, id := range s.ids() {
		r := s.records[id]
		if now.Sub(r.changedAt) < gossipDuration && len(g.Changed) < maxGossipChanges {
			g.Changed = append(g.Changed, r.member)
		}
	}
	for _, ref := range s.endedRefs() {
		if now.Sub(s.ended[ref]) < gossipDuration && len(g.Ended) < maxGossipChanges {
			g.Ended = append(g.Ended, ref)
		}
	}
	return g
}

// Receive applies gossip or a complete member list. It returns the incarnations
// that are now known to have ended, and a complete list for a peer whose membership
// differs.
func (s *Set) Receive(now clock.Time, from topology.InstanceRef, b message.Body) ([]topology.InstanceRef, []Send) {
	switch b := b.(type) {
	case message.Gossip:
		ended := s.merge(now, b.Changed, b.Ended)
		return ended, s.syncReply(now, from, b.Hash)
	case message.MemberList:
		return s.merge(now, b.Members, b.Ended), nil
	}
	return nil, nil
}

func (s *Set) merge(now clock.Time, members []topology.Member, reported []topology.InstanceRef) []topology.InstanceRef {
	var ended []topology.InstanceRef
	for _, ref := range reported {
		ended = append(ended, s.markEnded(now, ref)...)
	}
	for _, m := range members {
		ended = append(ended, s.update(now, m)...)
	}
	return ended
}

// syncReply returns a complete list for a peer whose hash differs, at most once in
// minSyncInterval.
func (s *Set) syncReply(now clock.Time, from topology.InstanceRef, hash uint64) []Send {
	r := s.records[from.ID]
	if hash == s.hash() || r == nil || r.member.Ref != from {
		return nil
	}
	if r.syncedAt != 0 && now.Sub(r.syncedAt) < minSyncInterval {
		return nil
	}
	r.syncedAt = now
	list := message.MemberList{Members: []topology.Member{s.self}, Ended: s.endedRefs()}
	for _, id := range s.ids() {
		list.Members = append(list.Members, s.records[id].member)
	}
	return []Send{{To: r.member, Body: list}}
}

// hash returns a hash of the references of all members, including this instance.
func (s *Set) hash() uint64 {
	h := refHash(s.self.Ref)
	for _, r := range s.records {
		h ^= refHash(r.member.Ref) // XOR, because the order of the map is random
	}
	return h
}

func refHash(ref topology.InstanceRef) uint64 {
	return topology.Hash64(string(ref.ID), strconv.FormatUint(uint64(ref.Incarnation), 16))
}

func (s *Set) endedRefs() []topology.InstanceRef {
	refs := make([]topology.InstanceRef, 0, len(s.ended))
	for ref := range s.ended {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b topology.InstanceRef) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return refs
}

package membership

import (
	"cmp"
	"slices"
	"strconv"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Send is a command to send a message to a member.
type Send struct {
	To   topology.Member
	Body message.Body
}

// Tick sends gossip when it is due and forgets what is too old.
func (s *Set) Tick(now clock.Time) []Send {
	s.arrivedAt(now)
	if now.Before(s.nextGossip) {
		return nil
	}
	s.nextGossip = now.Add(gossipPeriod)
	for ref, at := range s.ended {
		if now.Sub(at) > endedTerm {
			delete(s.ended, ref)
		}
	}
	g := s.gossip(now)
	var out []Send
	fanout := gossipFanout
	if now.Sub(max(s.heardAt, s.storeAt, s.startedAt)) >= heardTerm {
		fanout = searchFanout
	}
	for _, m := range s.pick(fanout) {
		out = append(out, Send{To: m, Body: g})
	}
	return out
}

// pick returns up to n members at random. Suspected members are included, so
// that a connection to them is tried again.
func (s *Set) pick(n int) []topology.Member {
	ids := s.ids()
	s.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var out []topology.Member
	for _, id := range ids[:min(n, len(ids))] {
		out = append(out, s.records[id].member)
	}
	return out
}

func (s *Set) gossip(now clock.Time) message.Gossip {
	g := message.Gossip{Hash: s.hash()}
	for _, id := range s.ids() {
		r := s.records[id]
		if now.Sub(r.changedAt) < gossipTerm && len(g.Changed) < gossipChanges {
			g.Changed = append(g.Changed, r.member)
		}
	}
	for _, ref := range s.endedRefs() {
		if now.Sub(s.ended[ref]) < gossipTerm && len(g.Ended) < gossipChanges {
			g.Ended = append(g.Ended, ref)
		}
	}
	return g
}

// Receive applies gossip or a whole list. It returns the incarnations that are
// now known to have ended, and a whole list for a peer that differs.
func (s *Set) Receive(now clock.Time, from topology.InstanceRef, b message.Body) ([]topology.InstanceRef, []Send) {
	switch b := b.(type) {
	case message.Gossip:
		ended := s.merge(now, b.Changed, b.Ended)
		return ended, s.sync(now, from, b.Hash)
	case message.MemberList:
		return s.merge(now, b.Members, b.Ended), nil
	}
	return nil, nil
}

func (s *Set) merge(now clock.Time, members []topology.Member, gone []topology.InstanceRef) []topology.InstanceRef {
	var ended []topology.InstanceRef
	for _, ref := range gone {
		ended = append(ended, s.end(now, ref)...)
	}
	for _, m := range members {
		ended = append(ended, s.learn(now, m)...)
	}
	return ended
}

func (s *Set) sync(now clock.Time, from topology.InstanceRef, hash uint64) []Send {
	r := s.records[from.ID]
	if hash == s.hash() || r == nil || r.member.Ref != from {
		return nil
	}
	if r.syncedAt != 0 && now.Sub(r.syncedAt) < syncPeriod {
		return nil
	}
	r.syncedAt = now
	list := message.MemberList{Members: []topology.Member{s.self}, Ended: s.endedRefs()}
	for _, id := range s.ids() {
		list.Members = append(list.Members, s.records[id].member)
	}
	return []Send{{To: r.member, Body: list}}
}

// hash covers the references of all members, this instance included.
func (s *Set) hash() uint64 {
	h := refHash(s.self.Ref)
	for _, r := range s.records {
		h ^= refHash(r.member.Ref) // the order of a map must not matter
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

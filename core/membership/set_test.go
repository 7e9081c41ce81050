package membership_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/membership"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

func member(id string, incarnation uint64) topology.Member {
	ref := topology.InstanceRef{ID: topology.InstanceID(id), Incarnation: topology.Incarnation(incarnation)}
	return topology.Member{Ref: ref, Address: id + ":1", Zone: "z1", Region: "r", State: topology.MemberLive}
}

func ids(members []topology.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.Ref.String())
	}
	return out
}

// Guards against a delayed list that is taken as proof that a new instance, which it
// does not contain yet, has ended.
func TestListEndsOnlyListedInstances(t *testing.T) {
	s := membership.New(1, member("a", 1), 1)
	s.Connected(10, member("b", 1)) // connects before the list contains it
	s.ListReceived(20, []topology.Member{member("a", 1), member("c", 1)})
	ended := s.ListReceived(30, []topology.Member{member("a", 1)})
	want := []topology.InstanceRef{member("c", 1).Ref}
	if diff := cmp.Diff(want, ended); diff != "" {
		t.Errorf("ended (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"a#1", "b#1"}, ids(s.Live(30))); diff != "" {
		t.Errorf("live (-want +got):\n%s", diff)
	}
}

// Guards against a delayed list or late gossip that brings back an earlier
// incarnation.
func TestOlderIncarnationNeverReturns(t *testing.T) {
	s := membership.New(1, member("a", 1), 1)
	s.Connected(10, member("b", 1))
	ended := s.Connected(20, member("b", 2))
	if diff := cmp.Diff([]topology.InstanceRef{member("b", 1).Ref}, ended); diff != "" {
		t.Errorf("ended (-want +got):\n%s", diff)
	}
	s.ListReceived(30, []topology.Member{member("b", 1)})
	s.Receive(40, member("c", 1).Ref, message.MemberList{Members: []topology.Member{member("b", 1)}})
	if diff := cmp.Diff([]string{"a#1", "b#2"}, ids(s.Live(40))); diff != "" {
		t.Errorf("live (-want +got):\n%s", diff)
	}
}

// Guards against an instance that continues to serve without contact to the store or
// any peer, and so without knowing which configuration is in force.
func TestIsolated(t *testing.T) {
	s := membership.New(1, member("a", 1), 1)
	if s.Isolated(100 * clock.Time(clock.Second)) {
		t.Error("isolated although no other instance is known")
	}
	s.Connected(1000, member("b", 1))
	cases := []struct {
		at   clock.Time
		want bool
	}{{3999, false}, {4000, true}}
	for _, c := range cases {
		if got := s.Isolated(c.at); got != c.want {
			t.Errorf("Isolated(%d) = %v, want %v", c.at, got, c.want)
		}
	}
	s.Tick(4400) // an input shortly before the reply, which otherwise may have waited during a pause
	s.StoreReplied(4500)
	if s.Isolated(7000) {
		t.Error("isolated although the store replied")
	}
}

// Guards against an instance that takes frames which arrived while it was paused as
// proof that it is connected now.
func TestIsolatedAfterPause(t *testing.T) {
	s := membership.New(1, member("a", 1), 1)
	s.Connected(1000, member("b", 1))
	s.HeaderReceived(3900, member("b", 1).Ref, message.Header{})
	if !s.Isolated(4000) {
		t.Error("not isolated although the frame may have arrived before or during the pause")
	}
	s.HeaderReceived(4000, member("b", 1).Ref, message.Header{})
	if s.Isolated(4000) {
		t.Error("isolated although a frame arrived after the pause")
	}
}

// Guards against an instance that takes long to find the only peer that it reaches,
// because it gossips to few peers at a time.
func TestInstanceWithoutContactTriesAllPeers(t *testing.T) {
	s := membership.New(1, member("a", 1), 1)
	for _, id := range []string{"b", "c", "d", "e", "f"} {
		s.Connected(1000, member(id, 1))
	}
	if got := len(s.Tick(1200)); got != 2 {
		t.Errorf("gossip to %d peers soon after a frame, want 2", got)
	}
	if got := len(s.Tick(2600)); got != 5 {
		t.Errorf("gossip to %d peers after 1.5 s without a frame, want 5", got)
	}
}

// Guards against changes that reach only some members: instances that exchange gossip
// must agree on the membership after a bounded number of rounds.
func TestGossipConverges(t *testing.T) {
	const n, rounds = 60, 12
	sets := map[topology.InstanceRef]*membership.Set{}
	var all []topology.Member
	for i := range n {
		m := member(string(rune('A'+i/26))+string(rune('a'+i%26)), 1)
		all = append(all, m)
		sets[m.Ref] = membership.New(1, m, uint64(i))
		sets[m.Ref].Connected(1, all[0])
	}
	endedRef := all[n-1].Ref
	for round := range rounds {
		now := clock.Time(1000 * (round + 1))
		if round == rounds/2 {
			sets[all[1].Ref].ConnectionLost(now, endedRef, true)
		}
		for _, m := range all {
			deliver(sets, now, m.Ref, sets[m.Ref].Tick(now))
		}
	}
	for _, m := range all[:n-1] {
		if got := len(sets[m.Ref].Live(rounds * 1000)); got != n-1 {
			t.Errorf("%s knows %d live members, want %d", m.Ref, got, n-1)
		}
	}
}

func deliver(sets map[topology.InstanceRef]*membership.Set, now clock.Time, from topology.InstanceRef, sends []membership.Send) {
	for _, send := range sends {
		s := sets[send.To.Ref]
		if sender, ok := sets[from].Member(from); ok {
			s.Connected(now, sender)
		}
		_, replies := s.Receive(now, from, send.Body)
		deliver(sets, now, send.To.Ref, replies)
	}
}

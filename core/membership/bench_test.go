package membership

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

func benchMember(i int) topology.Member {
	return topology.Member{
		Ref:     topology.InstanceRef{ID: topology.InstanceID(fmt.Sprintf("tier-%04d", i)), Incarnation: topology.NewIncarnation(1750000000000, uint64(i))},
		Address: fmt.Sprintf("10.20.%d.%d:7001", i/250, i%250),
		Zone:    topology.ZoneID(fmt.Sprintf("region-%d-%c", i%2, 'a'+i/2%4)), Region: topology.RegionID(fmt.Sprintf("region-%d", i%2)),
		State: topology.MemberLive,
	}
}

// benchSet returns a Set of n members whose joining is no longer gossiped, and their
// list.
func benchSet(n int) (*Set, []topology.Member) {
	var list []topology.Member
	for i := range n {
		list = append(list, benchMember(i))
	}
	s := New(1, list[0], 1)
	s.ListReceived(1, list)
	return s, list
}

var benchSizes = []int{15, 100, 345, 690}

func runForSizes(b *testing.B, f func(b *testing.B, s *Set, list []topology.Member)) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			s, list := benchSet(n)
			f(b, s, list)
		})
	}
}

const benchNow = clock.Time(clock.Minute)

// BenchmarkGossip measures one round of gossip: one Tick, which an instance does once
// a second, and the two messages that it receives per second on average.
func BenchmarkGossip(b *testing.B) {
	runForSizes(b, func(b *testing.B, s *Set, list []topology.Member) {
		now := benchNow
		for b.Loop() {
			now += clock.Time(gossipInterval)
			for _, send := range s.Tick(now) {
				s.Receive(now, list[1].Ref, send.Body)
			}
		}
	})
}

// BenchmarkListReceived measures the handling of the platform's list, which is read
// every 30 s, or every 1 s by a watcher.
func BenchmarkListReceived(b *testing.B) {
	runForSizes(b, func(b *testing.B, s *Set, list []topology.Member) {
		for b.Loop() {
			s.ListReceived(benchNow, list)
		}
	})
}

// BenchmarkMemberList measures sending the complete list to a peer with another hash,
// and handling such a list. It reports the size of the list.
func BenchmarkMemberList(b *testing.B) {
	runForSizes(b, func(b *testing.B, s *Set, list []topology.Member) {
		now, size := benchNow, 0
		for b.Loop() {
			now += clock.Time(minSyncInterval)
			_, sends := s.Receive(now, list[1].Ref, message.Gossip{Hash: 1})
			data, err := cbor.Marshal(sends[0].Body)
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
			s.Receive(now, list[1].Ref, sends[0].Body)
		}
		b.ReportMetric(float64(size), "list-B")
	})
}

// BenchmarkLive measures the sorted list of live members, which every tick computes.
func BenchmarkLive(b *testing.B) {
	runForSizes(b, func(b *testing.B, s *Set, _ []topology.Member) {
		for b.Loop() {
			s.Live(benchNow)
		}
	})
}

// BenchmarkIsWatcher measures the choice of the watcher, which every tick computes.
func BenchmarkIsWatcher(b *testing.B) {
	runForSizes(b, func(b *testing.B, s *Set, _ []topology.Member) {
		for b.Loop() {
			s.IsWatcher(benchNow)
		}
	})
}

// BenchmarkGossipChurn reports the size of a gossip message with 0, 1 and 16 changes.
// At the design's 1,100 restarts a day, 0.38 members change in the 30 s in which a
// change is gossiped; in the worst case, when a whole zone comes back, the message is
// full with 16.
func BenchmarkGossipChurn(b *testing.B) {
	for _, changed := range []int{0, 1, 16} {
		b.Run(fmt.Sprintf("changed=%d", changed), func(b *testing.B) {
			s, _ := benchSet(690)
			now, size := benchNow, 0
			for i := range changed {
				m := benchMember(1 + i)
				m.Ref.Incarnation++
				s.update(now, m)
			}
			for b.Loop() {
				data, err := cbor.Marshal(s.newGossip(now))
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "gossip-B")
		})
	}
}

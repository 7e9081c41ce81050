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

// benchSet returns a Set of n members that all joined long ago, and their list.
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

func benchEach(b *testing.B, f func(b *testing.B, s *Set, list []topology.Member)) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			s, list := benchSet(n)
			f(b, s, list)
		})
	}
}

const benchNow = clock.Time(clock.Minute)

// BenchmarkGossip measures one round of gossip: what an instance does once a
// second, and twice a second as a receiver on average.
func BenchmarkGossip(b *testing.B) {
	benchEach(b, func(b *testing.B, s *Set, list []topology.Member) {
		now := benchNow
		for b.Loop() {
			now += clock.Time(gossipPeriod)
			for _, send := range s.Tick(now) {
				s.Receive(now, list[1].Ref, send.Body)
			}
		}
	})
}

// BenchmarkListed measures the platform's list, read every 30 s, or every 1 s by
// a watcher.
func BenchmarkListed(b *testing.B) {
	benchEach(b, func(b *testing.B, s *Set, list []topology.Member) {
		for b.Loop() {
			s.ListReceived(benchNow, list)
		}
	})
}

// BenchmarkMemberList measures a whole list that a peer with another hash
// receives, and reports its size.
func BenchmarkMemberList(b *testing.B) {
	benchEach(b, func(b *testing.B, s *Set, list []topology.Member) {
		now, size := benchNow, 0
		for b.Loop() {
			now += clock.Time(syncPeriod)
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

// BenchmarkLive measures the sorted list of members that every tick makes.
func BenchmarkLive(b *testing.B) {
	benchEach(b, func(b *testing.B, s *Set, _ []topology.Member) {
		for b.Loop() {
			s.Live(benchNow)
		}
	})
}

// BenchmarkWatcher measures the choice of the watcher that every tick makes.
func BenchmarkWatcher(b *testing.B) {
	benchEach(b, func(b *testing.B, s *Set, _ []topology.Member) {
		for b.Loop() {
			s.IsWatcher(benchNow)
		}
	})
}

// BenchmarkGossipChurn reports the bytes of gossip at the design's 1,100
// restarts a day. A restart of the whole fleet at that rate changes 0.38 members
// in the 30 s in which a change is passed on; the worst case of a zone that comes
// back fills the message.
func BenchmarkGossipChurn(b *testing.B) {
	for _, changed := range []int{0, 1, 16} {
		b.Run(fmt.Sprintf("changed=%d", changed), func(b *testing.B) {
			s, _ := benchSet(690)
			now, size := benchNow, 0
			for i := range changed {
				m := benchMember(1 + i)
				m.Ref.Incarnation++
				s.learn(now, m)
			}
			for b.Loop() {
				data, err := cbor.Marshal(s.gossip(now))
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "gossip-B")
		})
	}
}

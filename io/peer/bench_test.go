package peer

import (
	"fmt"
	"reflect"
	"testing"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

func benchRef(i int) topology.InstanceRef {
	return topology.InstanceRef{ID: topology.InstanceID(fmt.Sprintf("tier-%04d", i)), Incarnation: topology.NewIncarnation(1750000000000, uint64(i))}
}

var benchHeader = message.Header{Config: 3400, TableHash: 1 << 63, ReachesStore: true, SentAt: 86400000}

func benchSub(i int) message.SubRequest {
	return message.SubRequest{
		ID:   message.SubID{Request: message.RequestID{Entry: benchRef(1), Seq: uint64(1<<20 + i)}, Service: topology.ServiceID(fmt.Sprintf("dockdesk-%04d", i))},
		Kind: message.KindSearch, Workspace: "harbor-ops", Collection: "dockdesk", Snapshot: "dockdesk@12",
		Shards: []topology.ShardID{topology.ShardID(fmt.Sprintf("dockdesk/%03d", i))}, Query: "amber barrel cedar", Limit: 10,
		Fingerprint: message.Fingerprint{1, 2, 3}, Rank: 1 << 62, RemainingMS: 50,
	}
}

func benchReply(i, hits int) message.SubReply {
	s := benchSub(i)
	r := message.SubReply{ID: s.ID, Workspace: s.Workspace, Snapshot: s.Snapshot, Status: message.StatusOK, QueueDelayMS: 2}
	a := message.ShardAnswer{Shard: s.Shards[0]}
	for k := range hits {
		a.Hits = append(a.Hits, message.Hit{ID: fmt.Sprintf("dockdesk/%03d-%03d", i, k), Score: 0.75, Text: "amber barrel cedar delta"})
	}
	r.Shards = []message.ShardAnswer{a}
	return r
}

// benchFrames returns frames of n requests or replies, by the kind of their bodies.
func benchFrames(n int) map[string]Frame {
	frames := map[string]Frame{}
	for kind, body := range map[string]func(int) message.Body{
		"request":      func(i int) message.Body { return benchSub(i) },
		"reply/hits=1": func(i int) message.Body { return benchReply(i, 1) },
		"reply/hits=10": func(i int) message.Body {
			return benchReply(i, 10)
		},
	} {
		f := Frame{Header: benchHeader}
		for i := range n {
			f.Bodies = append(f.Bodies, body(i))
		}
		frames[kind] = f
	}
	return frames
}

func benchFrame(b *testing.B, run func(b *testing.B, f Frame, data []byte)) {
	for _, kind := range []string{"request", "reply/hits=1", "reply/hits=10"} {
		for _, n := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("%s/bodies=%d", kind, n), func(b *testing.B) {
				f := benchFrames(n)[kind]
				data, err := Encode(f)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportAllocs()
				run(b, f, data)
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/body")
				b.ReportMetric(float64(len(data))/float64(n), "B/body")
			})
		}
	}
}

func BenchmarkEncode(b *testing.B) {
	benchFrame(b, func(b *testing.B, f Frame, _ []byte) {
		for b.Loop() {
			if _, err := Encode(f); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	benchFrame(b, func(b *testing.B, _ Frame, data []byte) {
		for b.Loop() {
			if _, err := Decode(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkSizes reports the size in bytes of a frame with one body, for the types of
// bodies that instances exchange. It measures encoding as well.
func BenchmarkSizes(b *testing.B) {
	member := topology.Member{Ref: benchRef(2), Address: "10.20.1.2:7001", Zone: "region-0-a", Region: "region-0", State: topology.MemberLive}
	entry := message.HoldingEntry{Epoch: 300, Holders: [2]topology.InstanceRef{benchRef(1), benchRef(2)}, Since: [2]uint64{299, 300}}
	entry.Former[0] = []message.FormerHolder{{Ref: benchRef(3), Partners: []topology.InstanceRef{benchRef(2)}}}
	versions := map[string]int64{}
	for r := range 2 {
		for n := range 16 {
			versions[fmt.Sprintf("holdings/region-%d.%d", r, n)] = 123456
		}
	}
	id := benchSub(7).ID
	for _, body := range []message.Body{
		message.Hello{Member: member}, benchSub(7), benchReply(7, 10), message.CancelSub{ID: id},
		message.TargetReport{Service: id.Service, Target: "dockdesk-0007-0", State: message.TargetWarm, Capacity: 2},
		message.Gossip{Hash: 1 << 63}, message.Announce{}, message.TicketsRequest{After: 3400},
		message.TableDigest{Versions: versions},
		message.LeaseRenewal{RequestedAt: 86400000, Echo: 86400000, Shared: []message.SharedHolding{{Service: id.Service, Epoch: 300}}},
		message.EntryNotice{Service: id.Service, Entry: entry, WantAck: true},
		message.EntryAck{Service: id.Service, Epoch: 300, BusyMS: [2]clock.Duration{2000, 2000}, Leases: []message.LeaseAge{{Ref: benchRef(1), AgeMS: 500}}},
		message.EntryRead{Key: "holdings/region-0.1", RequestedAt: 86400000, Services: []topology.ServiceID{id.Service}},
		message.EntryReadReply{RequestedAt: 86400000, OK: true, Entries: []message.ServiceEntry{{Service: id.Service, Entry: entry}}},
		message.RunRequest{ID: id.Request, Workspace: "harbor-ops", Collection: "dockdesk", Key: "018f3a52-7c1e-7000-8000-000000000001", Payload: "book berth 7", RemainingMS: 250},
		message.RunReply{ID: id.Request, Workspace: "harbor-ops", Outcome: message.OutcomeAnswered, Answer: []byte("receipt-000001"), At: 1750000000000},
	} {
		b.Run(reflect.TypeOf(body).Name(), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := Encode(Frame{Header: benchHeader, Bodies: []message.Body{body}})
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}

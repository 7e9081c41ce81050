package node

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"

	"knapweedstall/core/clock"
	"knapweedstall/core/dispatch"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// firstNode returns the first node of a fleet of the given size.
func firstNode(s fleetSize) *fakeNode { return newFakeFleet(s, 1).nodes[0] }

// BenchmarkNodeMemory reports the heap of one idle node.
func BenchmarkNodeMemory(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			var before, after runtime.MemStats
			const nodes = 4
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				var all []*fakeNode
				for range nodes {
					all = append(all, firstNode(s)) // each has its own configuration and holder table
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(all)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/nodes/1000, "KB/node")
		})
	}
}

// BenchmarkTick measures a Tick, which is handled 20 times a second.
func BenchmarkTick(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			n, now := firstNode(s), fleetStart
			for b.Loop() {
				now += clock.Time(TickPeriod)
				n.Handle(now, Tick{UnixMS: int64(now)})
			}
		})
	}
}

// BenchmarkConfigChanged measures the work after a ticket is applied.
// ticket.BenchmarkApply measures applying the ticket.
func BenchmarkConfigChanged(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprintf("%s/servers=%d", s, 2*s.services), func(b *testing.B) {
			n := firstNode(s)
			for b.Loop() {
				n.commands = nil
				n.configChanged(fleetStart)
			}
		})
	}
}

// BenchmarkBucketSeen measures applying a changed bucket of the holder table, and
// reports the size of the bucket.
func BenchmarkBucketSeen(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			n := firstNode(s)
			const key = "holdings/region-0.0"
			o := n.propagation.buckets[key]
			version := o.Version
			for b.Loop() {
				n.commands = nil
				version++
				n.bucketSeen(fleetStart, key, version, o.Value)
			}
			b.ReportMetric(float64(len(o.Value)), "bucket-B")
		})
	}
}

// BenchmarkMembersChanged measures the check for changed members, which every
// gossip message and each periodic check makes.
func BenchmarkMembersChanged(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			n := firstNode(s)
			for b.Loop() {
				n.commands = nil
				n.membersChanged(fleetStart)
			}
		})
	}
}

// BenchmarkRoute measures the choice of the holder for one sub-request.
func BenchmarkRoute(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			n := firstNode(s)
			service := fakeService(0).ID
			for b.Loop() {
				if _, ok := (router{n.Node}).Route(fleetStart, service, topology.InstanceRef{}); !ok {
					b.Fatal("no holder to route to")
				}
			}
		})
	}
}

// BenchmarkClaimWriter measures the choice of the writer of a claim.
func BenchmarkClaimWriter(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			n := firstNode(s)
			for b.Loop() {
				n.claimWriter(fleetStart, 7, topology.InstanceRef{})
			}
		})
	}
}

// BenchmarkEntry measures a whole query at its entry instance, from the caller's
// request to its answer, with 1 hit from each service.
func BenchmarkEntry(b *testing.B) {
	for _, services := range []int{20, 200, 750} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			n, now, call := firstNode(fleetSize{690, services}), fleetStart, CallID(0)
			n.opts.admission = false
			b.ReportAllocs()
			for b.Loop() {
				now++
				call++
				n.members.StoreReplied(now)
				arrived := SearchArrived{Call: call, Workspace: "acme", Collection: "col0", Query: "amber harbor", Limit: 10, Deadline: now + 55}
				answered := n.search(now, arrived)
				if answered == nil || answered.Answer.Coverage.Answered != services {
					b.Fatalf("answer is not complete: %+v", answered)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*services), "ns/sub-request")
		})
	}
}

// search starts a query, answers all its sub-requests immediately and returns its
// answer, or nil if there is none.
func (n *fakeNode) search(now clock.Time, e SearchArrived) *AnswerSearch {
	commands := n.Handle(now, e)
	for len(commands) > 0 {
		var next []Command
		for _, c := range commands {
			switch c := c.(type) {
			case AnswerSearch:
				return &c
			case SendPeer:
				if sub, ok := c.Body.(message.SubRequest); ok {
					next = append(next, n.Handle(now, PeerReceived{From: c.To.Ref, Bodies: []message.Body{subReplyTo(sub)}})...)
				}
			case CallTarget:
				next = append(next, n.Handle(now, TargetAnswered{Call: c.Call, Answer: targetAnswer(c)})...)
			}
		}
		commands = next
	}
	return nil
}

func subReplyTo(sub message.SubRequest) message.SubReply {
	r := message.SubReply{ID: sub.ID, Workspace: sub.Workspace, Snapshot: sub.Snapshot, Status: message.StatusOK}
	for _, shard := range sub.Shards {
		r.Shards = append(r.Shards, message.ShardAnswer{Shard: shard, Hits: []message.Hit{{ID: string(shard), Score: 1}}})
	}
	return r
}

// BenchmarkHolder measures one sub-request at its holder node, from the peer's
// frame to the reply, with the given number in one frame.
func BenchmarkHolder(b *testing.B) {
	for _, bodies := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("bodies=%d", bodies), func(b *testing.B) {
			n, now, seq := firstNode(fleetSize{690, 1950}), fleetStart, uint64(0)
			service := slices.Sorted(maps.Keys(n.held))[0]
			entry := fakeMember(1).Ref
			shard := n.configLog.State().Snapshots("col0")[0].Shards[service]
			b.ReportAllocs()
			for b.Loop() {
				now++
				n.renewLease(now, service)
				e := PeerReceived{From: entry}
				for range bodies {
					seq++
					id := message.SubID{Request: message.RequestID{Entry: entry, Seq: seq}, Service: service}
					e.Bodies = append(e.Bodies, message.SubRequest{ID: id, Kind: message.KindSearch, Workspace: "acme", Collection: "col0", Snapshot: "s1", Shards: shard, Query: "amber harbor", Limit: 10, RemainingMS: 55})
				}
				if got := n.answerCalls(now, n.Handle(now, e)); got != bodies {
					b.Fatalf("got %d successful replies, want %d", got, bodies)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*bodies), "ns/sub-request")
			b.ReportMetric(float64(n.counters.TargetItems)/float64(n.counters.TargetCalls), "items/call")
		})
	}
}

// renewLease delivers a lease renewal from the service's other holder.
func (n *fakeNode) renewLease(now clock.Time, service topology.ServiceID) {
	e, _ := n.holder.Holders(service)
	partner := e.Holders[0]
	if partner == n.self.Ref {
		partner = e.Holders[1]
	}
	n.holder.Receive(now, partner, message.LeaseRenewal{RequestedAt: now, Echo: now, Shared: []message.SharedHolding{{Service: service, Epoch: e.Epoch}}})
}

// answerCalls answers all calls to targets, including those that the answers
// cause, and returns the number of successful replies.
func (n *fakeNode) answerCalls(now clock.Time, commands []Command) int {
	replies := 0
	for len(commands) > 0 {
		c := commands[0]
		commands = commands[1:]
		switch c := c.(type) {
		case CallTarget:
			commands = append(commands, n.Handle(now, TargetAnswered{Call: c.Call, Answer: targetAnswer(c)})...)
		case SendPeer:
			if r, ok := c.Body.(message.SubReply); ok && r.Status == message.StatusOK {
				replies++
			}
		}
	}
	return replies
}

func targetAnswer(c CallTarget) dispatch.Answer {
	a := dispatch.Answer{State: message.TargetWarm, Capacity: 2, Status: dispatch.AnswerOK}
	for _, item := range c.Items {
		answer := dispatch.ItemAnswer{ID: item.ID, Workspace: item.Workspace, Snapshot: c.Snapshot, Status: dispatch.ItemOK}
		for _, shard := range item.Shards {
			answer.Shards = append(answer.Shards, message.ShardAnswer{Shard: shard, Hits: []message.Hit{{ID: string(shard), Score: 1}}})
		}
		a.Items = append(a.Items, answer)
	}
	return a
}

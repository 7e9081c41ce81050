package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"

	"knapweedstall/core/clock"
	"knapweedstall/core/dispatch"
	"knapweedstall/core/message"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
)

// BenchmarkFleetIdle lets a fleet without queries run for 2 s of virtual time,
// after 0.5 s in which the first vouches are exchanged.
// Processor time, bytes and store calls are for each instance and second.
func BenchmarkFleetIdle(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				f := newFakeFleet(s, s.instances)
				f.run(clock.Second/2, never)
				f.reset()
				f.run(2*clock.Second, never)
				f.report(b, 2)
			}
		})
	}
}

// report states the counts since the last reset for each instance and second.
func (f *fakeFleet) report(b *testing.B, seconds float64) {
	each := float64(len(f.nodes)) * seconds
	b.ReportMetric(100*f.busy.Seconds()/each, "%core/instance")
	b.ReportMetric(total(f.sent)/each, "B/s/instance")
	b.ReportMetric(total(f.frames)/each, "frames/s/instance")
	most, got := 0, 0
	for _, n := range f.nodes {
		most, got = max(most, n.sent), max(got, n.got)
	}
	b.ReportMetric(float64(most)/seconds, "worst-sent-B/s")
	b.ReportMetric(float64(got)/seconds, "worst-received-B/s")
	b.ReportMetric(float64(f.reads)/seconds, "store-reads/s")
	b.ReportMetric(float64(f.writes)/seconds, "store-writes/s")
	for _, name := range slices.Sorted(maps.Keys(f.sent)) {
		b.ReportMetric(float64(f.sent[name])/each, name+"-B/s")
	}
}

// BenchmarkFleetLoss stops one instance gracefully, kills one, or kills all of
// one zone of a single region, up to a region of the design. It measures the
// virtual time until the table names two live holders for every service as the
// last live instance sees it, at most 6 s, and all writes and bytes of 3 s after the event.
func BenchmarkFleetLoss(b *testing.B) {
	fakeRegions = 1
	b.Cleanup(func() { fakeRegions = 2 })
	for _, s := range fleetSizes[:3] {
		for _, lost := range []string{"stop", "instance", "zone"} {
			b.Run(s.String()+"/lost="+lost, func(b *testing.B) {
				for b.Loop() {
					f := newFakeFleet(s, s.instances)
					f.run(clock.Second, never)
					f.reset()
					moves, start := f.kill(lost), f.now
					took := f.run(6*clock.Second, f.healed(s))
					f.run(3*clock.Second-f.now.Sub(start), never)
					f.reportEvent(b, took)
					b.ReportMetric(float64(moves), "moves")
				}
			})
		}
	}
}

// BenchmarkFleetRestart kills one instance and starts its replacement 1 s later.
// It measures all bytes of the time in which the news spreads, 12 s after the
// event, at 345 instances 4 s.
func BenchmarkFleetRestart(b *testing.B) {
	fakeRegions = 1
	b.Cleanup(func() { fakeRegions = 2 })
	for _, s := range fleetSizes[:3] {
		b.Run(s.String(), func(b *testing.B) {
			window := 12 * clock.Second
			if s.instances > 100 {
				window = 4 * clock.Second
			}
			for b.Loop() {
				f := newFakeFleet(s, s.instances)
				f.run(clock.Second, never)
				f.reset()
				f.kill("instance")
				f.after(clock.Second, func() {
					next := f.nodes[0].self
					next.Ref.Incarnation += 1 << 30
					members := []topology.Member{next}
					for _, n := range f.nodes[1:] {
						members = append(members, n.self)
					}
					f.add(next, members, f.nodes[1].log.State(), nil)
				})
				f.reportEvent(b, f.run(window, never))
			}
		})
	}
}

// reportEvent states the counts of one event in all.
func (f *fakeFleet) reportEvent(b *testing.B, took clock.Duration) {
	each := float64(len(f.nodes))
	b.ReportMetric(float64(took), "virtual-ms")
	b.ReportMetric(float64(f.writes), "store-writes")
	b.ReportMetric(float64(f.reads), "store-reads")
	b.ReportMetric(f.busy.Seconds()*1000/each, "cpu-ms/instance")
	b.ReportMetric(total(f.sent)/each, "B/instance")
	b.ReportMetric(float64(f.sent["TableBuckets"])/each, "TableBuckets-B/instance")
	b.ReportMetric(float64(f.sent["MemberList"])/each, "MemberList-B/instance")
}

// kill ends instance 0, or all instances of its zone, and returns the number of
// shares that they held.
func (f *fakeFleet) kill(what string) int {
	moves := 0
	first := f.nodes[0].self
	for _, n := range f.nodes {
		if n.self.Ref == first.Ref && what == "stop" {
			f.handle(n, StopRequested{})
			return len(n.held)
		}
		if n.self.Ref != first.Ref && (what != "zone" || n.self.Zone != first.Zone) {
			continue
		}
		n.dead = true
		moves += len(n.held)
		for _, other := range f.nodes {
			f.after(peerDelay, func() { f.handle(other, PeerLost{Ref: n.self.Ref}) })
		}
	}
	return moves
}

// healed reports whether the table names live holders only.
func (f *fakeFleet) healed(s fleetSize) func() bool {
	next, result := f.now, false
	return func() bool {
		if f.now < next {
			return result
		}
		next = f.now.Add(100 * clock.Millisecond)
		gone := map[topology.InstanceRef]bool{}
		for _, n := range f.nodes {
			gone[n.self.Ref] = n.dead || n.stopping
		}
		live := f.nodes[len(f.nodes)-1]
		for _, n := range f.nodes {
			if !n.dead {
				live = n
			}
		}
		result = true
		for i := range s.services {
			e, ok := live.holder.Holders(fakeService(i).ID)
			result = result && ok && !gone[e.Holders[0]] && !gone[e.Holders[1]]
		}
		return result
	}
}

// BenchmarkFleetTicket files one ticket at one instance and measures the time
// until it is in force everywhere: a tuning ticket, and one that changes the
// slots of one server and so holds the whole collection.
func BenchmarkFleetTicket(b *testing.B) {
	for _, s := range fleetSizes {
		for _, scope := range []string{"tuning", "collection"} {
			b.Run(s.String()+"/scope="+scope, func(b *testing.B) {
				for b.Loop() {
					f := newFakeFleet(s, s.instances)
					f.run(clock.Second/2, never)
					f.reset()
					t := ticket.Ticket{FilingID: "f2", Operator: "o", At: 1, Changes: []ticket.Change{changeOf(scope, f.nodes[0].log.State())}}
					f.handle(f.nodes[1], TicketFiled{Call: 1, Ticket: t})
					took := f.run(3*clock.Second, func() bool {
						return !slices.ContainsFunc(f.nodes, func(n *fakeNode) bool { return n.log.Number() < 2 })
					})
					f.reportEvent(b, took)
					b.ReportMetric(float64(len(f.objects["tickets/2"].Value)), "ticket-B")
					b.ReportMetric(float64(f.sent["Tickets"])/float64(len(f.nodes)), "Tickets-B/instance")
				}
			})
		}
	}
}

// BenchmarkTicketReceived measures a ticket from a peer that changes one server
// of a collection of up to 750 services, and so holds the whole collection.
func BenchmarkTicketReceived(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprintf("%s/servers=%d", s, 2*s.services), func(b *testing.B) {
			n := one(s)
			size := 0
			for b.Loop() {
				b.StopTimer()
				t := ticket.Ticket{Number: n.log.Number() + 1, FilingID: "f", Operator: "o", At: 1, Changes: []ticket.Change{changeOf("collection", n.log.State())}}
				data, err := json.Marshal(t)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				b.StartTimer()
				n.Handle(simStart, PeerReceived{From: fakeMember(1).Ref, Header: message.Header{Config: uint64(t.Number), Table: n.spread.tableHash}, Bodies: []message.Body{message.Tickets{Tickets: [][]byte{data}}}})
				if n.log.Number() != t.Number {
					b.Fatal("the ticket is not in force")
				}
			}
			b.ReportMetric(float64(size), "ticket-B")
		})
	}
}

func changeOf(scope string, s *ticket.State) ticket.Change {
	if scope == "tuning" {
		return ticket.Change{Scope: ticket.Scope{Kind: ticket.KindTuning}, Value: ticket.DefaultTuning()}
	}
	c, _ := s.Collection("col0")
	c.Services = slices.Clone(c.Services)
	c.Services[0].Targets = slices.Clone(c.Services[0].Targets)
	c.Services[0].Targets[0].Slots = 3 - c.Services[0].Targets[0].Slots
	return ticket.Change{Scope: ticket.Scope{Kind: ticket.KindCollection, ID: "col0"}, Value: ticket.Collection{Collection: c}}
}

// one returns the first node of a fleet of the given size.
func one(s fleetSize) *fakeNode { return newFakeFleet(s, 1).nodes[0] }

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
					all = append(all, one(s)) // each with a configuration and a table of its own
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(all)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/nodes/1000, "KB/node")
		})
	}
}

// BenchmarkTick measures the regular input; it comes 20 times a second.
func BenchmarkTick(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			n, now := one(s), simStart
			for b.Loop() {
				now += clock.Time(TickPeriod)
				n.Handle(now, Tick{UnixMS: int64(now)})
			}
		})
	}
}

// BenchmarkConfigChanged measures what a ticket costs after it is applied. It
// reports nothing else; ticket.BenchmarkApply measures the applying.
func BenchmarkConfigChanged(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprintf("%s/servers=%d", s, 2*s.services), func(b *testing.B) {
			n := one(s)
			for b.Loop() {
				n.out = nil
				n.configChanged(simStart)
			}
		})
	}
}

// BenchmarkBucketSeen measures the adoption of a changed bucket of the holder
// table, and reports the size of the bucket.
func BenchmarkBucketSeen(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			n := one(s)
			const key = "holdings/region-0.0"
			o := n.spread.buckets[key]
			version := o.Version
			for b.Loop() {
				n.out = nil
				version++
				n.bucketSeen(simStart, key, version, o.Value)
			}
			b.ReportMetric(float64(len(o.Value)), "bucket-B")
		})
	}
}

// BenchmarkMembersChanged measures the check for changes that every tick and
// every gossip message makes.
func BenchmarkMembersChanged(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			n := one(s)
			for b.Loop() {
				n.out = nil
				n.membersChanged(simStart)
			}
		})
	}
}

// BenchmarkRoute measures the choice of the holder for one sub-request.
func BenchmarkRoute(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			n := one(s)
			service := fakeService(0).ID
			for b.Loop() {
				if _, ok := (router{n.Node}).Route(simStart, service, topology.InstanceRef{}); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}

// BenchmarkClaimWriter measures the choice of the writer of a claim.
func BenchmarkClaimWriter(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			n := one(s)
			for b.Loop() {
				n.claimWriter(simStart, 7, topology.InstanceRef{})
			}
		})
	}
}

// BenchmarkEntry measures a whole query at its entry node, from the caller's
// request to its answer, with 1 hit from each service.
func BenchmarkEntry(b *testing.B) {
	for _, services := range []int{20, 200, 750} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			n, now, call := one(fleetSize{690, services}), simStart, CallID(0)
			n.opts.admission = false
			b.ReportAllocs()
			for b.Loop() {
				now++
				call++
				n.members.StoreReplied(now)
				arrived := SearchArrived{Call: call, Tenant: "acme", Collection: "col0", Query: "amber harbor", Limit: 10, Deadline: now + 55}
				answered := n.search(now, arrived)
				if answered == nil || answered.Answer.Coverage.Answered != services {
					b.Fatalf("answer %+v", answered)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*services), "ns/sub-request")
		})
	}
}

// search answers all sub-requests of a query at once.
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
					next = append(next, n.Handle(now, PeerReceived{From: c.To.Ref, Bodies: []message.Body{reply(sub)}})...)
				}
			case CallTarget:
				next = append(next, n.Handle(now, TargetAnswered{Call: c.Call, Answer: targetAnswer(c)})...)
			}
		}
		commands = next
	}
	return nil
}

func reply(sub message.SubRequest) message.SubReply {
	r := message.SubReply{ID: sub.ID, Tenant: sub.Tenant, Snapshot: sub.Snapshot, Status: message.StatusOK}
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
			n, now, seq := one(fleetSize{690, 1950}), simStart, uint64(0)
			service := slices.Sorted(maps.Keys(n.held))[0]
			entry := fakeMember(1).Ref
			shard := n.log.State().Snapshots("col0")[0].Shards[service]
			b.ReportAllocs()
			for b.Loop() {
				now++
				n.keepRight(now, service)
				e := PeerReceived{From: entry}
				for range bodies {
					seq++
					id := message.SubID{Request: message.RequestID{Entry: entry, Seq: seq}, Service: service}
					e.Bodies = append(e.Bodies, message.SubRequest{ID: id, Kind: message.KindSearch, Tenant: "acme", Collection: "col0", Snapshot: "s1", Shards: shard, Query: "amber harbor", Limit: 10, RemainingMS: 55})
				}
				if got := n.serve(now, n.Handle(now, e)); got != bodies {
					b.Fatalf("%d replies of %d", got, bodies)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*bodies), "ns/sub-request")
			b.ReportMetric(float64(n.stats.TargetItems)/float64(n.stats.TargetCalls), "items/call")
		})
	}
}

// keepRight lets the service's other holder vouch.
func (n *fakeNode) keepRight(now clock.Time, service topology.ServiceID) {
	e, _ := n.holder.Holders(service)
	partner := e.Holders[0]
	if partner == n.self.Ref {
		partner = e.Holders[1]
	}
	n.holder.Receive(now, partner, message.Vouch{RequestedAt: now, Echo: now, Shared: []message.SharedHolding{{Service: service, Epoch: e.Epoch}}})
}

// serve answers the calls among the commands and those that follow, and returns
// the number of good replies.
func (n *fakeNode) serve(now clock.Time, commands []Command) int {
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
	a := dispatch.Answer{State: message.TargetWarm, Bears: 2, Status: dispatch.AnswerOK}
	for _, item := range c.Items {
		answer := dispatch.ItemAnswer{ID: item.ID, Tenant: item.Tenant, Snapshot: c.Snapshot, Status: dispatch.ItemOK}
		for _, shard := range item.Shards {
			answer.Shards = append(answer.Shards, message.ShardAnswer{Shard: shard, Hits: []message.Hit{{ID: string(shard), Score: 1}}})
		}
		a.Items = append(a.Items, answer)
	}
	return a
}

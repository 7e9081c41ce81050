package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
)

// BenchmarkFleetIdle runs a fleet without queries for 2 s of virtual time, after
// 0.5 s in which the first lease renewals are exchanged. Processor time and bytes
// are per instance and second, store calls per second.
func BenchmarkFleetIdle(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				f := newFakeFleet(s, s.instances)
				f.run(clock.Second/2, neverDone)
				f.reset()
				f.run(2*clock.Second, neverDone)
				f.report(b, 2)
			}
		})
	}
}

// report reports the counts since the last reset, per instance and second or per
// second.
func (f *fakeFleet) report(b *testing.B, seconds float64) {
	instanceSeconds := float64(len(f.nodes)) * seconds
	b.ReportMetric(100*f.busy.Seconds()/instanceSeconds, "%core/instance")
	b.ReportMetric(total(f.sent)/instanceSeconds, "B/s/instance")
	b.ReportMetric(total(f.frames)/instanceSeconds, "frames/s/instance")
	most, got := 0, 0
	for _, n := range f.nodes {
		most, got = max(most, n.sent), max(got, n.received)
	}
	b.ReportMetric(float64(most)/seconds, "worst-sent-B/s")
	b.ReportMetric(float64(got)/seconds, "worst-received-B/s")
	b.ReportMetric(float64(f.reads)/seconds, "store-reads/s")
	b.ReportMetric(float64(f.writes)/seconds, "store-writes/s")
	for _, name := range slices.Sorted(maps.Keys(f.sent)) {
		b.ReportMetric(float64(f.sent[name])/instanceSeconds, name+"-B/s")
	}
}

// BenchmarkFleetLoss stops one instance gracefully, kills one, or kills all of
// one zone. The fleet is a single region of at most 345 instances, the size of a
// region in the design. The benchmark measures the virtual time, at most 6 s,
// until the last live instance's copy of the holder table lists two live holders
// for every service, and all writes and bytes within 3 s after the event.
func BenchmarkFleetLoss(b *testing.B) {
	fakeRegions = 1
	b.Cleanup(func() { fakeRegions = 2 })
	for _, s := range fleetSizes[:3] {
		for _, lost := range []string{"stop", "instance", "zone"} {
			b.Run(s.String()+"/lost="+lost, func(b *testing.B) {
				for b.Loop() {
					f := newFakeFleet(s, s.instances)
					f.run(clock.Second, neverDone)
					f.reset()
					moves, start := f.endInstances(lost), f.now
					took := f.run(6*clock.Second, f.allServicesHeld(s))
					f.run(3*clock.Second-f.now.Sub(start), neverDone)
					f.reportEvent(b, took)
					b.ReportMetric(float64(moves), "moves")
				}
			})
		}
	}
}

// BenchmarkFleetRestart kills one instance and starts its replacement 1 s later.
// It measures all bytes of the time in which the change propagates: 12 s after
// the event, or 4 s at 345 instances.
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
				f.run(clock.Second, neverDone)
				f.reset()
				f.endInstances("instance")
				f.after(clock.Second, func() {
					next := f.nodes[0].self
					next.Ref.Incarnation += 1 << 30
					members := []topology.Member{next}
					for _, n := range f.nodes[1:] {
						members = append(members, n.self)
					}
					f.add(next, members, f.nodes[1].configLog.State(), nil)
				})
				f.reportEvent(b, f.run(window, neverDone))
			}
		})
	}
}

// reportEvent reports the counts of one event.
func (f *fakeFleet) reportEvent(b *testing.B, took clock.Duration) {
	instances := float64(len(f.nodes))
	b.ReportMetric(float64(took), "virtual-ms")
	b.ReportMetric(float64(f.writes), "store-writes")
	b.ReportMetric(float64(f.reads), "store-reads")
	b.ReportMetric(f.busy.Seconds()*1000/instances, "cpu-ms/instance")
	b.ReportMetric(total(f.sent)/instances, "B/instance")
	b.ReportMetric(float64(f.sent["TableBuckets"])/instances, "TableBuckets-B/instance")
	b.ReportMetric(float64(f.sent["MemberList"])/instances, "MemberList-B/instance")
}

// endInstances stops instance 0, kills it, or kills all instances of its zone, and
// returns the number of services that they held.
func (f *fakeFleet) endInstances(event string) int {
	moves := 0
	first := f.nodes[0].self
	for _, n := range f.nodes {
		if n.self.Ref == first.Ref && event == "stop" {
			f.handle(n, StopRequested{})
			return len(n.held)
		}
		if n.self.Ref != first.Ref && (event != "zone" || n.self.Zone != first.Zone) {
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

// allServicesHeld returns a function that reports whether the holder table lists
// only live holders. It checks the table every 100 ms of virtual time.
func (f *fakeFleet) allServicesHeld(s fleetSize) func() bool {
	next, result := f.now, false
	return func() bool {
		if f.now < next {
			return result
		}
		next = f.now.Add(100 * clock.Millisecond)
		ended := map[topology.InstanceRef]bool{}
		for _, n := range f.nodes {
			ended[n.self.Ref] = n.dead || n.stopping
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
			result = result && ok && !ended[e.Holders[0]] && !ended[e.Holders[1]]
		}
		return result
	}
}

// BenchmarkFleetTicket files one ticket at one instance and measures the time
// until all instances have applied it. The ticket changes the tuning, or the
// slots of one target, in which case it contains the whole collection.
func BenchmarkFleetTicket(b *testing.B) {
	for _, s := range fleetSizes {
		for _, scope := range []string{"tuning", "collection"} {
			b.Run(s.String()+"/scope="+scope, func(b *testing.B) {
				for b.Loop() {
					f := newFakeFleet(s, s.instances)
					f.run(clock.Second/2, neverDone)
					f.reset()
					t := ticket.Ticket{FilingID: "f2", Operator: "o", At: 1, Changes: []ticket.Change{newChange(scope, f.nodes[0].configLog.State())}}
					f.handle(f.nodes[1], TicketFiled{Call: 1, Ticket: t})
					took := f.run(3*clock.Second, func() bool {
						return !slices.ContainsFunc(f.nodes, func(n *fakeNode) bool { return n.configLog.Number() < 2 })
					})
					f.reportEvent(b, took)
					b.ReportMetric(float64(len(f.objects["tickets/2"].Value)), "ticket-B")
					b.ReportMetric(float64(f.sent["Tickets"])/float64(len(f.nodes)), "Tickets-B/instance")
				}
			})
		}
	}
}

// BenchmarkTicketReceived measures handling a ticket from a peer. The ticket
// changes one target of a collection of up to 750 services, so it contains the
// whole collection.
func BenchmarkTicketReceived(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprintf("%s/servers=%d", s, 2*s.services), func(b *testing.B) {
			n := firstNode(s)
			size := 0
			for b.Loop() {
				b.StopTimer()
				t := ticket.Ticket{Number: n.configLog.Number() + 1, FilingID: "f", Operator: "o", At: 1, Changes: []ticket.Change{newChange("collection", n.configLog.State())}}
				data, err := json.Marshal(t)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				b.StartTimer()
				n.Handle(fleetStart, PeerReceived{From: fakeMember(1).Ref, Header: message.Header{Config: uint64(t.Number), TableHash: n.propagation.tableHash}, Bodies: []message.Body{message.Tickets{Tickets: [][]byte{data}}}})
				if n.configLog.Number() != t.Number {
					b.Fatal("the ticket was not applied")
				}
			}
			b.ReportMetric(float64(size), "ticket-B")
		})
	}
}

func newChange(scope string, s *ticket.State) ticket.Change {
	if scope == "tuning" {
		return ticket.Change{Scope: ticket.Scope{Kind: ticket.KindTuning}, Value: ticket.DefaultTuning()}
	}
	c, _ := s.Collection("col0")
	c.Services = slices.Clone(c.Services)
	c.Services[0].Targets = slices.Clone(c.Services[0].Targets)
	c.Services[0].Targets[0].Slots = 3 - c.Services[0].Targets[0].Slots
	return ticket.Change{Scope: ticket.Scope{Kind: ticket.KindCollection, ID: "col0"}, Value: ticket.Collection{Collection: c}}
}

package holding

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// idle is a Work without calls.
type idle struct{}

// BusyUntil implements Work.
func (idle) BusyUntil(now clock.Time, _ topology.ServiceID, _ int) clock.Time { return now }

// fleet returns a holder whose table is planned for a region of the given size.
func fleet(instances, services int) (*Holder, []topology.Member) {
	members := make([]topology.Member, instances)
	for m := range members {
		members[m] = testMember(m, 4, uint64(m)*0x9e3779b97f4a7c15|1)
	}
	list := make([]topology.Service, services)
	for i := range list {
		list[i] = testService(i, 4)
	}
	h := New(members[0], idle{}, WithBuckets(defaultBuckets))
	h.SetServices(1, list)
	h.SetMembers(1, members)
	h.HeartbeatReceived(1, members[1].Ref, true)
	h.StoreReachable(1, true)
	for i := range defaultBuckets {
		h.apply(1, Bucket{Key: fmt.Sprintf("holdings/ga.%d", i), Entries: map[topology.ServiceID]Entry{}})
	}
	for _, c := range h.write(1) {
		w := c.(WriteObject)
		h.WriteDone(1, WriteResult{Key: w.Key, Outcome: WriteSucceeded, Version: 1})
	}
	return h, members
}

// Region sizes of today and of the design: 15 instances with 50 services, and
// 100 and 690 instances with two servers for each of their share of services.
var sizes = []struct{ instances, services int }{{15, 50}, {100, 280}, {690, 1950}}

func BenchmarkPlan(b *testing.B) {
	for _, s := range sizes {
		for _, loss := range []int{0, 1} {
			b.Run(fmt.Sprintf("instances=%d/services=%d/lost=%d", s.instances, s.services, loss), func(b *testing.B) {
				h, members := fleet(s.instances, s.services)
				h.SetMembers(1, members[:len(members)-loss])
				for _, m := range members[len(members)-loss:] {
					h.Terminated(1, m.Ref)
				}
				for b.Loop() {
					p := h.newPlanner(1)
					p.run(topology.InstanceRef{})
				}
			})
		}
	}
}

func BenchmarkVouch(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("instances=%d/services=%d", s.instances, s.services), func(b *testing.B) {
			h, _ := fleet(s.instances, s.services)
			now, sent := clock.Time(1), 0
			for b.Loop() {
				now += clock.Time(vouchInterval)
				for _, c := range h.exchange(now) {
					v, ok := c.(Send).Body.(message.LeaseRenewal)
					if !ok {
						continue
					}
					v.Echo, sent = now, sent+1
					h.Receive(now, c.(Send).To, v)
				}
			}
			b.ReportMetric(float64(sent)/float64(b.N), "vouches/op")
			b.ReportMetric(float64(len(h.mine)), "holdings")
		})
	}
}

func BenchmarkUse(b *testing.B) {
	h, members := fleet(690, 1950)
	for _, m := range members {
		h.HeartbeatReceived(1, m.Ref, false)
	}
	h.StoreReachable(1, false)
	for b.Loop() {
		h.UsableShares(2, h.mine[0])
	}
}

// Guards against messages that use up the 6 KB/s of control traffic: a holder of
// 12 holdings exchanges one vouch each way with each of at most 12 partners in
// every interval.
func TestMessageSizes(t *testing.T) {
	h, members := fleet(690, 1950)
	refs := []topology.InstanceRef{members[0].Ref, members[1].Ref}
	e := replace(replace(h.tables[h.key(h.services[0].ID)].Entries[h.services[0].ID], 0, refs[0]), 1, refs[1])
	spread := message.LeaseRenewal{RequestedAt: 86400000, Echo: 86400000, Shared: []message.SharedHolding{{Service: "dockdesk-0001", Epoch: 300}}}
	full := spread
	for i := range 11 {
		full.Shared = append(full.Shared, message.SharedHolding{Service: testService(i, 4).ID, Epoch: 300})
	}
	size := map[string]int{}
	for name, m := range map[string]message.Body{
		"vouch for 1 holding":   spread,
		"vouch for 12 holdings": full,
		"notice":                message.EntryNotice{Service: "dockdesk-0001", Entry: e, WantAck: true},
		"ack":                   message.EntryAck{Service: "dockdesk-0001", Epoch: 300, BusyMS: [2]clock.Duration{2000, 2000}, Leases: []message.LeaseAge{{Ref: refs[0], AgeMS: 500}, {Ref: refs[1], AgeMS: 500}}},
		"read":                  message.EntryRead{Key: "holdings/ga.1", RequestedAt: 86400000, Services: []topology.ServiceID{"dockdesk-0001"}},
		"read reply":            message.EntryReadReply{RequestedAt: 86400000, OK: true, Entries: []message.ServiceEntry{{Service: "dockdesk-0001", Entry: e}}},
	} {
		data, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		size[name] = len(data)
		t.Logf("%s: %d bytes", name, len(data))
	}
	perSecond := int64(clock.Second / vouchInterval)
	worst := 2 * 12 * perSecond * int64(size["vouch for 1 holding"])
	t.Logf("12 holdings with 12 partners: %d bytes/s in both directions; with 1 partner: %d bytes/s", worst, 2*perSecond*int64(size["vouch for 12 holdings"]))
	if worst > 6000 {
		t.Errorf("vouches need %d bytes/s of 6000", worst)
	}
}

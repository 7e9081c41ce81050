package holding

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// idleWork is a WorkTracker without calls.
type idleWork struct{}

// BusyUntil implements WorkTracker.
func (idleWork) BusyUntil(now clock.Time, _ topology.ServiceID, _ int) clock.Time { return now }

// plannedHolder returns a Holder whose table has been planned for a region of the
// given size, and the members of the region.
func plannedHolder(instances, services int) (*Holder, []topology.Member) {
	members := make([]topology.Member, instances)
	for m := range members {
		members[m] = testMember(m, 4, uint64(m)*0x9e3779b97f4a7c15|1)
	}
	list := make([]topology.Service, services)
	for i := range list {
		list[i] = testService(i, 4)
	}
	h := New(members[0], idleWork{}, WithBuckets(defaultBuckets))
	h.SetServices(1, list)
	h.SetMembers(1, members)
	h.HeartbeatReceived(1, members[1].Ref, true)
	h.StoreReachable(1, true)
	for i := range defaultBuckets {
		h.applyBucket(1, Bucket{Key: fmt.Sprintf("holdings/ga.%d", i), Entries: map[topology.ServiceID]Entry{}})
	}
	for _, c := range h.writeChanges(1) {
		w := c.(WriteObject)
		h.WriteDone(1, WriteResult{Key: w.Key, Outcome: WriteSucceeded, Version: 1})
	}
	return h, members
}

// benchSizes are the sizes of a region today, 15 instances with 50 services, and in
// the design, 100 and 690 instances with two targets per service.
var benchSizes = []struct{ instances, services int }{{15, 50}, {100, 280}, {690, 1950}}

func BenchmarkPlan(b *testing.B) {
	for _, s := range benchSizes {
		for _, loss := range []int{0, 1} {
			b.Run(fmt.Sprintf("instances=%d/services=%d/lost=%d", s.instances, s.services, loss), func(b *testing.B) {
				h, members := plannedHolder(s.instances, s.services)
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

func BenchmarkLeaseRenewal(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("instances=%d/services=%d", s.instances, s.services), func(b *testing.B) {
			h, _ := plannedHolder(s.instances, s.services)
			now, sent := clock.Time(1), 0
			for b.Loop() {
				now += clock.Time(renewalInterval)
				for _, c := range h.sendPeriodic(now) {
					r, ok := c.(Send).Body.(message.LeaseRenewal)
					if !ok {
						continue
					}
					r.Echo, sent = now, sent+1
					h.Receive(now, c.(Send).To, r)
				}
			}
			b.ReportMetric(float64(sent)/float64(b.N), "vouches/op")
			b.ReportMetric(float64(len(h.heldServices)), "holdings")
		})
	}
}

func BenchmarkUse(b *testing.B) {
	h, members := plannedHolder(690, 1950)
	for _, m := range members {
		h.HeartbeatReceived(1, m.Ref, false)
	}
	h.StoreReachable(1, false)
	for b.Loop() {
		h.UsableShares(2, h.heldServices[0])
	}
}

// Guards against renewals that exceed the 6 KB/s of control traffic: an instance
// with 12 holdings exchanges one renewal in each direction with each of at most 12
// partners in every interval.
func TestMessageSizes(t *testing.T) {
	h, members := plannedHolder(690, 1950)
	refs := []topology.InstanceRef{members[0].Ref, members[1].Ref}
	e := replaceHolder(replaceHolder(h.tables[h.bucketKey(h.services[0].ID)].Entries[h.services[0].ID], 0, refs[0]), 1, refs[1])
	single := message.LeaseRenewal{RequestedAt: 86400000, Echo: 86400000, Shared: []message.SharedHolding{{Service: "dockdesk-0001", Epoch: 300}}}
	full := single
	for i := range 11 {
		full.Shared = append(full.Shared, message.SharedHolding{Service: testService(i, 4).ID, Epoch: 300})
	}
	size := map[string]int{}
	for name, m := range map[string]message.Body{
		"renewal for 1 holding":   single,
		"renewal for 12 holdings": full,
		"notice":                  message.EntryNotice{Service: "dockdesk-0001", Entry: e, WantAck: true},
		"ack":                     message.EntryAck{Service: "dockdesk-0001", Epoch: 300, BusyMS: [2]clock.Duration{2000, 2000}, Leases: []message.LeaseAge{{Ref: refs[0], AgeMS: 500}, {Ref: refs[1], AgeMS: 500}}},
		"read":                    message.EntryRead{Key: "holdings/ga.1", RequestedAt: 86400000, Services: []topology.ServiceID{"dockdesk-0001"}},
		"read reply":              message.EntryReadReply{RequestedAt: 86400000, OK: true, Entries: []message.ServiceEntry{{Service: "dockdesk-0001", Entry: e}}},
	} {
		data, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		size[name] = len(data)
		t.Logf("%s: %d bytes", name, len(data))
	}
	perSecond := int64(clock.Second / renewalInterval)
	worst := 2 * 12 * perSecond * int64(size["renewal for 1 holding"])
	t.Logf("12 holdings with 12 partners: %d bytes/s in both directions; with 1 partner: %d bytes/s", worst, 2*perSecond*int64(size["renewal for 12 holdings"]))
	if worst > 6000 {
		t.Errorf("renewals need %d bytes/s, want at most 6000", worst)
	}
}

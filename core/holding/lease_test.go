package holding

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

const service = topology.ServiceID("dockdesk-0000")

var (
	self, partner = testMember(0, 3, 7), testMember(1, 3, 7).Ref
	former, peerX = testMember(2, 3, 7).Ref, testMember(3, 3, 7).Ref
)

// receivedShareHolder returns a Holder whose instance received share 1 of the
// service from former at epoch 2, at time 10000. With no partners given there is no
// former holder.
func receivedShareHolder(partners ...topology.InstanceRef) *Holder {
	h := New(self, idleWork{})
	e := Entry{Epoch: 2, Holders: [2]topology.InstanceRef{partner, self.Ref}, Since: [2]uint64{1, 2}}
	if len(partners) > 0 {
		e.Former[1] = []message.FormerHolder{{Ref: former, Partners: partners}}
	}
	h.ApplyBucket(10000, Bucket{Key: "holdings/ga.0", Version: 1, Entries: map[topology.ServiceID]Entry{service: e}})
	return h
}

func leaseRenewal(echo clock.Time, epoch uint64) message.LeaseRenewal {
	return message.LeaseRenewal{RequestedAt: echo, Echo: echo, Shared: []message.SharedHolding{{Service: service, Epoch: epoch}}}
}

func ack(epoch uint64, busy, age clock.Duration) message.EntryAck {
	return message.EntryAck{Service: service, Epoch: epoch, BusyMS: [2]clock.Duration{0, busy}, Leases: []message.LeaseAge{{Ref: former, AgeMS: age}}}
}

// Guards against a share that becomes usable before, or long after, the lease of
// its former holder and the work under it have ended.
func TestFormerHolderRules(t *testing.T) {
	for _, c := range []struct {
		name     string
		partners []topology.InstanceRef
		do       func(h *Holder)
		from     clock.Time // first usable time; 0 for never
	}{
		{"nothing known", []topology.InstanceRef{partner}, func(*Holder) {}, 0},
		{"rule 1 waits for work", []topology.InstanceRef{partner}, func(h *Holder) { h.Receive(10100, former, ack(2, 1000, 0)) }, 11200},
		{"rule 1 needs the epoch", []topology.InstanceRef{partner}, func(h *Holder) { h.Receive(10100, former, ack(1, 1000, 0)) }, 0},
		{"rule 2", []topology.InstanceRef{partner}, func(h *Holder) { h.Terminated(10100, former) }, 12300},
		{"rule 3 from the renewal", []topology.InstanceRef{partner}, func(h *Holder) { h.Receive(10500, partner, ack(2, 0, 100)) }, 14800},
		{"rule 3 from the write", []topology.InstanceRef{partner}, func(h *Holder) { h.Receive(10100, partner, ack(2, 0, 9000)) }, 14400},
		{"rule 3 needs every partner", []topology.InstanceRef{partner, peerX}, func(h *Holder) { h.Receive(10100, partner, ack(2, 0, 9000)) }, 0},
		{"an earlier partner terminated", []topology.InstanceRef{partner, peerX}, func(h *Holder) {
			h.Receive(10100, partner, ack(2, 0, 9000))
			h.Terminated(10200, peerX)
		}, 14600},
		{"the last partner terminated", []topology.InstanceRef{partner}, func(h *Holder) { h.Terminated(10200, partner) }, 0},
		{"a former holder of both shares", []topology.InstanceRef{former}, func(h *Holder) { h.Receive(10100, former, ack(2, 9000, 9000)) }, 0},
		{"no former holder", nil, func(*Holder) {}, 10000},
	} {
		h, got := receivedShareHolder(c.partners...), clock.Time(0)
		c.do(h)
		for now := clock.Time(10000); now < 20000 && got == 0; now += 100 {
			h.Receive(now, partner, leaseRenewal(now, 2))
			if warm, _ := h.UsableShares(now, service); warm[1] {
				got = now
			}
		}
		if got != c.from {
			t.Errorf("%s: usable from %d, want %d", c.name, got, c.from)
		}
	}
}

// Guards against an entry that omits an earlier partner of a former holder. That
// partner may still renew the former holder's lease under an older epoch and must be
// asked too.
func TestFormerHolderListsAllPartners(t *testing.T) {
	e := Entry{Epoch: 1, Holders: [2]topology.InstanceRef{former, peerX}}
	e = replaceHolder(replaceHolder(e, 0, partner), 1, self.Ref)
	want := []message.FormerHolder{{Ref: peerX, Partners: []topology.InstanceRef{partner, former}}}
	if diff := cmp.Diff(want, e.Former[1]); diff != "" {
		t.Errorf("former holders (-want +got):\n%s", diff)
	}
}

// Guards against a deviation from the table in docs/design.md section 3.2, which
// says for each situation whether warm and cold targets may be used. The last
// renewal was requested at 11000; each case is checked at 14000.
func TestUsableSharesBySituation(t *testing.T) {
	for _, c := range []struct {
		name       string
		do         func(h *Holder)
		warm, cold bool
	}{
		{"valid lease", func(h *Holder) { h.Receive(13900, partner, leaseRenewal(12001, 2)) }, true, true},
		{"renewal counts from its request", func(h *Holder) { h.Receive(13900, partner, leaseRenewal(12000, 2)) }, true, false},
		{"renewal of another epoch", func(h *Holder) { h.Receive(13900, partner, leaseRenewal(13800, 1)) }, true, false},
		{"no peer reaches the store", func(h *Holder) { h.HeartbeatReceived(13900, peerX, false) }, true, false},
		{"a peer reaches the store", func(h *Holder) { h.HeartbeatReceived(13900, peerX, true) }, false, false},
		{"relayed read counts from its request", func(h *Holder) {
			e, _ := h.Holders(service)
			h.HeartbeatReceived(13900, peerX, true)
			h.Receive(13950, peerX, message.EntryReadReply{RequestedAt: 12000, OK: true, Entries: []message.ServiceEntry{{Service: service, Entry: e}}})
		}, false, false},
		{"relayed read confirms", func(h *Holder) {
			e, _ := h.Holders(service)
			h.HeartbeatReceived(13900, peerX, true)
			h.Receive(13950, peerX, message.EntryReadReply{RequestedAt: 12001, OK: true, Entries: []message.ServiceEntry{{Service: service, Entry: e}}})
		}, true, true},
		{"read counts from its request", func(h *Holder) {
			id := h.readBucket(12000, h.bucketKey(service))[0].(ReadObject).ID
			h.ReadDone(13900, ReadResult{ID: id, Outcome: ReadFound, Bucket: h.tables["holdings/ga.0"]})
		}, true, false},
		{"read confirms", func(h *Holder) {
			id := h.readBucket(12001, h.bucketKey(service))[0].(ReadObject).ID
			h.ReadDone(13900, ReadResult{ID: id, Outcome: ReadFound, Bucket: h.tables["holdings/ga.0"]})
		}, true, true},
		{"reaches the store itself", func(h *Holder) { h.StoreReachable(13900, true) }, false, false},
		{"no messages for less than 3 s", func(h *Holder) { h.SetMembers(13900, []topology.Member{testMember(1, 3, 7)}) }, true, false},
		{"newer epoch known", func(h *Holder) {
			h.HeartbeatReceived(13900, peerX, false)
			h.Receive(13900, peerX, leaseRenewal(13800, 3))
		}, false, false},
	} {
		h := receivedShareHolder()
		h.Receive(11000, partner, leaseRenewal(11000, 2))
		h.HeartbeatReceived(11001, partner, false)
		for now := clock.Time(11100); now < 14000; now += 100 {
			h.Tick(now)
		}
		c.do(h)
		warm, cold := h.UsableShares(14000, service)
		if diff := cmp.Diff([2][2]bool{{false, c.warm}, {false, c.cold}}, [2][2]bool{warm, cold}); diff != "" {
			t.Errorf("%s: use (-want +got):\n%s", c.name, diff)
		}
	}
}

// Guards against work without a valid lease after isolation, after a pause, and by
// a holder whose lease was never valid: its entry may be long outdated.
func TestContinueNeedsRecentContact(t *testing.T) {
	h := receivedShareHolder()
	h.HeartbeatReceived(10000, peerX, false)
	if warm, _ := h.UsableShares(10100, service); warm[1] {
		t.Error("a holder whose lease was never valid continues")
	}
	h.Receive(10100, partner, leaseRenewal(10100, 2))
	for now := clock.Time(10200); now <= 14100; now += 100 {
		h.Tick(now)
	}
	h.SetMembers(14100, []topology.Member{testMember(1, 3, 7)})
	if warm, _ := h.UsableShares(14100, service); warm[1] {
		t.Error("an isolated holder continues after 3 s")
	}
	h.HeartbeatReceived(20000, peerX, false)
	if warm, _ := h.UsableShares(20000, service); warm[1] {
		t.Error("a holder continues right after a pause")
	}
}

// Guards against a holder that uses a share which it lost and received again without
// receiving the epochs in between: the holder in between may still be working.
func TestMissedEpochs(t *testing.T) {
	h := receivedShareHolder(partner)
	h.Receive(10000, former, ack(2, 0, 0))
	h.Receive(10000, partner, leaseRenewal(10000, 2))
	e, _ := h.Holders(service)
	if warm, _ := h.UsableShares(10000, service); !warm[1] {
		t.Fatal("the share is not usable before")
	}
	e = replaceHolder(replaceHolder(e, 1, former), 1, self.Ref)
	h.Receive(10100, partner, message.EntryNotice{Service: service, Entry: e})
	h.Receive(13000, partner, leaseRenewal(13000, e.Epoch))
	if warm, _ := h.UsableShares(13000, service); warm[1] {
		t.Error("the share is used although the holder in between has not ended")
	}
}

// Guards against a share that becomes usable again when the instance loses the other
// one, and against the use of a share after its loss was acknowledged.
func TestGivenUpShares(t *testing.T) {
	h := New(self, idleWork{})
	both := Entry{Epoch: 1, Holders: [2]topology.InstanceRef{self.Ref, self.Ref}, Since: [2]uint64{1, 1}}
	first := replaceHolder(both, 0, partner)
	second := replaceHolder(first, 1, peerX)
	for _, s := range []struct {
		now  clock.Time
		e    Entry
		ack  bool
		want [2]bool
	}{
		{10000, both, false, [2]bool{true, true}},
		{20000, first, false, [2]bool{true, true}},
		{22000, first, false, [2]bool{false, true}},
		{24000, second, false, [2]bool{false, true}},
		{24100, second, true, [2]bool{false, false}},
	} {
		h.Receive(s.now-1, partner, leaseRenewal(s.now-1, 2))
		h.Receive(s.now, partner, message.EntryNotice{Service: service, Entry: s.e, WantAck: s.ack})
		if warm, _ := h.UsableShares(s.now, service); warm != s.want {
			t.Errorf("at %d ms: usable %v, want %v", s.now, warm, s.want)
		}
	}
}

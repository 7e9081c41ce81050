package holding

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/allowance"
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Guards against shares whose slots add up to more or less than the limit, and
// against two cold targets whose only slots belong to the same holder.
func TestSlotsSplitTheLimit(t *testing.T) {
	for limit := range 6 {
		for target := range 4 {
			if sum := allowance.Slots(0, target, limit) + allowance.Slots(1, target, limit); sum != limit {
				t.Errorf("limit %d, target %d: shares have %d slots", limit, target, sum)
			}
		}
	}
	if allowance.Slots(0, 0, 1) != 1 || allowance.Slots(1, 1, 1) != 1 {
		t.Error("the single slots of two cold targets belong to the same share")
	}
}

// testPlanner returns a planner for instances in the given zones. Each element of
// holders gives the two holders of a service by their index; further services have
// none.
func testPlanner(zones []int, holders [][2]int, services int) *planner {
	p := &planner{
		entries: map[topology.ServiceID]Entry{}, zones: map[topology.InstanceRef]topology.ZoneID{},
		vacant:      func(_ topology.ServiceID, e Entry, k int) bool { return e.Holders[k].IsZero() },
		formerEnded: func(topology.ServiceID, Entry, int, message.FormerHolder) bool { return false },
	}
	for m, z := range zones {
		member := testMember(m, 3, 7)
		p.eligible = append(p.eligible, member)
		p.zones[member.Ref] = testZone(z, 3)
	}
	for i := range services {
		s := testService(i, 3)
		p.services = append(p.services, s)
		if i < len(holders) {
			e := Entry{Epoch: 1}
			for k, m := range holders[i] {
				e.Holders[k] = testMember(m, 3, 7).Ref
			}
			p.entries[s.ID] = e
		}
	}
	return p
}

// Guards against two holders in one zone, holdings that are moved without need, and
// holdings that accumulate on one instance.
func TestPlanPlacement(t *testing.T) {
	for _, c := range []struct {
		name    string
		zones   []int // of each eligible instance
		holders [][2]int
		move    bool  // whether the first instance may move a holding away
		want    []int // holdings of each instance afterwards
		changed int
	}{
		{"empty table", []int{0, 1, 2}, nil, false, []int{4, 4, 4}, 6},
		{"single instance holds both shares", []int{0}, nil, false, []int{12}, 6},
		{"balanced", []int{0, 1}, [][2]int{{0, 1}, {0, 1}, {0, 1}, {0, 1}, {0, 1}, {0, 1}}, true, []int{6, 6}, 0},
		{"two holders in one zone are separated", []int{0, 0, 1}, [][2]int{{0, 1}, {0, 2}, {1, 2}, {0, 2}, {1, 2}, {0, 2}}, false, []int{4, 2, 6}, 1},
		{"sole holder gives up a share", []int{0, 1}, [][2]int{{0, 0}, {0, 1}, {0, 1}, {0, 1}, {0, 1}, {0, 1}}, false, []int{6, 6}, 1},
		{"one holding moves", []int{0, 1, 2}, [][2]int{{0, 1}, {0, 1}, {0, 1}, {0, 1}, {0, 1}, {0, 1}}, true, []int{5, 6, 1}, 1},
		{"difference of 1 stays", []int{0, 1, 2}, [][2]int{{0, 1}, {0, 1}, {0, 2}, {0, 2}, {2, 1}, {0, 1}}, true, []int{5, 4, 3}, 0},
	} {
		p, source := testPlanner(c.zones, c.holders, 6), topology.InstanceRef{}
		if c.move {
			source = p.eligible[0].Ref
		}
		changed := p.run(source)
		got := make([]int, len(c.zones))
		for m := range got {
			got[m] = p.load[p.eligible[m].Ref]
		}
		if diff := cmp.Diff(c.want, got); diff != "" || len(changed) != c.changed {
			t.Errorf("%s: %d entries changed, want %d; holdings (-want +got):\n%s", c.name, len(changed), c.changed, diff)
		}
	}
}

// Guards against commands that depend on map order or on anything else than the
// inputs: a replay would then differ from the recorded run.
func TestSameInputsSameCommands(t *testing.T) {
	var draws [2]uint64
	var buckets [2]map[string]Bucket
	for i := range draws {
		w := newSimulation(3, 9, 3, 6)
		w.run(10000)
		w.kill(1)
		w.setCut(0, 2, true)
		w.run(20000)
		draws[i], buckets[i] = w.rng.Uint64(), w.buckets
	}
	if diff := cmp.Diff(buckets[0], buckets[1]); diff != "" || draws[0] != draws[1] {
		t.Errorf("two runs differ:\n%s", diff)
	}
}

// Guards against a lost reply or a conflict after which the planner does nothing or
// overwrites another instance's entries.
func TestWriteOutcomes(t *testing.T) {
	for _, outcome := range []WriteOutcome{WriteConflict, WriteUnknown} {
		h, members := plannedHolder(15, 50)
		h.SetMembers(2, members[:14])
		h.Terminated(2, members[14].Ref)
		var key string
		var reads []ReadObject
		for _, c := range h.writeChanges(3) {
			w := c.(WriteObject)
			key = w.Key
			for _, c := range h.WriteDone(4, WriteResult{Key: key, Outcome: outcome}) {
				reads = append(reads, c.(ReadObject))
			}
		}
		if len(reads) == 0 {
			t.Fatalf("outcome %d: no read follows", outcome)
		}
		for _, r := range reads {
			b := h.tables[r.Key]
			b.Version = 9
			h.ReadDone(5, ReadResult{ID: r.ID, Outcome: ReadFound, Bucket: b})
		}
		for _, c := range h.writeChanges(clock.Time(6)) {
			if w := c.(WriteObject); w.Expect != 9 {
				t.Errorf("outcome %d: %s is written over version %d", outcome, w.Key, w.Expect)
			}
		}
	}
}

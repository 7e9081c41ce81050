package replica_test

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

var defaultService = &routing.Service{Name: "s", MaxConnections: 1000}

// listing returns the listing of a target that has started at 1.
func listing(id topology.TargetID, zone topology.ZoneID) replica.Listing {
	return replica.Listing{ID: id, Service: "s", Address: "10.0.0.1:" + string(id), Zone: zone, Slots: 2, StartedUnixMS: 1}
}

func newSet(now clock.Time, listings ...replica.Listing) *replica.Set {
	s := replica.NewSet("z1", rand.New(rand.NewPCG(1, 2)))
	s.Update(listings, now)
	return s
}

// countPicks picks a target n times, ends each send at once, and returns how often
// each target was selected.
func countPicks(s *replica.Set, n int, now clock.Time) map[topology.TargetID]int {
	got := map[topology.TargetID]int{}
	for range n {
		if c := s.Pick("s", defaultService, nil, replica.First, now); c.Target != nil {
			got[c.Target.ID]++
			s.Done(c.Target, replica.Result{Outcome: replica.Answered}, now)
		}
	}
	return got
}

// report makes one send to the target and ends it with the result.
func report(t *testing.T, s *replica.Set, id topology.TargetID, r replica.Result, now clock.Time) {
	t.Helper()
	var others []topology.TargetID
	for _, other := range []topology.TargetID{"a", "b", "c"} {
		if other != id {
			others = append(others, other)
		}
	}
	c := s.Pick("s", defaultService, others, replica.Needed, now)
	if c.Target == nil {
		t.Fatalf("target %s can't be picked: %s", id, c.Reason)
	}
	s.Done(c.Target, r, now)
}

// TestUnusableTargets checks that targets which are draining, missing, evacuated or
// in backoff get no requests, except that draining or missing targets serve a
// service without others for a limited time.
func TestUnusableTargets(t *testing.T) {
	draining := listing("b", "z1")
	draining.Draining = true
	for name, c := range map[string]struct {
		change func(s *replica.Set)
		at     clock.Time
		want   map[topology.TargetID]int
	}{
		"one is draining": {func(s *replica.Set) { s.Update([]replica.Listing{listing("a", "z1"), draining}, 100) }, 101, map[topology.TargetID]int{"a": 10}},
		"one is missing":  {func(s *replica.Set) { s.Update([]replica.Listing{listing("a", "z1")}, 100) }, 101, map[topology.TargetID]int{"a": 10}},
		"only draining, within the limit": {func(s *replica.Set) {
			s.Update([]replica.Listing{draining}, 100)
			s.Update([]replica.Listing{draining}, 3000)
		}, 1500, map[topology.TargetID]int{"b": 10}},
		"only draining, after the limit": {func(s *replica.Set) { s.Update([]replica.Listing{draining}, 100); s.Expire(5000) }, 5000, map[topology.TargetID]int{}},
		"all missing, within the limit":  {func(s *replica.Set) { s.Update(nil, 100) }, 2000, map[topology.TargetID]int{"a": 5, "b": 5}},
		"all missing, learned late":      {func(s *replica.Set) { s.UpdateSince(nil, 100, 1600) }, 2400, map[topology.TargetID]int{}},
		"draining, learned late": {func(s *replica.Set) {
			s.UpdateSince([]replica.Listing{draining}, 100, 1550) // and the other one is missing
		}, 1700, map[topology.TargetID]int{"a": 10}},
		"all missing, after the limit":    {func(s *replica.Set) { s.Update(nil, 100) }, 2400, map[topology.TargetID]int{}},
		"evacuated zone":                  {func(s *replica.Set) { s.SetEvacuated(map[topology.ZoneID]bool{"z1": true}, 0) }, 100, map[topology.TargetID]int{}},
		"evacuation ended":                {func(s *replica.Set) { s.SetEvacuated(map[topology.ZoneID]bool{"z1": true}, 0); s.SetEvacuated(nil, 0) }, 100, map[topology.TargetID]int{"a": 5, "b": 5}},
		"connection refused":              {func(s *replica.Set) { report(t, s, "b", replica.Result{Outcome: replica.Unsent}, 100) }, 150, map[topology.TargetID]int{"a": 10}},
		"address taken by another target": {func(s *replica.Set) { report(t, s, "b", replica.Result{Outcome: replica.Replaced}, 100) }, 5000, map[topology.TargetID]int{"a": 10}},
		"outdated entry of an earlier process": {func(s *replica.Set) {
			l := draining
			l.StartedUnixMS = 0
			s.Update([]replica.Listing{listing("a", "z1"), l}, 100)
		}, 101, map[topology.TargetID]int{"a": 5, "b": 5}},
		"restarted with the same id": {func(s *replica.Set) {
			l := draining
			s.Update([]replica.Listing{listing("a", "z1"), l}, 100)
			l.StartedUnixMS, l.Draining = 2, false
			s.Update([]replica.Listing{listing("a", "z1"), l}, 200)
		}, 201, map[topology.TargetID]int{"a": 5, "b": 5}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSet(1, listing("a", "z1"), listing("b", "z1"))
			c.change(s)
			got := countPicks(s, 10, c.at)
			if len(c.want) == 2 && len(got) == 2 {
				return // the number of requests to each is random
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("picks (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSlowTargetLosesTraffic checks that a slow or failing target gets fewer
// requests at once, and about its share again a minute later.
func TestSlowTargetLosesTraffic(t *testing.T) {
	for name, r := range map[string]replica.Result{
		"slow":    {Outcome: replica.Answered, Slowness: 10},
		"failing": {Outcome: replica.Failed},
		"silent":  {Outcome: replica.Lost, Slowness: 10},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSet(1, listing("a", "z1"), listing("b", "z1"))
			for i := range 3 {
				report(t, s, "b", r, clock.Time(100+i))
			}
			if got := countPicks(s, 1000, 110)["b"]; got > 150 {
				t.Errorf("%d of 1000 requests went to the target at once, want at most 150", got)
			}
			if got := countPicks(s, 1000, 60_000)["b"]; got < 350 {
				t.Errorf("%d of 1000 requests went to the target a minute later, want about half", got)
			}
		})
	}
}

// TestSheddingTargetLosesTraffic checks that a target that sheds gets fewer
// requests, since each shed request uses up a repeat of the shared limit.
func TestSheddingTargetLosesTraffic(t *testing.T) {
	s := newSet(1, listing("a", "z1"), listing("b", "z1"))
	for i := range 10 {
		report(t, s, "b", replica.Result{Outcome: replica.Shed}, clock.Time(100+20*i))
	}
	// There are few picks, since each answer raises the target's share again.
	if got := countPicks(s, 30, 320)["b"]; got > 3 {
		t.Errorf("%d of 30 requests went to the target at once, want at most 3", got)
	}
	if got := countPicks(s, 1000, 60_000)["b"]; got < 350 {
		t.Errorf("%d of 1000 requests went to the target a minute later, want about half", got)
	}
}

// TestPurposeOfSend checks that a target that is likely to answer too late or to
// shed gets no sends that a request can do without, but does get those that it
// needs.
func TestPurposeOfSend(t *testing.T) {
	late := replica.Result{Outcome: replica.Answered, Late: true}
	shed := replica.Result{Outcome: replica.Shed}
	for name, c := range map[string]struct {
		result  replica.Result
		purpose replica.Purpose
		want    replica.Reason
	}{
		"late, first":     {late, replica.First, replica.Paced},
		"late, hedge":     {late, replica.Hedge, replica.Paced},
		"late, needed":    {late, replica.Needed, replica.Selected},
		"sheds, first":    {shed, replica.First, replica.Selected},
		"sheds, hedge":    {shed, replica.Hedge, replica.Shedding},
		"sheds, needed":   {shed, replica.Needed, replica.Selected},
		"answers, hedge":  {replica.Result{Outcome: replica.Answered}, replica.Hedge, replica.Selected},
		"answers, needed": {replica.Result{Outcome: replica.Answered}, replica.Needed, replica.Selected},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSet(1, listing("a", "z1"))
			for i := range 5 {
				report(t, s, "a", c.result, clock.Time(100+20*i))
			}
			if diff := cmp.Diff(c.want, s.Pick("s", defaultService, nil, c.purpose, 200).Reason); diff != "" {
				t.Errorf("reason (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLateTargetBesideOneThatIsDown checks that a service whose only usable target
// is paced is reported as paced and not as down, so that the target gets a send
// when it is needed.
func TestLateTargetBesideOneThatIsDown(t *testing.T) {
	s := newSet(1, listing("a", "z1"), listing("b", "z1"))
	report(t, s, "b", replica.Result{Outcome: replica.Unsent}, 60) // b is down for less time than a is paced
	for i := range 5 {
		report(t, s, "a", replica.Result{Outcome: replica.Answered, Late: true}, clock.Time(100+10*i))
	}
	if got := s.Pick("s", defaultService, nil, replica.First, 150).Reason; got != replica.Paced {
		t.Errorf("reason %q, want %q", got, replica.Paced)
	}
	if got := s.Pick("s", defaultService, nil, replica.Needed, 150); got.Target == nil || got.Target.ID != "a" {
		t.Errorf("choice %+v, want target a", got)
	}
}

// TestOverdueTargetIsAvoided guards against requests queueing at a target that has
// stopped answering.
func TestOverdueTargetIsAvoided(t *testing.T) {
	s := newSet(1, listing("a", "z1"), listing("b", "z1"))
	c := s.Pick("s", defaultService, []topology.TargetID{"a"}, replica.First, 10)
	s.MarkOverdue(c.Target, 10)
	if got := countPicks(s, 1000, 20)["b"]; got > 50 {
		t.Errorf("%d of 1000 requests went to the target with an overdue send, want at most 50", got)
	}
	s.Done(c.Target, replica.Result{Outcome: replica.Answered, Overdue: true}, 30)
	if got := countPicks(s, 1000, 40)["b"]; got < 350 {
		t.Errorf("%d of 1000 requests went to the target after its answer, want about half", got)
	}
}

// TestStalledTargetIsAvoided guards against a target in a pause that gets further
// requests after the overdue send to it was canceled, because a hedge was answered and
// the search has ended.
func TestStalledTargetIsAvoided(t *testing.T) {
	s := newSet(1, listing("a", "z1"), listing("b", "z1"))
	c := s.Pick("s", defaultService, []topology.TargetID{"a"}, replica.First, 10)
	s.MarkOverdue(c.Target, 10)
	s.Done(c.Target, replica.Result{Outcome: replica.Canceled, Overdue: true, Sent: 10}, 60)
	picks := func(now clock.Time) (b int) {
		for range 1000 {
			c := s.Pick("s", defaultService, nil, replica.First, now)
			if c.Target.ID == "b" {
				b++
			}
			s.Undo(c.Target) // an answer would end the stall
		}
		return b
	}
	if got := picks(100); got > 50 {
		t.Errorf("%d of 1000 requests went to the stalled target, want at most 50", got)
	}
	if got := picks(300); got < 350 {
		t.Errorf("%d of 1000 requests went to the target after the longest pause, want about half", got)
	}
}

// TestBusyTargetOfOwnZone guards against requests that queue at the target of the own
// zone while those of other zones are idle.
func TestBusyTargetOfOwnZone(t *testing.T) {
	s := newSet(1, listing("a", "z1"), listing("b", "z2"))
	s.Pick("s", defaultService, []topology.TargetID{"b"}, replica.First, 10)
	s.Pick("s", defaultService, []topology.TargetID{"b"}, replica.First, 10)
	if got := countPicks(s, 1000, 20)["a"]; got > 50 {
		t.Errorf("%d of 1000 requests went to the target whose slots are all in use, want at most 50", got)
	}
}

// TestOwnZoneIsPreferred checks that most requests stay in the instance's zone,
// but not when its target there is slow.
func TestOwnZoneIsPreferred(t *testing.T) {
	s := newSet(1, listing("a", "z1"), listing("b", "z2"))
	if got := countPicks(s, 1000, 10)["a"]; got < 800 {
		t.Errorf("%d of 1000 requests stayed in the zone, want at least 800", got)
	}
	for i := range 4 {
		report(t, s, "a", replica.Result{Outcome: replica.Answered, Slowness: 10}, clock.Time(20+i))
	}
	if got := countPicks(s, 1000, 30)["a"]; got > 350 {
		t.Errorf("%d of 1000 requests went to the slow target of the zone, want at most 350", got)
	}
}

// TestConnectionsAreShared checks that an instance keeps to its share of the
// connections that a target accepts from all instances together.
func TestConnectionsAreShared(t *testing.T) {
	s := newSet(1, listing("a", "z1"))
	s.SetInstances(10, 0, anySender)
	svc := &routing.Service{Name: "s", MaxConnections: 50}
	sent := 0
	for s.Pick("s", svc, nil, replica.First, 10).Target != nil {
		sent++
	}
	if sent > 5 || sent < 2 {
		t.Errorf("%d concurrent requests to a target with 50 connections for 10 instances, want 2 to 5", sent)
	}
	if got := s.Pick("s", svc, nil, replica.First, 10).Reason; got != replica.Busy {
		t.Errorf("reason %q, want %q", got, replica.Busy)
	}
}

// anySender allows each instance to send to cold targets.
func anySender(topology.TargetID, int) bool { return true }

// concurrent returns how many requests at the same time s sends to the targets of the
// service.
func concurrent(s *replica.Set, svc *routing.Service) int {
	sent := 0
	for s.Pick(svc.Name, svc, nil, replica.First, 10).Target != nil {
		sent++
	}
	return sent
}

// TestConnectionsOfManyInstances guards against instances that together open more
// connections than a target accepts, which then resets them: hundreds of instances use
// each target, and a few large ones run the searches.
func TestConnectionsOfManyInstances(t *testing.T) {
	const large, small, plainLimit, shardLimit = 21, 274, 370, 175
	plain := &routing.Service{Name: "s", MaxConnections: plainLimit}
	shard := &routing.Service{Name: "s", MaxConnections: shardLimit}
	open := func(svc *routing.Service, searchShare float64) int {
		s := newSet(1, listing("a", "z1"))
		s.SetInstances(large+small, searchShare, anySender)
		s.SetShards(func(routing.ServiceName) bool { return svc == shard })
		return concurrent(s, svc)
	}
	const largeShare, smallShare = 0.027, 0.0016
	if got := large*open(plain, largeShare) + small*open(plain, smallShare); got > plainLimit {
		t.Errorf("%d connections to a target that accepts %d", got, plainLimit)
	}
	if got := open(shard, largeShare); got < 3 || large*got > shardLimit {
		t.Errorf("%d connections of each large instance to a shard that accepts %d, want 3 or more and not too many", got, shardLimit)
	}
	if got := open(shard, smallShare); got != 1 {
		t.Errorf("%d connections of a small instance to a shard, want 1", got)
	}
}

// TestColdTargetRate checks that all instances together keep within the request
// rate of a cold target and make use of it.
func TestColdTargetRate(t *testing.T) {
	for _, rate := range []float64{1, 5, 10, 40, 100} {
		const instances = 15
		svc := &routing.Service{Name: "s", ColdPerSecond: rate}
		cold := listing("a", "z1")
		cold.ColdPeriod = 10 * clock.Second
		var sets []*replica.Set
		for i := range instances {
			s := newSet(1, cold)
			s.SetInstances(instances, 0, func(_ topology.TargetID, n int) bool { return i < n })
			sets = append(sets, s)
		}
		var sent []clock.Time
		for now := clock.Time(2); now < 5000; now += 5 {
			for _, s := range sets {
				if c := s.Pick("s", svc, nil, replica.First, now); c.Target != nil {
					sent = append(sent, now)
					s.Done(c.Target, replica.Result{Outcome: replica.Answered}, now)
				}
			}
		}
		most := 0
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at < from.Add(clock.Second) {
					n++
				}
			}
			most = max(most, n)
		}
		if limit := int(rate*1.5 + 5); most > limit {
			t.Errorf("rate %v: %d requests within one second, want at most %d", rate, most, limit)
		}
		if len(sent) < int(rate*5*0.5) {
			t.Errorf("rate %v: %d requests in 5 s, want at least half of the rate", rate, len(sent))
		}
	}
}

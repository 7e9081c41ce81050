package replica_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// coldService is a service whose cold targets bear few requests.
var coldService = &routing.Service{Name: "s", MaxConnections: 1000, ColdPerSecond: 4, HealthPath: "/health"}

// coldBound is the number of requests that a cold target of coldService bears in a second.
const coldBound = 4*1.5 + 5

func serviceOf(routing.ServiceName) *routing.Service { return coldService }

// sendAll sends a request each 10 ms for a time from now on, to other targets than a, and
// returns how many were sent.
func sendAll(s *replica.Set, now clock.Time, d clock.Duration) (got int) {
	for end := now.Add(d); now.Before(end); now = now.Add(10) {
		if c := s.Pick("s", coldService, []topology.TargetID{"a"}, replica.First, now); c.Target != nil {
			got++
			s.Done(c.Target, replica.Result{Outcome: replica.Answered}, now)
		}
	}
	return got
}

// TestTargetBackInUse guards against a target that gets full load as soon as it is given back
// or accepts connections again, although it may be cold, and against one that is held back for
// longer than that is unknown.
func TestTargetBackInUse(t *testing.T) {
	evacuate := func(s *replica.Set) {
		s.SetEvacuated(map[topology.ZoneID]bool{"z2": true}, 100)
		s.SetEvacuated(nil, 5000)
	}
	refuse := func(s *replica.Set) { s.Refused("b", 1, 5000) }
	asked := replica.Listing{ID: "b", StartedUnixMS: 1}
	tell := func(cold clock.Duration) func(*replica.Set) {
		return func(s *replica.Set) { s.Told(asked, cold, 5010) }
	}
	restart := func(s *replica.Set) {
		again := listing("b", "z2")
		again.StartedUnixMS = 2
		s.Update([]replica.Listing{listing("a", "z1"), again}, 5010)
	}
	nothing := func(*replica.Set) {}
	for name, c := range map[string]struct {
		out, told  func(*replica.Set)
		freshSince clock.Time
		at         clock.Time
		full       bool
	}{
		"given back":                             {evacuate, nothing, 0, 5020, false},
		"given back, warm":                       {evacuate, tell(0), 0, 5020, true},
		"given back, cold":                       {evacuate, tell(3000), 0, 5020, false},
		"given back, cold before":                {evacuate, tell(3000), 0, 8020, true},
		"given back, no word since":              {evacuate, nothing, 0, 7600, true},
		"given back, entries missing meanwhile":  {evacuate, nothing, 6000, 7600, false},
		"refused":                                {refuse, nothing, 0, 5020, false},
		"refused, no word since":                 {refuse, nothing, 0, 7600, true},
		"refused, entries missing meanwhile":     {refuse, nothing, 59_000, 60_000, false},
		"refused, warm":                          {refuse, tell(0), 0, 5020, true},
		"refused, then an entry of the next one": {refuse, restart, 0, 5020, true},
		"an earlier process refused":             {func(s *replica.Set) { s.Refused("b", 0, 5000) }, nothing, 0, 5020, true},
		"in use all the time":                    {nothing, nothing, 0, 5020, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSet(0, listing("a", "z1"), listing("b", "z2"))
			s.SetInstances(1, 1, func(topology.TargetID, int) bool { return true })
			c.out(s)
			c.told(s)
			s.Questions(serviceOf, c.freshSince, c.at)
			got := sendAll(s, c.at, clock.Second)
			if full := got > coldBound; full != c.full {
				t.Errorf("%d requests in a second, full load %v, want %v", got, full, c.full)
			}
		})
	}
}

// TestQuestionsAreSpread guards against hundreds of instances that ask a target at the same
// time, and against an instance that asks one whose warmth has no effect.
func TestQuestionsAreSpread(t *testing.T) {
	const instances = 300
	var sets []*replica.Set
	for n := range instances {
		s := replica.NewSet("z1", rand.New(rand.NewPCG(uint64(n), 7)))
		s.Update([]replica.Listing{listing("a", "z1")}, 0)
		s.SetInstances(instances, 1, func(_ topology.TargetID, most int) bool { return n < most })
		s.Refused("a", 1, 100)
		sets = append(sets, s)
	}
	perSecond := map[clock.Time]int{}
	for now := clock.Time(100); now < 100_000; now = now.Add(50) {
		for _, s := range sets {
			for _, q := range s.Questions(serviceOf, now, now) {
				perSecond[now/1000]++
				s.Told(q.Target, 0, now)
			}
		}
	}
	asked := 0
	for second, n := range perSecond {
		asked += n
		if n > coldBound {
			t.Errorf("%d questions in second %d, want %v at most", n, second, coldBound)
		}
	}
	if asked < instances/2 {
		t.Errorf("%d of %d instances have asked within 100 s", asked, instances)
	}
	s := newSet(0, listing("a", "z1"))
	s.Refused("a", 1, 100)
	if q := s.Questions(func(routing.ServiceName) *routing.Service { return defaultService }, 0, 200); len(q) > 0 || s.UnknownWarmth() > 0 {
		t.Errorf("asks %v, and %d targets are unknown, want none", q, s.UnknownWarmth())
	}
}

// coldWorld is a number of instances and the targets of one service, with simulated time.
type coldWorld struct {
	now       clock.Time
	sets      []*replica.Set
	listings  map[topology.TargetID]replica.Listing // as the store has them
	targets   map[topology.TargetID]*coldTarget
	storeAway bool
	evacuated bool
}

type coldTarget struct {
	started   int64
	up        bool
	coldUntil clock.Time
	arrivals  []clock.Time // while it was cold
}

func newColdWorld(instances, targets int, seed uint64) *coldWorld {
	w := &coldWorld{now: 1000, listings: map[topology.TargetID]replica.Listing{}, targets: map[topology.TargetID]*coldTarget{}}
	for n := range targets {
		l := listing(topology.TargetID(fmt.Sprintf("t%d", n)), []topology.ZoneID{"z1", "z2"}[n%2])
		w.listings[l.ID], w.targets[l.ID] = l, &coldTarget{started: 1, up: true}
	}
	for n := range instances {
		s := replica.NewSet("z1", rand.New(rand.NewPCG(seed, uint64(n))))
		s.SetInstances(instances, 1/float64(instances), func(_ topology.TargetID, most int) bool { return n < most })
		w.sets = append(w.sets, s)
	}
	w.publish()
	return w
}

// publish gives the entries to all instances unless the store is away.
func (w *coldWorld) publish() {
	if w.storeAway {
		return
	}
	var list []replica.Listing
	for id, l := range w.listings {
		t := w.targets[id]
		if t.up {
			l.StartedUnixMS, l.ColdPeriod = t.started, max(t.coldUntil.Sub(w.now), 0)
			w.listings[id] = l
		}
		list = append(list, l)
	}
	for _, s := range w.sets {
		s.Update(list, w.now)
	}
}

// restart starts a target again under its id, cold.
func (w *coldWorld) restart(id topology.TargetID) {
	t := w.targets[id]
	t.up, t.started, t.coldUntil = true, t.started+1, w.now.Add(3000)
	w.publish()
}

// evacuate evacuates the zone z2, or gives it back with targets that have just become cold.
func (w *coldWorld) evacuate() {
	if w.storeAway {
		return // the instances don't hear of it
	}
	w.evacuated = !w.evacuated
	for id, t := range w.targets {
		if !w.evacuated && w.listings[id].Zone == "z2" {
			t.coldUntil = w.now.Add(3000)
		}
	}
	for _, s := range w.sets {
		s.SetEvacuated(map[topology.ZoneID]bool{"z2": w.evacuated}, w.now)
	}
	if w.evacuated {
		return
	}
	for _, s := range w.sets {
		s.SetEvacuated(nil, w.now)
	}
}

// step plays 10 ms, in which each instance sends some requests.
func (w *coldWorld) step(requests int, freshSince clock.Time) {
	w.now = w.now.Add(10)
	for _, s := range w.sets {
		for _, q := range s.Questions(serviceOf, freshSince, w.now) {
			t := w.targets[q.Target.ID]
			if t.up {
				s.Told(q.Target, max(t.coldUntil.Sub(w.now), 0), w.now)
			} else {
				s.NotTold(q.Target, w.now)
			}
		}
		for range requests {
			w.send(s)
		}
	}
	if w.now%1200 == 0 {
		w.publish()
	}
}

func (w *coldWorld) send(s *replica.Set) {
	c := s.Pick("s", coldService, nil, replica.First, w.now)
	if c.Target == nil {
		return
	}
	t := w.targets[c.Target.ID]
	if !t.up {
		s.Refused(c.Target.ID, c.Target.StartedUnixMS, w.now)
		s.Done(c.Target, replica.Result{Outcome: replica.Unsent, Sent: w.now}, w.now)
		return
	}
	if w.now.Before(t.coldUntil) {
		t.arrivals = append(t.arrivals, w.now)
	}
	s.Done(c.Target, replica.Result{Outcome: replica.Answered, Sent: w.now}, w.now)
}

// mostInSecond returns the most requests that the target got within a second while it was
// cold.
func (t *coldTarget) mostInSecond() int {
	most, first := 0, 0
	for i, at := range t.arrivals {
		for at.Sub(t.arrivals[first]) >= clock.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdTargetsStayWithinBound guards against targets that come back cold, after a crash
// or an evacuation, with the store away or not, and get more than they bear.
func TestColdTargetsStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const targets = 6
		w := newColdWorld(rapid.IntRange(1, 8).Draw(t, "instances"), targets, rapid.Uint64().Draw(t, "seed"))
		requests := rapid.IntRange(1, 3).Draw(t, "requests")
		freshSince := w.now
		for range rapid.IntRange(5, 25).Draw(t, "events") {
			id := topology.TargetID(fmt.Sprintf("t%d", rapid.IntRange(0, targets-1).Draw(t, "target")))
			switch rapid.SampledFrom([]string{"crash", "restart", "evacuate", "store"}).Draw(t, "event") {
			case "crash":
				w.targets[id].up = false
			case "restart":
				if !w.targets[id].up {
					w.restart(id)
				}
			case "evacuate":
				w.evacuate()
			case "store":
				w.storeAway = !w.storeAway
				w.publish()
			}
			// A target is down for a second at least, and others notice it.
			for range rapid.IntRange(100, 300).Draw(t, "steps") {
				if w.storeAway {
					freshSince = w.now
				}
				w.step(requests, freshSince)
			}
		}
		for id, target := range w.targets {
			if got := target.mostInSecond(); got > coldBound {
				t.Errorf("%s got %d requests in a second while it was cold, %v allowed", id, got, coldBound)
			}
		}
	})
}

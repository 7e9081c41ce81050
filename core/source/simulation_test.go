package source_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"knapweedstall/core/clock"
	"knapweedstall/core/placing"
	"knapweedstall/core/source"
	"knapweedstall/core/topology"
)

// Timing of the simulated fleet.
const (
	simStep        = 10 * clock.Millisecond
	darkDialTime   = 300 * clock.Millisecond // time until an instance that is powered off counts as unreachable
	simPollPeriod  = 800 * clock.Millisecond // time between two calls to a store that does not answer
	simWatchPeriod = 4 * clock.Second        // time after which a watching instance looks for a source
)

// member is one instance of the simulated fleet.
type member struct {
	placing.Instance
	chooser  *source.Chooser
	alive    bool
	complete bool // it has copies of all kinds
	blocked  bool // the store does not answer it
	watching bool // it polls or watches the store
	source   *member
	asked    *member // candidate that it is connecting to
	wakeAt   clock.Time
	pollAt   clock.Time // when it next calls a store that has not answered
	retry    bool       // it tries its candidates before it watches a store that is available again
	fresh    bool       // its copies are up to date
}

// fleet simulates instances that choose their sources, without a network.
type fleet struct {
	now       clock.Time
	random    *rand.Rand
	members   []*member
	byAddress map[string]*member
	storeDown bool
	reads     int // instances that read all copies from the store
	polls     int // calls to a store that did not answer
}

// newFleet returns a fleet of n instances in the zones, of which a few in each zone
// are large. They have not started yet.
func newFleet(n, zones int) *fleet {
	f := &fleet{now: 1, random: rand.New(rand.NewPCG(1, uint64(n))), byAddress: map[string]*member{}}
	for i := range n {
		capacity := 0.2
		if i/zones < 3 {
			capacity = 0.8
		}
		m := &member{Instance: placing.Instance{
			ID: topology.InstanceID(fmt.Sprintf("i%d", i)), Zone: topology.ZoneID(fmt.Sprintf("z%d", i%zones)),
			Address: fmt.Sprintf("10.0.0.0:%d", i), Capacity: capacity,
		}}
		f.members = append(f.members, m)
		f.byAddress[m.Address] = m
	}
	return f
}

func (f *fleet) instances() []placing.Instance {
	var all []placing.Instance
	for _, m := range f.members {
		all = append(all, m.Instance)
	}
	return all
}

// start starts the instances for which the condition holds, within 300 ms.
func (f *fleet) start(condition func(*member) bool) {
	all := f.instances()
	for _, m := range f.members {
		if condition(m) {
			m.alive, m.complete, m.fresh, m.watching, m.source, m.asked = true, false, false, false, nil, nil
			m.wakeAt = f.now.Add(clock.Duration(f.random.IntN(300)))
			m.chooser = source.New(m.Instance)
			m.chooser.SetInstances(all)
			m.chooser.Start(m.wakeAt)
		}
	}
}

// stop ends the instances for which the condition holds.
func (f *fleet) stop(condition func(*member) bool) {
	for _, m := range f.members {
		if condition(m) {
			m.alive, m.fresh = false, false
		}
	}
}

// run advances the time by d.
func (f *fleet) run(d clock.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simStep) {
		for _, m := range f.members {
			if m.alive {
				f.step(m)
			}
		}
	}
}

// answers reports whether the store answers m.
func (f *fleet) answers(m *member) bool { return !f.storeDown && !m.blocked }

func (f *fleet) step(m *member) {
	switch {
	case m.source != nil:
		m.fresh = m.source.alive && m.source.fresh
		if !m.fresh {
			m.chooser.Ended(m.source.Address, source.Lost, f.now)
			m.source, m.wakeAt = nil, f.now
		}
	case f.now.Before(m.wakeAt):
	case m.asked != nil:
		f.connected(m)
	case m.watching:
		f.watch(m)
	default:
		f.act(m, m.chooser.Next(m.complete, f.now))
	}
	if m.watching && m.fresh && !f.answers(m) {
		m.fresh, m.wakeAt = false, f.now
	}
}

func (f *fleet) act(m *member, s source.Step) {
	switch s.Action {
	case source.Wait:
		m.wakeAt = f.now.Add(s.Wait)
	case source.Watch:
		m.watching = true
		f.watch(m)
	case source.Follow:
		f.connect(m, s.Address)
	}
}

func (f *fleet) connect(m *member, address string) {
	m.asked = f.byAddress[address]
	m.wakeAt = f.now.Add(simStep)
	if !m.asked.alive {
		m.wakeAt = f.now.Add(darkDialTime)
	}
}

// connected ends the attempt to follow the candidate that m has asked.
func (f *fleet) connected(m *member) {
	candidate := m.asked
	m.asked = nil
	if !candidate.alive {
		m.chooser.Ended(candidate.Address, source.Unreachable, f.now)
		return
	}
	m.complete = m.complete || candidate.complete
	if !candidate.fresh {
		m.chooser.Ended(candidate.Address, source.Stale, f.now)
		return
	}
	m.source, m.watching, m.fresh = candidate, false, true
}

// watch makes a step of a member that reads the store.
func (f *fleet) watch(m *member) {
	if f.answers(m) {
		if m.pollAt != 0 { // the store has not answered before
			m.pollAt = 0
			m.wakeAt = f.now.Add(m.chooser.StoreAvailable())
			m.retry = true
			return
		}
		if address := m.chooser.Candidate(f.now); m.retry && address != "" {
			f.connect(m, address)
			return
		}
		m.retry = false
		if !m.complete {
			f.reads++
		}
		if m.fresh { // it has watched for simWatchPeriod
			if address := m.chooser.Candidate(f.now); address != "" {
				f.connect(m, address)
				return
			}
		}
		m.complete, m.fresh, m.wakeAt = true, true, f.now.Add(simWatchPeriod)
		return
	}
	if m.wakeAt = m.pollAt; !f.now.Before(m.pollAt) {
		f.polls++
		m.pollAt = f.now.Add(simPollPeriod)
		m.wakeAt = m.pollAt
	}
	if address := m.chooser.Candidate(f.now); address != "" {
		f.connect(m, address)
	}
}

// count returns the number of members for which the condition holds.
func (f *fleet) count(condition func(*member) bool) int {
	n := 0
	for _, m := range f.members {
		if condition(m) {
			n++
		}
	}
	return n
}

func everyone(*member) bool { return true }

// sizes are the numbers of instances and zones that are simulated.
var sizes = []struct{ instances, zones int }{{30, 3}, {100, 5}, {300, 7}, {685, 8}, {1000, 10}}

// checkUpToDate checks that all running members are up to date.
func (f *fleet) checkUpToDate(t *testing.T, when string) {
	t.Helper()
	if stale := f.count(func(m *member) bool { return m.alive && (!m.complete || !m.fresh) }); stale > 0 {
		t.Errorf("%d instances are not up to date %s", stale, when)
	}
}

// TestStartReadsStorePerZone guards against a start of all instances, as after a loss of
// power, in which each of them reads all objects from the store: the number of
// readers must depend on the number of zones alone.
func TestStartReadsStorePerZone(t *testing.T) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			f := newFleet(size.instances, size.zones)
			f.start(everyone)
			f.run(3 * clock.Second)
			f.checkUpToDate(t, "3 s after their start")
			f.run(20 * clock.Second)
			f.checkUpToDate(t, "23 s after their start")
			if limit := 3 * size.zones; f.reads > limit {
				t.Errorf("%d instances read all objects from the store, want at most %d", f.reads, limit)
			}
			t.Logf("%d instances, %d zones: %d read the store", size.instances, size.zones, f.reads)
		})
	}
}

// TestOutagePollsPerZone guards against an outage in which all instances poll the
// store, and checks that all are up to date soon after it.
func TestOutagePollsPerZone(t *testing.T) {
	const outage = 9 * clock.Second
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			f := newFleet(size.instances, size.zones)
			f.start(everyone)
			f.run(5 * clock.Second)
			f.storeDown = true
			f.run(outage)
			limit := 3 * size.zones * (int(outage/simPollPeriod) + 2)
			if f.polls > limit {
				t.Errorf("%d polls, want at most %d", f.polls, limit)
			}
			f.storeDown = false
			f.run(3 * clock.Second)
			f.checkUpToDate(t, "3 s after the outage")
			watching := f.count(func(m *member) bool { return m.watching })
			if watching > 2*size.zones {
				t.Errorf("%d instances watch the store after the outage, want at most %d", watching, 2*size.zones)
			}
			t.Logf("%d instances, %d zones: %d polls", size.instances, size.zones, f.polls)
		})
	}
}

// TestStartDuringOutage checks that instances that start while the store is away do
// not all poll it, and are up to date soon after its return.
func TestStartDuringOutage(t *testing.T) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			f := newFleet(size.instances, size.zones)
			f.storeDown = true
			f.start(everyone)
			f.run(3 * clock.Second)
			if limit := 3 * size.zones * 6; f.polls > limit {
				t.Errorf("%d polls in 3 s, want at most %d", f.polls, limit)
			}
			f.storeDown = false
			f.run(4 * clock.Second)
			f.checkUpToDate(t, "4 s after the outage")
		})
	}
}

// TestZoneLostAndBack checks that the instances of a zone that was without power are
// up to date soon after their start, and that the readers of the other zones stay.
func TestZoneLostAndBack(t *testing.T) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			f := newFleet(size.instances, size.zones)
			f.start(everyone)
			f.run(5 * clock.Second)
			before := f.reads
			inZone := func(m *member) bool { return m.Zone == "z1" }
			f.stop(inZone)
			f.run(5 * clock.Second)
			f.checkUpToDate(t, "while a zone is lost")
			f.start(inZone)
			f.run(3 * clock.Second)
			f.checkUpToDate(t, "3 s after the return of the zone")
			if got := f.reads - before; got > 3 {
				t.Errorf("%d instances of the zone read all objects from the store, want at most 3", got)
			}
		})
	}
}

// TestReadersTurnedAway checks that a zone stays up to date while the store turns a
// third of its instances away, among them the first one, as long as it answers one of
// the readers. It also checks that the loss of the first readers is made up for.
func TestReadersTurnedAway(t *testing.T) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			f := newFleet(size.instances, size.zones)
			f.start(everyone)
			f.run(5 * clock.Second)
			for _, m := range f.members {
				m.blocked = m.watching
			}
			f.run(3 * clock.Second)
			if stale := f.count(func(m *member) bool { return !m.fresh && !m.blocked }); stale > 0 {
				t.Errorf("%d instances are not up to date while others of their zone are", stale)
			}
			f.stop(func(m *member) bool { return m.Capacity > 0.5 })
			f.run(4 * clock.Second)
			f.checkUpToDate(t, "4 s after the loss of the first readers")
		})
	}
}

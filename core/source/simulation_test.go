package source_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	simPollPeriod  = 800 * clock.Millisecond // time between two calls of a reader to a store that does not answer, at least
	simWatchPeriod = 4 * clock.Second        // time after which a watching instance looks for a source
	simTurnSearch  = 250 * clock.Millisecond // time for which an instance whose turn it is looks for a source
	simDue         = 3 * clock.Second        // time within which changes are due
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
	asked    *member    // candidate that it is connecting to
	askedAt  clock.Time // when the attempt ends
	wakeAt   clock.Time
	looking  bool       // it tries its candidates while it reads the store
	failed   bool       // the latest call to the store has failed
	retry    bool       // it tries its candidates before it watches a store that is available again
	fresh    bool       // its copies are up to date
	freshAt  clock.Time // when they were, if they are not
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
	asks      int // instances that have asked the store because of the age of their copies
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
			m.alive, m.complete, m.fresh, m.watching, m.looking, m.source, m.asked = true, false, false, false, false, nil, nil
			m.wakeAt = f.now.Add(clock.Duration(f.random.IntN(300)))
			m.chooser = source.New(m.Instance, simDue)
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

// ask lets m ask the store itself if it has to.
func (f *fleet) ask(m *member) {
	if m.fresh {
		m.freshAt = f.now
	}
	if !m.complete || !m.chooser.AskDue(f.now.Sub(m.freshAt), f.now) {
		return
	}
	f.asks++
	if !f.answers(m) {
		f.polls++
		m.chooser.Denied(f.now)
		return
	}
	m.freshAt = f.now
	m.chooser.Answered(f.now)
}

func (f *fleet) step(m *member) {
	f.ask(m)
	if m.asked != nil && !f.now.Before(m.askedAt) {
		f.connected(m)
	}
	switch {
	case m.source != nil:
		m.fresh = m.source.alive && m.source.fresh
		if !m.fresh {
			outcome := source.Lost
			if m.source.alive {
				outcome = source.Outdated
			}
			m.chooser.Ended(m.source.Address, outcome, f.now)
			m.source, m.wakeAt = nil, f.now
		}
		return
	case m.watching:
		f.look(m)
		if m.fresh && !f.answers(m) {
			m.fresh, m.wakeAt = false, f.now
		}
		if !f.now.Before(m.wakeAt) {
			f.watch(m)
		}
	case m.asked == nil && !f.now.Before(m.wakeAt):
		f.act(m, m.chooser.Next(f.now.Sub(m.freshAt), m.complete, f.now))
	}
}

func (f *fleet) act(m *member, s source.Step) {
	switch s.Action {
	case source.Wait:
		m.wakeAt = f.now.Add(s.Wait)
	case source.Watch:
		m.watching, m.failed = true, false
		f.watch(m)
	case source.Probe:
		if f.answers(m) {
			m.watching, m.failed = true, false
			f.watch(m)
			return
		}
		f.polls++
		m.chooser.ProbeFailed(f.now)
	case source.Follow:
		f.connect(m, s.Address)
	}
}

func (f *fleet) connect(m *member, address string) {
	m.asked = f.byAddress[address]
	m.askedAt = f.now.Add(simStep)
	if !m.asked.alive {
		m.askedAt = f.now.Add(darkDialTime)
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
	m.source, m.watching, m.fresh, m.looking = candidate, false, true, false
}

// look makes a step of the search for a source beside the reading of the store.
func (f *fleet) look(m *member) {
	if !m.looking || m.asked != nil {
		return
	}
	if address := m.chooser.Candidate(f.now); address != "" {
		f.connect(m, address)
		return
	}
	m.looking = false
}

// watch makes a step of a member that reads the store.
func (f *fleet) watch(m *member) {
	switch {
	case !f.answers(m):
		f.polls++
		m.chooser.Denied(f.now)
		m.looking, m.failed = true, true
		pause, goOn := m.chooser.PollPause(f.now)
		if !goOn {
			m.watching, m.looking, m.asked, m.wakeAt = false, false, nil, f.now
			m.chooser.WatchEnded(f.now)
			return
		}
		m.wakeAt = f.now.Add(pause)
	case m.failed:
		m.failed, m.retry = false, true
		m.wakeAt = f.now.Add(m.chooser.StoreAvailable())
	case m.retry:
		m.retry, m.looking = false, true
		m.wakeAt = f.now.Add(simTurnSearch)
	default:
		if !m.complete {
			f.reads++
		}
		m.looking = m.fresh // it has watched for simWatchPeriod
		m.complete, m.fresh, m.wakeAt = true, true, f.now.Add(simWatchPeriod)
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
			limit := 3*size.zones*(int(outage/simPollPeriod)+2) + size.instances // each asks once
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

// firstOfZones returns a condition that holds for the members at the places from up to
// before to in the order in which the members of a zone take their copies from each other.
func (f *fleet) firstOfZones(from, to int) func(*member) bool {
	all := f.instances()
	slices.SortFunc(all, source.Compare)
	seen, chosen := map[topology.ZoneID]int{}, map[topology.InstanceID]bool{}
	for _, in := range all {
		place := seen[in.Zone]
		seen[in.Zone]++
		chosen[in.ID] = from <= place && place < to
	}
	return func(m *member) bool { return chosen[m.ID] }
}

// block lets the store turn the members away for which the condition holds.
func (f *fleet) block(condition func(*member) bool) {
	for _, m := range f.members {
		m.blocked = condition(m)
	}
}

// checkOthersUpToDate checks that the running members that the store answers are up to date.
func (f *fleet) checkOthersUpToDate(t *testing.T, when string) {
	t.Helper()
	if stale := f.count(func(m *member) bool { return m.alive && !m.blocked && !m.fresh }); stale > 0 {
		t.Errorf("%d instances that the store answers are not up to date %s", stale, when)
	}
}

// TestTurnedAwayReadersDontKeepOthersFromStore guards against instances that wait for the
// readers of their zone, which the store turns away, although it answers them.
func TestTurnedAwayReadersDontKeepOthersFromStore(t *testing.T) {
	for _, size := range sizes {
		for _, turnedAway := range []int{3, 5, 8} {
			t.Run(fmt.Sprintf("%d of each zone of %d", turnedAway, size.instances), func(t *testing.T) {
				f := newFleet(size.instances, size.zones)
				f.start(everyone)
				f.run(5 * clock.Second)
				f.block(f.firstOfZones(0, turnedAway))
				f.run(3 * clock.Second) // a new configuration is due then
				f.checkOthersUpToDate(t, "3 s after the store began to turn the first ones away")
				f.run(4 * clock.Second)
				f.checkOthersUpToDate(t, "7 s after that")
				if watching := f.count(func(m *member) bool { return m.watching && !m.blocked }); watching > 2*size.zones {
					t.Errorf("%d instances watch the store, want at most %d", watching, 2*size.zones)
				}
			})
		}
	}
}

// TestNoInstanceDependsOnReaders guards against instances that the store answers and that
// act on copies which are older than changes may be, because the store turns the first
// instances of their zones away, however many these are.
func TestNoInstanceDependsOnReaders(t *testing.T) {
	for _, size := range sizes {
		for _, share := range []float64{0.33, 0.9} {
			t.Run(fmt.Sprintf("%.2f of %d", share, size.instances), func(t *testing.T) {
				f := newFleet(size.instances, size.zones)
				f.start(everyone)
				f.run(5 * clock.Second)
				f.block(f.firstOfZones(0, int(share*float64(size.instances/size.zones))))
				calls, worst := f.asks, 0
				for end := f.now.Add(9 * clock.Second); f.now.Before(end); {
					f.run(100 * clock.Millisecond)
					if late := f.count(func(m *member) bool { return !m.blocked && f.now.Sub(m.freshAt) >= simDue*9/10 }); late > 0 {
						t.Fatalf("%d instances act on copies that are too old", late)
					}
					calls, worst = f.asks, max(worst, f.asks-calls)
				}
				f.checkOthersUpToDate(t, "9 s later")
				if limit := 2 + size.instances/4; worst > limit {
					t.Errorf("%d instances asked the store within 100 ms, want at most %d", worst, limit)
				}
				t.Logf("%d asked the store in all, %d of them within 100 ms", f.asks, worst)
			})
		}
	}
}

// TestNobodyIsWaitedForWithoutBound guards against an instance that never reads the store
// itself while most of its zone is silent or turned away, however many these are.
func TestNobodyIsWaitedForWithoutBound(t *testing.T) {
	for _, size := range sizes {
		perZone := size.instances / size.zones
		for name, c := range map[string]struct{ silent, turnedAway int }{
			"most turned away":              {0, perZone - 2},
			"most silent":                   {perZone - 2, 0},
			"silent, then three readers":    {perZone/2 - 2, 3},
			"three readers, then silent":    {-perZone / 2, 3},
			"silent behind the turned away": {-perZone / 4, perZone / 2},
		} {
			t.Run(fmt.Sprintf("%d, %s", size.instances, name), func(t *testing.T) {
				f := newFleet(size.instances, size.zones)
				f.start(everyone)
				f.run(5 * clock.Second)
				first, second := max(c.silent, 0), max(c.silent, 0)+c.turnedAway
				f.block(f.firstOfZones(first, second))
				if c.silent > 0 {
					f.stop(f.firstOfZones(0, c.silent))
				} else {
					f.stop(f.firstOfZones(second, second-c.silent))
				}
				f.run(13 * clock.Second) // longer than an instance waits for others
				f.checkOthersUpToDate(t, "13 s later")
			})
		}
	}
}

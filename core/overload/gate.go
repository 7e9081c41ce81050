package overload

import (
	"math/rand/v2"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

const (
	// classRetention is how long a Gate remembers a class without requests.
	classRetention = 60 * clock.Second
	// reportRetention is how long a class without requests stays in reports. It
	// covers lost reports; later ones tell nothing new.
	reportRetention = 2 * clock.Second
	// timerSlack is how much earlier than a period a timer may expire.
	timerSlack = 10 * clock.Millisecond
	// admittedTime is the time over which the rate of admitted requests is smoothed. An
	// instance may admit only a few requests a second.
	admittedTime = 4 * clock.Second
	// pollTime is how long an instance without requests keeps asking for the division
	// while there is a limit, so that its next request finds a valid one.
	pollTime = 10 * clock.Second
)

// EarlyReport is the time after which an instance reports when requests begin to fail
// without a limit.
const EarlyReport = 100 * clock.Millisecond

// Gate admits the requests of a group at one instance. It is not safe for concurrent
// use.
type Gate struct {
	self   topology.InstanceID
	run    uint64
	number uint64 // of the latest report
	random *rand.Rand
	totals Totals

	classes    map[Class]*classState
	schedules  map[Level]*schedule
	lastActive clock.Time // of the latest request or answered send

	shares    shares     // of the coordinator's division
	dividedAt clock.Time // when the division arrived; 0 for none
	// alone is the controller that is used without a valid division.
	alone       *Controller
	aloneShares *shares // of its division; nil until needed

	divisionLimit Rate
	admittedRate  Rate // smoothed rate of the requests that this instance admits

	reported   Totals     // at the latest report
	reportedAt clock.Time // of the latest report; 0 before the first one
}

// classState is what a Gate knows about a class.
type classState struct {
	arrived  uint64 // since the class was last left out of a report
	lastSeen clock.Time
	// credit is the accumulated share of the requests that may be admitted. A request
	// uses 1. It starts at random, since instances with few requests each would
	// otherwise all admit, or all refuse, their first one.
	credit   float64
	promises promises
}

// shares are the shares of a division, by class.
type shares struct {
	levels  map[Level]Share
	classes map[Class]Share
}

func newShares(d Division) shares {
	s := shares{levels: map[Level]Share{}, classes: map[Class]Share{}}
	for _, l := range d.Levels {
		s.levels[l.Level] = l.Share
		for _, w := range l.Workspaces {
			s.classes[Class{l.Level, w.Workspace}] = w.Share
		}
	}
	return s
}

// of returns the share of a class.
func (s shares) of(c Class) Share {
	if share, ok := s.classes[c]; ok {
		return share
	}
	if share, ok := s.levels[c.Level]; ok {
		return share
	}
	return 1
}

// NewGate returns a Gate of the instance self. run distinguishes processes with the same
// instance id. notify is called for each change of the limit that the instance uses
// without a coordinator.
func NewGate(self topology.InstanceID, run uint64, random *rand.Rand, notify func(Event)) *Gate {
	return &Gate{self: self, run: run, random: random, classes: map[Class]*classState{}, schedules: map[Level]*schedule{}, alone: NewController(WithNotify(notify))}
}

// Admit reports whether a request of the class may start now. If not, the caller should
// come back after retryAfter.
func (g *Gate) Admit(class Class, now clock.Time) (retryAfter clock.Duration, ok bool) {
	s := g.class(class)
	s.arrived++
	s.lastSeen, g.lastActive = now, now
	share := float64(g.share(class, now))
	times := g.schedule(class.Level)
	if share < 1 {
		s.credit += share
	}
	switch {
	case share >= 1:
	case s.credit >= 1 || share > 0 && s.promises.redeem(now):
		s.credit--
	default:
		retryAfter, promised := times.next(now, g.random)
		if promised {
			s.promises.add(now.Add(retryAfter))
		}
		return retryAfter, false
	}
	times.admit(now)
	g.totals.Admitted++
	return 0, true
}

// schedule returns the schedule of a level.
func (g *Gate) schedule(l Level) *schedule {
	s := g.schedules[l]
	if s == nil {
		s = &schedule{}
		g.schedules[l] = s
	}
	return s
}

// share returns the share of the class in the division that is in force.
func (g *Gate) share(class Class, now clock.Time) Share {
	if g.Coordinated(now) {
		return g.shares.of(class)
	}
	if g.aloneShares == nil {
		s := newShares(g.alone.Division())
		g.aloneShares = &s
	}
	return g.aloneShares.of(class)
}

// Coordinated reports whether the instance uses the division of a coordinator.
func (g *Gate) Coordinated(now clock.Time) bool {
	return g.dividedAt != 0 && now.Sub(g.dividedAt) <= DivisionValidity
}

// Limit returns the limit in force, 0 for none: that of the group, or this instance's
// own one without a coordinator.
func (g *Gate) Limit(now clock.Time) Rate {
	if g.Coordinated(now) {
		return g.divisionLimit
	}
	return g.alone.Limit()
}

func (g *Gate) class(class Class) *classState {
	s := g.classes[class]
	if s == nil {
		s = &classState{credit: g.random.Float64()}
		g.classes[class] = s
	}
	return s
}

// forget removes the classes that had no request for longer than d.
func (g *Gate) forget(now clock.Time, d clock.Duration) {
	for class, s := range g.classes {
		if now.Sub(s.lastSeen) > d {
			delete(g.classes, class)
		}
	}
}

// End counts the result of an admitted request.
func (g *Gate) End(r Result) {
	switch r {
	case InTime:
		g.totals.InTime++
	case Late:
		g.totals.Late++
	case Failed:
		g.totals.Failed++
	case Other:
	}
}

// Worked counts an answered send of a request that needs sends to the number of services.
func (g *Gate) Worked(services int, now clock.Time) {
	g.totals.Work += 1 / float64(max(services, 1))
	g.lastActive = now
}

// Due reports whether the instance should report. It reports every ReportPeriod if it has
// had requests or answered sends within reportRetention, or within pollTime if there is a limit. When
// requests begin to fail without a limit, it reports earlier, so that the others do not
// fail for longer.
func (g *Gate) Due(now clock.Time) bool {
	if g.lastActive == 0 {
		return false
	}
	idle, limited := now.Sub(g.lastActive), g.Limit(now) > 0
	if idle > pollTime || idle > reportRetention && !limited {
		return false
	}
	period := ReportPeriod
	if !limited && g.totals.Failed > g.reported.Failed {
		period = EarlyReport
	}
	return g.reportedAt == 0 || now.Sub(g.reportedAt)+timerSlack >= period
}

// Report returns the report for the coordinator, and lets the instance's own controller
// adjust its limit.
func (g *Gate) Report(now clock.Time) Report {
	g.forget(now, classRetention)
	g.noteAdmitted(now)
	g.number++
	g.reported, g.reportedAt = g.totals, now
	r := Report{Run: g.run, Number: g.number, Totals: g.totals}
	if g.Coordinated(now) {
		r.Limit = g.divisionLimit
	}
	for class, s := range g.classes {
		if now.Sub(s.lastSeen) > reportRetention {
			s.arrived = 0
			continue
		}
		r.Classes = append(r.Classes, ClassCount{class, s.arrived})
	}
	slices.SortFunc(r.Classes, func(a, b ClassCount) int { return a.Class.compare(b.Class) })
	own := r
	own.Limit = 0
	g.alone.add(g.self, own, now)
	g.aloneShares = nil
	return r
}

// noteAdmitted updates the rate of the admitted requests.
func (g *Gate) noteAdmitted(now clock.Time) {
	if g.reportedAt == 0 {
		return
	}
	t := tick{length: now.Sub(g.reportedAt), admitted: increase(g.reported.Admitted, g.totals.Admitted)}
	weight := min(1, Rate(t.length)/Rate(admittedTime))
	g.admittedRate += weight * (t.rate(t.admitted) - g.admittedRate)
}

// Apply puts a division of the coordinator in force.
func (g *Gate) Apply(d Division, now clock.Time) {
	if !d.Ready {
		return
	}
	if g.dividedAt != 0 {
		g.alone.follow(d.Limit > 0, g.admittedRate, now)
	}
	g.shares, g.dividedAt, g.divisionLimit = newShares(d), now, d.Limit
}

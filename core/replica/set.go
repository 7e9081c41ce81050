package replica

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// Figures of the selection.
const (
	// localFactor prefers targets of the instance's own zone, which saves a
	// round trip and traffic between zones.
	localFactor = 6
	// stalledFactor multiplies the cost for each overdue send.
	stalledFactor = 8
	// connectionShare is the part of a target's connections that all instances
	// together use, so that a new instance finds room.
	connectionShare = 0.85
	// coldShare is the part of a cold target's rate that is used.
	coldShare = 0.8
	// unknownSharers is assumed until the number of instances is known.
	unknownSharers = 16
)

// Reason says why no target was selected.
type Reason string

// Reasons.
const (
	Selected Reason = ""
	// Unlisted: the service has no target that may be used.
	Unlisted Reason = "unlisted"
	// Down: targets are listed, and connections to all of them have just failed.
	Down Reason = "down"
	// Busy: each usable target has as many requests as it bears from here.
	Busy Reason = "busy"
	// Cold: the cold targets bear no more now.
	Cold Reason = "cold"
	// Paced: the targets answer too late, and have just got a request.
	Paced Reason = "paced"
	// Shedding: the targets shed so much that a hedge is not worth a repeat.
	Shedding Reason = "shedding"
)

// Purpose says what a send is for.
type Purpose int

// Purposes.
const (
	// First: the service gets the request for the first time. A target that is
	// paced is left alone.
	First Purpose = iota
	// Hedge: another target has the request and is overdue. A target that is
	// likely to shed it is left alone as well, since that would only use up a
	// repeat.
	Hedge
	// Needed: there is no answer without this send.
	Needed
)

// Choice is the result of Pick.
type Choice struct {
	Target  *Target // nil when Reason is not Selected
	Reason  Reason
	RetryAt clock.Time // when to try again, if Target is nil and that is known
}

// Set holds the targets of all services.
type Set struct {
	zone     topology.ZoneID
	random   *rand.Rand
	targets  map[topology.TargetID]*Target
	services map[routing.ServiceName][]*Target
	// evacuated holds the zones whose targets get nothing.
	evacuated map[topology.ZoneID]bool
	sharers   int
	coldTurn  func(topology.TargetID, int) bool
}

// NewSet returns an empty Set of an instance in zone.
func NewSet(zone topology.ZoneID, random *rand.Rand) *Set {
	return &Set{
		zone: zone, random: random,
		targets:   map[topology.TargetID]*Target{},
		services:  map[routing.ServiceName][]*Target{},
		evacuated: map[topology.ZoneID]bool{},
		coldTurn:  func(topology.TargetID, int) bool { return false },
	}
}

// SetSharers tells how many instances use the targets, and which of them may
// send to a cold target when only n instances may.
func (s *Set) SetInstances(n int, coldTurn func(id topology.TargetID, n int) bool) {
	s.sharers, s.coldTurn = n, coldTurn
}

// SetEvacuated replaces the zones whose targets get nothing. It reports whether
// that is a change.
func (s *Set) SetEvacuated(zones map[topology.ZoneID]bool) bool {
	changed := !maps.Equal(s.evacuated, zones)
	s.evacuated = zones
	return changed
}

// List replaces the listing. A target that is missing stays as a last resort
// for a short time. It returns the targets that are gone for good or were
// replaced by a later run under the same id; their connections are of no use.
func (s *Set) Update(listings []Listing, now clock.Time) []topology.TargetID {
	listed := make(map[topology.TargetID]bool, len(listings))
	var ended []topology.TargetID
	for _, l := range listings {
		listed[l.ID] = true
		known := s.targets[l.ID]
		switch {
		case known == nil:
			s.targets[l.ID] = newTarget(l, now)
		case l.StartedUnixMS < known.StartedUnixMS: // a late entry of an earlier run
			known.goneSince = 0
		case l.StartedUnixMS > known.StartedUnixMS || l.Address != known.Address || l.Service != known.Service:
			ended = append(ended, l.ID)
			s.targets[l.ID] = newTarget(l, now)
		case known.Listing != l || known.goneSince != 0:
			known.list(l, now)
		}
	}
	for id, t := range s.targets {
		if !listed[id] && t.goneSince == 0 {
			t.goneSince = now
		}
	}
	s.index()
	return append(ended, s.Expire(now)...)
}

// Expire drops targets that have been missing for too long and returns them.
func (s *Set) Expire(now clock.Time) []topology.TargetID {
	var ended []topology.TargetID
	for id, t := range s.targets {
		if t.goneSince != 0 && t.expired(now) {
			ended = append(ended, id)
			delete(s.targets, id)
		}
	}
	if len(ended) > 0 {
		s.index()
		slices.Sort(ended)
	}
	return ended
}

func (s *Set) index() {
	s.services = map[routing.ServiceName][]*Target{}
	for _, t := range s.targets {
		s.services[t.Service] = append(s.services[t.Service], t)
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Pick selects a target of the service that is not excluded and counts a send
// to it; the caller reports the outcome with Ended. svc is nil when the
// configuration says nothing of the service.
func (s *Set) Pick(name routing.ServiceName, svc *routing.Service, excluded []topology.TargetID, purpose Purpose, now clock.Time) Choice {
	var best *Target
	var weight float64
	failed := Choice{Reason: Unlisted}
	for _, lastResort := range []bool{false, true} {
		for _, t := range s.services[name] {
			if t.leaving() != lastResort || t.expired(now) || s.evacuated[t.Zone] || slices.Contains(excluded, t.ID) {
				continue
			}
			reason, retry := s.unusable(t, svc, now)
			if reason == Selected {
				reason, retry = t.unwanted(purpose, now)
			}
			if reason != Selected {
				failed = worse(failed, Choice{Reason: reason, RetryAt: retry})
				continue
			}
			// Weighted reservoir sampling: each target is kept in proportion
			// to its weight.
			w := s.weight(t, now)
			weight += w
			if s.random.Float64()*weight < w {
				best = t
			}
		}
		if best != nil {
			break
		}
	}
	if best == nil {
		return failed
	}
	if best.cold(now) && svc != nil && svc.ColdPerSecond > 0 {
		best.coldTokens.take(s.coldRate(svc), now)
	}
	best.inFlight++
	best.sent(now)
	if best.failures > 0 {
		best.probing = true
	}
	return Choice{Target: best}
}

// worse returns the failure that is over first. That a target is paced goes before
// the others, because it can be used all the same.
func worse(a, b Choice) Choice {
	switch {
	case a.Reason == Paced && b.Reason != Paced:
		return a
	case b.Reason == Paced && a.Reason != Paced:
		return b
	case a.Reason == Unlisted || b.RetryAt != 0 && (a.RetryAt == 0 || b.RetryAt.Before(a.RetryAt)):
		return b
	default:
		return a
	}
}

func (s *Set) unusable(t *Target, svc *routing.Service, now clock.Time) (Reason, clock.Time) {
	switch {
	case now.Before(t.downUntil):
		return Down, t.downUntil
	case t.probing:
		return Down, now.Add(firstDown)
	case now.Before(t.shedUntil):
		return Busy, t.shedUntil
	case t.inFlight >= s.connections(svc):
		return Busy, 0
	case t.cold(now) && svc != nil && svc.ColdPerSecond > 0 && !s.coldAllows(t, svc, now):
		return Cold, now.Add(clock.Duration(float64(clock.Second) / s.coldRate(svc)))
	}
	return Selected, 0
}

// connections returns how many connections this instance may have to a target
// of the service.
func (s *Set) connections(svc *routing.Service) int {
	const unstated = 64
	if svc == nil || svc.MaxConnections <= 0 {
		return unstated
	}
	return max(2, int(connectionShare*float64(svc.MaxConnections)/float64(s.assumedSharers())))
}

func (s *Set) assumedSharers() int {
	if s.sharers == 0 {
		return unknownSharers
	}
	return s.sharers
}

// coldSenders is how many instances may send to a cold target. Each may send a
// burst of one, so their number is bounded by what the target bears beyond its
// rate.
func (s *Set) coldSenders(svc *routing.Service) int {
	return min(int(svc.ColdPerSecond/4)+2, s.assumedSharers())
}

func (s *Set) coldRate(svc *routing.Service) float64 {
	return coldShare * svc.ColdPerSecond / float64(s.coldSenders(svc))
}

func (s *Set) coldAllows(t *Target, svc *routing.Service, now clock.Time) bool {
	if !s.coldTurn(t.ID, s.coldSenders(svc)) {
		return false
	}
	probe := t.coldTokens
	return probe.take(s.coldRate(svc), now)
}

// weight is the relative chance of t: the inverse square of the time that a
// request is expected to take there.
func (s *Set) weight(t *Target, now clock.Time) float64 {
	cost := t.currentSlowness(now) * (1 + float64(t.inFlight)/float64(max(t.Slots, 1)))
	for range min(t.stalled, 4) {
		cost *= stalledFactor
	}
	// A shed request costs a repeat, of which there are few.
	served := 1 - t.currentShedRate(now)
	w := served * served * served / (cost * cost)
	if t.Zone == s.zone {
		w *= localFactor
	}
	return w
}

// Stalled notes that a send to t is overdue.
func (s *Set) MarkOverdue(t *Target) { t.stalled++ }

// Result is how a send ended.
type Result struct {
	Outcome Outcome
	// Slowness is the latency relative to what is usual for the request; for an
	// abandoned send it is a lower bound. 0 means that nothing was learned.
	Slowness float64
	Overdue  bool // Stalled was called for this send
	Late     bool // it took so long that an answer is of no use
}

// Outcome is what became of a send.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered" // a complete, valid answer
	Failed   Outcome = "failed"   // the target ran the request and reports a failure
	Shed     Outcome = "shed"     // the target states that it did not run the request
	Replaced Outcome = "replaced" // another target has the address; it did not run the request
	Unsent   Outcome = "unsent"   // no connection, or it took no byte of the request
	Lost     Outcome = "lost"     // sent, and nothing valid came back; it may have run
	Canceled Outcome = "canceled" // given up by this instance
)

// NotRun reports whether the outcome proves that the request did not run.
func (o Outcome) NotRun() bool { return o == Shed || o == Replaced || o == Unsent }

// Ended takes back the send that Pick counted and learns from its outcome.
func (s *Set) Done(t *Target, r Result, now clock.Time) {
	t.inFlight--
	t.probing = false
	if r.Overdue {
		t.stalled--
	}
	switch r.Outcome {
	case Answered, Failed:
		t.failures, t.downUntil = 0, 0
		t.observeShed(false, now)
	case Shed:
		t.failures, t.downUntil = 0, 0
		t.observeShed(true, now)
		t.shedUntil = now.Add(shedPause)
	case Replaced:
		t.downUntil = now.Add(replacedPause)
	case Unsent:
		t.connectFailed(now)
	case Lost, Canceled:
	}
	if r.Late || r.Outcome == Answered {
		t.observeLate(r.Late)
	}
	if r.Slowness > 0 {
		t.observe(r.Slowness, now)
	}
	if r.Outcome == Failed || r.Outcome == Lost {
		// A failing target answers fast; it must not look attractive.
		t.observe(failurePenalty, now)
	}
}

// failurePenalty is the slowness that a failed request counts as.
const failurePenalty = 8

// Size returns the number of listed targets.
func (s *Set) Size() int { return len(s.targets) }

// Near returns which part of the services, 0 to 1, has a target in the zone.
func (s *Set) ZoneCoverage(services []routing.ServiceName, zone topology.ZoneID) float64 {
	near := 0
	for _, name := range services {
		if slices.ContainsFunc(s.services[name], func(t *Target) bool { return t.Zone == zone && !t.leaving() }) {
			near++
		}
	}
	return float64(near) / float64(max(len(services), 1))
}

package replica

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/pause"
	"knapweedstall/core/reach"
	"knapweedstall/core/rollout"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// Parameters of the selection.
const (
	// sameZoneFactor multiplies the weight of an idle target in the instance's own
	// zone, which saves a round trip and traffic between zones. A target that has sends
	// in flight or is paused gets no preference: others probably answer sooner.
	sameZoneFactor = 14
	// inFlightFactor multiplies the load of a target with this instance's own sends in
	// its cost. The own sends are the only current information; other instances have
	// sends there too.
	inFlightFactor = 6
	// overdueFactor multiplies the cost of a target for each overdue send.
	overdueFactor = 8
)

// Reason is why no target was selected.
type Reason string

// Reasons for selecting no target.
const (
	// Selected: a target was selected.
	Selected Reason = ""
	// Unlisted: no listed target of the service may be used.
	Unlisted Reason = "unlisted"
	// Down: a connection to the target has recently failed.
	Down Reason = "down"
	// Busy: the target has as many requests from this instance as it may get, or
	// has just shed one.
	Busy Reason = "busy"
	// Cold: the target has just started and may get no further request now.
	Cold Reason = "cold"
	// Pausing: the target has asked for no requests for some time.
	Pausing Reason = "pausing"
	// OverLimit: this instance has used its share of the limit that the target states.
	OverLimit Reason = "limit"
	// Paced: too many sends to the target were late, and it has just got a request.
	Paced Reason = "paced"
	// Shedding: the target sheds so many requests that a hedge to it would waste a
	// repeat.
	Shedding Reason = "shedding"
)

// Purpose is what a send is for.
type Purpose int

// Purposes of sends.
const (
	// First: the service gets the request for the first time. Paced targets are
	// skipped.
	First Purpose = iota
	// Hedge: another target has the request and is overdue. Paced targets are
	// skipped, and so are targets that are likely to shed the request, since that
	// would only use up a repeat.
	Hedge
	// Needed: the answer needs this send. No usable target is skipped.
	Needed
)

// Choice is the result of Pick.
type Choice struct {
	Target  *Target // nil when Reason is not Selected
	Reason  Reason
	RetryAt clock.Time // when to try again if Target is nil; 0 when not known
}

// Set holds the targets of all services.
type Set struct {
	zone     topology.ZoneID
	random   *rand.Rand
	targets  map[topology.TargetID]*Target
	services map[routing.ServiceName][]*Target
	// evacuated holds the zones whose targets get no requests.
	evacuated map[topology.ZoneID]bool
	unknown   map[*Target]*warmth // targets of which it is not known whether they are warm
	instances int                 // that use the targets; 0 when not known
	// searchShare is this instance's share of all searches, 0 to 1.
	searchShare float64
	isShard     func(routing.ServiceName) bool // reports whether a service is a shard of searches
	// maySendCold reports whether this instance may send to a cold target when
	// only the given number of instances may.
	maySendCold func(topology.TargetID, int) bool
	reach       reach.Monitor
	probeDue    bool // a probe of reach must be made
	leaving     map[topology.TargetID]leavingMark
	paused      map[topology.TargetID]pauseMark
	slotPhase   float64 // of the slots of limited targets, above 0 to 1; 0 until a target is limited
	// periods holds the periods of the pauses of services' targets; only services of
	// which a target has stalled have one.
	periods map[routing.ServiceName]*pause.Period
}

// NewSet returns an empty Set of an instance in zone.
func NewSet(zone topology.ZoneID, random *rand.Rand) *Set {
	return &Set{
		zone: zone, random: random,
		targets:     map[topology.TargetID]*Target{},
		services:    map[routing.ServiceName][]*Target{},
		evacuated:   map[topology.ZoneID]bool{},
		unknown:     map[*Target]*warmth{},
		leaving:     map[topology.TargetID]leavingMark{},
		paused:      map[topology.TargetID]pauseMark{},
		periods:     map[routing.ServiceName]*pause.Period{},
		maySendCold: func(topology.TargetID, int) bool { return false },
		isShard:     func(routing.ServiceName) bool { return false },
	}
}

// SetEvacuated replaces the zones whose targets get no requests. It reports
// whether they changed. Targets that come back into use may be cold.
func (s *Set) SetEvacuated(zones map[topology.ZoneID]bool, now clock.Time) bool {
	changed := !maps.Equal(s.evacuated, zones)
	for _, t := range s.targets {
		if s.evacuated[t.Zone] && !zones[t.Zone] {
			s.doubt(t, now)
		}
	}
	s.evacuated = zones
	return changed
}

// Update replaces the listings. A target that is no longer listed is kept for
// maxMissingUse, for services without another target. It returns the targets that
// were removed or replaced by a later process with the same id; their connections
// are of no further use.
func (s *Set) Update(listings []Listing, now clock.Time) []topology.TargetID {
	return s.UpdateSince(listings, now, now)
}

// UpdateSince is Update with listings that were changed at since or later: the limits of
// the use of targets that are draining or no longer listed run from then.
func (s *Set) UpdateSince(listings []Listing, since, now clock.Time) []topology.TargetID {
	listed := make(map[topology.TargetID]bool, len(listings))
	var removed []topology.TargetID
	for _, l := range listings {
		listed[l.ID] = true
		known := s.targets[l.ID]
		switch {
		case known == nil:
			s.targets[l.ID] = s.listed(l, now)
		case l.StartedUnixMS < known.StartedUnixMS: // an outdated entry of an earlier process
			known.missingSince = 0
		case l.StartedUnixMS > known.StartedUnixMS || l.Address != known.Address || l.Service != known.Service:
			removed = append(removed, l.ID)
			s.targets[l.ID] = s.listed(l, now)
		case known.Listing != l || known.missingSince != 0:
			known.updateListing(l, since, now)
		}
	}
	for id, t := range s.targets {
		if !listed[id] && t.missingSince == 0 {
			t.missingSince = since
		}
	}
	s.forgetLeaving(listed, now)
	s.forgetPauses(now)
	s.rebuildIndex()
	return append(removed, s.Expire(now)...)
}

// Expire removes targets that have been missing for too long and returns their
// ids.
func (s *Set) Expire(now clock.Time) []topology.TargetID {
	var removed []topology.TargetID
	for id, t := range s.targets {
		if t.missingSince != 0 && t.expired(now) {
			removed = append(removed, id)
			delete(s.targets, id)
		}
	}
	if len(removed) > 0 {
		s.rebuildIndex()
		slices.Sort(removed)
	}
	return removed
}

// rebuildIndex groups the targets by service, ordered by id.
func (s *Set) rebuildIndex() {
	s.reach.SetTargets(len(s.targets))
	s.services = map[routing.ServiceName][]*Target{}
	for _, t := range s.targets {
		s.services[t.Service] = append(s.services[t.Service], t)
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	maps.DeleteFunc(s.periods, func(name routing.ServiceName, _ *pause.Period) bool { return s.services[name] == nil })
}

// Pick selects a target of the service that is not excluded and counts a send
// to it; the caller reports the outcome with Done. svc is nil when the
// configuration does not describe the service.
func (s *Set) Pick(name routing.ServiceName, svc *routing.Service, excluded []topology.TargetID, purpose Purpose, now clock.Time) Choice {
	return s.PickVersion(name, svc, excluded, purpose, nil, now)
}

// PickVersion is Pick among the targets whose version the rule permits. rule is nil
// when there is none.
func (s *Set) PickVersion(name routing.ServiceName, svc *routing.Service, excluded []topology.TargetID, purpose Purpose, rule VersionRule, now clock.Time) Choice {
	p := pick{set: s, service: name, svc: svc, excluded: excluded, purpose: purpose, now: now, failure: Choice{Reason: Unlisted}}
	best := p.selectByRule(rule)
	if best == nil {
		return p.failure
	}
	if svc != nil && svc.ColdPerSecond > 0 && s.bearsCold(best, now) {
		best.coldTokens.take(s.coldRate(svc), now)
	}
	if best.limited {
		best.slots.take(s.slotInterval(best), now)
	}
	best.inFlight++
	best.recordSend(now)
	if best.failures > 0 {
		best.probing = true
	}
	return Choice{Target: best}
}

// pick is the selection of a target for one send.
type pick struct {
	set      *Set
	service  routing.ServiceName
	svc      *routing.Service
	excluded []topology.TargetID
	purpose  Purpose
	now      clock.Time
	failure  Choice // why no target has been selected so far
}

// selectAmong selects one of the targets with an allowed version: of those that are
// leaving if lastResort is set, and otherwise of the others.
func (p *pick) selectAmong(allowed func(rollout.Version) bool, lastResort bool) *Target {
	var best *Target
	var weight float64
	for _, t := range p.set.services[p.service] {
		if t.leaving() != lastResort || p.set.unlisted(t, p.now) || slices.Contains(p.excluded, t.ID) || !allowed(t.Version) {
			continue
		}
		reason, retry := p.set.unusableReason(t, p.svc, p.now)
		if reason == Selected {
			reason, retry = t.skipReason(p.purpose, p.now)
		}
		if reason != Selected {
			p.failure = preferredFailure(p.failure, Choice{Reason: reason, RetryAt: retry})
			continue
		}
		// Weighted reservoir sampling: each target is selected with a
		// probability in proportion to its weight.
		w := p.set.weight(t, p.now)
		weight += w
		if p.set.random.Float64()*weight < w {
			best = t
		}
	}
	return best
}

// unlisted reports whether the target may not be used whatever its state: it has been
// leaving for too long, or its zone is evacuated.
func (s *Set) unlisted(t *Target, now clock.Time) bool { return t.expired(now) || s.evacuated[t.Zone] }

// preferredFailure returns the failure to report: the one that ends first. Paced
// precedes all others, because a paced target can be used if it is needed.
func preferredFailure(a, b Choice) Choice {
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

// unusableReason returns why t must not get any request, and until when if that is
// known.
func (s *Set) unusableReason(t *Target, svc *routing.Service, now clock.Time) (Reason, clock.Time) {
	switch {
	case now.Before(t.downUntil):
		return Down, t.downUntil
	case t.probing:
		return Down, now.Add(minDownTime)
	case now.Before(t.pauseUntil):
		return Pausing, t.pauseUntil
	case now.Before(t.shedUntil):
		return Busy, t.shedUntil
	case t.recovering(now) && t.inFlight > 0:
		return Busy, 0
	case t.inFlight >= s.maxConnections(svc):
		return Busy, 0
	case t.limited && now.Before(s.nextSlot(t, now)):
		return OverLimit, s.nextSlot(t, now)
	case svc != nil && svc.ColdPerSecond > 0 && s.bearsCold(t, now) && !s.coldSendAllowed(t, svc, now):
		return Cold, now.Add(clock.Duration(float64(clock.Second) / s.coldRate(svc)))
	}
	return Selected, 0
}

// weight returns the relative probability of selecting t: the inverse square of
// the expected latency, adjusted for its shed rate and zone.
func (s *Set) weight(t *Target, now clock.Time) float64 {
	cost := t.currentSlowness(now) * (1 + inFlightFactor*float64(t.inFlight)/float64(max(t.Slots, 1)))
	overdue := t.overdueOrPaused(now)
	for range min(overdue, 4) {
		cost *= overdueFactor
	}
	// A shed request uses up a repeat, and repeats are limited.
	served := 1 - t.currentShedRate(now)
	w := served * served * served / (cost * cost)
	if t.Zone == s.zone && t.inFlight == 0 && overdue == 0 {
		w *= sameZoneFactor
	}
	return w
}

// Undo uncounts a send that Pick has counted and that was not made.
func (s *Set) Undo(t *Target) {
	t.inFlight--
	t.probing = false
	t.coldTokens.giveBack() // has no effect unless the target is cold
	if t.limited {
		t.slots.giveBack()
	}
}

// MarkOverdue notes that a send to t, which began at sent, is overdue. The caller also
// sets Result.Overdue when the send ends.
func (s *Set) MarkOverdue(t *Target, sent clock.Time) {
	t.overdue++
	s.probeDue = s.reach.Unanswered(t.ID, sent) || s.probeDue
}

// Leaving reports whether the target with the id is about to stop, or is no longer listed.
func (s *Set) Leaving(id topology.TargetID) bool {
	t := s.targets[id]
	return t == nil || t.leaving()
}

// Size returns the number of known targets.
func (s *Set) Size() int { return len(s.targets) }

// ZoneCoverage returns the share of the services, 0 to 1, that have a target in
// the zone.
func (s *Set) ZoneCoverage(services []routing.ServiceName, zone topology.ZoneID) float64 {
	covered := 0
	for _, name := range services {
		if slices.ContainsFunc(s.services[name], func(t *Target) bool { return t.Zone == zone && !t.leaving() }) {
			covered++
		}
	}
	return float64(covered) / float64(max(len(services), 1))
}

// Package placing decides which instance runs a search: the one that received it
// from the caller, or another one. A search takes processor time for each shard, so
// a small instance delegates it to a larger one. An instance in a zone without
// targets of the shards delegates it to one whose zone has them, so that one merged
// answer crosses zones instead of the answers of all shards. The package also selects
// the instance that runs a request which the one that received it can't run.
package placing

import (
	"math"
	"math/rand/v2"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Parameters of the cost of a search, which is its estimated latency in
// milliseconds. The charge for traffic between zones counts as additional latency.
const (
	shardCost          = 0.08 // time on a full core for each shard
	sameZoneHop        = 1.5  // delegation to an instance of the same zone
	crossZoneHop       = 3.0  // delegation to an instance of another zone
	crossZoneFetchCost = 4.0  // fetching the answers of all shards from other zones: a round trip and the charge for the traffic
	// concurrencyPenalty is the delay by each other request that the same instance
	// runs, relative to the search's processor time. It is low because searches
	// mostly wait for targets.
	concurrencyPenalty = 0.25
)

// Thresholds of the decision to delegate a search.
const (
	minSaving = 1.0 // minimum saving of a delegation in milliseconds
	// maxCostRatio is the maximum cost of a delegation relative to the local cost.
	// It leaves a margin because the load of a runner is known only as far as this
	// instance causes it.
	maxCostRatio = 0.6
	equalMargin  = 1.0 // difference in milliseconds up to which two costs count as equal
)

// Bounds of the backoff after a failed delegation.
const (
	minDownTime = 500 * clock.Millisecond
	maxDownTime = 4 * clock.Second
)

// Instance is one instance that may run searches.
type Instance struct {
	ID       topology.InstanceID
	Zone     topology.ZoneID
	Address  string  // address for requests of other instances
	Capacity float64 // processor share, relative to a full core; more than 0
}

// Runner is another instance that can run searches, with its load and failures as
// seen by this instance. This instance runs searches too but is not a Runner.
type Runner struct {
	Instance      // never changes
	inFlight  int // requests that this instance has delegated to it and that have not ended
	failures  int // consecutive delegated requests that it did not answer
	downUntil clock.Time
	ranAt     clock.Time // when it last ran a delegated request; 0 for never, or if it is isolated since
}

// Set selects the instance that runs a search.
type Set struct {
	self          Instance
	localRequests int // requests of all kinds that this instance runs itself now
	random        *rand.Rand
	runners       map[topology.InstanceID]*Runner
	list          []*Runner
	isolatedUntil map[topology.ZoneID]clock.Time // until when a zone costs more because an instance there is isolated
}

// NewSet returns a Set that selects runners for the instance self. It has no runners
// until Update sets them, so self runs all searches.
func NewSet(self Instance, random *rand.Rand) *Set {
	return &Set{self: self, random: random, runners: map[topology.InstanceID]*Runner{}, isolatedUntil: map[topology.ZoneID]clock.Time{}}
}

// Update replaces the known instances.
func (s *Set) Update(instances []Instance) {
	known := s.runners
	s.runners, s.list = map[topology.InstanceID]*Runner{}, nil
	for _, in := range instances {
		if in.ID == s.self.ID {
			continue
		}
		r := known[in.ID]
		switch {
		case r == nil || r.Address != in.Address:
			r = &Runner{Instance: in}
		case r.Instance != in:
			// Requests in progress read the Instance without a lock, so it stays as it is.
			r = r.withInstance(in)
		}
		s.runners[in.ID] = r
		s.list = append(s.list, r)
	}
}

// withInstance returns a Runner with another Instance and what is known of r. A request
// that is in progress at r no longer counts as its load.
func (r *Runner) withInstance(in Instance) *Runner {
	return &Runner{Instance: in, failures: r.failures, downUntil: r.downUntil, ranAt: r.ranAt}
}

// ZoneCoverage returns the share of a search's shards, 0 to 1, that have a target
// in the zone.
type ZoneCoverage func(zone topology.ZoneID) float64

// Place returns the instance that should run a search over the number of shards,
// or nil for this one. A search that is delegated to another instance counts as
// its load until Done.
func (s *Set) Place(shards int, coverage ZoneCoverage, now clock.Time) *Runner {
	local := s.cost(s.self, s.localRequests, shards, coverage)
	return s.cheapest(s.list, shards, coverage, criteria{limit: min(local-minSaving, maxCostRatio*local)}, now)
}

// Parameters of placing requests that the instance can't run itself.
const (
	// isolatedTime is the time for which an isolated instance is not asked again, and
	// its zone only when the others decline too.
	isolatedTime = 4 * clock.Second
	// isolatedZoneCost is the cost of an instance of a zone where another one is
	// isolated. It exceeds all other costs.
	isolatedZoneCost = 1000.0
	// knownTime is the time after a request for which an instance that has run it is
	// expected to run the next one too.
	knownTime = 10 * clock.Second
	// unknownCost is the cost of asking an instance that may decline: opening a link to
	// it and asking another one.
	unknownCost = 10.0
	// maxByCost is the number of instances that are selected by their cost. When they
	// decline, those of the same cost may all decline, and the next ones are random.
	maxByCost = 2
	// sampleSize is the number of random instances of which the one with the lowest cost
	// is selected.
	sampleSize = 3
)

// PlaceElsewhere returns the other instance that should run a request which this one
// can't run, or nil if there is none. It returns none of those that were asked before.
// The request goes to a number of services, and counts as the load of the instance until
// Done.
func (s *Set) PlaceElsewhere(services int, coverage ZoneCoverage, asked []topology.InstanceID, now clock.Time) *Runner {
	candidates := s.list
	if len(asked) >= maxByCost {
		candidates = s.sample(asked, now)
	}
	return s.cheapest(candidates, services, coverage, criteria{limit: math.Inf(1), asked: asked, elsewhere: true}, now)
}

// sample returns up to sampleSize random runners that may be asked.
func (s *Set) sample(asked []topology.InstanceID, now clock.Time) []*Runner {
	var left []*Runner
	for _, r := range s.list {
		if !now.Before(r.downUntil) && !slices.Contains(asked, r.ID) {
			left = append(left, r)
		}
	}
	s.random.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	return left[:min(sampleSize, len(left))]
}

// criteria restrict the choice of a runner.
type criteria struct {
	limit     float64               // maximum cost
	asked     []topology.InstanceID // runners that must not be chosen
	elsewhere bool                  // this instance can't run the request, so runners that may decline cost more
}

// cheapest returns the candidate with the lowest cost that meets the criteria, and counts
// the request as its load. It returns nil if there is none.
func (s *Set) cheapest(candidates []*Runner, shards int, coverage ZoneCoverage, want criteria, now clock.Time) *Runner {
	best := (*Runner)(nil)
	bestCost, equals := 0.0, 0
	for _, r := range candidates {
		if now.Before(r.downUntil) || slices.Contains(want.asked, r.ID) {
			continue
		}
		// Among runners whose costs differ by at most equalMargin from the lowest so
		// far, the choice is random, by reservoir sampling.
		c := s.cost(r.Instance, r.inFlight, shards, coverage) + s.hopCost(r)
		if want.elsewhere {
			c += s.declineCost(r, now)
		}
		switch {
		case c > want.limit:
		case best == nil || c < bestCost-equalMargin:
			best, bestCost, equals = r, c, 1
		case c <= bestCost+equalMargin:
			equals++
			if s.random.IntN(equals) == 0 {
				best = r
			}
			bestCost = min(bestCost, c)
		}
	}
	if best != nil {
		best.inFlight++
	}
	return best
}

// declineCost returns the cost of asking r when it may decline.
func (s *Set) declineCost(r *Runner, now clock.Time) float64 {
	switch {
	case r.ranAt != 0 && now.Sub(r.ranAt) < knownTime:
		return 0
	case now.Before(s.isolatedUntil[r.Zone]):
		return isolatedZoneCost
	default:
		return unknownCost
	}
}

// hopCost returns the cost of delegating a search to r.
func (s *Set) hopCost(r *Runner) float64 {
	if r.Zone == s.self.Zone {
		return sameZoneHop
	}
	return crossZoneHop
}

// cost estimates how long a search takes at an instance. running is the number of
// other requests that are known to run there: all requests of this instance, but only
// the searches that it has delegated to another one.
func (s *Set) cost(in Instance, running, shards int, coverage ZoneCoverage) float64 {
	return float64(shards)*shardCost/in.Capacity*(1+concurrencyPenalty*float64(running)) + crossZoneFetchCost*(1-coverage(in.Zone))
}

// AddLocal counts a request that this instance runs itself, until LocalDone.
func (s *Set) AddLocal() { s.localRequests++ }

// LocalDone ends a request that AddLocal counted.
func (s *Set) LocalDone() { s.localRequests-- }

// Outcome is how the delegation of a request ended.
type Outcome int

// Outcomes of a delegation.
const (
	Ran      Outcome = iota // the runner has run the request
	Failed                  // the runner did not answer
	Isolated                // the runner has declined the request, because it reaches no target
	Skipped                 // the runner has declined the request for another reason
)

// Done ends a request that Place or PlaceElsewhere gave to r. A runner that did not
// answer gets no requests for a time that doubles with each consecutive failure, up to
// maxDownTime. One that is isolated gets none for isolatedTime.
func (s *Set) Done(r *Runner, outcome Outcome, now clock.Time) {
	r.inFlight--
	switch outcome {
	case Ran:
		r.failures, r.ranAt = 0, now
	case Failed:
		// The shift is bounded so that it can't overflow.
		r.downUntil = now.Add(min(minDownTime<<min(r.failures, 8), maxDownTime))
		r.failures++
	case Isolated:
		r.downUntil, r.ranAt = now.Add(isolatedTime), 0
		s.isolatedUntil[r.Zone] = r.downUntil
	case Skipped:
	}
}

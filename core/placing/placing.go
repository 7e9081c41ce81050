// Package placing decides which instance runs a search: the one that the caller
// reached, or another one. A search costs processor time for each shard, so a
// small instance hands it to a larger one; and an instance in a zone without
// replicas of the shards hands it to one that has them nearby, so that one
// merged answer crosses the zones in place of all parts.
package placing

import (
	"math/rand/v2"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Costs of a search, in milliseconds.
const (
	shardCost  = 0.08 // of a full core, for each shard
	hopInZone  = 1.5  // to hand a search to an instance of the same zone
	hopAcross  = 3.0  // to one of another zone
	acrossCost = 4.0  // of fetching all parts from other zones: a round trip, and traffic that has its price
	// runningShare is how much of a search's processor time another one that runs
	// at the same instance delays it by; most of the time both wait for targets.
	runningShare = 0.25
	minGain      = 1.0 // that a hand-over must save
	maxShare     = 0.6 // of the own cost that it may cost; what others run besides is not known
	closeBy      = 1.0 // difference at which two instances are equally good
)

// Times after a failure.
const (
	firstDown = 500 * clock.Millisecond
	maxDown   = 4 * clock.Second
)

// Instance is one instance that may run searches.
type Instance struct {
	ID       topology.InstanceID
	Zone     topology.ZoneID
	Address  string  // of its peer endpoint
	Capacity float64 // processor share, more than 0
}

// Runner is an instance with what was learned of it.
type Runner struct {
	Instance
	inFlight  int
	failures  int
	downUntil clock.Time
}

// Set selects the instance that runs a search.
type Set struct {
	self    Instance
	own     int // requests that this instance runs
	random  *rand.Rand
	runners map[topology.InstanceID]*Runner
	list    []*Runner
}

// NewSet returns a Set of the instance self, which runs all searches until it
// learns of others.
func NewSet(self Instance, random *rand.Rand) *Set {
	return &Set{self: self, random: random, runners: map[topology.InstanceID]*Runner{}}
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
		if r == nil || r.Address != in.Address {
			r = &Runner{}
		}
		r.Instance = in
		s.runners[in.ID] = r
		s.list = append(s.list, r)
	}
}

// Near says which part of a search's shards, 0 to 1, has a replica in a zone.
type ZoneCoverage func(zone topology.ZoneID) float64

// Place returns the instance that runs a search over the shards, or nil for
// this one. A search that is given to another instance counts until Done.
func (s *Set) Place(shards int, near ZoneCoverage, now clock.Time) *Runner {
	own := s.cost(s.self, s.own, shards, near)
	best, limit := (*Runner)(nil), min(own-minGain, maxShare*own)
	bestCost, equals := 0.0, 0
	for _, r := range s.list {
		if now.Before(r.downUntil) {
			continue
		}
		c := s.cost(r.Instance, r.inFlight, shards, near) + s.hop(r)
		switch {
		case c > limit:
		case best == nil || c < bestCost-closeBy:
			best, bestCost, equals = r, c, 1
		case c <= bestCost+closeBy:
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

func (s *Set) hop(r *Runner) float64 {
	if r.Zone == s.self.Zone {
		return hopInZone
	}
	return hopAcross
}

// cost estimates how long a search takes at an instance that runs others.
func (s *Set) cost(in Instance, running, shards int, near ZoneCoverage) float64 {
	return float64(shards)*shardCost/in.Capacity*(1+runningShare*float64(running)) + acrossCost*(1-near(in.Zone))
}

// Own counts a request that this instance runs, until OwnDone.
func (s *Set) AddLocal() { s.own++ }

// OwnDone takes back an Own.
func (s *Set) LocalDone() { s.own-- }

// Done takes back a search that Place gave to r. failed says that r did not
// answer.
func (s *Set) Done(r *Runner, failed bool, now clock.Time) {
	r.inFlight--
	if !failed {
		r.failures = 0
		return
	}
	r.downUntil = now.Add(min(firstDown<<min(r.failures, 8), maxDown))
	r.failures++
}

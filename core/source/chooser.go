// Package source decides where an instance takes its copies of the store's objects
// from. One instance of each zone watches the store, and the others of the zone follow
// it, that is, they receive changes from it, because each call to the store has a
// cost. An instance that another one follows is a source of that one.
//
// The order of Compare decides which instance watches, without coordination: an
// instance follows an instance of its zone that precedes it in this order and is up to
// date, and watches the store itself when there is none. If two instances watch, that
// only costs additional calls. While the store does not answer, only the first few
// instances of a zone, called its readers, poll it. The others wait for them, so that
// the number of calls does not grow with the number of instances.
package source

import (
	"math"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/placing"
	"knapweedstall/core/topology"
)

// Parameters of the choice.
const (
	// readers is the number of instances of a zone that read the store when no
	// instance of the zone is up to date. With one alone, the zone would miss changes
	// while the store turns only that one away.
	readers = 3
	// largeZone is the number of instances from which on the readers share the
	// followers of their zone.
	largeZone = 16
	// staleRetryDelay is the delay until a candidate is tried again that could be
	// reached but was not up to date, or that was followed and lost. It doubles with
	// each attempt up to maxStaleRetryDelay.
	staleRetryDelay    = 500 * clock.Millisecond
	maxStaleRetryDelay = 2 * clock.Second
	// unreachableRetryDelay is the delay until a candidate is tried again that could
	// not be reached. It doubles with each attempt up to maxUnreachableRetryDelay.
	unreachableRetryDelay    = 250 * clock.Millisecond
	maxUnreachableRetryDelay = 8 * clock.Second
	// startTime is the time within which instances that start together begin to
	// listen. Until then, an instance does not read the store in place of another one.
	startTime = 400 * clock.Millisecond
	// readerWait is the additional time without a source after which each further
	// reader watches the store. It limits the calls after a source has failed.
	readerWait = 400 * clock.Millisecond
	// maxSearchTime bounds the time for which an instance tries candidates that can't
	// be reached before it watches the store itself.
	maxSearchTime = 1500 * clock.Millisecond
	// maxLoadTime bounds the time for which an instance without copies of all kinds
	// waits for the readers.
	maxLoadTime = 4 * clock.Second
	// pollPeriod is the time between two looks for a source while the instance waits.
	pollPeriod = 250 * clock.Millisecond
	// turnUnit is the time without a source after which the first instance after the
	// readers probes the store. The n-th one waits n*n times as long.
	turnUnit = 40 * clock.Millisecond
	// turnLag is the time after the turn of an instance at which others look whether it is
	// up to date, and maxLooks the number of instances that are not up to date at which one
	// looks.
	turnLag  = 250 * clock.Millisecond
	maxLooks = 11
	// maxStaleWait bounds the time for which an instance waits for others that are not up
	// to date. The instances of a zone that reach it probe the store within staleWaitSpread,
	// and again after as long.
	maxStaleWait    = 10 * clock.Second
	staleWaitSpread = 2 * clock.Second
	// firstPollPeriod is the time between two polls of a store that does not answer by the
	// first instance of a zone that can be reached, and readerPollPeriod by the other
	// readers.
	firstPollPeriod  = 800 * clock.Millisecond
	readerPollPeriod = 2 * clock.Second
)

// Action is what an instance does next to keep its copies up to date.
type Action int

// Actions.
const (
	Wait   Action = iota // wait for Step.Wait
	Follow               // follow the instance at Step.Address
	Watch                // read and watch the store
	Probe                // call the store once, and read and watch it if it answers
)

// Step is the next step of an instance.
type Step struct {
	Action  Action
	Address string         // of the instance to follow
	Wait    clock.Duration // time to wait
}

// Outcome is how following a candidate ended.
type Outcome int

// Outcomes of following a candidate.
const (
	Unreachable Outcome = iota // it sent nothing
	Stale                      // it was not up to date
	Lost                       // it was up to date, and was lost
	Outdated                   // it was up to date, and no longer is
)

// reached reports whether the candidate could be reached and was not up to date.
func (o Outcome) reached() bool { return o == Stale || o == Outdated }

// attempt is the state of one candidate.
type attempt struct {
	outcome  Outcome
	failures int        // consecutive attempts with this outcome
	endedAt  clock.Time // when the latest one ended
	retryAt  clock.Time // it is not tried before
}

// Chooser chooses the source of one instance.
type Chooser struct {
	self       placing.Instance
	candidates []string // addresses of the instances that may be its source, first choice first
	attempts   map[string]*attempt
	zoneSize   int // number of instances of the zone, this one included
	due        clock.Duration
	lostAt     clock.Time // since when the instance has had no source
	probeAt    clock.Time // it does not probe the store before
	deniedAt   clock.Time // when the store last did not answer the instance; 0 for never
	answeredAt clock.Time // when the instance last had its copies from the store by asking; 0 for never
}

// New returns the Chooser of the instance self, which knows no other instance. Changes are
// due at all instances within the time due.
func New(self placing.Instance, due clock.Duration) *Chooser {
	return &Chooser{self: self, due: due, attempts: map[string]*attempt{}}
}

// Start begins the search for the first source at now, when the instances are known.
// Others begin theirs at about the same time.
func (c *Chooser) Start(now clock.Time) { c.lostAt = now.Add(startTime) }

// SetInstances replaces the known instances.
func (c *Chooser) SetInstances(instances []placing.Instance) {
	c.candidates = candidates(c.self, instances)
	c.zoneSize = 0
	for _, in := range instances {
		if in.Zone == c.self.Zone {
			c.zoneSize++
		}
	}
	for address := range c.attempts {
		if !slices.Contains(c.candidates, address) {
			delete(c.attempts, address)
		}
	}
}

// IsReader reports whether the instance is one of the readers of its zone, which read
// all copies from the store when they start, since the others take theirs from them.
func (c *Chooser) IsReader() bool { return len(c.candidates) < readers }

// Next returns the next step of an instance that has no source at now. complete reports
// whether the instance has copies of all kinds, and age is their age.
func (c *Chooser) Next(age clock.Duration, complete bool, now clock.Time) Step {
	if len(c.candidates) == 0 {
		return Step{Action: Watch}
	}
	waited := now.Sub(c.lostAt)
	address, reached := c.candidate(min(readers+turns(waited-turnLag), maxLooks), now)
	if complete {
		address, reached = c.candidateAmong(c.asked(age-turnLag), now)
	}
	if reached >= readers {
		switch {
		case address != "" && (complete || !c.isTurn(waited) || now.Before(c.probeAt)):
			return Step{Action: Follow, Address: address}
		case complete && c.answers(now):
			return Step{Action: Watch}
		case complete:
			return Step{Action: Wait, Wait: pollPeriod}
		case c.isTurn(waited) && !now.Before(c.probeAt):
			if reader := c.unseenReader(now); reader != "" {
				return Step{Action: Follow, Address: reader}
			}
			return Step{Action: Probe}
		case waited < maxLoadTime:
			return Step{Action: Wait, Wait: pollPeriod}
		default:
			return Step{Action: Watch}
		}
	}
	if address != "" && waited < maxSearchTime {
		return Step{Action: Follow, Address: address}
	}
	if waited < readerWait*clock.Duration(min(len(c.candidates), readers)-1) {
		return Step{Action: Wait, Wait: pollPeriod}
	}
	return Step{Action: Watch}
}

// turns returns how many instances after the readers have had their turn to probe the
// store.
func turns(waited clock.Duration) int {
	return int(math.Sqrt(float64(max(waited, 0)) / float64(turnUnit)))
}

// isTurn reports whether the instance, which has had no source for the time waited, probes
// the store itself.
func (c *Chooser) isTurn(waited clock.Duration) bool {
	return c.reachable() < readers+turns(waited) || waited >= maxStaleWait+c.spread()
}

// unseenReader returns the address of a reader that was not up to date when it was tried
// last, but was not tried just now; "" if there is none.
func (c *Chooser) unseenReader(now clock.Time) string {
	seen := 0
	for _, candidate := range c.candidates {
		a := c.attempts[candidate]
		if a == nil || !a.outcome.reached() {
			continue
		}
		if now.Sub(a.endedAt) > turnLag {
			return candidate
		}
		if seen++; seen == readers {
			break
		}
	}
	return ""
}

// spread returns the instance's part of staleWaitSpread.
func (c *Chooser) spread() clock.Duration {
	return clock.Duration(topology.Hash64(string(c.self.ID)) % uint64(staleWaitSpread))
}

// reachable returns the number of candidates without those that could not be reached when
// they were tried last.
func (c *Chooser) reachable() int {
	n := len(c.candidates)
	for _, a := range c.attempts {
		if a.outcome == Unreachable {
			n--
		}
	}
	return n
}

// ProbeFailed reports that the store did not answer a probe at now.
func (c *Chooser) ProbeFailed(now clock.Time) { c.probeAt = now.Add(maxStaleWait + c.spread()) }

// PollPause returns the time until an instance that reads a store that does not answer
// calls it again, and whether it goes on doing so. If not, the readers of its zone can be
// reached, and it waits for them.
func (c *Chooser) PollPause(now clock.Time) (pause clock.Duration, goOn bool) {
	switch _, reached := c.candidate(readers, now); {
	case reached == 0:
		return firstPollPeriod, true
	case reached < readers:
		return readerPollPeriod, true
	}
	return 0, false
}

// Candidate returns the address of a candidate to try at now, for an instance that
// watches the store but would rather follow one. It returns "" if there is none.
func (c *Chooser) Candidate(now clock.Time) string {
	address, _ := c.candidate(maxLooks, now)
	return address
}

// candidate returns the first candidate that may be tried at now, or "", and how many
// candidates could be reached when they were tried last but were not up to date. It
// looks no further than the first limit of these.
func (c *Chooser) candidate(limit int, now clock.Time) (address string, reached int) {
	for _, candidate := range c.candidates {
		a := c.attempts[candidate]
		if address == "" && (a == nil || !now.Before(a.retryAt)) {
			address = candidate
		}
		if a != nil && a.outcome.reached() {
			reached++
		}
		if reached == limit {
			break
		}
	}
	return address, reached
}

// candidateAmong is candidate for an instance with copies: it looks at the readers that can
// be reached, and then at the candidates before the place asked, the last of them first.
// These have asked the store, and the last ones the most recently.
func (c *Chooser) candidateAmong(asked int, now clock.Time) (address string, reached int) {
	look := func(candidate string) {
		a := c.attempts[candidate]
		if address == "" && (a == nil || !now.Before(a.retryAt)) {
			address = candidate
		}
		if a != nil && a.outcome.reached() {
			reached++
		}
	}
	next := 0
	for ; next < len(c.candidates) && reached < readers; next++ {
		look(c.candidates[next])
	}
	for i := min(asked, len(c.candidates)) - 1; i >= next && reached < maxLooks; i-- {
		look(c.candidates[i])
	}
	return address, reached
}

// Ended reports that following the candidate at address ended at now.
func (c *Chooser) Ended(address string, o Outcome, now clock.Time) {
	a := c.attempts[address]
	if a == nil || a.outcome != o {
		a = &attempt{outcome: o}
		c.attempts[address] = a
	}
	delay, most := staleRetryDelay, maxStaleRetryDelay
	if o == Unreachable {
		delay, most = unreachableRetryDelay, maxUnreachableRetryDelay
	}
	if o == Lost || o == Outdated {
		c.lostAt, a.failures = now, 0
	}
	a.endedAt = now
	a.retryAt = now.Add(min(delay<<min(a.failures, 8), most))
	a.failures++
}

// StoreAvailable reports that the store answers again after it did not. The readers
// begin to watch it one after the other, so that the later ones can follow the first:
// the instance waits for the returned time and then tries its candidates again.
func (c *Chooser) StoreAvailable() clock.Duration {
	clear(c.attempts)
	return readerWait * clock.Duration(min(len(c.candidates), readers))
}

// WatchEnded reports that the instance has stopped watching the store at now.
func (c *Chooser) WatchEnded(now clock.Time) { c.lostAt = now }

package poison

import (
	"maps"
	"math"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
)

// Process identifies one run of a target.
type Process struct {
	Target        topology.TargetID
	StartedUnixMS int64 // start in Unix milliseconds; 0 when not known
}

// Crash is the crash of one target while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	Process     Process
}

// Trial is the latest trial of a refused request.
type Trial struct {
	Number   int           // of trials so far; 0 for none
	Revision view.Revision // of its record in the store; 0 when there is none
}

const (
	// refuseThreshold is the number of crashed targets from which a request is
	// refused. One may be a coincidence.
	refuseThreshold = 2
	// Retention is how long crashes count. It is prolonged by the time until the
	// next trial.
	Retention = 10 * clock.Minute
	// firstTrialDelay is the time from the latest crash to the first trial. The time to
	// each further trial is trialDelayFactor as long, up to maxTrialDelay.
	firstTrialDelay  = 30 * clock.Second
	trialDelayFactor = 4
	maxTrialDelay    = 2 * clock.Hour
)

// Tracker decides which requests are refused. It is not safe for concurrent use. Its
// memory is bounded by the records in the store, and by the crashes that this instance
// has seen within Retention.
type Tracker struct {
	suspects map[Fingerprint]*suspect
	present  map[Process]map[Fingerprint]bool // requests that crashed targets were running
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{suspects: map[Fingerprint]*suspect{}, present: map[Process]map[Fingerprint]bool{}}
}

// Add notes a crash of the given age. revision is that of its record in the store; 0 if
// there is none yet.
func (t *Tracker) Add(c Crash, revision view.Revision, age clock.Duration, now clock.Time) {
	s, at := t.suspect(c.Fingerprint, now), now.Add(-age)
	known := s.crashes[c.Process]
	if known == nil {
		s.crashes[c.Process] = &crash{revision: revision, at: at}
		if t.present[c.Process] == nil {
			t.present[c.Process] = map[Fingerprint]bool{}
		}
		t.present[c.Process][c.Fingerprint] = true
		return
	}
	if known.revision != 0 && revision > known.revision { // the record was written again
		known.at, known.disproved = max(known.at, at), false
	}
	known.revision = max(known.revision, revision)
}

// SetAnswered notes that the store has the record, of the revision, that a target has
// answered the request. It disproves all crashes whose records have lower revisions.
func (t *Tracker) SetAnswered(f Fingerprint, revision view.Revision, now clock.Time) {
	s := t.suspect(f, now)
	s.answered = max(s.answered, revision)
}

// SetTrial notes a trial that began before the given time.
func (t *Tracker) SetTrial(f Fingerprint, trial Trial, age clock.Duration, now clock.Time) {
	s := t.suspect(f, now)
	if trial.Revision > s.trial.Revision {
		s.trial, s.trialAt = trial, now.Add(-age)
	}
}

// ForgetTrialRecord notes that the store may no longer have the record of the latest trial.
// The next one is begun by creating it, which fails if the store has it.
func (t *Tracker) ForgetTrialRecord(f Fingerprint) {
	if s := t.suspects[f]; s != nil {
		s.trial.Revision = 0
	}
}

func (t *Tracker) suspect(f Fingerprint, now clock.Time) *suspect {
	s := t.suspects[f]
	if s == nil {
		s = &suspect{crashes: map[Process]*crash{}, firstSeen: now}
		t.suspects[f] = s
	}
	return s
}

// Answered notes that a target has answered the request, which disproves the crashes known
// so far.
func (t *Tracker) Answered(f Fingerprint) {
	if s := t.suspects[f]; s != nil {
		for _, c := range s.crashes {
			c.disproved = true
		}
	}
}

// RefusedElsewhere reports whether other instances, which know what is in the store,
// refuse the request.
func (t *Tracker) RefusedElsewhere(f Fingerprint, now clock.Time) bool {
	return t.suspects[f] != nil && t.count(f, crash.shared, now) >= refuseThreshold
}

// Refused reports whether the request must not be sent to targets, and whether one of
// all instances may send it as a trial nevertheless.
func (t *Tracker) Refused(f Fingerprint, now clock.Time) (refused, trialDue bool) {
	s := t.suspects[f]
	if s == nil || t.count(f, crash.suspected, now) < refuseThreshold {
		return false, false
	}
	return true, !now.Before(s.lastAt().Add(s.trialDelay()))
}

// Trial returns the latest trial of the request.
func (t *Tracker) Trial(f Fingerprint) Trial {
	if s := t.suspects[f]; s != nil {
		return Trial{Number: s.trials(), Revision: s.trial.Revision}
	}
	return Trial{}
}

// count returns how many crashes count against the request. A crash doesn't if the target
// was running a request as well that more crashes count against.
func (t *Tracker) count(f Fingerprint, counts func(crash, *suspect) bool, now clock.Time) int {
	s := t.suspects[f]
	all := s.count(counts, now)
	if all < refuseThreshold {
		return all
	}
	explained := func(p Process) bool {
		for other := range t.present[p] {
			if o := t.suspects[other]; counts(*o.crashes[p], o) && o.count(counts, now) > all {
				return true
			}
		}
		return false
	}
	n := 0
	for p, c := range s.crashes {
		if counts(*c, s) && !s.duplicate(p) && !explained(p) {
			n++
		}
	}
	return n
}

// Expire drops the requests whose crashes no longer count. Those with records in the store
// are kept, since their ages would not be known when the records are read again.
func (t *Tracker) Expire(stored map[Fingerprint]bool, now clock.Time) {
	for f, s := range t.suspects {
		if !s.expired(now) || stored[f] {
			continue
		}
		for p := range s.crashes {
			delete(t.present[p], f)
			if len(t.present[p]) == 0 {
				delete(t.present, p)
			}
		}
		delete(t.suspects, f)
	}
}

// Removable reports whether the records of the request in the store are of no use. It does
// not depend on their ages alone, which come from the clocks of other instances.
func (t *Tracker) Removable(f Fingerprint, now clock.Time) bool {
	s := t.suspects[f]
	return s != nil && s.expired(now) && now.Sub(s.firstSeen) >= Retention
}

// suspect is a request that targets were running when they crashed.
type suspect struct {
	firstSeen clock.Time // when this instance first knew of it
	crashes   map[Process]*crash
	answered  view.Revision // of the record that a target has answered it; 0 for none
	trial     Trial
	trialAt   clock.Time // when the trial began
}

// crash is the crash of one process that was running a request.
type crash struct {
	revision  view.Revision // of its record; 0 for none yet
	at        clock.Time
	disproved bool // this instance has seen an answer to the request since
}

// shared reports whether the crash counts by what the store tells all instances.
func (c crash) shared(s *suspect) bool { return c.revision == 0 || c.revision > s.answered }

// suspected reports whether the crash counts at this instance.
func (c crash) suspected(s *suspect) bool { return !c.disproved && c.shared(s) }

// duplicate reports whether the process is one whose start is not known, while others of
// the same target are known: earlier builds don't record the start.
func (s *suspect) duplicate(p Process) bool {
	if p.StartedUnixMS != 0 {
		return false
	}
	for other := range s.crashes {
		if other.Target == p.Target && other.StartedUnixMS != 0 {
			return true
		}
	}
	return false
}

// count returns the number of crashes that count.
func (s *suspect) count(counts func(crash, *suspect) bool, now clock.Time) int {
	if s.expired(now) {
		return 0
	}
	n := 0
	for p, c := range s.crashes {
		if counts(*c, s) && !s.duplicate(p) {
			n++
		}
	}
	return n
}

// lastAt returns the time of the latest crash or trial.
func (s *suspect) lastAt() clock.Time {
	last := clock.Time(math.MinInt64 / 2)
	for c := range maps.Values(s.crashes) {
		last = max(last, c.at)
	}
	if s.trials() > 0 {
		last = max(last, s.trialAt)
	}
	return last
}

// trials returns the number of trials since the request was last answered.
func (s *suspect) trials() int {
	if s.trial.Revision < s.answered {
		return 0
	}
	return s.trial.Number
}

// trialDelay returns the time from the latest crash or trial to the next trial.
func (s *suspect) trialDelay() clock.Duration {
	delay := firstTrialDelay
	for range min(s.trials(), 10) {
		delay = min(delay*trialDelayFactor, maxTrialDelay)
	}
	return delay
}

// expired reports whether the crashes no longer count.
func (s *suspect) expired(now clock.Time) bool {
	return now.Sub(s.lastAt()) >= Retention+s.trialDelay()
}

package replica

import (
	"maps"

	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// Times of learning whether a target is warm.
const (
	// entryTime is within what time a target that has become cold has said so in its entry,
	// and the entry has arrived.
	entryTime = 2500 * clock.Millisecond
	// askSpacing is the mean time between two instances that ask the same target, so that
	// many instances don't use up what a cold target bears.
	askSpacing = 500 * clock.Millisecond
	askRetry   = 300 * clock.Millisecond // after an attempt without an answer
)

// warmth is what is known about whether a target is warm. A target that comes back into use
// may have become cold meanwhile, and its entry may not say so yet. It is unknown then, and
// the target gets no more than a cold one.
type warmth struct {
	since  clock.Time // when the target came back into use, or last refused a connection
	askAt  clock.Time // when this instance asks the target; 0 if that has not been decided
	asking bool
}

// doubt makes the warmth of a target unknown.
func (s *Set) doubt(t *Target, now clock.Time) {
	if s.unknown[t] == nil {
		s.unknown[t] = &warmth{}
	}
	s.unknown[t].since = now
}

// Refused notes that a process of a target has refused a connection, so that another one may
// run there next.
func (s *Set) Refused(id topology.TargetID, startedUnixMS int64, now clock.Time) {
	if t := s.targets[id]; t != nil && t.StartedUnixMS == startedUnixMS {
		s.doubt(t, now)
	}
}

// bearsCold reports whether the target may get no more than a cold one.
func (s *Set) bearsCold(t *Target, now clock.Time) bool { return t.Cold(now) || s.unknown[t] != nil }

// UnknownWarmth returns the number of targets of which it is not known whether they are warm.
func (s *Set) UnknownWarmth() int { return len(s.unknown) }

// Question is a target that must be asked whether it is warm.
type Question struct {
	Target     Listing
	HealthPath string // URL path
}

// Questions returns the targets that this instance must ask now; the caller ends each with
// Told or NotTold. Those that a cold target bears sends of ask at once, others one
// after the other. service returns the configuration of a service, nil if there is none.
//
// Without an answer, a target counts as warm when its entry would have said otherwise:
// entryTime after it came back into use, and after freshSince, from which on entries have
// arrived without a gap.
func (s *Set) Questions(service func(routing.ServiceName) *routing.Service, freshSince, now clock.Time) (due []Question) {
	maps.DeleteFunc(s.unknown, func(t *Target, w *warmth) bool {
		svc := service(t.Service)
		told := now.Sub(max(w.since, freshSince)) >= entryTime
		return s.targets[t.ID] != t || svc == nil || svc.ColdPerSecond <= 0 || told
	})
	for t, w := range s.unknown {
		svc := service(t.Service)
		if w.askAt == 0 {
			w.askAt = s.firstAsk(t, svc, now)
		}
		if !w.asking && svc.HealthPath != "" && !now.Before(w.askAt) {
			w.asking = true
			due = append(due, Question{t.Listing, svc.HealthPath})
		}
	}
	return due
}

// firstAsk returns when this instance asks the target for the first time.
func (s *Set) firstAsk(t *Target, svc *routing.Service, now clock.Time) clock.Time {
	if s.maySendCold(t.ID, s.coldSenders(svc)) {
		return now
	}
	return now.Add(1 + clock.Duration(s.random.Int64N(int64(s.instanceCount())*int64(askSpacing))))
}

// Told ends a question that the target has answered: it is cold for a time, 0 if it is warm.
func (s *Set) Told(asked Listing, cold clock.Duration, now clock.Time) {
	t := s.targets[asked.ID]
	if t == nil || t.StartedUnixMS != asked.StartedUnixMS {
		return
	}
	delete(s.unknown, t)
	t.coldUntil = now.Add(cold)
}

// NotTold ends a question without an answer. It is asked again.
func (s *Set) NotTold(asked Listing, now clock.Time) {
	if t := s.targets[asked.ID]; t != nil && s.unknown[t] != nil {
		w := s.unknown[t]
		w.asking, w.askAt = false, now.Add(askRetry+clock.Duration(s.random.Int64N(int64(askRetry))))
	}
}

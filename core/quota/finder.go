package quota

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Limits of asking for credit.
const (
	// AskTime bounds the time for which a request waits for credit, for all coordinators
	// that are asked. Callers have objectives of 50 ms.
	AskTime = 40 * clock.Millisecond
	// NextDelay is the time without an answer after which the next coordinator is asked
	// too. A round trip between zones takes up to 8 ms.
	NextDelay = 12 * clock.Millisecond
	// maxAsked is the number of coordinators that are asked for the same requests.
	maxAsked = 4
	// failureTime is how long a coordinator is not asked when its connection was refused,
	// or when it has not answered several times.
	failureTime = clock.Second
	// minFailureTime is the same when it has not answered once, or the connection to it
	// was not open in time. An instance with a small processor share may be stopped for
	// up to 100 ms in normal operation.
	minFailureTime = 100 * clock.Millisecond
)

// Failure tells how a call to a coordinator failed.
type Failure int

// Failures of calls.
const (
	Silent       Failure = iota // no answer
	Refused                     // the connection was refused or broken
	NotConnected                // the connection was not open in time
	Unsupported                 // an instance of an older build, which grants nothing
)

// Finder selects the coordinators that an entry asks for credit.
type Finder struct {
	states  map[topology.InstanceID]*coordinatorState // of coordinators that have failed
	holders map[topology.WorkspaceID]topology.InstanceID
}

// coordinatorState is what is known of a coordinator that has failed.
type coordinatorState struct {
	restUntil   clock.Time // it is not asked until then
	silent      int        // calls without an answer since the latest answer
	unsupported bool
}

// NewFinder returns a Finder that knows of no failure.
func NewFinder() *Finder {
	return &Finder{states: map[topology.InstanceID]*coordinatorState{}, holders: map[topology.WorkspaceID]topology.InstanceID{}}
}

// rests reports whether a coordinator is not asked now, and whether that is because it
// supports no quotas.
func (f *Finder) rests(in topology.InstanceID, now clock.Time) (rests, unsupported bool) {
	s := f.states[in]
	if s == nil || !now.Before(s.restUntil) {
		return false, false
	}
	return true, s.unsupported
}

// next returns the coordinator to ask, which may not be among those ranked if another one
// has named it as the holder, after those that were asked, or false if no more
// should be asked.
func (f *Finder) next(id topology.WorkspaceID, ranked, asked []topology.InstanceID, now clock.Time) (topology.InstanceID, bool) {
	if len(asked) >= maxAsked {
		return "", false
	}
	if holder := f.holders[id]; holder != "" && !slices.Contains(asked, holder) {
		if rests, _ := f.rests(holder, now); !rests {
			return holder, true
		}
	}
	supporting := 0
	for _, in := range ranked {
		rests, unsupported := f.rests(in, now)
		if unsupported {
			continue
		}
		if supporting++; supporting > maxAsked {
			break
		}
		if !rests && !slices.Contains(asked, in) {
			return in, true
		}
	}
	return "", false
}

// failed notes that a coordinator has failed to answer.
func (f *Finder) failed(in topology.InstanceID, how Failure, now clock.Time) {
	s := f.states[in]
	if s == nil {
		s = &coordinatorState{}
		f.states[in] = s
	}
	rest := failureTime
	switch how {
	case Silent, NotConnected:
		rest = min(minFailureTime<<min(s.silent, 8), failureTime)
		s.silent++
	case Refused, Unsupported:
	}
	s.restUntil, s.unsupported = now.Add(rest), how == Unsupported
}

// Round asks the coordinators of a workspace for credit for some requests. It asks the
// holder as far as that is known, and the next coordinator when one has failed, has
// answered that it is not the holder, or has not answered for NextDelay.
type Round struct {
	finder  *Finder
	id      topology.WorkspaceID
	ranked  []topology.InstanceID
	asked   []topology.InstanceID
	pending []topology.InstanceID // asked and without an answer
	missing int                   // requests for which there is no credit yet
	final   Answer
}

// NewRound returns a Round that has asked nobody. ranked are the coordinators in order.
func (f *Finder) NewRound(id topology.WorkspaceID, ranked []topology.InstanceID, n int) *Round {
	return &Round{finder: f, id: id, ranked: ranked, missing: n}
}

// Next returns the coordinator to ask now, or false for none.
func (r *Round) Next(now clock.Time) (topology.InstanceID, bool) {
	if r.final.Final || r.missing <= 0 {
		return "", false
	}
	in, ok := r.finder.next(r.id, r.ranked, r.asked, now)
	if ok {
		r.asked, r.pending = append(r.asked, in), append(r.pending, in)
	}
	return in, ok
}

// Missing returns the number of requests for which there is no credit yet.
func (r *Round) Missing() int { return r.missing }

// Done reports whether nothing more can come: all credit is there, the holder has answered,
// or no answer is pending.
func (r *Round) Done() bool { return r.final.Final || r.missing <= 0 || len(r.pending) == 0 }

// Answered notes a coordinator's answer. holder is which one it takes for the holder.
func (r *Round) Answered(in topology.InstanceID, a Answer, holder topology.InstanceID) {
	r.remove(in)
	delete(r.finder.states, in)
	r.missing -= min(a.Granted, r.missing)
	switch {
	case a.Final:
		r.final = a
		r.finder.holders[r.id] = in
	case r.final.Final || holder == in: // known better, or the coordinator has just lost it
	case holder == "":
		delete(r.finder.holders, r.id)
	default:
		r.finder.holders[r.id] = holder
	}
}

// Failed notes that a call to a coordinator has failed.
func (r *Round) Failed(in topology.InstanceID, how Failure, now clock.Time) {
	if r.remove(in) {
		r.finder.failed(in, how, now)
	}
}

// End ends the Round and returns the holder's answer. Coordinators that have not answered
// until now, when AskTime has passed, have failed. silent tells that it has.
func (r *Round) End(silent bool, now clock.Time) Answer {
	if silent {
		for _, in := range slices.Clone(r.pending) {
			r.Failed(in, Silent, now)
		}
	}
	return r.final
}

// remove removes a coordinator from those without an answer, and reports whether it was one.
func (r *Round) remove(in topology.InstanceID) bool {
	i := slices.Index(r.pending, in)
	if i >= 0 {
		r.pending = slices.Delete(r.pending, i, i+1)
	}
	return i >= 0
}

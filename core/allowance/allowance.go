// Package allowance decides how many concurrent calls one target can take for
// one share of its slots.
package allowance

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
)

const (
	// warmthTerm bounds the age of an answer or report that may be relied on.
	warmthTerm = 10 * clock.Second
	// drainTerm is how long a target that said draining gets nothing new. A
	// target that drains closes its connections long before it ends, so their
	// loss does not shorten the term.
	drainTerm = 30 * clock.Second
	// reportDelay bounds the transit time of a report: a peer connection that
	// is silent for longer is abandoned. A report that arrives at least this
	// long after an event was sent after it.
	reportDelay = 1500 * clock.Millisecond
	// reportTerm is the interval at which an unchanged state is reported again:
	// a holder without a slot of a cold target learns only from reports that the
	// target is warm.
	reportTerm = 1 * clock.Second

	minBackoff = 100 * clock.Millisecond
	maxBackoff = 5 * clock.Second
)

// Slots returns how many of limit concurrent calls belong to the share (0 or 1)
// of the target with the given index in its service. The two shares of a
// target always sum up to limit.
func Slots(share, index, limit int) int {
	n := limit / 2
	if limit%2 == 1 && index%2 == share {
		n++
	}
	return n
}

// view is what one source said of the target.
type view struct {
	state message.TargetState
	bears int
	at    clock.Time // 0 when nothing was said yet
}

// fresh reports whether the view may be relied on at now.
func (v view) fresh(now clock.Time) bool {
	if v.at == 0 {
		return false
	}
	if v.state == message.TargetDraining {
		return now.Sub(v.at) < drainTerm
	}
	return now.Sub(v.at) < warmthTerm
}

// draining reports whether the view forbids all new work at now.
func (v view) draining(now clock.Time) bool {
	return v.state == message.TargetDraining && v.fresh(now)
}

// Generation orders the answers of a target against the events that lowered
// its limit. Answers carry no times and can cross, so an answer may raise the
// limit only if its call was sent in the current generation.
type Generation uint64

// Allowance is what one holder knows of one target's concurrency limit.
type Allowance struct {
	index, slots int
	own          view // from the target's answers; unknown after a lost connection
	other        view // from the other holder's last report
	generation   Generation
	retryAt      clock.Time // nothing is sent before
	failures     int        // consecutive sheds and losses
	reported     view       // last report to the other holder
}

// New returns the allowance of a target that has not answered yet. The index is
// the target's position in its service, slots its concurrency when warm.
func New(index, slots int) *Allowance {
	return &Allowance{index: index, slots: slots, own: view{state: message.TargetUnknown, bears: 1}}
}

// Resize changes the target's position and slots.
func (a *Allowance) Resize(index, slots int) {
	a.index, a.slots = index, slots
	a.own.bears = min(a.own.bears, slots)
}

// Generation returns the generation to store with a call when it is sent.
func (a *Allowance) Generation() Generation { return a.generation }

// Answered records what the target said when it answered a call that was sent
// in the given generation.
func (a *Allowance) Answered(now clock.Time, sent Generation, state message.TargetState, bears int) {
	bears = a.clamp(state, bears)
	current := sent == a.generation
	lowers := state != message.TargetWarm || bears < a.own.bears
	if !current && (a.raises(state, bears) || !lowers) {
		return
	}
	if lowers {
		a.generation++
	}
	a.own = view{state: state, bears: bears, at: now}
	if bears == 0 && state != message.TargetDraining {
		a.backOff(now, 0)
	} else if current {
		a.failures, a.retryAt = 0, 0
	}
}

// raises reports whether an answer claims more than the own view.
func (a *Allowance) raises(state message.TargetState, bears int) bool {
	if bears > a.own.bears {
		return true
	}
	return state != a.own.state && (state == message.TargetWarm || a.own.state == message.TargetDraining)
}

// Shed records that the target refused a call for lack of capacity: it gets one
// slot less and nothing new for retryAfter, or for a doubling delay when
// retryAfter is 0. Sheds of calls that were sent together take one slot.
func (a *Allowance) Shed(now clock.Time, sent Generation, state message.TargetState, bears int, retryAfter clock.Duration) {
	bears = min(a.clamp(state, bears), a.limit(now))
	a.backOff(now, retryAfter)
	if sent == a.generation {
		bears = max(0, bears-1)
	} else if a.raises(state, bears) {
		return
	}
	a.generation++
	a.own = view{state: state, bears: bears, at: now}
}

// Lost records a lost connection, a crash or a connection that could not be
// opened: the target is cold and gets nothing new for a doubling delay.
func (a *Allowance) Failed(now clock.Time) {
	a.Disconnected(now)
	a.backOff(now, 0)
}

// TimedOut records that a call passed its deadline. One slow call is no evidence
// of a restart. A second one without an answer in between makes the target cold
// and delays the next call. A connection that replaces the last open one is
// recorded by Connected.
func (a *Allowance) TimedOut(now clock.Time) {
	if a.failures > 0 {
		a.Failed(now)
		return
	}
	a.failures = 1
}

// Disconnected records that the last connection to the target closed while it
// was idle.
func (a *Allowance) Disconnected(now clock.Time) {
	a.generation++
	if !a.own.draining(now) {
		a.forget(now)
	}
}

// Connected records that a connection was opened while none was open. Calls
// that wait for it keep their generation, since no earlier connection can
// bring an answer any more.
func (a *Allowance) Connected(now clock.Time) { a.forget(now) }

func (a *Allowance) forget(now clock.Time) {
	a.own = view{state: message.TargetUnknown, bears: 1, at: now}
}

// Reported records a report of the other holder. Reports must arrive in the
// order in which they were sent.
func (a *Allowance) ReportReceived(now clock.Time, state message.TargetState, bears int) {
	a.other = view{state: state, bears: a.clamp(state, bears), at: now}
	if state != message.TargetWarm {
		a.generation++
	}
	if a.other.bears == 0 && state != message.TargetDraining {
		a.retryAt = max(a.retryAt, now.Add(minBackoff))
	}
}

// Slots returns how many calls the share may have in flight now.
func (a *Allowance) Slots(now clock.Time, share int) int {
	if now < a.retryAt || a.own.draining(now) || a.other.draining(now) {
		return 0
	}
	// A limit of zero is tried again with one call.
	n := Slots(share, a.index, max(1, a.limit(now)))
	if n == 0 && a.outdated(now) {
		// One call lets a share that has no slot of a cold target see for
		// itself that the target has warmed up.
		n = min(1, Slots(share, a.index, a.other.bears))
	}
	return n
}

// State returns what the target counts as: warm only while both holders'
// knowledge says so.
func (a *Allowance) State(now clock.Time) message.TargetState {
	switch {
	case a.own.draining(now) || a.other.draining(now):
		return message.TargetDraining
	case !a.own.fresh(now):
		return message.TargetUnknown
	case a.other.fresh(now) && a.other.state != message.TargetWarm:
		return message.TargetCold
	default:
		return a.own.state
	}
}

// NextOpen returns when the allowance may rise without further input, 0 if it
// cannot.
func (a *Allowance) NextIncrease(now clock.Time) clock.Time {
	next := clock.Time(0)
	later := func(t clock.Time) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	later(a.retryAt)
	for _, v := range [...]view{a.own, a.other} {
		switch {
		case v.at == 0:
		case v.state == message.TargetDraining:
			later(v.at.Add(drainTerm))
		default:
			later(v.at.Add(warmthTerm))
		}
	}
	return next
}

// Report returns the state and limit to tell the other holder, and whether a
// report is due: at once after a change, else at intervals, and only when this
// holder's knowledge is of this moment. It counts a due report as sent.
func (a *Allowance) Report(now clock.Time) (state message.TargetState, bears int, due bool) {
	changed := a.own.state != a.reported.state || a.own.bears != a.reported.bears
	if a.own.at != now || !changed && now.Sub(a.reported.at) < reportTerm {
		return "", 0, false
	}
	a.reported = view{state: a.own.state, bears: a.own.bears, at: now}
	return a.own.state, a.own.bears, true
}

// limit returns the lower of what this holder saw and what the other reported.
func (a *Allowance) limit(now clock.Time) int {
	n := 1
	if a.own.fresh(now) {
		n = a.own.bears
	}
	if a.other.fresh(now) {
		n = min(n, a.other.bears)
	}
	return n
}

// outdated reports whether the other holder certainly learned of a higher limit
// after this holder's own last knowledge.
func (a *Allowance) outdated(now clock.Time) bool {
	if !a.other.fresh(now) || a.other.bears <= a.limit(now) {
		return false
	}
	return a.own.at == 0 || a.other.at.Sub(a.own.at) >= reportDelay
}

func (a *Allowance) clamp(state message.TargetState, bears int) int {
	switch state {
	case message.TargetDraining:
		return 0
	case message.TargetUnknown:
		return 1
	default:
		return max(0, min(bears, a.slots))
	}
}

func (a *Allowance) backOff(now clock.Time, stated clock.Duration) {
	delay := stated
	if delay <= 0 {
		delay = min(maxBackoff, minBackoff<<min(a.failures, 10))
	}
	a.failures++
	a.retryAt = max(a.retryAt, now.Add(delay))
}

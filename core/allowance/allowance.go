// Package allowance decides how many concurrent calls a holder may make to one
// target. A target's slots are split into two shares, each assigned to one holder:
// an instance that sends calls to the target.
package allowance

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
)

const (
	// maxObservationAge is the age at which an answer or report is no longer relied on,
	// unless it said draining.
	maxObservationAge = 10 * clock.Second
	// drainDuration is how long a target that said draining gets no new calls. A
	// draining target closes its connections long before it terminates, so their
	// loss does not shorten this time.
	drainDuration = 30 * clock.Second
	// maxReportDelay is the upper limit of the transit time of a report: a peer
	// connection without traffic for longer is closed. A report that arrives at
	// least this long after an event was sent after the event.
	maxReportDelay = 1500 * clock.Millisecond
	// reportInterval is the interval at which an unchanged state is reported
	// again: a holder whose share has no slot of a cold target learns only from
	// reports that the target has become warm.
	reportInterval = 1 * clock.Second

	minBackoff = 100 * clock.Millisecond
	maxBackoff = 5 * clock.Second
)

// Slots returns how many of limit concurrent calls belong to the share (0 or 1)
// of the target with the given index in its service. The two shares of a target
// always add up to limit.
func Slots(share, index, limit int) int {
	n := limit / 2
	if limit%2 == 1 && index%2 == share {
		n++
	}
	return n
}

// observation is the state and capacity of the target according to one source: its
// answers to this holder, or a report of the other holder.
type observation struct {
	state    message.TargetState
	capacity int
	at       clock.Time // 0 when the source has said nothing yet
}

// fresh reports whether the observation may still be relied on at now.
func (o observation) fresh(now clock.Time) bool {
	if o.at == 0 {
		return false
	}
	if o.state == message.TargetDraining {
		return now.Sub(o.at) < drainDuration
	}
	return now.Sub(o.at) < maxObservationAge
}

// draining reports whether the observation forbids all new calls at now.
func (o observation) draining(now clock.Time) bool {
	return o.state == message.TargetDraining && o.fresh(now)
}

// Generation orders the answers of a target relative to the events that lowered its
// limit. Answers carry no times and can overtake each other, so an answer may raise
// the limit only if its call was sent in the current generation.
type Generation uint64

// Allowance is what one holder knows of one target's concurrency limit.
type Allowance struct {
	index, slots int
	own          observation // from the target's answers; unknown after a lost connection
	other        observation // from the other holder's last report
	generation   Generation
	retryAt      clock.Time  // no call is sent before
	failures     int         // consecutive refusals for lack of capacity, failures and timeouts; sets the backoff
	lastReport   observation // last one sent to the other holder
}

// New returns the Allowance of a target that has not answered yet. The index is the
// target's position in its service, and slots is the number of concurrent calls that
// it takes when warm.
func New(index, slots int) *Allowance {
	return &Allowance{index: index, slots: slots, own: observation{state: message.TargetUnknown, capacity: 1}}
}

// Resize changes the target's position and slots.
func (a *Allowance) Resize(index, slots int) {
	a.index, a.slots = index, slots
	a.own.capacity = min(a.own.capacity, slots)
}

// Generation returns the generation to store with a call when it is sent.
func (a *Allowance) Generation() Generation { return a.generation }

// Answered records the state and capacity with which the target answered a call
// that was sent in the given generation.
func (a *Allowance) Answered(now clock.Time, sent Generation, state message.TargetState, capacity int) {
	capacity = a.clamp(state, capacity)
	current := sent == a.generation
	lowers := state != message.TargetWarm || capacity < a.own.capacity
	if !current && (a.raises(state, capacity) || !lowers) {
		return
	}
	if lowers {
		a.generation++
	}
	a.own = observation{state: state, capacity: capacity, at: now}
	if capacity == 0 && state != message.TargetDraining {
		a.backOff(now, 0)
	} else if current {
		a.failures, a.retryAt = 0, 0
	}
}

// raises reports whether an answer claims more than the own observation.
func (a *Allowance) raises(state message.TargetState, capacity int) bool {
	if capacity > a.own.capacity {
		return true
	}
	return state != a.own.state && (state == message.TargetWarm || a.own.state == message.TargetDraining)
}

// Shed records that the target refused a call for lack of capacity. The target gets
// one slot less, and no new calls for retryAfter, or for an exponential backoff when
// retryAfter is 0. Refusals of calls that were sent in the same generation take only
// one slot.
func (a *Allowance) Shed(now clock.Time, sent Generation, state message.TargetState, capacity int, retryAfter clock.Duration) {
	capacity = min(a.clamp(state, capacity), a.limit(now))
	a.backOff(now, retryAfter)
	if sent == a.generation {
		capacity = max(0, capacity-1)
	} else if a.raises(state, capacity) {
		return
	}
	a.generation++
	a.own = observation{state: state, capacity: capacity, at: now}
}

// Failed records a lost connection, a crash or a connection that could not be
// opened. Unless the target is draining, its state becomes unknown, which counts as
// cold. It gets no new calls for an exponential backoff.
func (a *Allowance) Failed(now clock.Time) {
	a.Disconnected(now)
	a.backOff(now, 0)
}

// TimedOut records that a call exceeded its deadline. One slow call does not indicate
// a restart. A second one without an answer in between makes the target's state
// unknown and delays the next call. A new connection that replaces the last open one
// is recorded by Connected.
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
		a.resetOwn(now)
	}
}

// Connected records that a connection was opened while none was open. Calls that
// wait for it keep their generation, since no answer can arrive on an earlier
// connection any more.
func (a *Allowance) Connected(now clock.Time) { a.resetOwn(now) }

// resetOwn sets the own observation to an unknown state with one slot.
func (a *Allowance) resetOwn(now clock.Time) {
	a.own = observation{state: message.TargetUnknown, capacity: 1, at: now}
}

// ReportReceived records a report of the other holder. Reports must arrive in the
// order in which they were sent.
func (a *Allowance) ReportReceived(now clock.Time, state message.TargetState, capacity int) {
	a.other = observation{state: state, capacity: a.clamp(state, capacity), at: now}
	if state != message.TargetWarm {
		a.generation++
	}
	if a.other.capacity == 0 && state != message.TargetDraining {
		a.retryAt = max(a.retryAt, now.Add(minBackoff))
	}
}

// Slots returns how many calls the share may have in flight now.
func (a *Allowance) Slots(now clock.Time, share int) int {
	if now < a.retryAt || a.own.draining(now) || a.other.draining(now) {
		return 0
	}
	// A target with a limit of zero is tried again with one call.
	n := Slots(share, a.index, max(1, a.limit(now)))
	if n == 0 && a.outdated(now) {
		// A share that has no slot of a cold target may make one call, so that
		// its holder gets an answer of its own once the target is warm.
		n = min(1, Slots(share, a.index, a.other.capacity))
	}
	return n
}

// State returns the state that the target is presumed to be in. It is warm only if
// this holder's own observation says so and no current report of the other holder
// says otherwise.
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

// NextIncrease returns when Slots may increase without further input, or 0 if it
// cannot.
func (a *Allowance) NextIncrease(now clock.Time) clock.Time {
	next := clock.Time(0)
	later := func(t clock.Time) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	later(a.retryAt)
	for _, o := range [...]observation{a.own, a.other} {
		switch {
		case o.at == 0:
		case o.state == message.TargetDraining:
			later(o.at.Add(drainDuration))
		default:
			later(o.at.Add(maxObservationAge))
		}
	}
	return next
}

// Report returns the state and capacity to report to the other holder, and whether a
// report is due: immediately after a change, otherwise in every reportInterval, and
// only when the own observation was made at now. It counts a due report as sent.
func (a *Allowance) Report(now clock.Time) (state message.TargetState, capacity int, due bool) {
	changed := a.own.state != a.lastReport.state || a.own.capacity != a.lastReport.capacity
	if a.own.at != now || !changed && now.Sub(a.lastReport.at) < reportInterval {
		return "", 0, false
	}
	a.lastReport = observation{state: a.own.state, capacity: a.own.capacity, at: now}
	return a.own.state, a.own.capacity, true
}

// limit returns the lower of the capacities that this holder observed and the other
// holder reported. It is at most 1 while there is no current own observation.
func (a *Allowance) limit(now clock.Time) int {
	n := 1
	if a.own.fresh(now) {
		n = a.own.capacity
	}
	if a.other.fresh(now) {
		n = min(n, a.other.capacity)
	}
	return n
}

// outdated reports whether the other holder certainly observed a higher limit after
// this holder's own last observation.
func (a *Allowance) outdated(now clock.Time) bool {
	if !a.other.fresh(now) || a.other.capacity <= a.limit(now) {
		return false
	}
	return a.own.at == 0 || a.other.at.Sub(a.own.at) >= maxReportDelay
}

// clamp limits the capacity that the target claims to what the state allows: none
// while draining, 1 while unknown, and otherwise at most the slots.
func (a *Allowance) clamp(state message.TargetState, capacity int) int {
	switch state {
	case message.TargetDraining:
		return 0
	case message.TargetUnknown:
		return 1
	default:
		return max(0, min(capacity, a.slots))
	}
}

// backOff sends no new calls for the stated delay, or for an exponential backoff when
// none is stated.
func (a *Allowance) backOff(now clock.Time, stated clock.Duration) {
	delay := stated
	if delay <= 0 {
		delay = min(maxBackoff, minBackoff<<min(a.failures, 10))
	}
	a.failures++
	a.retryAt = max(a.retryAt, now.Add(delay))
}

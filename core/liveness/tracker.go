// Package liveness decides which registered instances are lost, from the calls that this
// instance makes to them and gets from them. The entry of an instance that was lost without
// a signal stays in the store, so the list of instances alone does not tell.
//
// The decision holds for this instance only: another one may reach an instance that this
// one does not. What must be agreed is agreed through the store.
package liveness

import (
	"maps"
	"math"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Parameters of the decision.
const (
	// lostAfter is the time without any call to or from an instance, from the first call
	// to it that failed, after which it counts as lost. It outlasts the restart of a
	// process.
	lostAfter = 3 * clock.Second
	// minFailures is the number of calls that must fail for that.
	minFailures = 3
	// silentFailures is the number of failed calls from which an instance counts as silent.
	// A process that is starting may miss the first one.
	silentFailures = 2
	// suspectPeriod is the time between two checks of an instance to which the latest call
	// has failed.
	suspectPeriod = clock.Second
	// lostPeriod is the time between two checks of lost instances. Each checks one of them,
	// since their number is not bounded.
	lostPeriod = clock.Second
)

// Tracker holds what is known of the instances to which a call has failed. All others count
// as live.
type Tracker struct {
	failing map[topology.InstanceID]*failing
	heard   map[topology.InstanceID]bool // instances that were heard last, and not called in vain since
	lostAt  clock.Time                   // when a lost instance was last checked
	lost    int                          // number of lost instances
}

// failing is an instance to which the latest call has failed.
type failing struct {
	since     clock.Time // when the first of these calls failed
	failures  int
	checkedAt clock.Time // when it was last called or due for a check
	lost      bool
}

// New returns a Tracker to which all instances are live.
func New() *Tracker {
	return &Tracker{failing: map[topology.InstanceID]*failing{}, heard: map[topology.InstanceID]bool{}}
}

// Heard notes a call from an instance, or its answer to one. It reports whether the
// instance was lost.
func (t *Tracker) Heard(id topology.InstanceID) (returned bool) {
	t.heard[id] = true
	f := t.failing[id]
	if f == nil {
		return false
	}
	t.forget(id, f)
	return f.lost
}

// Failed notes that an instance has not answered a call at now. It reports whether the
// instance is lost and was not before.
func (t *Tracker) Failed(id topology.InstanceID, now clock.Time) (lost bool) {
	f := t.failing[id]
	if f == nil {
		f = &failing{since: now}
		t.failing[id] = f
	}
	f.failures++
	f.checkedAt = now
	delete(t.heard, id)
	if f.lost || f.failures < minFailures || now.Sub(f.since) < lostAfter {
		return false
	}
	f.lost = true
	t.lost++
	return true
}

// Lost reports whether an instance counts as lost.
func (t *Tracker) Lost(id topology.InstanceID) bool {
	f := t.failing[id]
	return f != nil && f.lost
}

// LostCount returns the number of lost instances.
func (t *Tracker) LostCount() int { return t.lost }

// Silent returns the number of instances that have not answered the latest calls, the lost
// ones included.
func (t *Tracker) Silent() int {
	n := 0
	for _, f := range t.failing {
		if f.failures >= silentFailures {
			n++
		}
	}
	return n
}

// Candidates returns how many instances that don't count as lost must be called to find n
// live ones, if the share of these is what it was among those that were called so far.
func (t *Tracker) Candidates(n int) int {
	silent, heard := t.Silent(), len(t.heard)
	if silent == 0 {
		return n
	}
	share := (float64(heard) + 0.5) / (float64(heard+silent) + 0.5)
	return max(n+silent, int(math.Ceil(float64(n)/share))-t.lost)
}

// Known reports whether an instance has answered the latest call, or is checked until it
// does.
func (t *Tracker) Known(id topology.InstanceID) bool { return t.heard[id] || t.failing[id] != nil }

// Due returns the instances that should be called at now to find out whether they are live:
// those to which the latest call has failed, and one lost one at a time.
func (t *Tracker) Due(now clock.Time) []topology.InstanceID {
	var due []topology.InstanceID
	var oldest topology.InstanceID // lost one that was checked before all others
	for id, f := range t.failing {
		switch {
		case f.lost && (oldest == "" || f.checkedAt.Before(t.failing[oldest].checkedAt)):
			oldest = id
		case !f.lost && now.Sub(f.checkedAt) >= suspectPeriod:
			f.checkedAt = now
			due = append(due, id)
		}
	}
	if oldest != "" && now.Sub(t.lostAt) >= lostPeriod {
		t.lostAt, t.failing[oldest].checkedAt = now, now
		due = append(due, oldest)
	}
	return due
}

// Retain forgets the instances for which registered returns false.
func (t *Tracker) Retain(registered func(topology.InstanceID) bool) {
	for id, f := range t.failing {
		if !registered(id) {
			t.forget(id, f)
		}
	}
	maps.DeleteFunc(t.heard, func(id topology.InstanceID, _ bool) bool { return !registered(id) })
}

func (t *Tracker) forget(id topology.InstanceID, f *failing) {
	delete(t.failing, id)
	if f.lost {
		t.lost--
	}
}

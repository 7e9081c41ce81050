package quota

import (
	"strconv"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
)

// Timing of leases.
const (
	// LeaseLifetime is how long a lease lasts after its latest renewal. It outlasts a
	// restart of the holder's process and most outages of the store. When a holder is lost
	// for good, the quotas are limited to the reserves for about this time.
	LeaseLifetime = 6 * clock.Second
	// renewPeriod is the time between two renewals, of which one may be lost.
	renewPeriod = 2 * clock.Second
	// takeoverMargin is the time after the end of a lease, as far as another coordinator
	// knows it, until that one takes it over. It covers clocks that run at different speed.
	takeoverMargin = clock.Second
	// readPeriod is the time between two reads of a lease that another instance holds.
	readPeriod = clock.Second
	// watchPeriod is the time between two reads of a lease by the second to fourth
	// coordinator of its group, so that they know since when it has not been renewed.
	watchPeriod = 2 * clock.Second
	// retryDelay is the time after a call of the store that failed.
	retryDelay = 500 * clock.Millisecond
	// askedPeriod is how long a coordinator that is not the first one of a group seeks the
	// lease after an entry has asked it for credit.
	askedPeriod = 2 * clock.Second
	// TickPeriod is how often the calls of the store that are due should be made.
	TickPeriod = 200 * clock.Millisecond
)

// GroupCount is the number of groups that workspaces are divided into. The holders of their
// leases make GroupCount writes to the store in each renewPeriod.
const GroupCount = 4

// Group is a group of workspaces whose quotas one instance keeps.
type Group int

// GroupOf returns the group of a workspace.
func GroupOf(id topology.WorkspaceID) Group {
	return Group(topology.Hash64("quota", string(id)) % GroupCount)
}

// String returns the name of the group's object in the store.
func (g Group) String() string { return strconv.Itoa(int(g)) }

// Lease is the content of a group's object in the store. Only conditional writes change it.
type Lease struct {
	Holder topology.InstanceID  // "" if it was released
	Run    topology.Incarnation // of the holder's process
}

// Action is a call of the store.
type Action int

// Calls of the store.
const (
	Read      Action = iota // read the group's object
	ReadStale               // the same; the answer may be seconds old
	Write                   // write Lease, on the condition that the object has Revision, or does not exist if its number is 0
)

// Step is a call of the store that is due. Its end is reported with Observed,
// Acquired or Failed.
type Step struct {
	Group    Group
	Action   Action
	Lease    Lease
	Revision view.Revision
}

// Moment is a point in time on the monotonic clock, which stands still while a machine is
// suspended, and on the clock of the day, which may jump.
type Moment struct {
	Time       clock.Time
	UnixMillis int64
}

// within reports whether less than d has passed since m on both clocks.
func (m Moment) within(d clock.Duration, now Moment) bool {
	return now.Time.Sub(m.Time) < d && now.UnixMillis-m.UnixMillis < int64(d)
}

// Leases holds what one coordinator knows of the leases, and those that it has. An instance
// has a lease for LeaseLifetime from when it sent its latest write that the store has
// accepted. Another one takes it over when it has seen no change of the object for longer.
type Leases struct {
	self   topology.InstanceID
	run    topology.Incarnation
	ended  bool // no lease is sought or had any more
	terms  Term // number of leases so far
	groups [GroupCount]groupLease
}

// groupLease is the state of one group's lease.
type groupLease struct {
	known    Lease
	revision view.Revision // of known; its number is 0 for no object
	read     bool          // known is what the store has shown
	unsure   bool          // a call has failed since, which may have changed the object
	seenAt   clock.Time    // when the store first showed revision
	// restored is when the store was found to have been restored to an older state, in which
	// a lease that another instance has may be missing; 0 for never.
	restored clock.Time
	renewed  Moment     // when the latest accepted write was sent; zero for none, or after a release
	term     Term       // of the latest lease
	asked    clock.Time // when an entry last asked for credit; 0 for never
	readAt   clock.Time // when the store last showed the object
	calling  bool       // a call of the store is in progress
	nextAt   clock.Time // no call before
}

// NewLeases returns the Leases of a run of an instance's process, which has none.
func NewLeases(self topology.InstanceID, run topology.Incarnation) *Leases {
	return &Leases{self: self, run: run}
}

// Asked notes that an entry has asked for credit, so that the holder should be known.
func (l *Leases) Asked(g Group, now clock.Time) { l.groups[g].asked = now }

// Term returns the term of the lease, or 0 if this instance does not have it.
func (l *Leases) Term(g Group, now Moment) Term {
	if one := &l.groups[g]; !l.ended && one.held(now) {
		return one.term
	}
	return 0
}

func (o *groupLease) held(now Moment) bool {
	return o.renewed != Moment{} && o.renewed.within(LeaseLifetime, now)
}

// Holder returns the other instance that has the lease as far as is known, or "".
func (l *Leases) Holder(g Group) topology.InstanceID {
	if holder := l.groups[g].known.Holder; holder != l.self {
		return holder
	}
	return ""
}

// Due returns the calls of the store that are due. rank is this instance's place in the
// order in which entries ask about a group, -1 for none.
func (l *Leases) Due(rank func(Group) int, now Moment) []Step {
	var steps []Step
	for g := range Group(GroupCount) {
		one := &l.groups[g]
		if one.calling || now.Time.Before(one.nextAt) {
			continue
		}
		if step, ok := l.step(g, rank(g), now); ok {
			one.calling = true
			steps = append(steps, step)
		}
	}
	return steps
}

// step returns the next call about a group. A holder stays one while it is a coordinator, so
// that a change of the order alone moves no bucket.
func (l *Leases) step(g Group, rank int, now Moment) (Step, bool) {
	one := &l.groups[g]
	held := one.held(now)
	own := Step{Group: g, Action: Write, Lease: Lease{l.self, l.run}, Revision: one.revision}
	switch {
	case held && (l.ended || rank < 0):
		one.renewed = Moment{} // ends before the store tells the others
		own.Lease = Lease{}
		return own, true
	case l.ended:
		return Step{}, false
	case held:
		return own, now.Time.Sub(one.renewed.Time) >= renewPeriod
	case rank < 0 || rank >= maxAsked:
		return Step{}, false
	case one.read && !one.unsure && l.free(one, now.Time):
		return own, true
	case one.wanted(now.Time) || !one.read || one.unsure:
		return Step{Group: g, Action: Read}, true
	}
	// An old answer starts the time until a takeover too early, but then the write's
	// condition does not hold.
	return Step{Group: g, Action: ReadStale}, now.Time.Sub(one.readAt) >= watchPeriod
}

// wanted reports whether entries ask this instance for credit.
func (o *groupLease) wanted(now clock.Time) bool {
	return o.asked != 0 && now.Sub(o.asked) <= askedPeriod
}

// free reports whether the lease may be written: it was released, this instance or an
// earlier process of it has it in the store, or its holder has not renewed it.
func (l *Leases) free(one *groupLease, now clock.Time) bool {
	const lapsed = LeaseLifetime + takeoverMargin
	if one.restored != 0 && now.Sub(one.restored) <= lapsed {
		return false
	}
	own := one.known.Holder == l.self && one.known.Run <= l.run
	return one.known.Holder == "" || own || now.Sub(one.seenAt) > lapsed
}

// Observed notes the group's object as the store has shown it, also in answer to a write
// that it has refused.
func (l *Leases) Observed(g Group, lease Lease, revision view.Revision, now clock.Time) {
	one := &l.groups[g]
	if !one.read || revision != one.revision {
		one.seenAt = now
	}
	if revision.Era() > one.revision.Era() { // also when it is read for the first time
		one.restored = now
	}
	if lease != (Lease{l.self, l.run}) {
		one.renewed = Moment{} // another instance has the lease, or the store has lost it
	}
	one.known, one.revision, one.read, one.unsure, one.calling = lease, revision, true, false, false
	one.nextAt, one.readAt = now, now
	if !l.free(one, now) {
		one.nextAt = now.Add(readPeriod)
	}
}

// Acquired notes that the store has accepted a write that was sent at sent. The object has
// the revision now.
func (l *Leases) Acquired(s Step, revision view.Revision, sent Moment, now Moment) {
	one := &l.groups[s.Group]
	before := one.held(now)
	one.known, one.revision, one.read, one.unsure, one.seenAt, one.calling = s.Lease, revision, true, false, now.Time, false
	one.nextAt = now.Time
	if s.Lease.Holder == "" {
		return
	}
	one.renewed = sent
	if !before {
		l.terms++
		one.term = l.terms
	}
}

// Released notes that the holder says that it has released the lease. It is a hint: the
// object is read before it is written.
func (l *Leases) Released(g Group, now clock.Time) {
	if g < 0 || g >= GroupCount {
		return
	}
	l.groups[g].unsure, l.groups[g].nextAt = true, now
}

// Failed notes that the result of a call is unknown.
func (l *Leases) Failed(g Group, now clock.Time) {
	one := &l.groups[g]
	one.calling, one.unsure, one.nextAt = false, true, now.Add(retryDelay)
}

// End ends all leases for good, as an instance that stops does. Due then returns their
// releases.
func (l *Leases) End() { l.ended = true }

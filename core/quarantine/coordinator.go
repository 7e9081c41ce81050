package quarantine

import (
	"maps"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Timeouts and limits of a Coordinator.
const (
	defaultRetention = clock.Hour
	// ackTimeout is how long the coordinator waits for an acknowledgement before
	// it sends the notice again.
	ackTimeout = 100 * clock.Millisecond
	// resultGrace is how long after the deadline of a canary its result may
	// arrive; after that the canary counts as crashed.
	resultGrace = 500 * clock.Millisecond
	// startTimeout is how long after its announcement a canary may start. A
	// coordinator that was paused for longer announces the canary again.
	startTimeout = 500 * clock.Millisecond
	// openTimeout is the longest time from the announcement of a canary to its
	// end: startTimeout, then message.MaxTargetCallDuration, and a margin for
	// clocks that differ. The canary's record is open until its result is known.
	openTimeout = 3 * clock.Second
	// unseenOpenTimeout replaces openTimeout for the open records of an instance
	// that is neither a member nor in leftAt. It may have just started, since
	// member lists lag.
	unseenOpenTimeout = 30 * clock.Second
	// maxCrashes is the number of crashes at which a fingerprint is quarantined.
	// Open records of other instances that are not members count once their canaries
	// must have ended.
	maxCrashes = 2
	// sweepInterval is how often expired records are removed.
	sweepInterval = clock.Minute
	// busyBackoff is the shortest wait before a canary that conflicted with
	// another one is announced again.
	busyBackoff = 5 * clock.Millisecond
)

// phase is the progress of a fingerprint's canary.
type phase uint8

const (
	phaseIdle           phase = iota
	phaseAwaitingBucket       // the stored crashes are being read or written
	phaseAnnouncing           // the backup has not acknowledged the notice
	phaseRunning
)

// pendingRequest is a sub-request that waits for a verdict.
type pendingRequest struct {
	from     topology.InstanceRef
	sub      message.SubRequest
	deadline clock.Time
}

// canaryQueue holds the sub-requests of one fingerprint that wait at this
// coordinator, and the canary that is announced or running.
type canaryQueue struct {
	waiting     []pendingRequest
	phase       phase
	retryAt     clock.Time     // not announced again before
	current     pendingRequest // while announcing or running
	seq         uint64
	notified    []topology.InstanceRef
	attempts    int        // notices sent for the current canary
	announcedAt clock.Time // when the current canary was announced
	timeout     clock.Time // of the acknowledgement, or of the canary's result
}

// Coordinator is the part of an instance that coordinates canaries, in two roles. For
// the fingerprints of which the instance is the coordinator, it runs the
// sub-requests that it is asked to run, one at a time for each fingerprint: searches,
// and requests that must not be repeated. Both count as canaries. For the
// fingerprints of other coordinators it is the backup. Before each canary an open
// record of it, whose result is not known, is stored at the coordinator and at the
// backup. If either instance is no longer live, the other one still counts the
// canary.
type Coordinator struct {
	self topology.InstanceRef
	// members are the live instances that are not leaving, without self, in
	// ascending order.
	members []topology.InstanceRef
	// leftAt is when each former member was removed from members, because it began
	// to leave or was no longer listed.
	leftAt     map[topology.InstanceRef]clock.Time
	records    recordSet
	cache      *Cache
	queues     map[message.Fingerprint]*canaryQueue
	buckets    [numBuckets]bucket
	seq        uint64
	unixOffset clock.Duration
	queriedAt  map[recordID]clock.Time // when the coordinator of an open record was last asked for its result
	sweepAt    clock.Time
}

// Option configures a Coordinator.
type Option func(*Coordinator)

// WithUnixOffset sets the wall clock in Unix ms minus now.
// The times of records are wall-clock times because other instances read them.
func WithUnixOffset(d clock.Duration) Option { return func(co *Coordinator) { co.unixOffset = d } }

// WithRetention sets how long crashes count; the default is 1 h.
func WithRetention(d clock.Duration) Option {
	return func(co *Coordinator) { co.records.retention = d }
}

// NewCoordinator returns the coordinator of an instance.
func NewCoordinator(self topology.InstanceRef, opts ...Option) *Coordinator {
	co := &Coordinator{
		self: self, cache: NewCache(), queues: map[message.Fingerprint]*canaryQueue{}, queriedAt: map[recordID]clock.Time{}, leftAt: map[topology.InstanceRef]clock.Time{},
		records: recordSet{self: self, retention: defaultRetention, byFingerprint: map[message.Fingerprint][]message.CrashRecord{}},
	}
	for i := range co.buckets {
		co.buckets[i] = bucket{key: bucketKey(i), backoff: minStoreBackoff}
	}
	for _, o := range opts {
		o(co)
	}
	return co
}

func (co *Coordinator) unix(now clock.Time) int64 { return int64(now.Add(co.unixOffset)) }

// SetMembers sets the members to the given instances, which are believed live,
// without this one and without those that are leaving, although they still run. When
// the members change, the records known here are sent to the instances that are now
// the coordinator and the backup of each fingerprint.
func (co *Coordinator) SetMembers(now clock.Time, members []topology.Member) []Command {
	refs := make([]topology.InstanceRef, 0, len(members))
	for _, m := range members {
		if m.Ref != co.self && m.State != topology.MemberLeaving {
			refs = append(refs, m.Ref)
		}
	}
	// compareRecords orders records by coordinator first, and here by nothing else.
	slices.SortFunc(refs, func(a, b topology.InstanceRef) int {
		return compareRecords(message.CrashRecord{Coordinator: a}, message.CrashRecord{Coordinator: b})
	})
	if slices.Equal(refs, co.members) {
		return nil
	}
	for _, ref := range co.members {
		co.leftAt[ref] = now
	}
	for _, ref := range refs {
		delete(co.leftAt, ref)
	}
	co.members = refs
	var out []Command
	for _, fp := range co.records.fingerprints() {
		records := co.records.get(co.unix(now), fp)
		if len(records) == 0 {
			continue
		}
		top := Rank(fp, append(slices.Clone(refs), co.self))
		for _, to := range top[:min(2, len(top))] {
			if to != co.self {
				out = append(out, Send{to, message.CrashRecords{Fingerprint: fp, Records: slices.Clone(records)}})
			}
		}
	}
	return out
}

// Receive handles a message from another instance or from this one.
func (co *Coordinator) Receive(now clock.Time, from topology.InstanceRef, m message.Body) []Command {
	switch m := m.(type) {
	case message.CanaryRequest:
		return co.handleRequest(now, from, m.Sub)
	case message.CanaryNotice:
		return co.handleNotice(now, from, m)
	case message.NoticeAck:
		return co.handleAck(now, from, m)
	case message.CanaryEnd:
		co.handleEnd(from, m)
		return co.advance(now, m.Fingerprint)
	case message.CanaryQuery:
		return co.handleQuery(from, m)
	case message.CrashReport:
		return co.handleCrashReport(now, m)
	case message.CrashRecords:
		co.records.merge(from, m.Fingerprint, m.Records)
		return co.advance(now, m.Fingerprint)
	}
	return nil
}

// Quarantined returns a *QuarantinedError when at least maxCrashes crashes of the
// fingerprint are known here, from the store, from other instances or from canaries
// of this instance.
func (co *Coordinator) Quarantined(now clock.Time, fp message.Fingerprint) error {
	if co.status(now, co.records.get(co.unix(now), fp)) != statusQuarantined {
		return nil
	}
	return &QuarantinedError{Fingerprint: fp, RetryAfter: clock.Duration(co.records.expiresAt(co.unix(now), fp) - co.unix(now))}
}

// Pending returns the number of sub-requests that wait for a canary or for its
// result. A leaving instance may stop when it is 0.
func (co *Coordinator) Pending() int {
	n := 0
	for _, q := range co.queues {
		n += len(q.waiting)
		if q.phase != phaseIdle {
			n++
		}
	}
	return n
}

// handleRequest queues a sub-request. It is answered by exactly one CanaryVerdict,
// at the latest at the first Tick after the deadline. Only a sub-request that is
// itself running then is answered later: with its result, or as crashed if there is
// none within resultGrace.
func (co *Coordinator) handleRequest(now clock.Time, from topology.InstanceRef, sub message.SubRequest) []Command {
	q := co.queues[sub.Fingerprint]
	if q == nil {
		q = &canaryQueue{}
		co.queues[sub.Fingerprint] = q
	}
	q.waiting = append(q.waiting, pendingRequest{from, sub, now.Add(sub.RemainingMS)})
	return co.advance(now, sub.Fingerprint)
}

// advance starts the next canary of fp if none is in progress.
func (co *Coordinator) advance(now clock.Time, fp message.Fingerprint) []Command {
	q := co.queues[fp]
	if q == nil {
		return nil
	}
	out := co.expire(now, q)
	if q.phase != phaseIdle {
		return out
	}
	out = append(out, co.releasePassed(now, q)...)
	if len(q.waiting) == 0 {
		delete(co.queues, fp)
		return out
	}
	records := co.records.get(co.unix(now), fp)
	status := co.status(now, records)
	switch {
	case status == statusBusy:
		q.retryAt = now.Add(ackTimeout)
		out = append(out, co.queryOpenRecords(now, fp, records)...)
	case status == statusQuarantined:
		delete(co.queues, fp)
		return append(out, co.refuseQuarantined(now, fp, q)...)
	case now < q.retryAt:
	case !co.bucketReady(now, fp, records):
		q.phase = phaseAwaitingBucket
		out = append(out, co.startStoreCall(now, bucketOf(fp))...)
	default:
		out = append(out, co.announce(now, fp, q)...)
	}
	return out
}

// expire refuses the waiting sub-requests whose deadline has passed.
func (co *Coordinator) expire(now clock.Time, q *canaryQueue) []Command {
	var out []Command
	q.waiting = slices.DeleteFunc(q.waiting, func(w pendingRequest) bool {
		if now < w.deadline {
			return false
		}
		out = append(out, sendVerdict(w, message.CanaryVerdict{Verdict: message.VerdictNotRun, Reason: message.ReasonDeadline}))
		return true
	})
	return out
}

// releasePassed answers the searches whose fingerprint has passed on their
// snapshot. The entries of these searches then send them to all services.
func (co *Coordinator) releasePassed(now clock.Time, q *canaryQueue) []Command {
	var out []Command
	q.waiting = slices.DeleteFunc(q.waiting, func(w pendingRequest) bool {
		// co.cache is told only of passed canaries, so Check returns no error here.
		passed, _ := co.cache.Check(now, w.sub.Fingerprint, w.sub.Snapshot)
		if !passed || w.sub.Kind == message.KindRun {
			return false
		}
		out = append(out, sendVerdict(w, message.CanaryVerdict{Verdict: message.VerdictPassed}))
		return true
	})
	return out
}

// refuseQuarantined answers all waiting sub-requests of a quarantined
// fingerprint.
func (co *Coordinator) refuseQuarantined(now clock.Time, fp message.Fingerprint, q *canaryQueue) []Command {
	remaining := clock.Duration(co.records.expiresAt(co.unix(now), fp) - co.unix(now))
	return q.refuse(message.CanaryVerdict{Verdict: message.VerdictQuarantined, Reason: message.ReasonQuarantined, RetryAfterMS: remaining})
}

// refuse answers all waiting sub-requests with v.
func (q *canaryQueue) refuse(v message.CanaryVerdict) []Command {
	var out []Command
	for _, w := range q.waiting {
		out = append(out, sendVerdict(w, v))
	}
	q.waiting = nil
	return out
}

func sendVerdict(w pendingRequest, v message.CanaryVerdict) Command {
	v.ID = w.sub.ID
	v.Fingerprint = w.sub.Fingerprint
	v.Snapshot = w.sub.Snapshot
	return Send{w.from, v}
}

// Tick sends notices again, retries store calls, and ends sub-requests and
// canaries whose time is over.
func (co *Coordinator) Tick(now clock.Time) []Command {
	var out []Command
	if now >= co.sweepAt {
		co.sweepAt = now.Add(sweepInterval)
		clear(co.queriedAt)
		maps.DeleteFunc(co.leftAt, func(_ topology.InstanceRef, at clock.Time) bool { return now >= at.Add(co.records.retention) })
		for _, fp := range co.records.fingerprints() {
			co.records.get(co.unix(now), fp)
		}
	}
	for i := range co.buckets {
		out = append(out, co.startStoreCall(now, i)...)
	}
	for _, fp := range sortedKeys(co.queues) {
		q := co.queues[fp]
		switch {
		case q.phase == phaseAnnouncing && now >= q.timeout:
			out = append(out, co.sendNotice(now, fp, q)...)
		case q.phase == phaseRunning && now >= q.timeout:
			crashed := message.SubReply{ID: q.current.sub.ID, Workspace: q.current.sub.Workspace, Snapshot: q.current.sub.Snapshot, Status: message.StatusCrashed, Reason: message.ReasonCrashed}
			out = append(out, co.CanaryDone(now, fp, q.seq, crashed)...)
		default:
			out = append(out, co.advance(now, fp)...)
		}
	}
	return out
}

// NextWake returns when Tick is next needed, or 0 for never.
func (co *Coordinator) NextWake() clock.Time {
	var next clock.Time
	sooner := func(t clock.Time) {
		if t > 0 && (next == 0 || t < next) {
			next = t
		}
	}
	for _, q := range co.queues {
		for _, w := range q.waiting {
			sooner(w.deadline)
		}
		switch q.phase {
		case phaseIdle:
			sooner(q.retryAt)
		case phaseAnnouncing, phaseRunning:
			sooner(q.timeout)
		}
	}
	for i := range co.buckets {
		sooner(co.buckets[i].nextWake())
	}
	return next
}

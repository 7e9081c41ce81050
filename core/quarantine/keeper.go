package quarantine

import (
	"maps"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Times and limits of a Keeper.
const (
	defaultRetention = clock.Hour
	// ackTimeout is how long an acknowledgement is awaited before it is asked
	// for again.
	ackTimeout = 100 * clock.Millisecond
	// doneGrace is how long the result of a canary is awaited after its
	// deadline; then it counts as a crash.
	doneGrace = 500 * clock.Millisecond
	// startTerm is how long after its announcement a canary may start. A keeper
	// that paused for longer announces again.
	startTerm = 500 * clock.Millisecond
	// openTerm is how long an announced canary may be under way: startTerm,
	// then message.MaxTargetWork, and a margin for clocks that differ.
	openTerm = 3 * clock.Second
	// unseenTerm is the same for an instance that was never a known member. It
	// may have just started, since member lists lag.
	unseenTerm = 30 * clock.Second
	// maxCrashes is the number of charges that quarantines a fingerprint.
	maxCrashes = 2
	// sweepInterval is how often expired charges are dropped.
	sweepInterval = clock.Minute
	// busyPause is the shortest pause before a canary that met another one is
	// announced again.
	busyPause = 5 * clock.Millisecond
)

type phase uint8

const (
	phaseIdle phase = iota
	phaseStoring
	phaseAnnouncing
	phaseRunning
)

type waiting struct {
	from     topology.InstanceRef
	sub      message.SubRequest
	deadline clock.Time
}

// line is the work of one fingerprint at this keeper.
type line struct {
	queue    []waiting
	phase    phase
	pause    clock.Time // not announced again before
	current  waiting    // while announcing or running
	seq      uint64
	notified []topology.InstanceRef
	tries    int        // notices sent for the current canary
	charged  clock.Time // when the current canary was announced
	timeout  clock.Time // of the acknowledgement, or of the canary's result
}

// Keeper runs the canaries and the runs of the fingerprints that its instance
// keeps, one at a time for each, and is the backup for those of others. Before
// each one it is charged at this instance and at the highest other instance by
// hash, so that after the loss of either the other one counts it.
type Coordinator struct {
	self    topology.InstanceRef
	members []topology.InstanceRef              // live instances, without self
	lost    map[topology.InstanceRef]clock.Time // former members and when they left
	ledger  ledger
	cache   *Cache
	lines   map[message.Fingerprint]*line
	buckets [crashBuckets]bucket
	seq     uint64
	offset  clock.Duration
	asked   map[chargeID]clock.Time // when the keeper of an open charge was last asked for its result
	sweepAt clock.Time
}

// Option changes a Keeper.
type Option func(*Coordinator)

// WithUnixOffset sets wall clock in Unix ms minus now, for the times of charges,
// which other instances read.
func WithUnixOffset(d clock.Duration) Option { return func(k *Coordinator) { k.offset = d } }

// WithRetention sets how long crashes count; the default is 1 h.
func WithRetention(d clock.Duration) Option { return func(k *Coordinator) { k.ledger.retention = d } }

// NewKeeper returns the keeper of an instance.
func NewCoordinator(self topology.InstanceRef, opts ...Option) *Coordinator {
	k := &Coordinator{
		self: self, cache: NewCache(), lines: map[message.Fingerprint]*line{}, asked: map[chargeID]clock.Time{}, lost: map[topology.InstanceRef]clock.Time{},
		ledger: ledger{self: self, retention: defaultRetention, charges: map[message.Fingerprint][]message.CrashRecord{}},
	}
	for i := range k.buckets {
		k.buckets[i] = bucket{key: bucketKey(i), pause: minStorePause}
	}
	for _, o := range opts {
		o(k)
	}
	return k
}

func (k *Coordinator) unix(now clock.Time) int64 { return int64(now.Add(k.offset)) }

// SetMembers takes the instances that are believed live. When they change, the
// charges known here go to the instances that now keep and back them up.
func (k *Coordinator) SetMembers(now clock.Time, members []topology.Member) []Command {
	refs := make([]topology.InstanceRef, 0, len(members))
	for _, m := range members {
		if m.Ref != k.self && m.State != topology.MemberLeaving {
			refs = append(refs, m.Ref)
		}
	}
	slices.SortFunc(refs, func(a, b topology.InstanceRef) int {
		return compareCharges(message.CrashRecord{Coordinator: a}, message.CrashRecord{Coordinator: b})
	})
	if slices.Equal(refs, k.members) {
		return nil
	}
	for _, ref := range k.members {
		k.lost[ref] = now
	}
	for _, ref := range refs {
		delete(k.lost, ref)
	}
	k.members = refs
	var out []Command
	for _, fp := range k.ledger.fingerprints() {
		charges := k.ledger.get(k.unix(now), fp)
		if len(charges) == 0 {
			continue
		}
		top := Rank(fp, append(slices.Clone(refs), k.self))
		for _, to := range top[:min(2, len(top))] {
			if to != k.self {
				out = append(out, Send{to, message.CrashRecords{Fingerprint: fp, Records: slices.Clone(charges)}})
			}
		}
	}
	return out
}

// Receive takes a message of another instance or of this one.
func (k *Coordinator) Receive(now clock.Time, from topology.InstanceRef, m message.Body) []Command {
	switch m := m.(type) {
	case message.CanaryRequest:
		return k.ask(now, from, m.Sub)
	case message.CanaryNotice:
		return k.notice(now, from, m)
	case message.NoticeAck:
		return k.ack(now, from, m)
	case message.CanaryEnd:
		k.end(from, m)
		return k.step(now, m.Fingerprint)
	case message.CanaryQuery:
		return k.answer(from, m)
	case message.CrashReport:
		return k.report(now, m)
	case message.CrashRecords:
		k.ledger.merge(from, m.Fingerprint, m.Records)
		return k.step(now, m.Fingerprint)
	}
	return nil
}

// Quarantined returns a *QuarantinedError when two crashes of the fingerprint
// are known here, from the store, from other instances or from own canaries.
func (k *Coordinator) Quarantined(now clock.Time, fp message.Fingerprint) error {
	if k.standing(now, k.ledger.get(k.unix(now), fp)) != standingFull {
		return nil
	}
	return &QuarantinedError{Fingerprint: fp, RetryAfter: clock.Duration(k.ledger.until(k.unix(now), fp) - k.unix(now))}
}

// Pending returns how many sub-requests wait for a canary or for its result. A
// leaving instance may stop when it is zero.
func (k *Coordinator) Pending() int {
	n := 0
	for _, l := range k.lines {
		n += len(l.queue)
		if l.phase != phaseIdle {
			n++
		}
	}
	return n
}

// ask is answered by exactly one CanaryVerdict, at the latest at the first Tick
// after the deadline unless the sub-request itself is running.
func (k *Coordinator) ask(now clock.Time, from topology.InstanceRef, sub message.SubRequest) []Command {
	l := k.lines[sub.Fingerprint]
	if l == nil {
		l = &line{}
		k.lines[sub.Fingerprint] = l
	}
	l.queue = append(l.queue, waiting{from, sub, now.Add(sub.RemainingMS)})
	return k.step(now, sub.Fingerprint)
}

// step starts the next canary of fp if none is under way.
func (k *Coordinator) step(now clock.Time, fp message.Fingerprint) []Command {
	l := k.lines[fp]
	if l == nil {
		return nil
	}
	out := k.expire(now, l)
	if l.phase != phaseIdle {
		return out
	}
	out = append(out, k.release(now, l)...)
	if len(l.queue) == 0 {
		delete(k.lines, fp)
		return out
	}
	charges := k.ledger.get(k.unix(now), fp)
	standing := k.standing(now, charges)
	switch {
	case standing == standingBusy:
		l.pause = now.Add(ackTimeout)
		out = append(out, k.inquire(now, fp, charges)...)
	case standing == standingFull:
		delete(k.lines, fp)
		return append(out, k.quarantine(now, fp, l)...)
	case now < l.pause:
	case !k.bucketSettled(now, fp, charges):
		l.phase = phaseStoring
		out = append(out, k.pumpBucket(now, bucketOf(fp))...)
	default:
		out = append(out, k.announce(now, fp, l)...)
	}
	return out
}

// expire refuses the waiting requests whose deadline has passed.
func (k *Coordinator) expire(now clock.Time, l *line) []Command {
	var out []Command
	l.queue = slices.DeleteFunc(l.queue, func(w waiting) bool {
		if now < w.deadline {
			return false
		}
		out = append(out, verdict(w, message.CanaryVerdict{Verdict: message.VerdictNotRun, Reason: message.ReasonDeadline}))
		return true
	})
	return out
}

// release lets the searches go whose fingerprint passed on their snapshot.
func (k *Coordinator) release(now clock.Time, l *line) []Command {
	var out []Command
	l.queue = slices.DeleteFunc(l.queue, func(w waiting) bool {
		good, _ := k.cache.Check(now, w.sub.Fingerprint, w.sub.Snapshot)
		if !good || w.sub.Kind == message.KindRun {
			return false
		}
		out = append(out, verdict(w, message.CanaryVerdict{Verdict: message.VerdictPassed}))
		return true
	})
	return out
}

func (k *Coordinator) quarantine(now clock.Time, fp message.Fingerprint, l *line) []Command {
	left := clock.Duration(k.ledger.until(k.unix(now), fp) - k.unix(now))
	return l.refuse(message.CanaryVerdict{Verdict: message.VerdictQuarantined, Reason: message.ReasonQuarantined, RetryAfterMS: left})
}

// refuse answers all that wait.
func (l *line) refuse(v message.CanaryVerdict) []Command {
	var out []Command
	for _, w := range l.queue {
		out = append(out, verdict(w, v))
	}
	l.queue = nil
	return out
}

func verdict(w waiting, v message.CanaryVerdict) Command {
	v.ID = w.sub.ID
	v.Fingerprint = w.sub.Fingerprint
	v.Snapshot = w.sub.Snapshot
	return Send{w.from, v}
}

// Tick retries, and ends what has waited too long.
func (k *Coordinator) Tick(now clock.Time) []Command {
	var out []Command
	if now >= k.sweepAt {
		k.sweepAt = now.Add(sweepInterval)
		clear(k.asked)
		maps.DeleteFunc(k.lost, func(_ topology.InstanceRef, at clock.Time) bool { return now >= at.Add(k.ledger.retention) })
		for _, fp := range k.ledger.fingerprints() {
			k.ledger.get(k.unix(now), fp)
		}
	}
	for i := range k.buckets {
		out = append(out, k.pumpBucket(now, i)...)
	}
	for _, fp := range sortedKeys(k.lines) {
		l := k.lines[fp]
		switch {
		case l.phase == phaseAnnouncing && now >= l.timeout:
			out = append(out, k.notify(now, fp, l)...)
		case l.phase == phaseRunning && now >= l.timeout:
			lost := message.SubReply{ID: l.current.sub.ID, Workspace: l.current.sub.Workspace, Snapshot: l.current.sub.Snapshot, Status: message.StatusCrashed, Reason: message.ReasonCrashed}
			out = append(out, k.CanaryDone(now, fp, l.seq, lost)...)
		default:
			out = append(out, k.step(now, fp)...)
		}
	}
	return out
}

// NextWake returns when Tick is next needed, or 0 for never.
func (k *Coordinator) NextWake() clock.Time {
	var next clock.Time
	sooner := func(t clock.Time) {
		if t > 0 && (next == 0 || t < next) {
			next = t
		}
	}
	for _, l := range k.lines {
		for _, w := range l.queue {
			sooner(w.deadline)
		}
		switch l.phase {
		case phaseIdle:
			sooner(l.pause)
		case phaseAnnouncing, phaseRunning:
			sooner(l.timeout)
		}
	}
	for i := range k.buckets {
		sooner(k.buckets[i].wake())
	}
	return next
}

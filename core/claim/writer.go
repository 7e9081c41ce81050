// Package claim runs requests that may not be repeated at most once. A request
// is claimed durably in the journal of its partition before it is handed out.
package claim

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
	"knapweedstall/core/topology"
)

// Defaults of a Journal.
const (
	defaultRetention = 24 * clock.Hour
	defaultMaxSize   = 512 << 10 // bytes of a journal that still takes new claims
	defaultMaxAnswer = 16 << 10  // bytes of an answer that is recorded
	minPause         = 200 * clock.Millisecond
	maxPause         = 5 * clock.Second
	minRetryAfter    = 100 * clock.Millisecond
)

type op uint8

const (
	opNone op = iota
	opRead
	opWrite
)

// Journal is the machine of one partition at one writer. Several writers of a
// partition may exist at the same time; the conditional writes keep them from
// running a request twice. Each command is answered by exactly one result.
type JournalWriter struct {
	self      topology.InstanceRef
	key       object.Key
	retention clock.Duration
	maxSize   int
	maxAnswer int

	book        *book // content at version; nil before the first read
	version     object.Version
	loaded      bool   // the book is believed current
	reload      bool   // an entry needs a newer book
	epoch       uint64 // counts reads
	loadedEpoch uint64

	op      op
	writing *batch

	live map[ID]*entry
	fifo []*entry // live entries in the order of submission

	pause   clock.Duration // next pause while the store is away
	retryAt clock.Time     // store calls wait until then
	offset  int64          // wall clock minus now
}

// Option changes a Journal.
type Option func(*JournalWriter)

// WithRetention sets how long claims are kept; the default is 24 h.
func WithRetention(d clock.Duration) Option { return func(j *JournalWriter) { j.retention = d } }

// WithMaxSize sets the journal size in bytes over which new claims are refused;
// the default is 512 KB.
func WithMaxSize(bytes int) Option { return func(j *JournalWriter) { j.maxSize = bytes } }

// WithMaxAnswer sets the size in bytes up to which answers are recorded; the
// default is 16 KB.
func WithMaxAnswer(bytes int) Option { return func(j *JournalWriter) { j.maxAnswer = bytes } }

// New returns the journal of a partition. The incarnation of self must not have
// been used by another Journal of the partition.
func NewJournalWriter(partition uint32, self topology.InstanceRef, opts ...Option) *JournalWriter {
	j := &JournalWriter{
		self: self, key: Key(partition), live: map[ID]*entry{}, pause: minPause,
		retention: defaultRetention, maxSize: defaultMaxSize, maxAnswer: defaultMaxAnswer,
	}
	for _, o := range opts {
		o(j)
	}
	return j
}

// Idle reports whether nothing waits, runs or is still to be recorded.
func (j *JournalWriter) Idle() bool { return len(j.live) == 0 && j.op == opNone }

// Submit takes one submission. It is answered by exactly one Reply, at the
// latest at the first Tick after its deadline.
func (j *JournalWriter) Submit(now clock.Time, r Request) []Command {
	j.offset = r.UnixMS - int64(now)
	id := ID{r.Workspace, r.Key}
	w := waiter{r.ID, r.Deadline}
	e := j.live[id]
	if e == nil && j.book != nil {
		if c, _ := j.book.get(id); c.State == StateAnswered || c.State == StateUnknown {
			return []Command{Reply{recorded(r.RunRequest, r.ID, c)}}
		}
	}
	settled := e != nil && e.phase == phaseFinished
	free := e == nil || settled && e.result.Outcome == message.OutcomeNotRun
	switch {
	case !free && HashContent(e.request).differs(HashContent(r.RunRequest)):
		return []Command{notRun(r.RunRequest, message.ReasonKeyReused, 0)}
	case settled && !free:
		return []Command{e.replyTo(w)}
	case e != nil && !settled:
		e.waiters = append(e.waiters, w)
		return nil
	case now >= r.Deadline:
		return []Command{notRun(r.RunRequest, message.ReasonDeadline, 0)}
	case now < j.retryAt:
		return []Command{notRun(r.RunRequest, message.ReasonStoreUnavailable, j.retryAfter(now))}
	case e == nil:
		e = &entry{id: id}
		j.live[id] = e
		j.fifo = append(j.fifo, e)
	}
	e.request = r.RunRequest
	e.at = r.UnixMS
	e.phase = phaseQueued
	e.ran = false
	e.result = RunResult{}
	e.since = j.epoch
	e.waiters = append(e.waiters, w)
	return j.pump(now)
}

func notRun(r message.RunRequest, reason message.Reason, after clock.Duration) Command {
	return Reply{message.RunReply{ID: r.ID, Workspace: r.Workspace, Outcome: message.OutcomeNotRun, Reason: reason, RetryAfterMS: after}}
}

// RunDone takes the result of a Run. The callers are answered at once; the
// outcome is recorded by the next write.
func (j *JournalWriter) RunDone(now clock.Time, r RunResult) []Command {
	e := j.live[r.ID]
	if e == nil || e.phase != phaseRunning || e.attempt != r.Attempt {
		return nil
	}
	e.result = r
	e.phase = phaseFinished
	out := e.reply()
	return append(out, j.pump(now)...)
}

// Tick answers submissions whose deadline has passed and retries the store.
func (j *JournalWriter) Tick(now clock.Time) []Command {
	var out []Command
	for _, e := range j.entries() {
		out = append(out, j.expire(now, e)...)
	}
	return append(out, j.pump(now)...)
}

// NextWake returns when Tick is next needed, or 0 for never.
func (j *JournalWriter) NextWake() clock.Time {
	var next clock.Time
	sooner := func(t clock.Time) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, e := range j.fifo {
		for _, w := range e.waiters {
			sooner(w.deadline)
		}
	}
	if j.retryAt > 0 && j.op == opNone && len(j.fifo) > 0 {
		sooner(j.retryAt)
	}
	return next
}

// pump starts the next read or write if none is outstanding.
func (j *JournalWriter) pump(now clock.Time) []Command {
	if j.op != opNone || now < j.retryAt || len(j.fifo) == 0 {
		return nil
	}
	if !j.loaded {
		return j.read()
	}
	b, out := j.next(now)
	switch {
	case len(b.items) > 0:
		j.op = opWrite
		j.writing = b
		return append(out, WriteObject{Key: j.key, Expect: j.version, Value: j.book.encode(b.replaced, b.added)})
	case j.reload:
		return append(out, j.read()...)
	}
	return out
}

func (j *JournalWriter) read() []Command {
	j.op = opRead
	j.epoch++
	j.reload = false
	return []Command{ReadObject{Key: j.key}}
}

// run hands out a claim that is durable, if anyone still waits for it.
func (j *JournalWriter) run(now clock.Time, e *entry) []Command {
	out := j.expire(now, e)
	if e.phase != phaseWriting {
		return out
	}
	e.phase = phaseRunning
	e.ran = true
	return append(out, Run{
		ID: e.id, Attempt: e.attempt, Collection: e.request.Collection, Payload: e.request.Payload, Deadline: e.deadline(),
	})
}

func (j *JournalWriter) expire(now clock.Time, e *entry) []Command {
	out := e.expire(now)
	if len(e.waiters) == 0 && (e.phase == phaseQueued || e.phase == phaseWriting) {
		j.abandon(e)
	}
	return out
}

// abandon makes sure that a claim whose callers were told "not run" is never
// handed out: what may have been written is recorded as not run.
func (j *JournalWriter) abandon(e *entry) {
	nothing := e.phase == phaseQueued && !e.exposed && e.attempt == 0
	e.phase = phaseFinished
	e.result = RunResult{ID: e.id, Attempt: e.attempt, Outcome: message.OutcomeNotRun}
	if nothing {
		j.discard(e)
	}
}

// discard ends an abandoned entry whose last attempt was not written. An earlier
// attempt that the journal holds as claimed was not run either and is still to
// be recorded as such.
func (j *JournalWriter) discard(e *entry) {
	if j.book != nil {
		if c, _ := j.book.get(e.id); c.Claimant == j.self && c.State == StateClaimed {
			e.attempt = c.Attempt
			return
		}
	}
	j.remove(e)
}

// refuse answers an entry of which nothing was written.
func (j *JournalWriter) refuse(e *entry, reason message.Reason, after clock.Duration) []Command {
	e.result = RunResult{Outcome: message.OutcomeNotRun, Reason: reason, RetryAfter: after}
	out := e.reply()
	j.abandon(e)
	return out
}

// storeAway refuses what provably was not written, and lets the rest wait until
// it is resolved.
func (j *JournalWriter) storeAway(now clock.Time) []Command {
	j.retryAt = now.Add(j.pause)
	j.pause = min(2*j.pause, maxPause)
	var out []Command
	for _, e := range j.entries() {
		if e.phase == phaseQueued {
			out = append(out, j.refuse(e, message.ReasonStoreUnavailable, j.retryAfter(now))...)
		}
	}
	return out
}

func (j *JournalWriter) storeBack() {
	j.pause = minPause
	j.retryAt = 0
}

func (j *JournalWriter) retryAfter(now clock.Time) clock.Duration {
	return max(j.retryAt.Sub(now), minRetryAfter)
}

func (j *JournalWriter) unix(now clock.Time) int64 { return int64(now) + j.offset }

// entries returns a copy that stays valid while entries are removed.
func (j *JournalWriter) entries() []*entry { return slices.Clone(j.fifo) }

func (j *JournalWriter) remove(e *entry) {
	delete(j.live, e.id)
	j.fifo = slices.DeleteFunc(j.fifo, func(x *entry) bool { return x == e })
}

// Package claim runs requests that must not be repeated at most once. Before a
// request runs, a claim of it is made durable in the journal of its partition, an
// object in the platform's store.
package claim

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
	"knapweedstall/core/topology"
)

// Defaults and limits of a JournalWriter.
const (
	defaultRetention = 24 * clock.Hour
	defaultMaxSize   = 512 << 10 // size in bytes up to which a journal accepts new claims
	defaultMaxAnswer = 16 << 10  // size in bytes up to which an answer is recorded
	minBackoff       = 200 * clock.Millisecond
	maxBackoff       = 5 * clock.Second
	minRetryAfter    = 100 * clock.Millisecond
)

// op is the store call that is outstanding.
type op uint8

const (
	opNone op = iota
	opRead
	opWrite
)

// JournalWriter is the state machine that maintains the journal of one partition.
// Several writers of a partition may exist at the same time; the conditional writes
// keep them from running a request twice. The driver answers each command with
// exactly one result.
type JournalWriter struct {
	self      topology.InstanceRef
	key       object.Key
	retention clock.Duration
	maxSize   int
	maxAnswer int

	contents    *contents // journal at version; nil before the first read
	version     object.Version
	loaded      bool   // the contents are believed current
	reload      bool   // a pending claim needs newer contents
	readEpoch   uint64 // counts reads
	loadedEpoch uint64 // readEpoch of the last successful read

	op      op
	writing *batch

	pending map[ID]*pendingClaim
	order   []*pendingClaim // pending claims in the order of submission

	backoff    clock.Duration // next wait while the store is unavailable
	retryAt    clock.Time     // store calls wait until then
	unixOffset int64          // wall clock in Unix ms minus now
}

// Option configures a JournalWriter.
type Option func(*JournalWriter)

// WithRetention sets how long claims are kept; the default is 24 h.
func WithRetention(d clock.Duration) Option { return func(j *JournalWriter) { j.retention = d } }

// WithMaxSize sets the journal size in bytes over which new claims are refused;
// the default is 512 KB.
func WithMaxSize(bytes int) Option { return func(j *JournalWriter) { j.maxSize = bytes } }

// WithMaxAnswer sets the size in bytes up to which answers are recorded; the
// default is 16 KB.
func WithMaxAnswer(bytes int) Option { return func(j *JournalWriter) { j.maxAnswer = bytes } }

// NewJournalWriter returns a writer of a partition's journal. The incarnation of
// self must not have been used by another JournalWriter of the partition.
func NewJournalWriter(partition uint32, self topology.InstanceRef, opts ...Option) *JournalWriter {
	j := &JournalWriter{
		self: self, key: Key(partition), pending: map[ID]*pendingClaim{}, backoff: minBackoff,
		retention: defaultRetention, maxSize: defaultMaxSize, maxAnswer: defaultMaxAnswer,
	}
	for _, o := range opts {
		o(j)
	}
	return j
}

// Idle reports whether no request waits, runs or has an outcome to be recorded.
func (j *JournalWriter) Idle() bool { return len(j.pending) == 0 && j.op == opNone }

// Submit accepts one submission. It is answered by exactly one Reply, at the
// latest at the first Tick after its deadline.
func (j *JournalWriter) Submit(now clock.Time, r Request) []Command {
	j.unixOffset = r.UnixMS - int64(now)
	id := ID{r.Workspace, r.Key}
	w := waiter{r.ID, r.Deadline}
	p := j.pending[id]
	if p == nil && j.contents != nil {
		if c, _ := j.contents.get(id); c.State == StateAnswered || c.State == StateUnknown {
			return []Command{Reply{recordedReply(r.RunRequest, r.ID, c)}}
		}
	}
	finished := p != nil && p.phase == phaseFinished
	keyFree := p == nil || finished && p.result.Outcome == message.OutcomeNotRun
	switch {
	case !keyFree && HashContent(p.request).differs(HashContent(r.RunRequest)):
		return []Command{notRun(r.RunRequest, message.ReasonKeyReused, 0)}
	case finished && !keyFree:
		return []Command{p.replyTo(w)}
	case p != nil && !finished:
		p.waiters = append(p.waiters, w)
		return nil
	case now >= r.Deadline:
		return []Command{notRun(r.RunRequest, message.ReasonDeadline, 0)}
	case now < j.retryAt:
		return []Command{notRun(r.RunRequest, message.ReasonStoreUnavailable, j.retryAfter(now))}
	case p == nil:
		p = &pendingClaim{id: id}
		j.pending[id] = p
		j.order = append(j.order, p)
	}
	p.request = r.RunRequest
	p.at = r.UnixMS
	p.phase = phaseQueued
	p.issued = false
	p.result = RunResult{}
	p.submitEpoch = j.readEpoch
	p.waiters = append(p.waiters, w)
	return j.startStoreCall(now)
}

func notRun(r message.RunRequest, reason message.Reason, after clock.Duration) Command {
	return Reply{message.RunReply{ID: r.ID, Workspace: r.Workspace, Outcome: message.OutcomeNotRun, Reason: reason, RetryAfterMS: after}}
}

// RunDone handles the result of a Run. The callers are answered immediately; the
// outcome is recorded by the next write.
func (j *JournalWriter) RunDone(now clock.Time, r RunResult) []Command {
	p := j.pending[r.ID]
	if p == nil || p.phase != phaseRunning || p.attempt != r.Attempt {
		return nil
	}
	p.result = r
	p.phase = phaseFinished
	out := p.replyAll()
	return append(out, j.startStoreCall(now)...)
}

// Tick answers submissions whose deadline has passed and retries store calls.
func (j *JournalWriter) Tick(now clock.Time) []Command {
	var out []Command
	for _, p := range j.pendingClaims() {
		out = append(out, j.expire(now, p)...)
	}
	return append(out, j.startStoreCall(now)...)
}

// NextWake returns when Tick is next needed, or 0 for never.
func (j *JournalWriter) NextWake() clock.Time {
	var next clock.Time
	sooner := func(t clock.Time) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, p := range j.order {
		for _, w := range p.waiters {
			sooner(w.deadline)
		}
	}
	if j.retryAt > 0 && j.op == opNone && len(j.order) > 0 {
		sooner(j.retryAt)
	}
	return next
}

// startStoreCall starts the next read or write if none is outstanding.
func (j *JournalWriter) startStoreCall(now clock.Time) []Command {
	if j.op != opNone || now < j.retryAt || len(j.order) == 0 {
		return nil
	}
	if !j.loaded {
		return j.read()
	}
	b, out := j.nextBatch(now)
	switch {
	case len(b.items) > 0:
		j.op = opWrite
		j.writing = b
		return append(out, WriteObject{object.Write{Key: j.key, Expect: j.version, Value: j.contents.encode(b.replaced, b.added)}})
	case j.reload:
		return append(out, j.read()...)
	}
	return out
}

func (j *JournalWriter) read() []Command {
	j.op = opRead
	j.readEpoch++
	j.reload = false
	return []Command{ReadObject{object.Read{Key: j.key}}}
}

// issueRun issues the Run of a durable claim if a submission still waits for it.
func (j *JournalWriter) issueRun(now clock.Time, p *pendingClaim) []Command {
	out := j.expire(now, p)
	if p.phase != phaseWriting {
		return out
	}
	p.phase = phaseRunning
	p.issued = true
	return append(out, Run{
		ID: p.id, Attempt: p.attempt, Collection: p.request.Collection, Payload: p.request.Payload, Deadline: p.deadline(),
	})
}

func (j *JournalWriter) expire(now clock.Time, p *pendingClaim) []Command {
	out := p.expire(now)
	if len(p.waiters) == 0 && (p.phase == phaseQueued || p.phase == phaseWriting) {
		j.abandon(p)
	}
	return out
}

// abandon ensures that a claim whose callers were answered "not run" never runs: a
// claim that may have been written is recorded as not run.
func (j *JournalWriter) abandon(p *pendingClaim) {
	neverWritten := p.phase == phaseQueued && !p.unconfirmed && p.attempt == 0
	p.phase = phaseFinished
	p.result = RunResult{ID: p.id, Attempt: p.attempt, Outcome: message.OutcomeNotRun}
	if neverWritten {
		j.discard(p)
	}
}

// discard ends an abandoned claim whose last attempt was not written. An earlier
// attempt that the journal holds as claimed did not run either and must still be
// recorded as not run.
func (j *JournalWriter) discard(p *pendingClaim) {
	if j.contents != nil {
		if c, _ := j.contents.get(p.id); c.Claimant == j.self && c.State == StateClaimed {
			p.attempt = c.Attempt
			return
		}
	}
	j.remove(p)
}

// refuse answers the waiters of a claim that was not written.
func (j *JournalWriter) refuse(p *pendingClaim, reason message.Reason, after clock.Duration) []Command {
	p.result = RunResult{Outcome: message.OutcomeNotRun, Reason: reason, RetryAfter: after}
	out := p.replyAll()
	j.abandon(p)
	return out
}

// storeFailed refuses the claims that cannot have been written. The others wait
// until a read or write shows whether they were.
func (j *JournalWriter) storeFailed(now clock.Time) []Command {
	j.retryAt = now.Add(j.backoff)
	j.backoff = min(2*j.backoff, maxBackoff)
	var out []Command
	for _, p := range j.pendingClaims() {
		if p.phase == phaseQueued {
			out = append(out, j.refuse(p, message.ReasonStoreUnavailable, j.retryAfter(now))...)
		}
	}
	return out
}

func (j *JournalWriter) storeRecovered() {
	j.backoff = minBackoff
	j.retryAt = 0
}

func (j *JournalWriter) retryAfter(now clock.Time) clock.Duration {
	return max(j.retryAt.Sub(now), minRetryAfter)
}

func (j *JournalWriter) unix(now clock.Time) int64 { return int64(now) + j.unixOffset }

// pendingClaims returns a copy that stays valid while pending claims are removed.
func (j *JournalWriter) pendingClaims() []*pendingClaim { return slices.Clone(j.order) }

func (j *JournalWriter) remove(p *pendingClaim) {
	delete(j.pending, p.id)
	j.order = slices.DeleteFunc(j.order, func(x *pendingClaim) bool { return x == p })
}

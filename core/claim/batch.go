package claim

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
)

// maxObjectSize is the largest value that the platform's store holds.
const maxObjectSize = 1_000_000

// item is one record of a batch, with the pending claim and the attempt that it
// belongs to.
type item struct {
	pending *pendingClaim
	attempt uint32
	record  record
}

// batch holds the changes of one conditional write.
type batch struct {
	items    []item
	replaced map[*record][]byte // new encodings of records in the journal
	added    [][]byte           // encodings of new records
	size     int                // encoded size of the journal with the batch
}

// add adds a record to the batch. old is the journal before the write.
func (b *batch) add(old *contents, p *pendingClaim, r record) {
	if before := old.records[r.ID()]; before != nil {
		b.size -= len(before.raw) + 1
		b.replaced[before] = r.raw
	} else {
		b.added = append(b.added, r.raw)
	}
	b.size += len(r.raw) + 1
	b.items = append(b.items, item{p, p.attempt, r})
}

// nextBatch builds the batch of all pending claims and outcomes. Requests whose
// outcome is in the journal are answered without a write.
func (j *JournalWriter) nextBatch(now clock.Time) (*batch, []Command) {
	j.contents.dropExpired(j.unix(now)-int64(j.retention), func(id ID) bool { return j.pending[id] != nil })
	b := &batch{replaced: map[*record][]byte{}, size: j.contents.encodedSize()}
	var out []Command
	for _, p := range j.pendingClaims() {
		switch p.phase {
		case phaseFinished:
			j.addOutcome(b, p)
		case phaseQueued, phaseWriting:
			out = append(out, j.addClaim(now, b, p)...)
		}
	}
	return b, out
}

// addOutcome adds the outcome of p unless the journal holds a claim of the key that
// is later, has an outcome or belongs to another instance. Recording "not run" over
// an earlier attempt also keeps a write with a lost reply from taking effect later.
func (j *JournalWriter) addOutcome(b *batch, p *pendingClaim) {
	old, exists := j.contents.get(p.id)
	earlier := old.Attempt <= p.attempt && (old.Claimant == j.self && old.State == StateClaimed || old.State == StateNotRun)
	if exists && !earlier {
		j.remove(p)
		return
	}
	c := p.toClaim()
	c.Claimant = j.self
	if len(c.Answer) > j.maxAnswer || b.size+2*len(c.Answer) > maxObjectSize {
		c.Answer = nil
		c.AnswerOmitted = true
	}
	b.add(j.contents, p, newRecord(c))
}

// addClaim adds the claim of p, or answers its waiters if the journal already holds
// the outcome or has no space.
func (j *JournalWriter) addClaim(now clock.Time, b *batch, p *pendingClaim) []Command {
	old, exists := j.contents.get(p.id)
	switch {
	case exists && (old.State == StateAnswered || old.State == StateUnknown):
		return j.replyRecorded(p, old)
	case exists && old.State == StateClaimed && old.Claimant != j.self:
		if j.loadedEpoch > p.submitEpoch {
			return j.replyRecorded(p, old)
		}
		j.reload = true // its claimant may have recorded the outcome in the meantime
		return nil
	}
	attempt := p.attempt
	if p.phase == phaseQueued {
		attempt++
	}
	// A claim of this incarnation without a running request was never issued, or
	// it is proven that it did not run, so the key may be claimed again.
	if exists {
		attempt = max(attempt, old.Attempt+1)
	}
	c := p.toClaim()
	c.Claimant = j.self
	c.Attempt = attempt
	r := newRecord(c)
	if p.phase == phaseQueued && b.size+len(r.raw)+1 > j.maxSize {
		return j.refuse(p, message.ReasonJournalFull, j.timeUntilSpace(now))
	}
	p.attempt = attempt
	p.phase = phaseWriting
	b.add(j.contents, p, r)
	return nil
}

// replyRecorded answers the waiters of p from the recorded claim c.
func (j *JournalWriter) replyRecorded(p *pendingClaim, c Claim) []Command {
	j.remove(p)
	var out []Command
	for _, w := range p.waiters {
		out = append(out, Reply{recordedReply(p.request, w.id, c)})
	}
	return out
}

// recordedReply returns the reply to a request whose key has the recorded claim c.
// The request is a resend, or another request that reuses the key.
func recordedReply(request message.RunRequest, id message.RequestID, c Claim) message.RunReply {
	if c.Content.differs(HashContent(request)) {
		return message.RunReply{ID: id, Workspace: c.Workspace, Outcome: message.OutcomeNotRun, Reason: message.ReasonKeyReused}
	}
	r := message.RunReply{ID: id, Workspace: c.Workspace, Outcome: message.OutcomeUnknown, Reason: message.ReasonInterrupted, At: c.At, Recorded: true}
	if c.State == StateAnswered {
		r.Outcome = message.OutcomeAnswered
		r.Reason = ""
		r.Answer = c.Answer
		r.AnswerOmitted = c.AnswerOmitted
	}
	return r
}

// timeUntilSpace returns the time until the oldest claim expires, which frees space
// in the journal.
func (j *JournalWriter) timeUntilSpace(now clock.Time) clock.Duration {
	wait := clock.Duration(j.contents.oldest() + int64(j.retention) - j.unix(now))
	return max(wait, minRetryAfter)
}

// ReadDone handles the result of a read.
func (j *JournalWriter) ReadDone(now clock.Time, r object.ReadResult) []Command {
	if j.op != opRead {
		return nil
	}
	j.op = opNone
	if !r.Known {
		return j.storeFailed(now)
	}
	var out []Command
	if j.contents == nil || r.Version != j.version {
		decoded, err := decodeContents(r.Value)
		if err != nil {
			return j.storeFailed(now)
		}
		j.contents = decoded
		j.version = r.Version
		out = j.reconcile(now)
	}
	j.storeRecovered()
	j.loaded = true
	j.loadedEpoch = j.readEpoch
	return append(out, j.startStoreCall(now)...)
}

// reconcile updates the pending claims after a version change: a write that
// expected an earlier version is either in the contents or can never take effect.
func (j *JournalWriter) reconcile(now clock.Time) []Command {
	var out []Command
	for _, p := range j.pendingClaims() {
		old, _ := j.contents.get(p.id)
		durable := old.Claimant == j.self && old.Attempt == p.attempt && old.State == StateClaimed
		p.unconfirmed = false
		switch {
		case p.phase == phaseWriting && durable:
			out = append(out, j.issueRun(now, p)...)
		case p.phase == phaseWriting || p.phase == phaseQueued:
			p.phase = phaseQueued
			p.attempt = 0 // earlier attempts are in the contents
		case p.phase == phaseFinished && !p.issued && !durable:
			j.discard(p)
		}
	}
	return out
}

// WriteDone handles the result of a write.
func (j *JournalWriter) WriteDone(now clock.Time, r object.WriteResult) []Command {
	if j.op != opWrite {
		return nil
	}
	j.op = opNone
	b := j.writing
	j.writing = nil
	switch r.Status {
	case object.Written:
		return j.batchWritten(now, b, r.Version)
	case object.NotSent:
		j.revertBatch(b)
		return j.storeFailed(now)
	case object.Conflict:
		j.revertBatch(b)
	default:
		for _, it := range b.items {
			it.pending.unconfirmed = true
		}
	}
	j.loaded = false
	return j.startStoreCall(now)
}

// batchWritten applies a batch whose write took effect.
func (j *JournalWriter) batchWritten(now clock.Time, b *batch, v object.Version) []Command {
	for _, it := range b.items {
		j.contents.put(it.record)
	}
	j.version = v
	j.storeRecovered()
	for _, it := range b.items {
		p := it.pending
		if p.phase == phaseFinished && p.attempt == it.attempt && it.record.State != StateClaimed {
			j.remove(p)
		}
	}
	out := j.reconcile(now)
	if j.reload {
		j.loaded = false
	}
	return append(out, j.startStoreCall(now)...)
}

// revertBatch handles a batch that was not written: its claims are queued again, and
// abandoned ones are discarded. Claims that an earlier write with a lost reply may
// have stored are left unchanged.
func (j *JournalWriter) revertBatch(b *batch) {
	for _, it := range b.items {
		p := it.pending
		switch {
		case p.unconfirmed:
		case p.phase == phaseWriting:
			p.phase = phaseQueued
			p.attempt = 0
		case p.phase == phaseFinished && !p.issued && it.record.State == StateClaimed:
			j.discard(p)
		}
	}
}

package claim

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
)

// maxObjectSize is the largest value that the platform's store holds.
const maxObjectSize = 1_000_000

// item is one record of a batch.
type item struct {
	entry   *entry
	attempt uint32
	record  record
}

// batch is the content of one conditional write.
type batch struct {
	items    []item
	replaced map[*record][]byte
	added    [][]byte
	size     int // encoded size of the journal with the batch
}

func (b *batch) add(old *book, e *entry, r record) {
	if before := old.records[r.ID()]; before != nil {
		b.size -= len(before.raw) + 1
		b.replaced[before] = r.raw
	} else {
		b.added = append(b.added, r.raw)
	}
	b.size += len(r.raw) + 1
	b.items = append(b.items, item{e, e.attempt, r})
}

// next builds the batch of all that waits. Requests that the journal already
// settles are answered without a write.
func (j *JournalWriter) next(now clock.Time) (*batch, []Command) {
	j.book.drop(j.unix(now)-int64(j.retention), func(id ID) bool { return j.live[id] != nil })
	b := &batch{replaced: map[*record][]byte{}, size: j.book.encodedSize()}
	var out []Command
	for _, e := range j.entries() {
		switch e.phase {
		case phaseFinished:
			j.addOutcome(b, e)
		case phaseQueued, phaseWriting:
			out = append(out, j.addClaim(now, b, e)...)
		}
	}
	return b, out
}

// addOutcome records the outcome unless the journal holds another claim of the
// key that is later, settled or of another instance. Recording "not run" over an
// earlier attempt also keeps a write with a lost reply from taking effect later.
func (j *JournalWriter) addOutcome(b *batch, e *entry) {
	old, exists := j.book.get(e.id)
	earlier := old.Attempt <= e.attempt && (old.Claimant == j.self && old.State == StateClaimed || old.State == StateNotRun)
	if exists && !earlier {
		j.remove(e)
		return
	}
	c := e.claim()
	c.Claimant = j.self
	if len(c.Answer) > j.maxAnswer || b.size+2*len(c.Answer) > maxObjectSize {
		c.Answer = nil
		c.AnswerOmitted = true
	}
	b.add(j.book, e, newRecord(c))
}

func (j *JournalWriter) addClaim(now clock.Time, b *batch, e *entry) []Command {
	old, exists := j.book.get(e.id)
	switch {
	case exists && (old.State == StateAnswered || old.State == StateUnknown):
		return j.settle(e, old)
	case exists && old.State == StateClaimed && old.Claimant != j.self:
		if j.loadedEpoch > e.since {
			return j.settle(e, old)
		}
		j.reload = true // its claimant may have recorded the outcome meanwhile
		return nil
	}
	attempt := e.attempt
	if e.phase == phaseQueued {
		attempt++
	}
	// A claim of this incarnation that has no running entry was never handed
	// out, or proved not to have run, so it may be claimed again.
	if exists {
		attempt = max(attempt, old.Attempt+1)
	}
	c := e.claim()
	c.Claimant = j.self
	c.Attempt = attempt
	r := newRecord(c)
	if e.phase == phaseQueued && b.size+len(r.raw)+1 > j.maxSize {
		return j.refuse(e, message.ReasonJournalFull, j.untilRoom(now))
	}
	e.attempt = attempt
	e.phase = phaseWriting
	b.add(j.book, e, r)
	return nil
}

// settle answers an entry from what the journal records.
func (j *JournalWriter) settle(e *entry, c Claim) []Command {
	j.remove(e)
	var out []Command
	for _, w := range e.waiters {
		out = append(out, Reply{recorded(e.request, w.id, c)})
	}
	return out
}

// recorded returns the reply that a record gives to a resend with the id, or to
// another request that uses the same key.
func recorded(request message.RunRequest, id message.RequestID, c Claim) message.RunReply {
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

// untilRoom returns when the oldest claim leaves the journal.
func (j *JournalWriter) untilRoom(now clock.Time) clock.Duration {
	wait := clock.Duration(j.book.oldest() + int64(j.retention) - j.unix(now))
	return max(wait, minRetryAfter)
}

// ReadDone takes the result of a read.
func (j *JournalWriter) ReadDone(now clock.Time, r object.ReadResult) []Command {
	if j.op != opRead {
		return nil
	}
	j.op = opNone
	if !r.Known {
		return j.storeAway(now)
	}
	var out []Command
	if j.book == nil || r.Version != j.version {
		book, err := decodeBook(r.Value)
		if err != nil {
			return j.storeAway(now)
		}
		j.book = book
		j.version = r.Version
		out = j.resolve(now)
	}
	j.storeBack()
	j.loaded = true
	j.loadedEpoch = j.epoch
	return append(out, j.pump(now)...)
}

// resolve uses that the version has changed: a write that expected an earlier
// one is either in the book or can never take effect.
func (j *JournalWriter) resolve(now clock.Time) []Command {
	var out []Command
	for _, e := range j.entries() {
		old, _ := j.book.get(e.id)
		durable := old.Claimant == j.self && old.Attempt == e.attempt && old.State == StateClaimed
		e.exposed = false
		switch {
		case e.phase == phaseWriting && durable:
			out = append(out, j.run(now, e)...)
		case e.phase == phaseWriting || e.phase == phaseQueued:
			e.phase = phaseQueued
			e.attempt = 0 // earlier attempts are in the book
		case e.phase == phaseFinished && !e.ran && !durable:
			j.discard(e)
		}
	}
	return out
}

// WriteDone takes the result of the write.
func (j *JournalWriter) WriteDone(now clock.Time, r object.WriteResult) []Command {
	if j.op != opWrite {
		return nil
	}
	j.op = opNone
	b := j.writing
	j.writing = nil
	switch r.Status {
	case object.Written:
		return j.written(now, b, r.Version)
	case object.NotSent:
		j.notWritten(b)
		return j.storeAway(now)
	case object.Conflict:
		j.notWritten(b)
	default:
		for _, it := range b.items {
			it.entry.exposed = true
		}
	}
	j.loaded = false
	return j.pump(now)
}

func (j *JournalWriter) written(now clock.Time, b *batch, v object.Version) []Command {
	for _, it := range b.items {
		j.book.put(it.record)
	}
	j.version = v
	j.storeBack()
	for _, it := range b.items {
		e := it.entry
		if e.phase == phaseFinished && e.attempt == it.attempt && it.record.State != StateClaimed {
			j.remove(e)
		}
	}
	out := j.resolve(now)
	if j.reload {
		j.loaded = false
	}
	return append(out, j.pump(now)...)
}

// notWritten takes the batch back, except for entries that an earlier write
// with a lost reply may have claimed.
func (j *JournalWriter) notWritten(b *batch) {
	for _, it := range b.items {
		e := it.entry
		switch {
		case e.exposed:
		case e.phase == phaseWriting:
			e.phase = phaseQueued
			e.attempt = 0
		case e.phase == phaseFinished && !e.ran && it.record.State == StateClaimed:
			j.discard(e)
		}
	}
}

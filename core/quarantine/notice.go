package quarantine

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// announce adds an open record of the next canary here and sends it to the
// backup.
func (co *Coordinator) announce(now clock.Time, fp message.Fingerprint, q *canaryQueue) []Command {
	q.current = q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	co.seq++
	q.seq = co.seq
	q.notified = nil
	q.attempts = 0
	q.announcedAt = now
	q.phase = phaseAnnouncing
	co.records.put(fp, message.CrashRecord{Coordinator: co.self, Seq: q.seq, At: co.unix(now)})
	return co.sendNotice(now, fp, q)
}

// sendNotice asks the backup to store the open record. It repeats this until the
// backup acknowledges or too little time is left: a silent connection is replaced
// within that time, and giving up earlier refused requests that had time left. No
// other instance can replace a backup that is believed live, because the backup
// may be running a canary of the fingerprint itself and only be slow to answer. An
// instance that knows no other one runs the canary without a backup.
func (co *Coordinator) sendNotice(now clock.Time, fp message.Fingerprint, q *canaryQueue) []Command {
	backup, exists := co.backup(fp)
	switch {
	case now > q.announcedAt.Add(startTimeout):
		return co.start(now, fp, q) // announces again
	case !exists && co.mayRunWithoutBackup(now, fp, q.seq):
		return co.start(now, fp, q)
	case !exists || q.attempts > 0 && now.Add(ackTimeout) >= q.current.deadline:
		out := co.withdraw(fp, q)
		q.waiting = append([]pendingRequest{q.current}, q.waiting...)
		refusal := message.CanaryVerdict{Verdict: message.VerdictNotRun, Reason: message.ReasonNoBackup, RetryAfterMS: ackTimeout}
		out = append(out, q.refuse(refusal)...)
		return append(out, co.advance(now, fp)...)
	}
	q.attempts++
	if !slices.Contains(q.notified, backup) {
		q.notified = append(q.notified, backup)
	}
	q.timeout = now.Add(ackTimeout)
	records := slices.Clone(co.records.get(co.unix(now), fp))
	return []Command{Send{backup, message.CanaryNotice{Fingerprint: fp, Seq: q.seq, Records: records}}}
}

// backup returns the first of the other instances in the order of Rank. That is the
// second of all instances when this one is the first. This one may be asked to run a
// canary without being the first, since member lists lag; then the first is the
// backup.
func (co *Coordinator) backup(fp message.Fingerprint) (topology.InstanceRef, bool) {
	return TopRanked(fp, co.members)
}

// mayRunWithoutBackup reports whether all other records are in the store.
func (co *Coordinator) mayRunWithoutBackup(now clock.Time, fp message.Fingerprint, seq uint64) bool {
	others := without(co.records.get(co.unix(now), fp), co.self, seq)
	b := &co.buckets[bucketOf(fp)]
	return len(others) == 0 || b.loaded && !b.dirty
}

// withdraw removes the record of a canary that did not run or did not crash.
func (co *Coordinator) withdraw(fp message.Fingerprint, q *canaryQueue) []Command {
	co.records.remove(fp, co.self, q.seq)
	q.phase = phaseIdle
	return q.sendEnd(message.CanaryEnd{Fingerprint: fp, Seq: q.seq})
}

// sendEnd sends end to the instances that were notified of the canary.
func (q *canaryQueue) sendEnd(end message.CanaryEnd) []Command {
	var out []Command
	for _, to := range q.notified {
		out = append(out, Send{to, end})
	}
	return out
}

// handleAck starts the canary when the backup has stored its record. The records
// of the backup decide, because another coordinator may have announced a canary
// there in the meantime.
func (co *Coordinator) handleAck(now clock.Time, from topology.InstanceRef, m message.NoticeAck) []Command {
	q := co.queues[m.Fingerprint]
	backup, _ := co.backup(m.Fingerprint)
	if q == nil || q.phase != phaseAnnouncing || q.seq != m.Seq || from != backup {
		return nil
	}
	co.records.merge(from, m.Fingerprint, m.Records)
	others := without(co.records.get(co.unix(now), m.Fingerprint), co.self, m.Seq)
	if m.Status == message.NoticeGranted && co.status(now, others) == statusClear {
		return co.start(now, m.Fingerprint, q)
	}
	out := co.withdraw(m.Fingerprint, q)
	q.waiting = append([]pendingRequest{q.current}, q.waiting...)
	// The spread keeps two coordinators whose canaries conflicted from
	// conflicting again.
	spread := topology.Hash64(co.self.String(), string(m.Fingerprint[:])) % 20
	q.retryAt = now.Add(busyBackoff + clock.Duration(spread))
	return append(out, co.advance(now, m.Fingerprint)...)
}

// start runs the announced canary, or withdraws and queues it again when it is too
// late to start.
func (co *Coordinator) start(now clock.Time, fp message.Fingerprint, q *canaryQueue) []Command {
	if now >= q.current.deadline || now > q.announcedAt.Add(startTimeout) {
		out := co.withdraw(fp, q)
		q.waiting = append([]pendingRequest{q.current}, q.waiting...)
		return append(out, co.advance(now, fp)...)
	}
	deadline := min(q.current.deadline, now.Add(message.MaxTargetCallDuration))
	q.phase = phaseRunning
	q.timeout = deadline.Add(resultGrace)
	sub := q.current.sub
	if sub.Kind == message.KindSearch {
		sub.Kind = message.KindCanary
	}
	sub.RemainingMS = deadline.Sub(now)
	return []Command{RunCanary{Seq: q.seq, Sub: sub, Deadline: deadline}}
}

// CanaryDone handles the result of a canary.
func (co *Coordinator) CanaryDone(now clock.Time, fp message.Fingerprint, seq uint64, r message.SubReply) []Command {
	q := co.queues[fp]
	if q == nil || q.phase != phaseRunning || q.seq != seq {
		return nil
	}
	v := message.CanaryVerdict{Verdict: message.VerdictRan, Reply: &r}
	out := []Command{sendVerdict(q.current, v)}
	if r.Status == message.StatusCrashed {
		q.phase = phaseIdle
		out = append(out, co.recordCrash(now, fp, seq, q.notified)...)
		return append(out, co.advance(now, fp)...)
	}
	out = append(out, co.withdraw(fp, q)...)
	if r.Status == message.StatusOK && q.current.sub.Kind != message.KindRun {
		v.Fingerprint = fp
		v.Snapshot = q.current.sub.Snapshot
		co.cache.Observe(now, v)
	}
	return append(out, co.advance(now, fp)...)
}

// recordCrash records a crash here, at the given instances and in the store.
func (co *Coordinator) recordCrash(now clock.Time, fp message.Fingerprint, seq uint64, recipients []topology.InstanceRef) []Command {
	unix := co.unix(now)
	co.records.put(fp, message.CrashRecord{Coordinator: co.self, Seq: seq, Crashed: true, At: unix})
	var out []Command
	for _, to := range recipients {
		out = append(out, Send{to, message.CanaryEnd{Fingerprint: fp, Seq: seq, Crashed: true, At: unix}})
	}
	co.buckets[bucketOf(fp)].dirty = true
	return append(out, co.startStoreCall(now, bucketOf(fp))...)
}

// handleCrashReport records a crash of a sub-request whose canary had passed.
func (co *Coordinator) handleCrashReport(now clock.Time, m message.CrashReport) []Command {
	co.cache.Forget(m.Fingerprint, m.Snapshot)
	co.seq++
	var recipients []topology.InstanceRef
	if backup, ok := co.backup(m.Fingerprint); ok {
		recipients = append(recipients, backup)
	}
	out := co.recordCrash(now, m.Fingerprint, co.seq, recipients)
	return append(out, co.advance(now, m.Fingerprint)...)
}

// handleNotice answers a notice as the backup. A record that is not granted stays
// until its coordinator withdraws it, since the answer may be lost.
func (co *Coordinator) handleNotice(now clock.Time, from topology.InstanceRef, m message.CanaryNotice) []Command {
	unix := co.unix(now)
	co.records.merge(from, m.Fingerprint, m.Records)
	others := without(co.records.get(unix, m.Fingerprint), from, m.Seq)
	ack := message.NoticeAck{Fingerprint: m.Fingerprint, Seq: m.Seq, Status: message.NoticeGranted, Records: others}
	var out []Command
	switch co.status(now, others) {
	case statusBusy:
		ack.Status = message.NoticeBusy
		out = co.queryOpenRecords(now, m.Fingerprint, others)
	case statusQuarantined:
		ack.Status = message.NoticeRefused
	}
	out = append(out, Send{from, ack})
	return append(out, co.advance(now, m.Fingerprint)...)
}

// handleEnd records the result of a canary that another coordinator announced.
func (co *Coordinator) handleEnd(from topology.InstanceRef, m message.CanaryEnd) {
	if !m.Crashed {
		co.records.removeWhere(m.Fingerprint, func(c message.CrashRecord) bool {
			return c.Coordinator == from && c.Seq == m.Seq && !c.Crashed
		})
		return
	}
	co.records.put(m.Fingerprint, message.CrashRecord{Coordinator: from, Seq: m.Seq, Crashed: true, At: m.At})
}

// fingerprintStatus says whether the records of a fingerprint allow a canary.
type fingerprintStatus uint8

const (
	statusClear       fingerprintStatus = iota // a canary may be announced
	statusBusy                                 // another canary may be running
	statusQuarantined                          // the fingerprint is quarantined
)

// status returns what the records allow. The open record of this instance or of a
// member means busy until that instance reports the result. That of any other
// instance counts as a crash once the canary must have ended.
func (co *Coordinator) status(now clock.Time, records []message.CrashRecord) fingerprintStatus {
	open, crashed := 0, 0
	for _, c := range records {
		term := unseenOpenTimeout
		if _, left := co.leftAt[c.Coordinator]; left {
			term = openTimeout
		}
		live := c.Coordinator == co.self || slices.Contains(co.members, c.Coordinator)
		if !c.Crashed && (live || co.unix(now) < c.At+int64(term)) {
			open++
		} else {
			crashed++
		}
	}
	switch {
	case crashed >= maxCrashes:
		return statusQuarantined
	case open > 0:
		return statusBusy
	}
	return statusClear
}

// queryOpenRecords asks the live coordinators of open records for the results,
// which were lost or were sent to another instance.
func (co *Coordinator) queryOpenRecords(now clock.Time, fp message.Fingerprint, records []message.CrashRecord) []Command {
	var out []Command
	for _, c := range records {
		id := recordID{fp, c.Coordinator, c.Seq}
		last, asked := co.queriedAt[id]
		if c.Crashed || !slices.Contains(co.members, c.Coordinator) || asked && now < last.Add(ackTimeout) {
			continue
		}
		co.queriedAt[id] = now
		out = append(out, Send{c.Coordinator, message.CanaryQuery{Fingerprint: fp, Seq: c.Seq}})
	}
	return out
}

// handleQuery reports the result of a canary of this instance unless the canary is
// in progress.
func (co *Coordinator) handleQuery(from topology.InstanceRef, m message.CanaryQuery) []Command {
	end := message.CanaryEnd{Fingerprint: m.Fingerprint, Seq: m.Seq}
	for _, c := range co.records.byFingerprint[m.Fingerprint] {
		if c.Coordinator != co.self || c.Seq != m.Seq {
			continue
		}
		if !c.Crashed {
			return nil
		}
		end.Crashed = true
		end.At = c.At
	}
	return []Command{Send{from, end}}
}

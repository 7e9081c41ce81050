package quarantine

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// announce charges the next canary here and at a backup.
func (k *Coordinator) announce(now clock.Time, fp message.Fingerprint, l *line) []Command {
	l.current = l.queue[0]
	l.queue = slices.Delete(l.queue, 0, 1)
	k.seq++
	l.seq = k.seq
	l.notified = nil
	l.tries = 0
	l.charged = now
	l.phase = phaseAnnouncing
	k.ledger.put(fp, message.CrashRecord{Coordinator: k.self, Seq: l.seq, At: k.unix(now)})
	return k.notify(now, fp, l)
}

// notify asks the highest other instance by hash to record the charge, and asks
// again until it does or too little time is left: a silent connection is replaced
// within that time, and giving up earlier refused requests that had time left. No other instance can stand in for one that is believed
// live: that one may be running a canary itself, and may only be slow to say so.
// An instance that knows no other one runs without a backup.
func (k *Coordinator) notify(now clock.Time, fp message.Fingerprint, l *line) []Command {
	backup, exists := k.backup(fp)
	switch {
	case now > l.charged.Add(startTerm):
		return k.start(now, fp, l) // announces again
	case !exists && k.aloneMayRun(now, fp, l.seq):
		return k.start(now, fp, l)
	case !exists || l.tries > 0 && now.Add(ackTimeout) >= l.current.deadline:
		out := k.withdraw(fp, l)
		l.queue = append([]waiting{l.current}, l.queue...)
		refusal := message.CanaryVerdict{Verdict: message.VerdictNotRun, Reason: message.ReasonNoBackup, RetryAfterMS: ackTimeout}
		out = append(out, l.refuse(refusal)...)
		return append(out, k.step(now, fp)...)
	}
	l.tries++
	if !slices.Contains(l.notified, backup) {
		l.notified = append(l.notified, backup)
	}
	l.timeout = now.Add(ackTimeout)
	charges := slices.Clone(k.ledger.get(k.unix(now), fp))
	return []Command{Send{backup, message.CanaryNotice{Fingerprint: fp, Seq: l.seq, Records: charges}}}
}

// backup returns the highest other instance by hash.
func (k *Coordinator) backup(fp message.Fingerprint) (topology.InstanceRef, bool) {
	return TopRanked(fp, k.members)
}

// aloneMayRun reports whether all other charges are stored.
func (k *Coordinator) aloneMayRun(now clock.Time, fp message.Fingerprint, seq uint64) bool {
	others := except(k.ledger.get(k.unix(now), fp), k.self, seq)
	b := &k.buckets[bucketOf(fp)]
	return len(others) == 0 || b.loaded && !b.dirty
}

// withdraw removes the charge of a canary that did not crash.
func (k *Coordinator) withdraw(fp message.Fingerprint, l *line) []Command {
	k.ledger.remove(fp, k.self, l.seq)
	l.phase = phaseIdle
	return l.tell(message.CanaryEnd{Fingerprint: fp, Seq: l.seq})
}

func (l *line) tell(end message.CanaryEnd) []Command {
	var out []Command
	for _, to := range l.notified {
		out = append(out, Send{to, end})
	}
	return out
}

// ack starts the canary once it is charged at a backup. What the backup knows
// decides, since another keeper may have announced there meanwhile.
func (k *Coordinator) ack(now clock.Time, from topology.InstanceRef, m message.NoticeAck) []Command {
	l := k.lines[m.Fingerprint]
	backup, _ := k.backup(m.Fingerprint)
	if l == nil || l.phase != phaseAnnouncing || l.seq != m.Seq || from != backup {
		return nil
	}
	k.ledger.merge(from, m.Fingerprint, m.Records)
	others := except(k.ledger.get(k.unix(now), m.Fingerprint), k.self, m.Seq)
	if m.Status == message.NoticeGranted && k.standing(now, others) == standingFree {
		return k.start(now, m.Fingerprint, l)
	}
	out := k.withdraw(m.Fingerprint, l)
	l.queue = append([]waiting{l.current}, l.queue...)
	// The spread keeps two keepers that met each other from doing so again.
	spread := topology.Hash64(k.self.String(), string(m.Fingerprint[:])) % 20
	l.pause = now.Add(busyPause + clock.Duration(spread))
	return append(out, k.step(now, m.Fingerprint)...)
}

func (k *Coordinator) start(now clock.Time, fp message.Fingerprint, l *line) []Command {
	if now >= l.current.deadline || now > l.charged.Add(startTerm) {
		out := k.withdraw(fp, l)
		l.queue = append([]waiting{l.current}, l.queue...)
		return append(out, k.step(now, fp)...)
	}
	deadline := min(l.current.deadline, now.Add(message.MaxTargetCallDuration))
	l.phase = phaseRunning
	l.timeout = deadline.Add(doneGrace)
	sub := l.current.sub
	if sub.Kind == message.KindSearch {
		sub.Kind = message.KindCanary
	}
	sub.RemainingMS = deadline.Sub(now)
	return []Command{RunCanary{Seq: l.seq, Sub: sub, Deadline: deadline}}
}

// Done takes the result of a canary.
func (k *Coordinator) CanaryDone(now clock.Time, fp message.Fingerprint, seq uint64, r message.SubReply) []Command {
	l := k.lines[fp]
	if l == nil || l.phase != phaseRunning || l.seq != seq {
		return nil
	}
	v := message.CanaryVerdict{Verdict: message.VerdictRan, Reply: &r}
	out := []Command{verdict(l.current, v)}
	if r.Status == message.StatusCrashed {
		l.phase = phaseIdle
		out = append(out, k.crashed(now, fp, seq, l.notified)...)
		return append(out, k.step(now, fp)...)
	}
	out = append(out, k.withdraw(fp, l)...)
	if r.Status == message.StatusOK && l.current.sub.Kind != message.KindRun {
		v.Fingerprint = fp
		v.Snapshot = l.current.sub.Snapshot
		k.cache.Observe(now, v)
	}
	return append(out, k.step(now, fp)...)
}

// crashed counts a crash here, at the given instances and in the store.
func (k *Coordinator) crashed(now clock.Time, fp message.Fingerprint, seq uint64, tell []topology.InstanceRef) []Command {
	unix := k.unix(now)
	k.ledger.put(fp, message.CrashRecord{Coordinator: k.self, Seq: seq, Crashed: true, At: unix})
	var out []Command
	for _, to := range tell {
		out = append(out, Send{to, message.CanaryEnd{Fingerprint: fp, Seq: seq, Crashed: true, At: unix}})
	}
	k.buckets[bucketOf(fp)].dirty = true
	return append(out, k.pumpBucket(now, bucketOf(fp))...)
}

// report counts a crash of a sub-request whose canary had passed.
func (k *Coordinator) report(now clock.Time, m message.CrashReport) []Command {
	k.cache.Forget(m.Fingerprint, m.Snapshot)
	k.seq++
	var tell []topology.InstanceRef
	if backup, ok := k.backup(m.Fingerprint); ok {
		tell = append(tell, backup)
	}
	out := k.crashed(now, m.Fingerprint, k.seq, tell)
	return append(out, k.step(now, m.Fingerprint)...)
}

// notice is the backup's side of announce. A charge that is not granted stays
// until its keeper withdraws it, since this answer may be lost.
func (k *Coordinator) notice(now clock.Time, from topology.InstanceRef, m message.CanaryNotice) []Command {
	unix := k.unix(now)
	k.ledger.merge(from, m.Fingerprint, m.Records)
	others := except(k.ledger.get(unix, m.Fingerprint), from, m.Seq)
	ack := message.NoticeAck{Fingerprint: m.Fingerprint, Seq: m.Seq, Status: message.NoticeGranted, Records: others}
	var out []Command
	switch k.standing(now, others) {
	case standingBusy:
		ack.Status = message.NoticeBusy
		out = k.inquire(now, m.Fingerprint, others)
	case standingFull:
		ack.Status = message.NoticeRefused
	}
	out = append(out, Send{from, ack})
	return append(out, k.step(now, m.Fingerprint)...)
}

// end takes the result of a canary that another keeper announced.
func (k *Coordinator) end(from topology.InstanceRef, m message.CanaryEnd) {
	if !m.Crashed {
		k.ledger.removeIf(m.Fingerprint, func(c message.CrashRecord) bool {
			return c.Coordinator == from && c.Seq == m.Seq && !c.Crashed
		})
		return
	}
	k.ledger.put(m.Fingerprint, message.CrashRecord{Coordinator: from, Seq: m.Seq, Crashed: true, At: m.At})
}

// standing is what a fingerprint's charges allow.
type standing uint8

const (
	standingFree standing = iota // a canary may be announced
	standingBusy                 // another canary may be under way
	standingFull                 // the fingerprint is quarantined
)

// standing judges charges. The open charge of an instance that is live is busy
// until that instance tells the result; that of a lost one counts like a crash
// once the canary must have ended.
func (k *Coordinator) standing(now clock.Time, charges []message.CrashRecord) standing {
	open, crashed := 0, 0
	for _, c := range charges {
		term := unseenTerm
		if _, lost := k.lost[c.Coordinator]; lost {
			term = openTerm
		}
		live := c.Coordinator == k.self || slices.Contains(k.members, c.Coordinator)
		if !c.Crashed && (live || k.unix(now) < c.At+int64(term)) {
			open++
		} else {
			crashed++
		}
	}
	switch {
	case crashed >= maxCrashes:
		return standingFull
	case open > 0:
		return standingBusy
	}
	return standingFree
}

// inquire asks the live keepers of open charges for the results, which were
// lost or went to another instance.
func (k *Coordinator) inquire(now clock.Time, fp message.Fingerprint, charges []message.CrashRecord) []Command {
	var out []Command
	for _, c := range charges {
		id := chargeID{fp, c.Coordinator, c.Seq}
		last, asked := k.asked[id]
		if c.Crashed || !slices.Contains(k.members, c.Coordinator) || asked && now < last.Add(ackTimeout) {
			continue
		}
		k.asked[id] = now
		out = append(out, Send{c.Coordinator, message.CanaryQuery{Fingerprint: fp, Seq: c.Seq}})
	}
	return out
}

// answer tells the result of an own canary, unless it is still under way.
func (k *Coordinator) answer(from topology.InstanceRef, m message.CanaryQuery) []Command {
	end := message.CanaryEnd{Fingerprint: m.Fingerprint, Seq: m.Seq}
	for _, c := range k.ledger.charges[m.Fingerprint] {
		if c.Coordinator != k.self || c.Seq != m.Seq {
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

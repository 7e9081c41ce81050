package holding

import (
	"cmp"
	"maps"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

const (
	// writeDelayWindow is the window of random delays that spreads the instances
	// that want to write the same change.
	writeDelayWindow = 500 * clock.Millisecond
	// writersPerWindow is how many instances write in each window, so that a
	// change costs a few writes instead of one from every instance of the region.
	writersPerWindow = 3
	// maxWriteWindow is the last window; all remaining instances write in it.
	maxWriteWindow = 7
	// planInterval limits how late a change is detected that becomes necessary
	// only because time has passed.
	planInterval = clock.Second
	// partnerTimeout is the time without a message after which a holder replaces
	// its partner although the platform lists it as live.
	partnerTimeout = 10 * clock.Second
	// unknownHolderTimeout is how long a holder that was never a member is kept,
	// since the list of members is delayed.
	unknownHolderTimeout = 10 * clock.Second
	// rebalanceInterval limits how often an instance moves one of its holdings to
	// another instance.
	rebalanceInterval = 5 * clock.Second
	// instanceRetention is how long instances that no entry names are remembered.
	instanceRetention = clock.Hour
)

func (h *Holder) bucketKey(id topology.ServiceID) string {
	return BucketKey(h.self.Region, id, h.buckets)
}

// plan detects necessary changes of the table and writes them after a random
// delay.
func (h *Holder) plan(now clock.Time) []Command {
	if !h.storeReachable {
		h.writeAt = 0
		return nil
	}
	if h.writeAt != 0 {
		if now < h.writeAt {
			return nil
		}
		return h.writeChanges(now)
	}
	if !h.dirty && now < h.nextPlan {
		return nil
	}
	h.dirty, h.nextPlan = false, now.Add(planInterval)
	h.forgetInstances(now)
	cmds := h.readStale(now)
	if p := h.newPlanner(now); p != nil {
		if changed := p.run(h.rebalanceSource(now)); len(changed) > 0 {
			h.writeAt = now.Add(h.writeDelay(p, changed[0]))
		}
	}
	return cmds
}

// writeDelay returns a random delay. It is longer for instances whose hash ranks
// higher, so that most of them find that the change has already been made.
func (h *Holder) writeDelay(p *planner, first topology.ServiceID) clock.Duration {
	ownHash, rank := topology.Hash64(string(first), string(h.self.Ref.ID)), 0
	for _, m := range p.eligible {
		if topology.Hash64(string(first), string(m.Ref.ID)) < ownHash {
			rank++
		}
	}
	window := clock.Duration(min(rank/writersPerWindow, maxWriteWindow))
	return window*writeDelayWindow + clock.Duration(h.rng.Int64N(int64(writeDelayWindow)+1))
}

// writeChanges computes the plan and writes the buckets that it changes.
func (h *Holder) writeChanges(now clock.Time) []Command {
	h.writeAt = 0
	p := h.newPlanner(now)
	if !h.storeReachable || p == nil {
		return nil
	}
	source := h.rebalanceSource(now)
	changed := map[string]Bucket{}
	for _, id := range p.run(source) {
		key := h.bucketKey(id)
		if _, busy := h.writing[key]; busy {
			continue
		}
		b, ok := changed[key]
		if !ok {
			b = h.tables[key]
			b.Entries = maps.Clone(b.Entries)
			changed[key] = b
		}
		b.Entries[id] = p.entries[id]
	}
	var cmds []Command
	for _, key := range sortedKeys(changed) {
		b := changed[key]
		h.writing[key] = b
		h.nextRebalance = now.Add(rebalanceInterval)
		cmds = append(cmds, WriteObject{Key: key, Expect: b.Version, Value: b.encode()})
	}
	return cmds
}

// WriteDone records the result of a WriteObject. After a conflict or a lost reply
// the bucket is read; a write that takes effect later is detected by its version.
func (h *Holder) WriteDone(now clock.Time, r WriteResult) []Command {
	h.recordInput(now)
	b, ok := h.writing[r.Key]
	delete(h.writing, r.Key)
	h.dirty = true
	if r.Outcome != WriteSucceeded || !ok {
		return h.readBucket(now, r.Key)
	}
	b.Version = r.Version
	return h.applyBucket(now, b)
}

// readBucket starts a read of a bucket for this instance unless one is in
// progress.
func (h *Holder) readBucket(now clock.Time, key string) []Command {
	if h.reading[key] {
		return nil
	}
	h.reading[key] = true
	h.lastRead++
	h.reads[h.lastRead] = read{key: key, at: now}
	return []Command{ReadObject{ID: h.lastRead, Key: key}}
}

// ReadDone records the result of a ReadObject. The bucket is not copied and must
// not change afterwards.
func (h *Holder) ReadDone(now clock.Time, r ReadResult) []Command {
	h.recordInput(now)
	rd, ok := h.reads[r.ID]
	if !ok {
		return nil
	}
	delete(h.reads, r.ID)
	own := rd.relayTo.IsZero()
	if own {
		delete(h.reading, rd.key)
	}
	var cmds []Command
	switch r.Outcome {
	case ReadFound:
		cmds = h.applyBucket(now, r.Bucket)
	case ReadAbsent:
		r.Bucket = Bucket{Key: rd.key, Entries: map[topology.ServiceID]Entry{}}
		if _, known := h.tables[rd.key]; !known {
			cmds = h.applyBucket(now, r.Bucket)
		}
	}
	if !own {
		return append(cmds, Send{To: rd.relayTo, Body: relayReply(rd, r)})
	}
	for _, id := range slices.Clone(h.heldServices) {
		if e, found := r.Bucket.Entries[id]; found {
			h.renewByRead(now, id, e, rd.at)
		}
	}
	return cmds
}

// relayReply returns the reply to the peer that requested the read rd.
func relayReply(rd read, r ReadResult) message.EntryReadReply {
	reply := message.EntryReadReply{RequestedAt: rd.relayAt, OK: r.Outcome != ReadFailed}
	for _, id := range rd.services {
		if e, ok := r.Bucket.Entries[id]; ok {
			reply.Entries = append(reply.Entries, message.ServiceEntry{Service: id, Entry: e})
		}
	}
	return reply
}

// readStale reads the buckets that are unknown, and those that are older than an
// entry that a peer sent.
func (h *Holder) readStale(now clock.Time) []Command {
	stale := map[string]bool{}
	for _, s := range h.services {
		key := h.bucketKey(s.ID)
		b, ok := h.tables[key]
		if st := h.states[s.ID]; !ok || st != nil && st.entry.Epoch > b.Entries[s.ID].Epoch {
			stale[key] = true
		}
	}
	var cmds []Command
	for _, key := range sortedKeys(stale) {
		cmds = append(cmds, h.readBucket(now, key)...)
	}
	return cmds
}

// newPlanner returns a planner for the known table. It returns nil while a bucket
// is unknown, and while this instance receives no messages although it knows other
// instances: it then cannot tell which of them are lost.
func (h *Holder) newPlanner(now clock.Time) *planner {
	if anyLive, _ := h.livePeers(now); !anyLive && h.knowsOthers() {
		return nil
	}
	p := &planner{
		services: h.services,
		entries:  make(map[topology.ServiceID]Entry, len(h.services)),
		zones:    make(map[topology.InstanceRef]topology.ZoneID, len(h.members)),
	}
	for _, s := range h.services {
		b, ok := h.tables[h.bucketKey(s.ID)]
		if !ok {
			return nil
		}
		p.entries[s.ID] = b.Entries[s.ID]
	}
	lost := h.timedOutPartners(now)
	for ref, m := range h.members {
		p.zones[ref] = m.Zone
		_, terminated := h.terminatedAt(ref)
		if m.Region == h.self.Region && m.State == topology.MemberLive && !terminated && !lost[ref] && ref != h.self.Ref {
			p.eligible = append(p.eligible, m)
		}
	}
	p.zones[h.self.Ref] = h.self.Zone
	if !h.leaving {
		p.eligible = append(p.eligible, h.self)
	}
	slices.SortFunc(p.eligible, func(a, b topology.Member) int { return compareRefs(a.Ref, b.Ref) })
	p.vacant = func(_ topology.ServiceID, e Entry, k int) bool { return h.needsHolder(now, lost, e, k) }
	p.formerEnded = func(id topology.ServiceID, e Entry, k int, f message.FormerHolder) bool {
		return h.provenEnded(now, id, e, k, f)
	}
	return p
}

// timedOutPartners returns the partners that have sent no message for
// partnerTimeout.
func (h *Holder) timedOutPartners(now clock.Time) map[topology.InstanceRef]bool {
	lost := map[topology.InstanceRef]bool{}
	for _, id := range h.heldServices {
		st := h.states[id]
		ref, _ := st.partner(h.self.Ref)
		at := max(st.assignments[0].learnedAt, st.assignments[1].learnedAt)
		if p := h.peers[ref]; p != nil {
			at = max(at, p.heartbeatAt)
		}
		if ref != h.self.Ref && now.Sub(at) > partnerTimeout {
			lost[ref] = true
		}
	}
	return lost
}

// needsHolder reports whether share k needs another holder.
func (h *Holder) needsHolder(now clock.Time, lost map[topology.InstanceRef]bool, e Entry, k int) bool {
	ref := e.Holders[k]
	if ref == h.self.Ref {
		return h.leaving
	}
	if _, terminated := h.terminatedAt(ref); ref.IsZero() || terminated {
		return true
	}
	if m, ok := h.members[ref]; ok {
		return m.State != topology.MemberLive || lost[ref] && e.Holders[1-k] == h.self.Ref
	}
	if _, ok := h.lastSeen[ref]; ok {
		return true
	}
	since, ok := h.unknownSince[ref]
	if !ok {
		h.unknownSince[ref] = now
		return false
	}
	return now.Sub(since) > unknownHolderTimeout
}

// provenEnded reports whether this instance can prove that the former holder's
// lease and the work under it have ended: by the rules of formerHolderEnded when it
// is the new holder, otherwise only by the former holder's termination.
func (h *Holder) provenEnded(now clock.Time, id topology.ServiceID, e Entry, k int, f message.FormerHolder) bool {
	if st := h.states[id]; st != nil && st.entry.Epoch == e.Epoch && st.assignments[k].held {
		return h.formerHolderEnded(now, st, k, f)
	}
	at, ok := h.terminatedAt(f.Ref)
	return ok && now >= at.Add(withDrift(message.MaxTargetCallDuration))
}

// rebalanceSource returns this instance when it may move one of its holdings to
// another instance, and otherwise the zero value.
func (h *Holder) rebalanceSource(now clock.Time) topology.InstanceRef {
	if h.leaving || now < h.nextRebalance {
		return topology.InstanceRef{}
	}
	return h.self.Ref
}

// forgetInstances removes what is known of instances that no entry has named and
// that have not been seen for instanceRetention. It waits until there are many more
// of them than members.
func (h *Holder) forgetInstances(now clock.Time) {
	if len(h.lastSeen)+len(h.terminated)+len(h.peers) <= 4*(len(h.members)+writersPerWindow) {
		return
	}
	named := map[topology.InstanceRef]bool{}
	for _, st := range h.states {
		for k := range st.entry.Holders {
			named[st.entry.Holders[k]] = true
			for _, f := range st.entry.Former[k] {
				named[f.Ref] = true
				for _, p := range f.Partners {
					named[p] = true
				}
			}
		}
	}
	old := func(ref topology.InstanceRef, at clock.Time) bool {
		return !named[ref] && now.Sub(at) > instanceRetention
	}
	maps.DeleteFunc(h.lastSeen, old)
	maps.DeleteFunc(h.terminated, old)
	maps.DeleteFunc(h.unknownSince, old)
	maps.DeleteFunc(h.peers, func(ref topology.InstanceRef, p *peer) bool {
		_, member := h.members[ref]
		return !member && old(ref, cmp.Or(p.heartbeatAt, h.started))
	})
}

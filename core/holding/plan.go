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
	// maxDelay spreads the writers of one change.
	maxDelay = 500 * clock.Millisecond
	// delayGroup instances try in each delay window, so that a change costs a
	// few writes instead of one from every instance of the region.
	delayGroup = 3
	maxWindow  = 7
	// checkInterval bounds how late a need that arises by time is detected.
	checkInterval = clock.Second
	// partnerLost is the silence after which a holder replaces its partner
	// although the platform lists it as live.
	partnerLost = 10 * clock.Second
	// unknownTerm is how long a holder that was never a member is left in place:
	// the list of members lags.
	unknownTerm = 10 * clock.Second
	// reliefInterval limits how often an instance moves a holding away.
	reliefInterval = 5 * clock.Second
	// memory is how long instances that no entry names are remembered.
	memory = clock.Hour
)

func (h *Holder) key(id topology.ServiceID) string {
	return BucketKey(h.self.Region, id, h.buckets)
}

// plan detects needed changes and writes them after a random delay.
func (h *Holder) plan(now clock.Time) []Command {
	if !h.storeOK {
		h.planAt = 0
		return nil
	}
	if h.planAt != 0 {
		if now < h.planAt {
			return nil
		}
		return h.write(now)
	}
	if !h.dirty && now < h.nextCheck {
		return nil
	}
	h.dirty, h.nextCheck = false, now.Add(checkInterval)
	h.forget(now)
	cmds := h.readStale(now)
	if p := h.newPlanner(now); p != nil {
		if changed := p.run(h.relief(now)); len(changed) > 0 {
			h.planAt = now.Add(h.delay(p, changed[0]))
		}
	}
	return cmds
}

// delay returns a random delay. It is longer for instances with a high hash, so
// that they find the change already made.
func (h *Holder) delay(p *planner, first topology.ServiceID) clock.Duration {
	own, rank := topology.Hash64(string(first), string(h.self.Ref.ID)), 0
	for _, m := range p.eligible {
		if topology.Hash64(string(first), string(m.Ref.ID)) < own {
			rank++
		}
	}
	window := clock.Duration(min(rank/delayGroup, maxWindow))
	return window*maxDelay + clock.Duration(h.rng.Int64N(int64(maxDelay)+1))
}

// write writes the buckets that the plan changes.
func (h *Holder) write(now clock.Time) []Command {
	h.planAt = 0
	p := h.newPlanner(now)
	if !h.storeOK || p == nil {
		return nil
	}
	relief := h.relief(now)
	changed := map[string]Bucket{}
	for _, id := range p.run(relief) {
		key := h.key(id)
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
		h.nextRelief = now.Add(reliefInterval)
		cmds = append(cmds, WriteObject{Key: key, Expect: b.Version, Value: b.encode()})
	}
	return cmds
}

// WriteDone tells the outcome of a WriteObject. After a conflict or a lost reply
// the bucket is read; a write that takes effect later is found by its version.
func (h *Holder) WriteDone(now clock.Time, r WriteResult) []Command {
	h.enter(now)
	b, ok := h.writing[r.Key]
	delete(h.writing, r.Key)
	h.dirty = true
	if r.Outcome != WriteSucceeded || !ok {
		return h.read(now, r.Key)
	}
	b.Version = r.Version
	return h.apply(now, b)
}

// read starts an own read of a bucket unless one is in progress.
func (h *Holder) read(now clock.Time, key string) []Command {
	if h.reading[key] {
		return nil
	}
	h.reading[key] = true
	h.lastRead++
	h.reads[h.lastRead] = read{key: key, at: now}
	return []Command{ReadObject{ID: h.lastRead, Key: key}}
}

// ReadDone tells the outcome of a ReadObject. The bucket is kept and must not
// change afterwards.
func (h *Holder) ReadDone(now clock.Time, r ReadResult) []Command {
	h.enter(now)
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
		cmds = h.apply(now, r.Bucket)
	case ReadAbsent:
		r.Bucket = Bucket{Key: rd.key, Entries: map[topology.ServiceID]Entry{}}
		if _, known := h.tables[rd.key]; !known {
			cmds = h.apply(now, r.Bucket)
		}
	}
	if !own {
		return append(cmds, Send{To: rd.relayTo, Body: relayReply(rd, r)})
	}
	for _, id := range slices.Clone(h.mine) {
		if e, found := r.Bucket.Entries[id]; found {
			h.unchanged(now, id, e, rd.at)
		}
	}
	return cmds
}

func relayReply(rd read, r ReadResult) message.EntryReadReply {
	reply := message.EntryReadReply{RequestedAt: rd.relayAt, OK: r.Outcome != ReadFailed}
	for _, id := range rd.services {
		if e, ok := r.Bucket.Entries[id]; ok {
			reply.Entries = append(reply.Entries, message.ServiceEntry{Service: id, Entry: e})
		}
	}
	return reply
}

// readStale reads the buckets that are unknown, or that are older than an entry
// that a peer sent.
func (h *Holder) readStale(now clock.Time) []Command {
	stale := map[string]bool{}
	for _, s := range h.services {
		key := h.key(s.ID)
		b, ok := h.tables[key]
		if st := h.states[s.ID]; !ok || st != nil && st.entry.Epoch > b.Entries[s.ID].Epoch {
			stale[key] = true
		}
	}
	var cmds []Command
	for _, key := range sortedKeys(stale) {
		cmds = append(cmds, h.read(now, key)...)
	}
	return cmds
}

// newPlanner returns a planner over the known table. It returns nil while a
// bucket is unknown, or while this instance hears nobody although it knows
// others: its view of who is lost is then worthless.
func (h *Holder) newPlanner(now clock.Time) *planner {
	if heard, _ := h.hearing(now); !heard && h.knowsOthers() {
		return nil
	}
	p := &planner{
		services: h.services,
		entries:  make(map[topology.ServiceID]Entry, len(h.services)),
		zones:    make(map[topology.InstanceRef]topology.ZoneID, len(h.members)),
	}
	for _, s := range h.services {
		b, ok := h.tables[h.key(s.ID)]
		if !ok {
			return nil
		}
		p.entries[s.ID] = b.Entries[s.ID]
	}
	lost := h.lostPartners(now)
	for ref, m := range h.members {
		p.zones[ref] = m.Zone
		_, gone := h.terminatedAt(ref)
		if m.Region == h.self.Region && m.State == topology.MemberLive && !gone && !lost[ref] && ref != h.self.Ref {
			p.eligible = append(p.eligible, m)
		}
	}
	p.zones[h.self.Ref] = h.self.Zone
	if !h.leaving {
		p.eligible = append(p.eligible, h.self)
	}
	slices.SortFunc(p.eligible, func(a, b topology.Member) int { return compareRefs(a.Ref, b.Ref) })
	p.vacant = func(_ topology.ServiceID, e Entry, k int) bool { return h.vacant(now, lost, e, k) }
	p.ended = func(id topology.ServiceID, e Entry, k int, f message.FormerHolder) bool {
		return h.provenEnded(now, id, e, k, f)
	}
	return p
}

// lostPartners returns the partners that have been silent for partnerLost.
func (h *Holder) lostPartners(now clock.Time) map[topology.InstanceRef]bool {
	lost := map[topology.InstanceRef]bool{}
	for _, id := range h.mine {
		st := h.states[id]
		ref, _ := st.partner(h.self.Ref)
		at := max(st.tenures[0].learned, st.tenures[1].learned)
		if p := h.peers[ref]; p != nil {
			at = max(at, p.heardAt)
		}
		if ref != h.self.Ref && now.Sub(at) > partnerLost {
			lost[ref] = true
		}
	}
	return lost
}

// vacant reports whether share k needs another holder.
func (h *Holder) vacant(now clock.Time, lost map[topology.InstanceRef]bool, e Entry, k int) bool {
	ref := e.Holders[k]
	if ref == h.self.Ref {
		return h.leaving
	}
	if _, gone := h.terminatedAt(ref); ref.IsZero() || gone {
		return true
	}
	if m, ok := h.members[ref]; ok {
		return m.State != topology.MemberLive || lost[ref] && e.Holders[1-k] == h.self.Ref
	}
	if _, ok := h.seen[ref]; ok {
		return true
	}
	since, ok := h.missing[ref]
	if !ok {
		h.missing[ref] = now
		return false
	}
	return now.Sub(since) > unknownTerm
}

// provenEnded reports whether this instance can prove that the former holder's
// right ended: by the rules when it is the new holder, else by the termination.
func (h *Holder) provenEnded(now clock.Time, id topology.ServiceID, e Entry, k int, f message.FormerHolder) bool {
	if st := h.states[id]; st != nil && st.entry.Epoch == e.Epoch && st.tenures[k].held {
		return h.formerEnded(now, st, k, f)
	}
	at, ok := h.terminatedAt(f.Ref)
	return ok && now >= at.Add(withDrift(message.MaxTargetCallDuration))
}

// relief returns this instance when it may move one of its holdings away.
func (h *Holder) relief(now clock.Time) topology.InstanceRef {
	if h.leaving || now < h.nextRelief {
		return topology.InstanceRef{}
	}
	return h.self.Ref
}

// forget drops what is known of instances that no entry names any more.
func (h *Holder) forget(now clock.Time) {
	if len(h.seen)+len(h.terminated)+len(h.peers) <= 4*(len(h.members)+delayGroup) {
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
	old := func(ref topology.InstanceRef, at clock.Time) bool { return !named[ref] && now.Sub(at) > memory }
	maps.DeleteFunc(h.seen, old)
	maps.DeleteFunc(h.terminated, old)
	maps.DeleteFunc(h.missing, old)
	maps.DeleteFunc(h.peers, func(ref topology.InstanceRef, p *peer) bool {
		_, member := h.members[ref]
		return !member && old(ref, cmp.Or(p.heardAt, h.started))
	})
}

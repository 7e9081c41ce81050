package holding

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// renewalRetention is how long the time of a sent renewal is kept; the renewed
// lease has expired long before.
const renewalRetention = clock.Minute

// sendPeriodic returns the periodic commands: a lease renewal to each partner,
// requests for missing acknowledgements, and reads of entries whose lease the
// partner does not renew.
func (h *Holder) sendPeriodic(now clock.Time) []Command {
	var cmds []Command
	for _, p := range h.partners() {
		cmds = append(cmds, h.renewLease(now, p))
	}
	for _, id := range h.heldServices {
		cmds = append(cmds, h.requestAcks(now, id, h.states[id])...)
	}
	return append(cmds, h.confirmOverdue(now)...)
}

// partners returns the holders of the other shares of the services of which this
// instance holds a share, in ascending order.
func (h *Holder) partners() []topology.InstanceRef {
	var refs []topology.InstanceRef
	for _, id := range h.heldServices {
		if p, _ := h.states[id].partner(h.self.Ref); p != h.self.Ref {
			refs = append(refs, p)
		}
	}
	slices.SortFunc(refs, compareRefs)
	return slices.Compact(refs)
}

// renewLease renews the peer's lease on every service that is shared with it.
func (h *Holder) renewLease(now clock.Time, to topology.InstanceRef) Command {
	r := message.LeaseRenewal{RequestedAt: now, Echo: h.peer(to).requestedAt}
	for _, id := range h.heldServices {
		st := h.states[id]
		if p, _ := st.partner(h.self.Ref); p == to {
			r.Shared = append(r.Shared, message.SharedHolding{Service: id, Epoch: st.entry.Epoch})
			st.lastRenewalSent[to] = now
		}
	}
	return Send{To: to, Body: r}
}

// requestAcks asks the former holders whose lease is not known to have ended, and
// their partners, to acknowledge the current epoch.
func (h *Holder) requestAcks(now clock.Time, id topology.ServiceID, st *serviceState) []Command {
	var refs []topology.InstanceRef
	for k := range st.assignments {
		if !st.assignments[k].held {
			continue
		}
		for _, f := range st.entry.Former[k] {
			if !h.formerHolderEnded(now, st, k, f) {
				refs = append(append(refs, f.Ref), f.Partners...)
			}
		}
	}
	slices.SortFunc(refs, compareRefs)
	var cmds []Command
	for _, ref := range slices.Compact(refs) {
		if _, terminated := h.terminatedAt(ref); !terminated && ref != h.self.Ref {
			cmds = append(cmds, Send{To: ref, Body: message.EntryNotice{Service: id, Entry: st.entry, WantAck: true}})
		}
	}
	return cmds
}

// confirmOverdue confirms the entries whose lease the partner no longer renews by
// a read of the store, or by a peer's read when only a peer reaches the store.
func (h *Holder) confirmOverdue(now clock.Time) []Command {
	overdue := map[string][]topology.ServiceID{}
	for _, id := range h.heldServices {
		st := h.states[id]
		at := max(st.renewedAt, st.assignments[0].learnedAt, st.assignments[1].learnedAt)
		if p, _ := st.partner(h.self.Ref); p != h.self.Ref && now.Sub(at) > maxRenewalAge {
			key := h.bucketKey(id)
			overdue[key] = append(overdue[key], id)
		}
	}
	var cmds []Command
	for _, key := range sortedKeys(overdue) {
		if h.storeReachable {
			cmds = append(cmds, h.readBucket(now, key)...)
			continue
		}
		if to, ok := h.chooseRelay(now); ok {
			cmds = append(cmds, Send{To: to, Body: message.EntryRead{Key: key, RequestedAt: now, Services: overdue[key]}})
		}
	}
	return cmds
}

// chooseRelay chooses at random a live peer that reaches the store.
func (h *Holder) chooseRelay(now clock.Time) (topology.InstanceRef, bool) {
	var refs []topology.InstanceRef
	for ref, p := range h.peers {
		if p.reachesStore && now.Sub(p.heartbeatAt) < heartbeatTimeout {
			refs = append(refs, ref)
		}
	}
	if len(refs) == 0 {
		return topology.InstanceRef{}, false
	}
	slices.SortFunc(refs, compareRefs)
	return refs[h.rng.IntN(len(refs))], true
}

// Receive handles a message from another instance. Messages that are meant for
// other packages are ignored.
func (h *Holder) Receive(now clock.Time, from topology.InstanceRef, m message.Body) []Command {
	h.recordInput(now)
	switch m := m.(type) {
	case message.LeaseRenewal:
		return h.handleRenewal(now, from, m)
	case message.EntryNotice:
		return h.handleNotice(now, from, m)
	case message.EntryAck:
		return h.handleAck(now, from, m)
	case message.EntryRead:
		return h.handleEntryRead(now, from, m)
	case message.EntryReadReply:
		return h.handleEntryReadReply(now, from, m)
	}
	return nil
}

// handleRenewal renews the lease from the time at which the renewal was requested:
// the sender may have learned of a newer epoch at any moment since.
func (h *Holder) handleRenewal(now clock.Time, from topology.InstanceRef, r message.LeaseRenewal) []Command {
	var cmds []Command
	for _, s := range r.Shared {
		st := h.state(s.Service)
		switch p, ok := st.partner(h.self.Ref); {
		case s.Epoch != st.entry.Epoch:
			cmds = append(cmds, h.sendEntry(from, s.Service, s.Epoch)...)
		case ok && p == from && r.Echo <= now:
			st.renewedAt = max(st.renewedAt, r.Echo)
			st.markConfirmed(now)
		}
	}
	p := h.peer(from)
	if r.RequestedAt <= p.requestedAt {
		return cmds
	}
	before := p.sharedServices
	p.requestedAt, p.sharedServices = r.RequestedAt, nil
	isNew := false
	for _, s := range r.Shared {
		p.sharedServices = append(p.sharedServices, s.Service)
		isNew = isNew || !slices.Contains(before, s.Service)
	}
	// A new holder gets a valid lease after one round trip instead of one interval.
	if isNew && slices.Contains(h.partners(), from) {
		cmds = append(cmds, h.renewLease(now, from))
	}
	return cmds
}

// sendEntry sends the known entry to a peer that is at another epoch. A peer that
// knows a newer entry returns it.
func (h *Holder) sendEntry(to topology.InstanceRef, id topology.ServiceID, epoch uint64) []Command {
	st := h.state(id)
	st.newestEpoch = max(st.newestEpoch, epoch)
	return []Command{Send{To: to, Body: message.EntryNotice{Service: id, Entry: st.entry}}}
}

func (h *Holder) handleNotice(now clock.Time, from topology.InstanceRef, n message.EntryNotice) []Command {
	if n.Entry.Epoch < h.state(n.Service).entry.Epoch {
		return h.sendEntry(from, n.Service, n.Entry.Epoch)
	}
	cmds := h.learnEntry(now, n.Service, n.Entry, false)
	if n.WantAck {
		cmds = append(cmds, Send{To: from, Body: h.acknowledge(now, n.Service)})
	}
	return cmds
}

// acknowledge gives up the shares that other instances received. It returns an
// acknowledgement that states when the work in flight ends and how old the
// renewals sent to other instances are.
func (h *Holder) acknowledge(now clock.Time, id topology.ServiceID) message.EntryAck {
	st := h.state(id)
	st.handoverUntil = [2]clock.Time{}
	a := message.EntryAck{Service: id, Epoch: st.entry.Epoch}
	for k := range a.BusyMS {
		a.BusyMS[k] = max(0, h.work.BusyUntil(now, id, k).Sub(now))
	}
	for ref, at := range st.lastRenewalSent {
		if now.Sub(at) > renewalRetention {
			delete(st.lastRenewalSent, ref)
			continue
		}
		a.Leases = append(a.Leases, message.LeaseAge{Ref: ref, AgeMS: now.Sub(at)})
	}
	slices.SortFunc(a.Leases, func(x, y message.LeaseAge) int { return compareRefs(x.Ref, y.Ref) })
	return a
}

func (h *Holder) handleAck(now clock.Time, from topology.InstanceRef, a message.EntryAck) []Command {
	st := h.state(a.Service)
	if a.Epoch > st.entry.Epoch {
		return h.sendEntry(from, a.Service, a.Epoch)
	}
	for k := range st.assignments {
		asg := &st.assignments[k]
		if !asg.held || a.Epoch < asg.sinceEpoch {
			continue
		}
		for _, f := range st.entry.Former[k] {
			if f.Ref == from {
				keepEarliest(asg.workEndsAt, from, now.Add(withDrift(a.BusyMS[k])))
			}
			keepEarliest(asg.renewalsEndAt, renewal{from, f.Ref}, lastRenewalEnd(now, a, f.Ref))
		}
	}
	return nil
}

// keepEarliest lowers m[key] to at. An acknowledgement that arrives late gives a
// later bound for the same event, so the earliest bound is the best one.
func keepEarliest[K comparable](m map[K]clock.Time, key K, at clock.Time) {
	if old, ok := m[key]; !ok || at < old {
		m[key] = at
	}
}

// lastRenewalEnd returns when the last renewal that the acknowledging instance sent
// to ref, and the work under it, have ended.
func lastRenewalEnd(now clock.Time, a message.EntryAck, ref topology.InstanceRef) clock.Time {
	for _, r := range a.Leases {
		if r.Ref == ref {
			return now.Add(withDrift(leaseDuration+message.MaxTargetCallDuration) - r.AgeMS)
		}
	}
	return now
}

func (h *Holder) handleEntryRead(now clock.Time, from topology.InstanceRef, m message.EntryRead) []Command {
	if !h.storeReachable {
		return []Command{Send{To: from, Body: message.EntryReadReply{RequestedAt: m.RequestedAt}}}
	}
	// A read already in progress may have been served before the request arrived.
	h.lastRead++
	h.reads[h.lastRead] = read{key: m.Key, at: now, relayTo: from, relayAt: m.RequestedAt, services: slices.Clone(m.Services)}
	return []Command{ReadObject{ID: h.lastRead, Key: m.Key}}
}

func (h *Holder) handleEntryReadReply(now clock.Time, from topology.InstanceRef, m message.EntryReadReply) []Command {
	if !m.OK {
		h.peer(from).reachesStore = false // until its next heartbeat
		return nil
	}
	var cmds []Command
	for _, e := range m.Entries {
		cmds = append(cmds, h.learnEntry(now, e.Service, e.Entry, false)...)
		h.renewByRead(now, e.Service, e.Entry, m.RequestedAt)
	}
	return cmds
}

// renewByRead renews the lease when a read that was requested at the given time
// showed the known epoch.
func (h *Holder) renewByRead(now clock.Time, id topology.ServiceID, e Entry, requestedAt clock.Time) {
	st := h.state(id)
	if st.holds() && e.Epoch == st.entry.Epoch && requestedAt <= now {
		st.readAt = max(st.readAt, requestedAt)
		st.markConfirmed(now)
	}
}

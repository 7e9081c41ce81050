package holding

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// vouchMemory is how long a given vouch is remembered; its effect has ended long
// before.
const vouchMemory = clock.Minute

// exchange sends the periodic messages: a vouch to each partner, requests for
// missing acknowledgements, and reads for entries whose partner is lost.
func (h *Holder) exchange(now clock.Time) []Command {
	var cmds []Command
	for _, p := range h.partners() {
		cmds = append(cmds, h.vouchFor(now, p))
	}
	for _, id := range h.mine {
		cmds = append(cmds, h.requestAcks(now, id, h.states[id])...)
	}
	return append(cmds, h.readLost(now)...)
}

// partners returns the holders of the other shares of the services held here, in
// ascending order.
func (h *Holder) partners() []topology.InstanceRef {
	var refs []topology.InstanceRef
	for _, id := range h.mine {
		if p, _ := h.states[id].partner(h.self.Ref); p != h.self.Ref {
			refs = append(refs, p)
		}
	}
	slices.SortFunc(refs, compareRefs)
	return slices.Compact(refs)
}

// vouchFor vouches for every service that is shared with the peer.
func (h *Holder) vouchFor(now clock.Time, to topology.InstanceRef) Command {
	v := message.LeaseRenewal{RequestedAt: now, Echo: h.peer(to).requestedAt}
	for _, id := range h.mine {
		st := h.states[id]
		if p, _ := st.partner(h.self.Ref); p == to {
			v.Shared = append(v.Shared, message.SharedHolding{Service: id, Epoch: st.entry.Epoch})
			st.gave[to] = now
		}
	}
	return Send{To: to, Body: v}
}

// requestAcks asks the former holders whose right is not known to have ended,
// and their partners, to acknowledge the present epoch.
func (h *Holder) requestAcks(now clock.Time, id topology.ServiceID, st *state) []Command {
	var refs []topology.InstanceRef
	for k := range st.tenures {
		if !st.tenures[k].held {
			continue
		}
		for _, f := range st.entry.Former[k] {
			if !h.formerEnded(now, st, k, f) {
				refs = append(append(refs, f.Ref), f.Partners...)
			}
		}
	}
	slices.SortFunc(refs, compareRefs)
	var cmds []Command
	for _, ref := range slices.Compact(refs) {
		if _, gone := h.terminatedAt(ref); !gone && ref != h.self.Ref {
			cmds = append(cmds, Send{To: ref, Body: message.EntryNotice{Service: id, Entry: st.entry, WantAck: true}})
		}
	}
	return cmds
}

// readLost confirms the entries whose partner no longer vouches by a read of the
// store, or by a peer's read when only a peer reaches the store.
func (h *Holder) readLost(now clock.Time) []Command {
	lost := map[string][]topology.ServiceID{}
	for _, id := range h.mine {
		st := h.states[id]
		at := max(st.vouchedAt, st.tenures[0].learned, st.tenures[1].learned)
		if p, _ := st.partner(h.self.Ref); p != h.self.Ref && now.Sub(at) > lostAfter {
			key := h.key(id)
			lost[key] = append(lost[key], id)
		}
	}
	var cmds []Command
	for _, key := range sortedKeys(lost) {
		if h.storeOK {
			cmds = append(cmds, h.read(now, key)...)
			continue
		}
		if to, ok := h.relay(now); ok {
			cmds = append(cmds, Send{To: to, Body: message.EntryRead{Key: key, RequestedAt: now, Services: lost[key]}})
		}
	}
	return cmds
}

// relay chooses a heard peer that reaches the store.
func (h *Holder) relay(now clock.Time) (topology.InstanceRef, bool) {
	var refs []topology.InstanceRef
	for ref, p := range h.peers {
		if p.reachesStore && now.Sub(p.heardAt) < silence {
			refs = append(refs, ref)
		}
	}
	if len(refs) == 0 {
		return topology.InstanceRef{}, false
	}
	slices.SortFunc(refs, compareRefs)
	return refs[h.rng.IntN(len(refs))], true
}

// Receive handles a message from another instance. Bodies of other packages are
// ignored.
func (h *Holder) Receive(now clock.Time, from topology.InstanceRef, m message.Body) []Command {
	h.enter(now)
	switch m := m.(type) {
	case message.LeaseRenewal:
		return h.vouched(now, from, m)
	case message.EntryNotice:
		return h.noticed(now, from, m)
	case message.EntryAck:
		return h.acked(now, from, m)
	case message.EntryRead:
		return h.relayRead(now, from, m)
	case message.EntryReadReply:
		return h.relayed(now, from, m)
	}
	return nil
}

// vouched records a vouch from the time at which it was requested: the voucher
// may have learned of a newer epoch at any moment since.
func (h *Holder) vouched(now clock.Time, from topology.InstanceRef, v message.LeaseRenewal) []Command {
	var cmds []Command
	for _, s := range v.Shared {
		st := h.state(s.Service)
		switch p, ok := st.partner(h.self.Ref); {
		case s.Epoch != st.entry.Epoch:
			cmds = append(cmds, h.settle(from, s.Service, s.Epoch)...)
		case ok && p == from && v.Echo <= now:
			st.vouchedAt = max(st.vouchedAt, v.Echo)
			st.confirm(now)
		}
	}
	p := h.peer(from)
	if v.RequestedAt <= p.requestedAt {
		return cmds
	}
	before := p.listed
	p.requestedAt, p.listed = v.RequestedAt, nil
	isNew := false
	for _, s := range v.Shared {
		p.listed = append(p.listed, s.Service)
		isNew = isNew || !slices.Contains(before, s.Service)
	}
	// A new holder becomes fresh after one round trip instead of one interval.
	if isNew && slices.Contains(h.partners(), from) {
		cmds = append(cmds, h.vouchFor(now, from))
	}
	return cmds
}

// settle tells a peer that is at another epoch what is known here. A peer that
// knows a newer entry returns it.
func (h *Holder) settle(to topology.InstanceRef, id topology.ServiceID, epoch uint64) []Command {
	st := h.state(id)
	st.newest = max(st.newest, epoch)
	return []Command{Send{To: to, Body: message.EntryNotice{Service: id, Entry: st.entry}}}
}

func (h *Holder) noticed(now clock.Time, from topology.InstanceRef, n message.EntryNotice) []Command {
	if n.Entry.Epoch < h.state(n.Service).entry.Epoch {
		return h.settle(from, n.Service, n.Entry.Epoch)
	}
	cmds := h.learn(now, n.Service, n.Entry, false)
	if n.WantAck {
		cmds = append(cmds, Send{To: from, Body: h.ack(now, n.Service)})
	}
	return cmds
}

// ack gives up the shares that other instances received, and reports when the
// work in flight ends.
func (h *Holder) ack(now clock.Time, id topology.ServiceID) message.EntryAck {
	st := h.state(id)
	st.lameUntil = [2]clock.Time{}
	a := message.EntryAck{Service: id, Epoch: st.entry.Epoch}
	for k := range a.BusyMS {
		a.BusyMS[k] = max(0, h.work.BusyUntil(now, id, k).Sub(now))
	}
	for ref, at := range st.gave {
		if now.Sub(at) > vouchMemory {
			delete(st.gave, ref)
			continue
		}
		a.Leases = append(a.Leases, message.LeaseAge{Ref: ref, AgeMS: now.Sub(at)})
	}
	slices.SortFunc(a.Leases, func(x, y message.LeaseAge) int { return compareRefs(x.Ref, y.Ref) })
	return a
}

func (h *Holder) acked(now clock.Time, from topology.InstanceRef, a message.EntryAck) []Command {
	st := h.state(a.Service)
	if a.Epoch > st.entry.Epoch {
		return h.settle(from, a.Service, a.Epoch)
	}
	for k := range st.tenures {
		t := &st.tenures[k]
		if !t.held || a.Epoch < t.since {
			continue
		}
		for _, f := range st.entry.Former[k] {
			if f.Ref == from {
				earliest(t.stopped, from, now.Add(withDrift(a.BusyMS[k])))
			}
			earliest(t.unvouched, voucher{from, f.Ref}, vouchEnd(now, a, f.Ref))
		}
	}
	return nil
}

// earliest lowers m[ref] to at. An acknowledgement that arrives late gives a
// later bound for the same fact.
func earliest[K comparable](m map[K]clock.Time, key K, at clock.Time) {
	if old, ok := m[key]; !ok || at < old {
		m[key] = at
	}
}

// vouchEnd returns when the last vouch that the acknowledging instance gave to
// ref, and the work under it, have ended.
func vouchEnd(now clock.Time, a message.EntryAck, ref topology.InstanceRef) clock.Time {
	for _, v := range a.Leases {
		if v.Ref == ref {
			return now.Add(withDrift(vouchTerm+message.MaxTargetCallDuration) - v.AgeMS)
		}
	}
	return now
}

func (h *Holder) relayRead(now clock.Time, from topology.InstanceRef, m message.EntryRead) []Command {
	if !h.storeOK {
		return []Command{Send{To: from, Body: message.EntryReadReply{RequestedAt: m.RequestedAt}}}
	}
	// A read already in progress may have been served before the request.
	h.lastRead++
	h.reads[h.lastRead] = read{key: m.Key, at: now, relayTo: from, relayAt: m.RequestedAt, services: slices.Clone(m.Services)}
	return []Command{ReadObject{ID: h.lastRead, Key: m.Key}}
}

func (h *Holder) relayed(now clock.Time, from topology.InstanceRef, m message.EntryReadReply) []Command {
	if !m.OK {
		h.peer(from).reachesStore = false // until it is heard again
		return nil
	}
	var cmds []Command
	for _, e := range m.Entries {
		cmds = append(cmds, h.learn(now, e.Service, e.Entry, false)...)
		h.unchanged(now, e.Service, e.Entry, m.RequestedAt)
	}
	return cmds
}

// unchanged renews the right when a read that was requested at the given time
// showed the known epoch.
func (h *Holder) unchanged(now clock.Time, id topology.ServiceID, e Entry, requestedAt clock.Time) {
	st := h.state(id)
	if st.holds() && e.Epoch == st.entry.Epoch && requestedAt <= now {
		st.readAt = max(st.readAt, requestedAt)
		st.confirm(now)
	}
}

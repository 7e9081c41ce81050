package holding

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

const (
	// vouchTerm is how long a vouch or a read of the store keeps a right fresh.
	vouchTerm = 2000 * clock.Millisecond
	// silence is the time without a message after which a peer is not heard.
	silence = 1500 * clock.Millisecond
	// isolation is how long a holder that hears nobody keeps sending.
	isolation = 3 * clock.Second
	// maxPause is the longest gap between inputs that counts as running.
	maxPause = 250 * clock.Millisecond
	// lostAfter is the age of the newest vouch request at which a holder falls
	// back on reads of the store. Vouches that arrive on time are at most one
	// interval and two round trips old, and a read needs the rest of vouchTerm.
	lostAfter = 1250 * clock.Millisecond
)

// withDrift lengthens a time that another instance's clock measured. Two clocks
// are assumed to differ by at most 10 %.
func withDrift(d clock.Duration) clock.Duration { return (11*d + 9) / 10 }

// tenure is one share from the epoch at which this instance received it.
type tenure struct {
	held    bool
	since   uint64
	learned clock.Time // when the tenure became known; not before the table write
	// confirmed is set once the right was fresh during the tenure. Only such a
	// tenure may continue without a fresh right, since an entry that arrives
	// late may have been replaced long ago.
	confirmed bool
	stopped   map[topology.InstanceRef]clock.Time // former holders that acknowledged: when their work has ended
	unvouched map[voucher]clock.Time              // partners that acknowledged: when the last vouch and the work under it have ended
}

// voucher names an instance that may have vouched for another.
type voucher struct{ by, to topology.InstanceRef }

func newTenure(now clock.Time, since uint64) tenure {
	return tenure{
		held: true, since: since, learned: now,
		stopped:   map[topology.InstanceRef]clock.Time{},
		unvouched: map[voucher]clock.Time{},
	}
}

// state is what one instance knows and may do for one service.
type state struct {
	entry   Entry
	newest  uint64 // highest epoch heard of; above entry.Epoch while the entry is awaited
	tenures [2]tenure
	// vouchedAt and readAt are the request times of the newest vouch received
	// and of the newest read that showed the entry unchanged. Zero is none.
	vouchedAt, readAt clock.Time
	// lameUntil is, for each share that another instance received but that this
	// one has not yet given up by an acknowledgement, when the last right to it
	// ends. The share stays usable until then, so that a planned transfer has no
	// gap. Zero when there is no such right.
	lameUntil [2]clock.Time
	// gave is when this instance last vouched for another in this service.
	gave map[topology.InstanceRef]clock.Time
}

func (st *state) holds() bool { return st.tenures[0].held || st.tenures[1].held }

// freshUntil returns when the right ends unless it is renewed.
func (st *state) freshUntil() clock.Time {
	at := max(st.vouchedAt, st.readAt)
	if at == 0 {
		return 0
	}
	return at.Add(vouchTerm)
}

// partner returns the holder of the other share when self holds one.
func (st *state) partner(self topology.InstanceRef) (topology.InstanceRef, bool) {
	k := slices.Index(st.entry.Holders[:], self)
	if k < 0 {
		return topology.InstanceRef{}, false
	}
	return st.entry.Holders[1-k], true
}

// fresh reports whether the right is fresh. A holder of both shares needs no
// vouch: rule 3 never applies to it, so only its own acknowledgement or its
// termination ends its right.
func (h *Holder) fresh(now clock.Time, st *state) bool {
	if p, ok := st.partner(h.self.Ref); ok && p == h.self.Ref {
		return true
	}
	return now < st.freshUntil()
}

// Use returns, for each share, whether the instance may send new work on it to
// warm and to cold targets at this moment. Warm without cold means that the
// right is not fresh and that the holder only continues.
func (h *Holder) UsableShares(now clock.Time, service topology.ServiceID) (warm, cold [2]bool) {
	st := h.states[service]
	if st == nil {
		return warm, cold
	}
	fresh := h.fresh(now, st)
	mayContinue := false
	if !fresh && st.newest <= st.entry.Epoch {
		if h.continueAsked != now {
			h.continueAsked, h.continueOK = now, h.mayContinue(now)
		}
		mayContinue = h.continueOK
	}
	for k := range st.tenures {
		t := &st.tenures[k]
		switch {
		case t.held && h.cleared(now, st, k):
			warm[k] = fresh || mayContinue && t.confirmed
			cold[k] = fresh
		case now < st.lameUntil[k]:
			warm[k], cold[k] = true, true
		}
	}
	return warm, cold
}

// mayContinue reports whether a holder without a fresh right may send to warm
// targets. After a pause it first listens for the time in which every live peer
// is heard, because what it heard before the pause says nothing about now.
func (h *Holder) mayContinue(now clock.Time) bool {
	if h.storeOK || now.Sub(h.lastInput) > maxPause || now < h.listenUntil {
		return false
	}
	heard, reached := h.hearing(now)
	if heard {
		return !reached
	}
	return now.Sub(h.lastHeard) < isolation || !h.knowsOthers()
}

// hearing reports whether any peer is heard, and whether a heard one reaches the
// store.
func (h *Holder) hearing(now clock.Time) (heard, reached bool) {
	for _, p := range h.peers {
		if p.heardAt > 0 && now.Sub(p.heardAt) < silence {
			heard = true
			reached = reached || p.reachesStore
		}
	}
	return heard, reached
}

// cleared reports whether the right of every former holder of share k is known
// to have ended, together with the work under it.
func (h *Holder) cleared(now clock.Time, st *state, k int) bool {
	for _, f := range st.entry.Former[k] {
		if !h.formerEnded(now, st, k, f) {
			return false
		}
	}
	return true
}

// formerEnded applies the three rules of docs/design.md section 3.2.
func (h *Holder) formerEnded(now clock.Time, st *state, k int, f message.FormerHolder) bool {
	if f.Ref == h.self.Ref {
		return true
	}
	t := &st.tenures[k]
	if until, ok := t.stopped[f.Ref]; ok && now >= until {
		return true
	}
	if at, ok := h.terminatedAt(f.Ref); ok && now >= at.Add(withDrift(message.MaxTargetCallDuration)) {
		return true
	}
	return h.rightEnded(now, st, t, f)
}

// rightEnded applies rule 3. The partner of the last epoch must have
// acknowledged; a partner of an earlier epoch may also have terminated, which
// ends its vouches. A former holder that may have vouched for itself is
// excluded.
func (h *Holder) rightEnded(now clock.Time, st *state, t *tenure, f message.FormerHolder) bool {
	if now < t.learned.Add(withDrift(vouchTerm+message.MaxTargetCallDuration)) || len(f.Partners) == 0 {
		return false
	}
	for i, p := range f.Partners {
		if p == f.Ref {
			return false
		}
		until, ok := t.unvouched[voucher{p, f.Ref}]
		if p == h.self.Ref {
			until, ok = st.gave[f.Ref].Add(withDrift(vouchTerm+message.MaxTargetCallDuration)), true
		}
		if at, gone := h.terminatedAt(p); !ok && gone && i > 0 {
			until, ok = at.Add(withDrift(vouchTerm+message.MaxTargetCallDuration)), true
		}
		if !ok || now < until {
			return false
		}
	}
	return true
}

// terminatedAt returns when it became known that the incarnation has ended. An
// earlier incarnation of this instance ended before this one started.
func (h *Holder) terminatedAt(ref topology.InstanceRef) (clock.Time, bool) {
	if ref.ID == h.self.Ref.ID && ref != h.self.Ref {
		return h.started, true
	}
	at, ok := h.terminated[ref]
	return at, ok
}

// adopt replaces a service's entry by one with a higher epoch. Rights carry over
// for a share that stays, whatever happens to the other one.
func (h *Holder) adopt(now clock.Time, id topology.ServiceID, e Entry) {
	st := h.state(id)
	wasFresh := h.fresh(now, st)
	if p, ok := st.partner(h.self.Ref); ok && p == h.self.Ref {
		st.readAt = now // self-vouched until now
	}
	until := st.freshUntil()
	kept := false
	for k := range st.tenures {
		t := &st.tenures[k]
		mine := e.Holders[k] == h.self.Ref
		if mine && t.held && t.since == e.Since[k] {
			kept = true
			continue
		}
		if t.held && wasFresh && h.cleared(now, st, k) {
			st.lameUntil[k] = until
		}
		*t = tenure{}
		if mine {
			*t = newTenure(now, e.Since[k])
		}
	}
	if !kept {
		st.vouchedAt, st.readAt = 0, 0
	}
	st.entry = e
	st.newest = max(st.newest, e.Epoch)
	h.index(id, st)
}

// confirm records a vouch or read that was requested at the given time.
func (st *state) confirm(now clock.Time) {
	if now >= st.freshUntil() {
		return
	}
	for k := range st.tenures {
		st.tenures[k].confirmed = st.tenures[k].held
	}
}

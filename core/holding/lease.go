package holding

import (
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

const (
	// leaseDuration is how long a renewal by the partner, or a read of the store,
	// keeps a lease valid, counted from the time at which it was requested.
	leaseDuration = 2000 * clock.Millisecond
	// heartbeatTimeout is the time without a message after which a peer counts
	// as unreachable.
	heartbeatTimeout = 1500 * clock.Millisecond
	// isolationLimit is how long a holder that receives messages from no peer
	// continues to send to targets.
	isolationLimit = 3 * clock.Second
	// maxPause limits the gap between two inputs. After a longer gap the instance
	// assumes that it was paused.
	maxPause = 250 * clock.Millisecond
	// maxRenewalAge is the age of the newest renewal, counted from its request,
	// at which a holder falls back on reads of the store. Renewals that arrive on
	// time are at most one interval and two round trips old, and a read needs the
	// rest of leaseDuration.
	maxRenewalAge = 1250 * clock.Millisecond
)

// withDrift lengthens a duration that another instance's clock measured. The
// rates of two clocks are assumed to differ by at most 10 %.
func withDrift(d clock.Duration) clock.Duration { return (11*d + 9) / 10 }

// assignment is the period in which this instance holds one share without
// interruption. It starts with the epoch at which the instance received the share.
type assignment struct {
	held       bool
	sinceEpoch uint64
	learnedAt  clock.Time // when the assignment became known; not before the table write
	// confirmed is set once a renewal or a read of the store made the lease valid
	// during the assignment. Only then may the holder continue after the lease has
	// expired. Without it, the entry may have arrived so late that a newer one had
	// long given the share to another instance.
	confirmed     bool
	workEndsAt    map[topology.InstanceRef]clock.Time // for each former holder that acknowledged sinceEpoch or a later epoch, when its work has ended
	renewalsEndAt map[renewal]clock.Time              // for each instance that acknowledged such an epoch, when its last renewal and the work under it have ended
}

// renewal identifies an instance that may have renewed a lease, and the instance
// whose lease it is.
type renewal struct{ by, to topology.InstanceRef }

func newAssignment(now clock.Time, sinceEpoch uint64) assignment {
	return assignment{
		held: true, sinceEpoch: sinceEpoch, learnedAt: now,
		workEndsAt:    map[topology.InstanceRef]clock.Time{},
		renewalsEndAt: map[renewal]clock.Time{},
	}
}

// serviceState is what this instance knows of one service, and its assignments
// and lease.
type serviceState struct {
	entry       Entry
	newestEpoch uint64 // highest epoch that any message named; above entry.Epoch until the entry arrives
	assignments [2]assignment
	// renewedAt and readAt are the request times of the newest renewal received
	// and of the newest read that showed the entry unchanged; 0 when there is
	// none.
	renewedAt, readAt clock.Time
	// handoverUntil is set for a share that this instance held with a valid lease
	// until it learned that another instance received it. It is the time at which
	// that lease expires. The share stays usable until then, so that a planned
	// transfer has no gap. An acknowledgement gives the share up earlier and sets
	// handoverUntil to 0.
	handoverUntil [2]clock.Time
	// lastRenewalSent is when this instance last renewed each other instance's
	// lease on the service.
	lastRenewalSent map[topology.InstanceRef]clock.Time
}

func (st *serviceState) holds() bool { return st.assignments[0].held || st.assignments[1].held }

// leaseEnd returns when the lease expires unless it is renewed.
func (st *serviceState) leaseEnd() clock.Time {
	at := max(st.renewedAt, st.readAt)
	if at == 0 {
		return 0
	}
	return at.Add(leaseDuration)
}

// partner returns the holder of the other share when self holds a share. It is
// self when self holds both.
func (st *serviceState) partner(self topology.InstanceRef) (topology.InstanceRef, bool) {
	k := slices.Index(st.entry.Holders[:], self)
	if k < 0 {
		return topology.InstanceRef{}, false
	}
	return st.entry.Holders[1-k], true
}

// leaseValid reports whether the lease is valid. The lease of a holder of both
// shares is valid without renewals: when the shares get new holders, these never
// consider it expired (see leaseExpired), so only its own acknowledgement or its
// termination ends it.
func (h *Holder) leaseValid(now clock.Time, st *serviceState) bool {
	if p, ok := st.partner(h.self.Ref); ok && p == h.self.Ref {
		return true
	}
	return now < st.leaseEnd()
}

// UsableShares returns, for each share, whether the instance may now start work
// on warm and on cold targets with it; warm and cold are the states that a target
// reports with its answers, and a target without a recent answer counts as cold.
// Warm without cold means that the lease has expired and that the holder only
// continues on targets that are already warm.
func (h *Holder) UsableShares(now clock.Time, service topology.ServiceID) (warm, cold [2]bool) {
	st := h.states[service]
	if st == nil {
		return warm, cold
	}
	valid := h.leaseValid(now, st)
	mayContinue := false
	// A newer epoch than that of the entry means that the entry has been replaced.
	if !valid && st.newestEpoch <= st.entry.Epoch {
		if h.continueCheckedAt != now {
			h.continueCheckedAt, h.continueAllowed = now, h.mayContinue(now)
		}
		mayContinue = h.continueAllowed
	}
	for k := range st.assignments {
		asg := &st.assignments[k]
		switch {
		case asg.held && h.formerHoldersEnded(now, st, k):
			warm[k] = valid || mayContinue && asg.confirmed
			cold[k] = valid
		case now < st.handoverUntil[k]:
			warm[k], cold[k] = true, true
		}
	}
	return warm, cold
}

// mayContinue reports whether a holder whose lease has expired may send to warm
// targets. It may while neither this instance nor any live peer reaches the store;
// without a live peer, it may only for isolationLimit unless it knows no other
// instance. After a pause it first waits until every live peer must have sent a
// heartbeat, because heartbeats received before the pause say nothing about the
// present. UsableShares adds the conditions for a single service: no newer epoch is
// known, and the assignment is confirmed.
func (h *Holder) mayContinue(now clock.Time) bool {
	if h.storeReachable || now.Sub(h.lastInput) > maxPause || now < h.listenUntil {
		return false
	}
	anyLive, anyReachesStore := h.livePeers(now)
	if anyLive {
		return !anyReachesStore
	}
	return now.Sub(h.lastHeartbeat) < isolationLimit || !h.knowsOthers()
}

// livePeers reports whether any peer has sent a message within heartbeatTimeout,
// and whether such a peer reaches the store.
func (h *Holder) livePeers(now clock.Time) (anyLive, anyReachesStore bool) {
	for _, p := range h.peers {
		if p.heartbeatAt > 0 && now.Sub(p.heartbeatAt) < heartbeatTimeout {
			anyLive = true
			anyReachesStore = anyReachesStore || p.reachesStore
		}
	}
	return anyLive, anyReachesStore
}

// formerHoldersEnded reports whether the lease of every former holder of share k
// is known to have ended, and so has the work under it.
func (h *Holder) formerHoldersEnded(now clock.Time, st *serviceState, k int) bool {
	for _, f := range st.entry.Former[k] {
		if !h.formerHolderEnded(now, st, k, f) {
			return false
		}
	}
	return true
}

// formerHolderEnded reports whether the lease of former holder f of share k is
// known to have ended, and so has the work under it. One of three rules must show
// it:
//
//  1. f acknowledged the epoch at which this instance received the share, or a
//     later one, and its work in flight has ended since.
//  2. f terminated, and the calls that it sent to targets have ended since.
//  3. The lease of f expired, because no instance that could renew it does so any
//     more, and the work under it has ended; see leaseExpired.
func (h *Holder) formerHolderEnded(now clock.Time, st *serviceState, k int, f message.FormerHolder) bool {
	if f.Ref == h.self.Ref {
		return true
	}
	asg := &st.assignments[k]
	if until, ok := asg.workEndsAt[f.Ref]; ok && now >= until {
		return true
	}
	if at, ok := h.terminatedAt(f.Ref); ok && now >= at.Add(withDrift(message.MaxTargetCallDuration)) {
		return true
	}
	return h.leaseExpired(now, st, asg, f)
}

// leaseExpired applies rule 3 of formerHolderEnded to f.Partners, the instances that
// could renew the lease of f. The first one is the partner of f in the last epoch in
// which f held the share; unless it is this instance, it must have acknowledged. The
// others were partners in earlier epochs; for them it is also enough to have
// terminated, which ends their renewals. The rule does not apply to a former holder
// of both shares, which is its own partner and needs no renewals.
func (h *Holder) leaseExpired(now clock.Time, st *serviceState, asg *assignment, f message.FormerHolder) bool {
	if now < asg.learnedAt.Add(withDrift(leaseDuration+message.MaxTargetCallDuration)) || len(f.Partners) == 0 {
		return false
	}
	for i, p := range f.Partners {
		if p == f.Ref {
			return false
		}
		until, ok := asg.renewalsEndAt[renewal{p, f.Ref}]
		if p == h.self.Ref {
			until, ok = st.lastRenewalSent[f.Ref].Add(withDrift(leaseDuration+message.MaxTargetCallDuration)), true
		}
		if at, terminated := h.terminatedAt(p); !ok && terminated && i > 0 {
			until, ok = at.Add(withDrift(leaseDuration+message.MaxTargetCallDuration)), true
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

// adoptEntry replaces a service's entry by one with a higher epoch. The lease
// carries over if this instance keeps a share, whatever happens to the other one.
func (h *Holder) adoptEntry(now clock.Time, id topology.ServiceID, e Entry) {
	st := h.state(id)
	wasValid := h.leaseValid(now, st)
	if p, ok := st.partner(h.self.Ref); ok && p == h.self.Ref {
		st.readAt = now // the lease was valid without renewals until now, and from now on needs them
	}
	until := st.leaseEnd()
	kept := false
	for k := range st.assignments {
		asg := &st.assignments[k]
		mine := e.Holders[k] == h.self.Ref
		if mine && asg.held && asg.sinceEpoch == e.Since[k] {
			kept = true
			continue
		}
		if asg.held && wasValid && h.formerHoldersEnded(now, st, k) {
			st.handoverUntil[k] = until
		}
		*asg = assignment{}
		if mine {
			*asg = newAssignment(now, e.Since[k])
		}
	}
	if !kept {
		st.renewedAt, st.readAt = 0, 0
	}
	st.entry = e
	st.newestEpoch = max(st.newestEpoch, e.Epoch)
	h.updateHeldServices(id, st)
}

// markConfirmed marks the held shares as confirmed if a renewal or a read makes the
// lease valid at now. Holding both shares, which suffices for leaseValid, does not
// count here.
func (st *serviceState) markConfirmed(now clock.Time) {
	if now >= st.leaseEnd() {
		return
	}
	for k := range st.assignments {
		st.assignments[k].confirmed = st.assignments[k].held
	}
}

package holding

import (
	"fmt"
	"slices"

	"knapweedstall/core/allowance"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// settled is how long a link must have worked for its end to count as had: the
// silence after which a peer is not heard.
const settled = 1500

// note records which links do not work at this moment.
func (w *world) note() {
	for p, cut := range w.cut {
		if cut {
			w.bad[p] = w.now
		}
	}
	for p, slow := range w.slow {
		if slow {
			w.bad[p] = w.now
		}
	}
	if w.storeDown {
		w.downAt = w.now
	}
}

func (w *world) linked(a, b int) bool {
	at, ok := w.bad[pair(a, b)]
	return !ok || w.now-at > settled
}

// had reports whether the node ran and was linked to machine m.
func (w *world) had(n *node, m int) bool {
	return !n.dead && w.now-n.pausedUntil > settled && w.now-n.started > settled && w.linked(n.machine, m)
}

func (w *world) hasStore(n *node) bool {
	return w.now-w.downAt > settled && w.linked(storeEnd, n.machine)
}

// exempt reports whether the design allows the node to continue on the service's
// warm targets without a right: it has neither the store, itself or through a
// peer, nor the partner that it knows, while the store already has a newer
// entry. It uses the true state of the links, not what the node believes.
func (w *world) exempt(n *node, s topology.ServiceID) bool {
	e, _ := n.h.Holders(s)
	if w.buckets[BucketKey("ga", s, 2)].Entries[s].Epoch <= e.Epoch || w.hasStore(n) {
		return false
	}
	for _, p := range w.machines {
		partner := p.member.Ref == e.Holders[0] || p.member.Ref == e.Holders[1]
		if p != n && w.had(p, n.machine) && (partner || w.hasStore(p)) {
			return false
		}
	}
	return true
}

// load lets every running node start as much work as its rights allow.
func (w *world) load() {
	for _, n := range w.nodes {
		for i, s := range w.services {
			var warm, cold [2]bool
			if n.running() {
				warm, cold = n.h.UsableShares(n.local(), s.ID)
			}
			for share := range 2 {
				exempt := warm[share] && !cold[share] && w.exempt(n, s.ID)
				for p, pr := range probes {
					u := &n.uses[i][share][p]
					u.usable, u.exempt = pr.cold && cold[share] || !pr.cold && warm[share], exempt
					if u.usable {
						u.start(n, allowance.Slots(share, pr.index, pr.limit))
					}
				}
			}
		}
	}
}

// start fills the slots with calls; a third of them last up to their deadline.
func (u *usage) start(n *node, slots int) {
	for len(u.calls) < slots {
		d := 20 + n.w.rng.Int64N(400)
		if n.w.rng.IntN(3) == 0 {
			d = int64(float64(message.MaxTargetCallDuration) / n.rate)
		}
		u.calls = append(u.calls, call{n.w.now + d, u.exempt})
	}
}

// check adds up, for every service and probe, the slots that all instances may
// use and the calls still in flight, and fails when the sum is over the limit.
func (w *world) check() {
	busy := map[*node]bool{}
	for i, s := range w.services {
		for p, pr := range probes {
			all, strict := 0, 0
			for _, n := range w.nodes {
				for share := range 2 {
					u := &n.uses[i][share][p]
					u.calls = slices.DeleteFunc(u.calls, func(c call) bool { return c.end <= w.now })
					ours := 0
					for _, c := range u.calls {
						busy[n] = true
						if !c.exempt {
							ours++
						}
					}
					slots := 0
					if u.usable {
						slots = allowance.Slots(share, pr.index, pr.limit)
					}
					all += max(slots, len(u.calls))
					if !u.exempt {
						ours = max(slots, ours)
					}
					strict += ours
				}
			}
			if all > pr.limit {
				w.allowed++
			}
			if strict > pr.limit && w.failure == "" {
				w.failure = fmt.Sprintf("at %d ms: %s, probe %+v: %d slots in use\n%s", w.now, s.ID, pr, strict, w.describe(i))
			}
		}
	}
	w.nodes = slices.DeleteFunc(w.nodes, func(n *node) bool { return n.dead && !busy[n] })
}

// describe lists what every instance knows of the service and may do.
func (w *world) describe(i int) string {
	out := fmt.Sprintf("store down %v, cut %v, slow %v\n", w.storeDown, w.cut, w.slow)
	for _, n := range w.nodes {
		e, _ := n.h.Holders(w.services[i].ID)
		warm, cold := n.h.UsableShares(n.local(), w.services[i].ID)
		out += fmt.Sprintf("  %v running %v warm %v cold %v entry %+v uses %+v\n", n.member.Ref, n.running(), warm, cold, e, n.uses[i])
	}
	return out
}

// uncovered returns the index of a service that lacks an active holder of a
// share, or -1.
func (w *world) uncovered() int {
	for i, s := range w.services {
		var active [2]bool
		for _, n := range w.machines {
			if n.running() {
				_, cold := n.h.UsableShares(n.local(), s.ID)
				active[0], active[1] = active[0] || cold[0], active[1] || cold[1]
			}
		}
		if active != [2]bool{true, true} {
			return i
		}
	}
	return -1
}

package holding

import (
	"fmt"

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
	o := w.objects[BucketKey("ga", s, 2)]
	b, err := DecodeBucket("", o.version, o.value)
	if err != nil || b.Entries[s].Epoch <= e.Epoch || w.hasStore(n) {
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
	w.usable = map[callKey]bool{}
	for _, n := range w.machines {
		if !n.running() {
			continue
		}
		for _, s := range w.services {
			warm, cold := n.h.Use(n.local(), s.ID)
			for share := range 2 {
				for p, pr := range probes {
					if pr.cold && !cold[share] || !warm[share] {
						continue
					}
					w.fill(callKey{s.ID, p, n, share}, !pr.cold && !cold[share] && w.exempt(n, s.ID))
				}
			}
		}
	}
}

func (w *world) fill(key callKey, exempt bool) {
	w.usable[key] = exempt
	pr := probes[key.probe]
	for n := Slots(key.share, pr.index, pr.limit) - len(w.calls[key]); n > 0; n-- {
		d := 20 + w.rng.Int64N(400)
		if w.rng.IntN(3) == 0 {
			d = int64(float64(maxTargetWork) / key.node.rate) // up to the deadline by the node's clock
		}
		w.calls[key] = append(w.calls[key], call{w.now + d, exempt})
	}
}

// check adds up, for every service and probe, the slots that all instances may
// use and the calls still in flight, and fails when the sum is over the limit.
func (w *world) check() {
	type target struct {
		service topology.ServiceID
		probe   int
	}
	all, strict := map[target]int{}, map[target]int{}
	for key, calls := range w.calls {
		kept, ours := calls[:0], 0
		for _, c := range calls {
			if c.end > w.now {
				kept = append(kept, c)
				if !c.exempt {
					ours++
				}
			}
		}
		w.calls[key] = kept
		t, slots := target{key.service, key.probe}, 0
		exempt, usable := w.usable[key]
		if usable {
			slots = Slots(key.share, probes[key.probe].index, probes[key.probe].limit)
		}
		all[t] += max(slots, len(kept))
		if exempt {
			slots = 0
		}
		strict[t] += max(slots, ours)
		if len(kept) == 0 && !usable {
			delete(w.calls, key)
		}
	}
	for t, n := range all {
		limit := probes[t.probe].limit
		if n > limit {
			w.allowed++
		}
		if strict[t] > limit && w.failure == "" {
			w.failure = fmt.Sprintf("at %d ms: %s, probe %+v: %d slots in use\n%s", w.now, t.service, probes[t.probe], strict[t], w.describe(t.service))
		}
	}
}

// describe lists what every instance knows of the service and may do.
func (w *world) describe(s topology.ServiceID) string {
	out := fmt.Sprintf("store down %v, cut %v, slow %v\n", w.storeDown, w.cut, w.slow)
	for key, calls := range w.calls {
		if key.service == s && len(calls) > 0 {
			out += fmt.Sprintf("  %v share %d probe %d: %v\n", key.node.member.Ref, key.share, key.probe, calls)
		}
	}
	for _, n := range w.machines {
		e, _ := n.h.Holders(s)
		warm, cold := n.h.Use(n.local(), s)
		out += fmt.Sprintf("  %v running %v warm %v cold %v entry %+v\n", n.member.Ref, n.running(), warm, cold, e)
	}
	return out
}

// uncovered returns a service that lacks an active holder of a share, or "".
func (w *world) uncovered() topology.ServiceID {
	for _, s := range w.services {
		var active [2]bool
		for _, n := range w.machines {
			if n.running() {
				_, cold := n.h.Use(n.local(), s.ID)
				active[0], active[1] = active[0] || cold[0], active[1] || cold[1]
			}
		}
		if active != [2]bool{true, true} {
			return s.ID
		}
	}
	return ""
}

package holding

import (
	"fmt"
	"slices"

	"knapweedstall/core/allowance"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// linkSettleTime is how long a link must have worked before its ends count as
// reachable for each other. It equals heartbeatTimeout.
const linkSettleTime = 1500

// recordFaults records which links, and whether the store, do not work now.
func (sim *simulation) recordFaults() {
	for p, cut := range sim.cutLinks {
		if cut {
			sim.lastFault[p] = sim.now
		}
	}
	for p, slow := range sim.slowLinks {
		if slow {
			sim.lastFault[p] = sim.now
		}
	}
	if sim.storeDown {
		sim.storeDownAt = sim.now
	}
}

func (sim *simulation) linkStable(a, b int) bool {
	at, ok := sim.lastFault[pair(a, b)]
	return !ok || sim.now-at > linkSettleTime
}

// reachable reports whether the instance has been running and linked to machine m
// for linkSettleTime.
func (sim *simulation) reachable(n *simInstance, m int) bool {
	return !n.dead && sim.now-n.pausedUntil > linkSettleTime && sim.now-n.started > linkSettleTime && sim.linkStable(n.machine, m)
}

func (sim *simulation) storeStable(n *simInstance) bool {
	return sim.now-sim.storeDownAt > linkSettleTime && sim.linkStable(storeEndpoint, n.machine)
}

// exempt reports whether the design allows the instance to continue on the
// service's warm targets although its lease has expired: it reaches neither the
// store, by itself or through a peer, nor the partner that it knows, while the
// store already has a newer entry. It uses the true state of the links, not what
// the instance knows of it.
func (sim *simulation) exempt(n *simInstance, s topology.ServiceID) bool {
	e, _ := n.h.Holders(s)
	if sim.buckets[BucketKey("ga", s, 2)].Entries[s].Epoch <= e.Epoch || sim.storeStable(n) {
		return false
	}
	for _, p := range sim.machines {
		partner := p.member.Ref == e.Holders[0] || p.member.Ref == e.Holders[1]
		if p != n && sim.reachable(p, n.machine) && (partner || sim.storeStable(p)) {
			return false
		}
	}
	return true
}

// startWork lets every running instance start as much work as its leases allow.
func (sim *simulation) startWork() {
	for _, n := range sim.instances {
		for i, s := range sim.services {
			var warm, cold [2]bool
			if n.running() {
				warm, cold = n.h.UsableShares(n.local(), s.ID)
			}
			for share := range 2 {
				exempt := warm[share] && !cold[share] && sim.exempt(n, s.ID)
				for p, target := range simTargets {
					u := &n.usage[i][share][p]
					u.usable, u.exempt = target.cold && cold[share] || !target.cold && warm[share], exempt
					if u.usable {
						u.start(n, allowance.Slots(share, target.index, target.limit))
					}
				}
			}
		}
	}
}

// start fills the slots with calls, a third of which last until their deadline.
func (u *usage) start(n *simInstance, slots int) {
	for len(u.calls) < slots {
		d := 20 + n.sim.rng.Int64N(400)
		if n.sim.rng.IntN(3) == 0 {
			d = int64(float64(message.MaxTargetCallDuration) / n.rate)
		}
		u.calls = append(u.calls, call{n.sim.now + d, u.exempt})
	}
}

// checkLimits adds up, for every service and simulated target, the slots that all
// instances may use and the calls still in flight, and records a failure when the
// sum exceeds the limit.
func (sim *simulation) checkLimits() {
	busy := map[*simInstance]bool{}
	for i, s := range sim.services {
		for p, target := range simTargets {
			all, strict := 0, 0
			for _, n := range sim.instances {
				for share := range 2 {
					u := &n.usage[i][share][p]
					u.calls = slices.DeleteFunc(u.calls, func(c call) bool { return c.end <= sim.now })
					nonExempt := 0
					for _, c := range u.calls {
						busy[n] = true
						if !c.exempt {
							nonExempt++
						}
					}
					slots := 0
					if u.usable {
						slots = allowance.Slots(share, target.index, target.limit)
					}
					all += max(slots, len(u.calls))
					if !u.exempt {
						nonExempt = max(slots, nonExempt)
					}
					strict += nonExempt
				}
			}
			if all > target.limit {
				sim.exemptExcess++
			}
			if strict > target.limit && sim.failure == "" {
				sim.failure = fmt.Sprintf("at %d ms: %s, target %+v: %d slots in use\n%s", sim.now, s.ID, target, strict, sim.describe(i))
			}
		}
	}
	sim.instances = slices.DeleteFunc(sim.instances, func(n *simInstance) bool { return n.dead && !busy[n] })
}

// describe lists what every instance knows of the service and which shares it may
// use.
func (sim *simulation) describe(i int) string {
	out := fmt.Sprintf("store down %v, cut %v, slow %v\n", sim.storeDown, sim.cutLinks, sim.slowLinks)
	for _, n := range sim.instances {
		e, _ := n.h.Holders(sim.services[i].ID)
		warm, cold := n.h.UsableShares(n.local(), sim.services[i].ID)
		out += fmt.Sprintf("  %v running %v warm %v cold %v entry %+v uses %+v\n", n.member.Ref, n.running(), warm, cold, e, n.usage[i])
	}
	return out
}

// firstServiceWithoutHolders returns the index of the first service that has no
// active holder of one of its shares, or -1.
func (sim *simulation) firstServiceWithoutHolders() int {
	for i, s := range sim.services {
		var active [2]bool
		for _, n := range sim.machines {
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

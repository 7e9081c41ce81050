package holding

import (
	"cmp"
	"slices"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// planner computes from the current holder table the table that should replace it.
// A holding is one share that an instance holds.
type planner struct {
	services    []topology.Service // services of the region, in ascending order of ID
	eligible    []topology.Member  // instances that may receive holdings, in ascending order of ID
	entries     map[topology.ServiceID]Entry
	load        map[topology.InstanceRef]int // holdings of each eligible instance
	zones       map[topology.InstanceRef]topology.ZoneID
	vacant      func(s topology.ServiceID, e Entry, k int) bool
	formerEnded func(s topology.ServiceID, e Entry, k int, f message.FormerHolder) bool
}

// run updates p.entries and returns the services whose entries changed, in
// ascending order. When no entry needs a change, one holding of source is moved if
// source has too many; a zero source moves none.
func (p *planner) run(source topology.InstanceRef) []topology.ServiceID {
	if len(p.eligible) == 0 {
		return nil
	}
	p.countLoad()
	var changed []topology.ServiceID
	for _, s := range p.services {
		if p.fillVacancies(s) {
			changed = append(changed, s.ID)
		}
	}
	if len(changed) == 0 && !source.IsZero() {
		if id, ok := p.rebalance(source); ok {
			changed = append(changed, id)
		}
	}
	return changed
}

func (p *planner) countLoad() {
	p.load = make(map[topology.InstanceRef]int, len(p.eligible))
	for _, m := range p.eligible {
		p.load[m.Ref] = 0
	}
	for _, s := range p.services {
		for _, ref := range p.entries[s.ID].Holders {
			p.addLoad(ref, 1)
		}
	}
}

func (p *planner) addLoad(ref topology.InstanceRef, n int) {
	if _, ok := p.load[ref]; ok {
		p.load[ref] += n
	}
}

// fillVacancies assigns the service's vacant shares to eligible instances and
// removes former holders whose lease has ended. It reports whether the entry
// changed.
func (p *planner) fillVacancies(s topology.Service) bool {
	old := p.entries[s.ID]
	e := old
	pruned := p.pruneFormer(s.ID, &e)
	vacant := [2]bool{p.vacant(s.ID, e, 0), p.vacant(s.ID, e, 1)}
	if !vacant[0] && !vacant[1] && p.colocated(s, e) {
		vacant[1] = true
	}
	// Changes of both shares belong to one epoch, so that a holder is never the
	// partner of an instance that the same write replaces.
	next := e
	for k := range 2 {
		if !vacant[k] {
			continue
		}
		var other topology.InstanceRef
		if !vacant[1-k] || k == 1 {
			other = next.Holders[1-k]
		}
		ref := p.choose(s, other)
		if ref == e.Holders[k] {
			continue
		}
		p.addLoad(e.Holders[k], -1)
		p.addLoad(ref, 1)
		replaced := replaceHolder(e, k, ref)
		next.Epoch, next.Holders[k], next.Since[k], next.Former[k] = replaced.Epoch, ref, replaced.Epoch, replaced.Former[k]
	}
	if !pruned && next.Epoch == old.Epoch {
		return false
	}
	p.entries[s.ID] = next
	return true
}

// pruneFormer removes the former holders whose lease has ended and reports whether
// there were any.
func (p *planner) pruneFormer(id topology.ServiceID, e *Entry) bool {
	pruned := false
	for k := range 2 {
		var kept []message.FormerHolder
		for _, f := range e.Former[k] {
			if !p.formerEnded(id, *e, k, f) {
				kept = append(kept, f)
			}
		}
		pruned = pruned || len(kept) != len(e.Former[k])
		e.Former[k] = kept
	}
	return pruned
}

// colocated reports whether both shares are on one instance or in one zone although
// an eligible instance in another place would separate them: one loss would leave
// no holder.
func (p *planner) colocated(s topology.Service, e Entry) bool {
	rank := placementRank(p.zones, s, e.Holders[1], e.Holders[0])
	if rank < sameZone {
		return false
	}
	ref := p.choose(s, e.Holders[0])
	return placementRank(p.zones, s, ref, e.Holders[0])/sameZone < rank/sameZone
}

// Placement ranks of a holder relative to the other one, best first. Dividing a
// rank by sameZone ignores whether the zone has a target of the service.
const (
	otherZoneWithTarget = iota
	otherZone
	sameZone
	sameInstance = 2 * sameZone
)

// placementRank ranks ref as a holder of a share of s when the other share is held
// by other.
func placementRank(zones map[topology.InstanceRef]topology.ZoneID, s topology.Service, ref, other topology.InstanceRef) int {
	switch {
	case ref == other:
		return sameInstance
	case zones[ref] == zones[other] && !other.IsZero():
		return sameZone
	case slices.ContainsFunc(s.Targets, func(t topology.Target) bool { return t.Zone == zones[ref] }):
		return otherZoneWithTarget
	}
	return otherZone
}

// choose returns the eligible instance that is the best holder when other holds
// the other share: by placement rank, then by fewest holdings, then by hash.
func (p *planner) choose(s topology.Service, other topology.InstanceRef) topology.InstanceRef {
	best := p.eligible[0].Ref
	for _, m := range p.eligible[1:] {
		if p.compare(s, other, m.Ref, best) < 0 {
			best = m.Ref
		}
	}
	return best
}

func (p *planner) compare(s topology.Service, other, a, b topology.InstanceRef) int {
	if c := cmp.Compare(placementRank(p.zones, s, a, other), placementRank(p.zones, s, b, other)); c != 0 {
		return c
	}
	if c := cmp.Compare(p.load[a], p.load[b]); c != 0 {
		return c
	}
	return cmp.Compare(topology.Hash64(string(s.ID), string(a.ID)), topology.Hash64(string(s.ID), string(b.ID)))
}

// rebalance moves one holding from ref to another instance when ref has at least 2
// more holdings than the least loaded instance and over 25 % more than the mean. A
// move never worsens the placement rank, and a service is moved only when its
// earlier transfers are complete.
func (p *planner) rebalance(ref topology.InstanceRef) (topology.ServiceID, bool) {
	own, ok := p.load[ref]
	total, least := 0, own
	for _, n := range p.load {
		total += n
		least = min(least, n)
	}
	if !ok || own < least+2 || 4*own*len(p.load) <= 5*total {
		return "", false
	}
	for _, s := range p.services {
		e := p.entries[s.ID]
		k := slices.Index(e.Holders[:], ref)
		if k < 0 || len(e.Former[0])+len(e.Former[1]) > 0 {
			continue
		}
		to := p.choose(s, e.Holders[1-k])
		if p.load[to]+2 <= own && placementRank(p.zones, s, to, e.Holders[1-k]) <= placementRank(p.zones, s, ref, e.Holders[1-k]) {
			p.entries[s.ID] = replaceHolder(e, k, to)
			p.addLoad(ref, -1)
			p.addLoad(to, 1)
			return s.ID, true
		}
	}
	return "", false
}

package holding

import (
	"cmp"
	"slices"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// planner computes the table that should be in force from the present one.
type planner struct {
	services []topology.Service // of the region, ascending by id
	eligible []topology.Member  // may receive holdings, ascending by id
	entries  map[topology.ServiceID]Entry
	load     map[topology.InstanceRef]int // holdings of each eligible instance
	zones    map[topology.InstanceRef]topology.ZoneID
	vacant   func(s topology.ServiceID, e Entry, k int) bool
	ended    func(s topology.ServiceID, e Entry, k int, f message.FormerHolder) bool
}

// run updates p.entries and returns the services whose entries changed, in
// ascending order. The instance relieve gives up one holding when it has too
// many; a zero relieve moves none.
func (p *planner) run(relieve topology.InstanceRef) []topology.ServiceID {
	if len(p.eligible) == 0 {
		return nil
	}
	p.count()
	var changed []topology.ServiceID
	for _, s := range p.services {
		if p.fill(s) {
			changed = append(changed, s.ID)
		}
	}
	if len(changed) == 0 && !relieve.IsZero() {
		if id, ok := p.relieve(relieve); ok {
			changed = append(changed, id)
		}
	}
	return changed
}

func (p *planner) count() {
	p.load = make(map[topology.InstanceRef]int, len(p.eligible))
	for _, m := range p.eligible {
		p.load[m.Ref] = 0
	}
	for _, s := range p.services {
		for _, ref := range p.entries[s.ID].Holders {
			p.add(ref, 1)
		}
	}
}

func (p *planner) add(ref topology.InstanceRef, n int) {
	if _, ok := p.load[ref]; ok {
		p.load[ref] += n
	}
}

// fill gives the service's vacant shares to eligible instances and drops former
// holders whose right ended. It reports whether the entry changed.
func (p *planner) fill(s topology.Service) bool {
	old := p.entries[s.ID]
	e := old
	pruned := p.prune(s.ID, &e)
	vacant := [2]bool{p.vacant(s.ID, e, 0), p.vacant(s.ID, e, 1)}
	if !vacant[0] && !vacant[1] && p.crowded(s, e) {
		vacant[1] = true
	}
	// Both changes belong to one epoch, so that a holder is never a partner of
	// an instance that the same write replaces.
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
		p.add(e.Holders[k], -1)
		p.add(ref, 1)
		one := replace(e, k, ref)
		next.Epoch, next.Holders[k], next.Since[k], next.Former[k] = one.Epoch, ref, one.Epoch, one.Former[k]
	}
	if !pruned && next.Epoch == old.Epoch {
		return false
	}
	p.entries[s.ID] = next
	return true
}

// prune drops the former holders whose right ended and reports whether there
// were any.
func (p *planner) prune(id topology.ServiceID, e *Entry) bool {
	pruned := false
	for k := range 2 {
		var kept []message.FormerHolder
		for _, f := range e.Former[k] {
			if !p.ended(id, *e, k, f) {
				kept = append(kept, f)
			}
		}
		pruned = pruned || len(kept) != len(e.Former[k])
		e.Former[k] = kept
	}
	return pruned
}

// crowded reports whether both holders share an instance or a zone although
// another zone has an eligible instance: one loss would leave no holder.
func (p *planner) crowded(s topology.Service, e Entry) bool {
	same := placement(p.zones, s, e.Holders[1], e.Holders[0])
	if same < sameZone {
		return false
	}
	ref := p.choose(s, e.Holders[0])
	return placement(p.zones, s, ref, e.Holders[0])/sameZone < same/sameZone
}

// Placement ranks, best first. Dividing by sameZone ignores whether the zone has
// a target of the service.
const (
	otherZoneWithTarget = iota
	otherZone
	sameZone
	sameInstance = 2 * sameZone
)

func placement(zones map[topology.InstanceRef]topology.ZoneID, s topology.Service, ref, other topology.InstanceRef) int {
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

// choose returns the eligible instance that fits best beside the other holder:
// by placement, then fewest holdings, then hash.
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
	if c := cmp.Compare(placement(p.zones, s, a, other), placement(p.zones, s, b, other)); c != 0 {
		return c
	}
	if c := cmp.Compare(p.load[a], p.load[b]); c != 0 {
		return c
	}
	return cmp.Compare(topology.Hash64(string(s.ID), string(a.ID)), topology.Hash64(string(s.ID), string(b.ID)))
}

// relieve moves one holding away from ref when ref has at least 2 more than the
// least loaded instance and over 25 % more than the mean. A move never worsens
// the placement, and waits until earlier transfers of the service are complete.
func (p *planner) relieve(ref topology.InstanceRef) (topology.ServiceID, bool) {
	mine, ok := p.load[ref]
	total, least := 0, mine
	for _, n := range p.load {
		total += n
		least = min(least, n)
	}
	if !ok || mine < least+2 || 4*mine*len(p.load) <= 5*total {
		return "", false
	}
	for _, s := range p.services {
		e := p.entries[s.ID]
		k := slices.Index(e.Holders[:], ref)
		if k < 0 || len(e.Former[0])+len(e.Former[1]) > 0 {
			continue
		}
		to := p.choose(s, e.Holders[1-k])
		if p.load[to]+2 <= mine && placement(p.zones, s, to, e.Holders[1-k]) <= placement(p.zones, s, ref, e.Holders[1-k]) {
			p.entries[s.ID] = replace(e, k, to)
			p.add(ref, -1)
			p.add(to, 1)
			return s.ID, true
		}
	}
	return "", false
}

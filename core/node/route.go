package node

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/query"
	"knapweedstall/core/topology"
)

const (
	// queueDelayTTL is the time for which a reported queueing delay is used.
	queueDelayTTL = 200 * clock.Millisecond
	// refusedTTL is the time for which an instance is avoided after it replied
	// that it does not hold the service. After that time, its copy of the holder
	// table is as recent as the local one.
	refusedTTL = 300 * clock.Millisecond
	// outstandingCost is the number of milliseconds of queueing delay that a
	// sub-request without a reply counts for.
	outstandingCost = 4
)

// serviceLoad is what an entry instance knows about the load of a service's holders.
type serviceLoad struct {
	holders map[topology.InstanceRef]*holderLoad
}

type holderLoad struct {
	outstanding int
	queueDelay  clock.Duration // reported at reportedAt
	reportedAt  clock.Time
	refusedAt   clock.Time // when it last replied that it does not hold the service; 0 for never
}

// router is the query.Router of a Node. It chooses holders for sub-requests.
type router struct{ n *Node }

// Route implements query.Router. It returns the holder with the lowest score, other
// than avoid. It reports false if there is none that is a known member.
func (r router) Route(now clock.Time, service topology.ServiceID, avoid topology.InstanceRef) (topology.InstanceRef, bool) {
	e, ok := r.n.holder.Holders(service)
	if !ok {
		return topology.InstanceRef{}, false
	}
	var best topology.InstanceRef
	bestScore := int64(-1)
	for i, ref := range e.Holders {
		if ref.IsZero() || ref == avoid || i == 1 && ref == e.Holders[0] {
			continue
		}
		score, ok := r.n.holderScore(now, service, ref)
		if ok && (bestScore < 0 || score < bestScore) {
			best, bestScore = ref, score
		}
	}
	return best, bestScore >= 0
}

// holderScore returns a score that is lower for a holder that is expected to
// answer sooner. It reports false if the holder is not a known member.
func (n *Node) holderScore(now clock.Time, service topology.ServiceID, ref topology.InstanceRef) (int64, bool) {
	m, known := n.members.Member(ref)
	if !known {
		return 0, false
	}
	score := int64(1)
	if n.members.DisconnectedOrLeaving(ref) || n.zoneOut[m.Zone] {
		score += int64(10 * clock.Second) // chosen only if there is no other
	}
	if l := n.load(service, ref); l != nil {
		score += outstandingCost * int64(l.outstanding)
		if now.Sub(l.reportedAt) < queueDelayTTL {
			score += int64(l.queueDelay)
		}
		if l.refusedAt != 0 && now.Sub(l.refusedAt) < refusedTTL {
			score += int64(clock.Second)
		}
	}
	if ref == n.self.Ref {
		score-- // saves a network hop
	}
	return max(score, 0), true
}

func (n *Node) load(service topology.ServiceID, ref topology.InstanceRef) *holderLoad {
	if r := n.loads[service]; r != nil {
		return r.holders[ref]
	}
	return nil
}

func (n *Node) ensureLoad(service topology.ServiceID, ref topology.InstanceRef) *holderLoad {
	r := n.loads[service]
	if r == nil {
		r = &serviceLoad{holders: map[topology.InstanceRef]*holderLoad{}}
		n.loads[service] = r
	}
	l := r.holders[ref]
	if l == nil {
		l = &holderLoad{}
		r.holders[ref] = l
	}
	return l
}

// countSent counts a sub-request whose reply is outstanding.
func (n *Node) countSent(c query.SendSub) {
	n.ensureLoad(c.Sub.ID.Service, c.To).outstanding++
}

// countEnded removes a sub-request that was answered or cancelled from the count.
func (n *Node) countEnded(to topology.InstanceRef, service topology.ServiceID) {
	if l := n.load(service, to); l != nil && l.outstanding > 0 {
		l.outstanding--
	}
}

// recordReply removes a sub-request from the count and stores the load that the
// holder reported.
func (n *Node) recordReply(now clock.Time, from topology.InstanceRef, r message.SubReply) {
	n.countEnded(from, r.ID.Service)
	l := n.load(r.ID.Service, from)
	if l == nil {
		return
	}
	l.queueDelay, l.reportedAt = r.QueueDelayMS, now
	if r.Status == message.StatusNotRun && r.Reason == message.ReasonNoHolder {
		l.refusedAt = now
	}
}

// forgetLoads removes the load of an instance that was lost. Otherwise the count
// of replies that will never arrive would keep work away from it.
func (n *Node) forgetLoads(ref topology.InstanceRef) {
	for _, r := range n.loads {
		delete(r.holders, ref)
	}
}

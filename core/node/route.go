package node

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/query"
	"knapweedstall/core/topology"
)

const (
	// queueDelayTerm is how long a reported queueing delay is believed.
	queueDelayTTL = 200 * clock.Millisecond
	// refusedTerm is how long a holder that refused as not being one is avoided;
	// its copy of the holder table is as new as ours after that.
	refusedTTL = 300 * clock.Millisecond
	// outstandingCost weighs a sub-request that waits for its reply against a
	// millisecond of queueing delay.
	outstandingCost = 4
)

// route is what an entry knows of the load of a service's holders.
type serviceLoad struct {
	holders map[topology.InstanceRef]*holderLoad
}

type holderLoad struct {
	outstanding int
	queueDelay  clock.Duration // reported at seenAt
	reportedAt  clock.Time
	refusedAt   clock.Time // when it last refused as not being a holder; 0 for never
}

// router chooses holders for package query.
type router struct{ n *Node }

// Route implements query.Router: it names the less loaded of the holders that
// can be expected to work.
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

// routeScore is lower for a holder that will answer sooner. It reports false
// for one that can't be reached.
func (n *Node) holderScore(now clock.Time, service topology.ServiceID, ref topology.InstanceRef) (int64, bool) {
	m, known := n.members.Member(ref)
	if !known {
		return 0, false
	}
	score := int64(1)
	if n.members.Silent(ref) || n.zoneOut[m.Zone] {
		score += int64(10 * clock.Second) // only when there is no other
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
		score-- // saves a hop
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

// routed counts a sub-request on its way.
func (n *Node) countSent(c query.SendSub) {
	n.ensureLoad(c.Sub.ID.Service, c.To).outstanding++
}

// unrouted ends the count for a sub-request that was cancelled.
func (n *Node) countEnded(to topology.InstanceRef, service topology.ServiceID) {
	if l := n.load(service, to); l != nil && l.outstanding > 0 {
		l.outstanding--
	}
}

// replied ends the count for a sub-request and notes what the holder reported.
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

// forgetRoutes drops what is known of an instance that was lost, so that counts
// of replies that will never come do not keep work away from it.
func (n *Node) forgetLoads(ref topology.InstanceRef) {
	for _, r := range n.loads {
		delete(r.holders, ref)
	}
}

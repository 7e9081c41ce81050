package node

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/dispatch"
	"knapweedstall/core/holding"
	"knapweedstall/core/object"
	"knapweedstall/core/topology"
)

// workInFlight is the holding.WorkTracker of a Node. It tells when work in flight ends.
type workInFlight struct{ n *Node }

// BusyUntil implements holding.WorkTracker.
func (w workInFlight) BusyUntil(now clock.Time, service topology.ServiceID, share int) clock.Time {
	if h := w.n.held[service]; h != nil {
		return h.dispatcher.BusyUntil(now, share)
	}
	return 0
}

// leaseView implements dispatch.Leases. It holds no leases itself: it reports
// which shares the Node may use now.
type leaseView struct{ n *Node }

// Use implements dispatch.Leases.
func (r leaseView) Use(now clock.Time, service topology.ServiceID) dispatch.Permission {
	return r.n.usableShares(now, service)
}

// usableShares returns which shares of the service may be used. An isolated
// instance may use none. This check is needed because package holding knows only
// the members that are not suspected to have failed, and so cannot distinguish
// an instance that is cut off from all others from one that is the only member.
func (n *Node) usableShares(now clock.Time, service topology.ServiceID) dispatch.Permission {
	if n.members.Isolated(now) {
		return dispatch.Permission{}
	}
	warm, cold := n.holder.UsableShares(now, service)
	return dispatch.Permission{Warm: warm, Cold: cold}
}

// executeHolder executes commands of package holding.
func (n *Node) executeHolder(commands []holding.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case holding.Send:
			n.sendRef(c.To, c.Body)
		case holding.ReadObject:
			id := c.ID
			n.read(object.Key(c.Key), func(now clock.Time, r object.ReadResult) {
				n.executeHolder(n.holder.ReadDone(now, holdingRead(id, r)))
			})
		case holding.WriteObject:
			key := c.Key
			n.counters.TableWrites++
			n.write(object.Key(key), object.Version(c.Expect), c.Value, func(now clock.Time, r object.WriteResult) {
				n.tableWritten(now, key, c.Value, r)
			})
		}
	}
}

func holdingRead(id holding.ReadID, r object.ReadResult) holding.ReadResult {
	switch {
	case !r.Known:
		return holding.ReadResult{ID: id, Outcome: holding.ReadFailed}
	case r.Version == 0:
		return holding.ReadResult{ID: id, Outcome: holding.ReadAbsent}
	}
	b, err := holding.DecodeBucket(string(r.Key), int64(r.Version), r.Value)
	if err != nil {
		return holding.ReadResult{ID: id, Outcome: holding.ReadFailed}
	}
	return holding.ReadResult{ID: id, Outcome: holding.ReadFound, Bucket: b}
}

func (n *Node) tableWritten(now clock.Time, key string, value []byte, r object.WriteResult) {
	result := holding.WriteResult{Key: key}
	switch r.Status {
	case object.Written:
		result.Outcome, result.Version = holding.WriteSucceeded, int64(r.Version)
	case object.Conflict:
		result.Outcome = holding.WriteConflict
	default:
		result.Outcome = holding.WriteUnknown
	}
	n.executeHolder(n.holder.WriteDone(now, result))
	if r.Status == object.Written {
		n.bucketSeen(now, key, int64(r.Version), value)
	}
}

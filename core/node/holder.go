package node

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/dispatch"
	"knapweedstall/core/holding"
	"knapweedstall/core/object"
	"knapweedstall/core/topology"
)

// work tells package holding when work in flight ends.
type workInFlight struct{ n *Node }

// BusyUntil implements holding.Work.
func (w workInFlight) BusyUntil(now clock.Time, service topology.ServiceID, share int) clock.Time {
	if h := w.n.held[service]; h != nil {
		return h.service.BusyUntil(now, share)
	}
	return 0
}

// right tells package dispatch which shares may be used.
type shareRight struct{ n *Node }

// Use implements dispatch.Right.
func (r shareRight) Use(now clock.Time, service topology.ServiceID) dispatch.Use {
	return r.n.usableShares(now, service)
}

// use returns which shares of the service may be used. An isolated instance may
// use none: package holding knows only the members that are not suspected, so it
// cannot tell an instance that is cut off from one that is alone.
func (n *Node) usableShares(now clock.Time, service topology.ServiceID) dispatch.Use {
	if n.members.Isolated(now) {
		return dispatch.Use{}
	}
	warm, cold := n.holder.Use(now, service)
	return dispatch.Use{Warm: warm, Cold: cold}
}

// holding carries out commands of package holding.
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
		result.Outcome, result.Version = holding.WriteMade, int64(r.Version)
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

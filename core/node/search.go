package node

import (
	"maps"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/quarantine"
	"knapweedstall/core/query"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
)

const (
	// isolatedRetry is the time after which a refused caller may try again. The
	// load balancer sends it to another instance by then.
	isolatedRetry = 1000 * clock.Millisecond
	// stoppingRetry is the time after which a caller that a stopped instance
	// refused may try again.
	stoppingRetry = 100 * clock.Millisecond
	// noSnapshotRetry is the time after which a caller may try again if the
	// collection had no snapshot.
	noSnapshotRetry = 500 * clock.Millisecond
)

// search is a caller's query in progress. This instance is its entry instance.
type search struct {
	call        CallID
	seq         uint64
	collection  topology.CollectionID
	fingerprint message.Fingerprint
	config      ticket.Number
	budget      clock.Duration // time from arrival to deadline
	query       *query.Query
}

// searchArrived refuses a query, or admits and starts it.
func (n *Node) searchArrived(now clock.Time, e SearchArrived) {
	n.counters.Searches++
	f := quarantine.Fingerprint(e.Workspace, e.Collection, message.KindSearch, e.Query)
	refusal, retryAfter := n.admitSearch(now, e, f)
	if refusal != "" {
		n.refuse(e.Call, refusal, retryAfter)
		return
	}
	n.lastSeq++
	id := message.RequestID{Entry: n.self.Ref, Seq: n.lastSeq}
	request := query.Request{
		Workspace: e.Workspace, Collection: e.Collection, Query: e.Query, Limit: e.Limit, Deadline: e.Deadline,
		Fingerprint: f,
	}
	s := &search{call: e.Call, seq: n.lastSeq, collection: e.Collection, fingerprint: f, config: n.configLog.Number(), budget: e.Deadline.Sub(now)}
	snapshots := n.configLog.State().Snapshots(e.Collection)
	s.query = query.New(id, request, snapshots, router{n}, query.WithDelays(n.replyDelays()), query.WithKnownGood(knownGood{n}))
	n.searches[s.seq], n.searchByCall[s.call] = s, s
	n.executeQuery(now, s, s.query.Start(now))
}

// noFailover is the query.Delays that never sends a sub-request to the other
// holder because of a late reply.
type noFailover struct{}

// Observe implements query.Delays.
func (noFailover) Observe(topology.ServiceID, clock.Duration) {}

// FailoverAfter implements query.Delays.
func (noFailover) FailoverAfter(topology.ServiceID) (clock.Duration, bool) { return clock.Hour, true }

// replyDelays returns the source of the delay after which a query considers a
// reply late. A second attempt at the other holder is also a hedge, so there is
// none without hedging.
func (n *Node) replyDelays() query.Delays {
	if !n.opts.hedging {
		return noFailover{}
	}
	return n.delayTracker
}

// admitSearch returns the reason for refusing the query and the time after which
// the caller may try again. The reason is empty if the query may start.
func (n *Node) admitSearch(now clock.Time, e SearchArrived, f message.Fingerprint) (Refusal, clock.Duration) {
	if refusal, retryAfter := n.admitCaller(now, e.Workspace, e.Collection); refusal != "" {
		return refusal, retryAfter
	}
	if len(n.configLog.State().Snapshots(e.Collection)) == 0 {
		return RefusedUnavailable, noSnapshotRetry
	}
	if retryAfter, quarantined := n.quarantined(now, f); quarantined {
		return RefusedQuarantined, retryAfter
	}
	if n.opts.admission {
		if retryAfter, ok := n.admissionController(e.Collection).Admit(now, e.Workspace); !ok {
			return RefusedOverloaded, retryAfter
		}
	}
	return "", 0
}

// admitCaller makes the checks that are common to searches and run requests. Its
// results are those of admitSearch.
func (n *Node) admitCaller(now clock.Time, workspace topology.WorkspaceID, collection topology.CollectionID) (Refusal, clock.Duration) {
	state := n.configLog.State()
	if n.stopped {
		return RefusedStopping, stoppingRetry
	}
	if n.members.Isolated(now) {
		return RefusedIsolated, isolatedRetry
	}
	if n.configLog.Number() == 0 {
		return RefusedUnavailable, configRetry
	}
	if _, ok := state.Collection(collection); !ok {
		return RefusedUnknownCollection, 0
	}
	if w, ok := state.Workspace(workspace); !ok || !slices.Contains(w.Collections, collection) {
		return RefusedForbidden, 0
	}
	return "", 0
}

func (n *Node) refuse(call CallID, r Refusal, retryAfter clock.Duration) {
	n.counters.Refused++
	n.emit(RefuseCall{Call: call, Refusal: r, RetryAfter: retryAfter})
}

func (n *Node) callerDisconnected(now clock.Time, call CallID) {
	if s := n.searchByCall[call]; s != nil {
		n.executeQuery(now, s, s.query.Abandon(now))
		n.removeSearch(s)
	}
}

func (n *Node) removeSearch(s *search) {
	delete(n.searches, s.seq)
	delete(n.searchByCall, s.call)
	n.timers.cancel(s.query)
	d := s.query.Drops()
	n.counters.RepliesDropped += uint64(d.Total())
}

// executeQuery executes commands of a query.
func (n *Node) executeQuery(now clock.Time, s *search, commands []query.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case query.SendSub:
			n.countSent(c)
			if !n.sendRef(c.To, c.Sub) {
				n.queryHolderLost(now, s, c.To)
			}
		case query.CancelSub:
			n.countEnded(c.To, c.ID.Service)
			n.sendRef(c.To, message.CancelSub{ID: c.ID})
		case query.RunCanary:
			n.runCanary(now, s, c.Sub)
		case query.CancelCanary:
			delete(n.canaries.requested, c.ID)
		case query.Finish:
			n.queryFinished(s, c.Answer)
		}
	}
	if n.searches[s.seq] == s {
		n.timers.set(s.query, func(now clock.Time) { n.executeQuery(now, s, s.query.Tick(now)) })
	}
}

func (n *Node) queryHolderLost(now clock.Time, s *search, ref topology.InstanceRef) {
	n.executeQuery(now, s, s.query.HolderLost(now, ref))
}

func (n *Node) queryFinished(s *search, a query.Answer) {
	n.removeSearch(s)
	n.counters.Answered++
	if a.Coverage.Answered < a.Coverage.Total {
		n.counters.Incomplete++
	}
	n.emit(AnswerSearch{Call: s.call, Config: s.config, Answer: a})
}

// subReply handles a holder's reply as the entry instance, or as the coordinator of a
// canary.
func (n *Node) subReply(now clock.Time, from topology.InstanceRef, r message.SubReply) {
	n.recordReply(now, from, r)
	if n.canaryReplied(now, from, r) {
		return
	}
	s := n.searches[r.ID.Request.Seq]
	if s == nil || r.ID.Request.Entry != n.self.Ref {
		n.counters.RepliesDropped++
		return
	}
	n.admissionController(s.collection).Observe(now, r.ID.Service, r.QueueDelayMS, s.budget)
	n.reportCrash(now, s, r)
	n.executeQuery(now, s, s.query.Replied(now, from, r))
}

// holderLost handles an instance that cannot be reached, for all requests in
// progress.
func (n *Node) holderLost(now clock.Time, ref topology.InstanceRef) {
	n.forgetLoads(ref)
	n.writerLost(now, ref)
	n.canaryPeerLost(now, ref)
	for _, seq := range slices.Sorted(maps.Keys(n.searches)) {
		if s := n.searches[seq]; s != nil {
			n.queryHolderLost(now, s, ref)
		}
	}
}

package node

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
	"knapweedstall/core/quarantine"
	"knapweedstall/core/query"
	"knapweedstall/core/topology"
)

// canaryState is the state of canaries. A canary is the first execution of a
// request that is not known to be safe, which may crash the target that runs it.
// The coordinator of a request's fingerprint, an instance chosen by hash, runs
// the canaries of the fingerprint one at a time.
type canaryState struct {
	cache       *quarantine.Cache
	coordinator *quarantine.Coordinator
	requested   map[message.SubID]topology.InstanceRef // at the entry instance or writer: the coordinator that was asked
	sent        map[message.SubID]*sentCanary          // at the coordinator
}

// sentCanary is a canary that the coordinator has sent to a holder.
type sentCanary struct {
	sub      message.SubRequest
	seq      uint64
	deadline clock.Time
	holder   topology.InstanceRef
	attempts int
}

func newCanaryState(self topology.InstanceRef, unixOffset clock.Duration) canaryState {
	return canaryState{
		cache:       quarantine.NewCache(),
		coordinator: quarantine.NewCoordinator(self, quarantine.WithUnixOffset(unixOffset)),
		requested:   map[message.SubID]topology.InstanceRef{},
		sent:        map[message.SubID]*sentCanary{},
	}
}

// knownGood is the query.KnownGood of a Node. It tells which fingerprints are
// safe.
type knownGood struct{ n *Node }

// KnownGood implements query.KnownGood.
func (k knownGood) KnownGood(now clock.Time, f message.Fingerprint, snapshot topology.SnapshotID) bool {
	if !k.n.opts.canary || !k.n.configLog.State().Tuning().Canary {
		return true
	}
	good, err := k.n.canaries.cache.Check(now, f, snapshot)
	return good && err == nil
}

// quarantined reports whether requests with the fingerprint are refused, and the
// time until they are no longer.
func (n *Node) quarantined(now clock.Time, f message.Fingerprint) (clock.Duration, bool) {
	_, err := n.canaries.cache.Check(now, f, "")
	if err == nil {
		err = n.canaries.coordinator.Quarantined(now, f)
	}
	var q *quarantine.QuarantinedError
	if errors.As(err, &q) {
		return q.RetryAfter, true
	}
	return 0, false
}

// coordinatorOf returns the instance that runs the fingerprint's canaries. It
// returns an instance that is leaving only if there is no other, which is the
// rule that coordinators apply too.
func (n *Node) coordinatorOf(now clock.Time, f message.Fingerprint) (topology.InstanceRef, bool) {
	var staying, leaving []topology.InstanceRef
	for _, m := range n.members.Live(now) {
		switch {
		case m.Region != n.self.Region:
		case m.State == topology.MemberLeaving, n.zoneOut[m.Zone], m.Ref == n.self.Ref && n.stopping:
			leaving = append(leaving, m.Ref)
		default:
			staying = append(staying, m.Ref)
		}
	}
	if coordinator, ok := quarantine.TopRanked(f, staying); ok {
		return coordinator, true
	}
	return quarantine.TopRanked(f, leaving)
}

// requestCanary asks the coordinator to run a sub-request. It reports whether
// there is a coordinator; without one, nothing is run.
func (n *Node) requestCanary(now clock.Time, sub message.SubRequest) bool {
	coordinator, ok := n.coordinatorOf(now, sub.Fingerprint)
	if !ok || !n.sendRef(coordinator, message.CanaryRequest{Sub: sub}) {
		return false
	}
	n.counters.Canaries++
	n.canaries.requested[sub.ID] = coordinator
	return true
}

// runCanary starts the canary of a query.
func (n *Node) runCanary(now clock.Time, s *search, sub message.SubRequest) {
	if !n.requestCanary(now, sub) {
		n.executeQuery(now, s, s.query.CanaryDone(now, query.CanaryVerdict{ID: sub.ID, Outcome: query.CanaryNotRun, Reason: message.ReasonNoHolder}))
	}
}

// requestRun asks the coordinator to run a claimed request, because the requests
// of a fingerprint run one at a time.
func (n *Node) requestRun(now clock.Time, c *claimedRun) {
	c.sub.RemainingMS = c.run.Deadline.Sub(now)
	if !n.requestCanary(now, c.sub) {
		n.claimedRunEnded(now, c, message.OutcomeNotRun, nil, message.ReasonNoHolder)
	}
}

// receiveCanary handles the messages from and to coordinators.
func (n *Node) receiveCanary(now clock.Time, from topology.InstanceRef, b message.Body) {
	if v, ok := b.(message.CanaryVerdict); ok {
		n.canaryVerdict(now, from, v)
		return
	}
	n.executeCoordinator(now, n.canaries.coordinator.Receive(now, from, b))
}

// canaryVerdict handles a coordinator's answer as the entry instance of a query or as the
// writer of a run.
func (n *Node) canaryVerdict(now clock.Time, from topology.InstanceRef, v message.CanaryVerdict) {
	n.canaries.cache.Observe(now, v)
	if n.canaries.requested[v.ID] != from {
		n.counters.RepliesDropped++
		return
	}
	delete(n.canaries.requested, v.ID)
	if c := n.runs.dispatched[v.ID.Request.Seq]; c != nil && c.sub.ID == v.ID {
		n.runVerdict(now, c, v)
		return
	}
	if s := n.searches[v.ID.Request.Seq]; s != nil {
		n.executeQuery(now, s, s.query.CanaryDone(now, queryVerdict(v)))
	}
}

func queryVerdict(v message.CanaryVerdict) query.CanaryVerdict {
	out := query.CanaryVerdict{ID: v.ID, Reason: v.Reason, RetryAfter: v.RetryAfterMS}
	switch {
	case v.Verdict == message.VerdictRan && v.Reply != nil:
		out.Outcome, out.Reply = query.CanaryReplied, *v.Reply
	case v.Verdict == message.VerdictPassed:
		out.Outcome = query.CanaryKnownGood
	case v.Verdict == message.VerdictQuarantined:
		out.Outcome = query.CanaryQuarantined
	case v.Verdict == message.VerdictNotRun:
		out.Outcome = query.CanaryNotRun
	default:
		out.Outcome = query.CanaryLost
	}
	return out
}

func (n *Node) runVerdict(now clock.Time, c *claimedRun, v message.CanaryVerdict) {
	switch {
	case v.Verdict == message.VerdictRan && v.Reply != nil:
		n.claimedRunReplied(now, c, *v.Reply)
	case v.Verdict == message.VerdictQuarantined:
		n.claimedRunEnded(now, c, message.OutcomeNotRun, nil, message.ReasonQuarantined)
	case v.Verdict == message.VerdictNotRun:
		n.claimedRunEnded(now, c, message.OutcomeNotRun, nil, v.Reason)
	default:
		n.claimedRunEnded(now, c, message.OutcomeUnknown, nil, v.Reason)
	}
}

// executeCoordinator executes commands of this instance's coordinator.
func (n *Node) executeCoordinator(now clock.Time, commands []quarantine.Command) {
	coordinator := n.canaries.coordinator
	for _, c := range commands {
		switch c := c.(type) {
		case quarantine.Send:
			n.sendRef(c.To, c.Body)
		case quarantine.RunCanary:
			s := &sentCanary{sub: c.Sub, seq: c.Seq, deadline: c.Deadline}
			n.canaries.sent[c.Sub.ID] = s
			n.sendCanary(now, s)
		case quarantine.ReadObject:
			n.read(c.Key, func(now clock.Time, r object.ReadResult) { n.executeCoordinator(now, coordinator.ReadDone(now, r)) })
		case quarantine.WriteObject:
			n.write(c.Key, c.Expect, c.Value, func(now clock.Time, r object.WriteResult) { n.executeCoordinator(now, coordinator.WriteDone(now, r)) })
		}
	}
	n.timers.set(coordinator, func(now clock.Time) { n.executeCoordinator(now, coordinator.Tick(now)) })
}

// sendCanary sends a canary to a holder of its service. It is called again, for
// the other holder, if the first one replies that it ran nothing.
func (n *Node) sendCanary(now clock.Time, s *sentCanary) {
	holder, ok := router{n}.Route(now, s.sub.ID.Service, s.holder)
	s.holder = holder
	s.attempts++
	s.sub.RemainingMS = s.deadline.Sub(now)
	if !ok || s.attempts > maxRunAttempts || !n.sendRef(holder, s.sub) {
		n.canaryDone(now, s, message.SubReply{
			ID: s.sub.ID, Workspace: s.sub.Workspace, Snapshot: s.sub.Snapshot,
			Status: message.StatusNotRun, Reason: message.ReasonNoHolder,
		})
		return
	}
	n.ensureLoad(s.sub.ID.Service, holder).outstanding++
}

func (n *Node) canaryDone(now clock.Time, s *sentCanary, r message.SubReply) {
	delete(n.canaries.sent, s.sub.ID)
	n.executeCoordinator(now, n.canaries.coordinator.CanaryDone(now, s.sub.Fingerprint, s.seq, r))
}

// canaryReplied handles a holder's reply as the coordinator. It reports whether
// the reply belongs to a canary.
func (n *Node) canaryReplied(now clock.Time, from topology.InstanceRef, r message.SubReply) bool {
	s := n.canaries.sent[r.ID]
	if s == nil {
		return false
	}
	if from != s.holder || r.Workspace != s.sub.Workspace {
		n.counters.RepliesDropped++
		return true
	}
	if r.Status == message.StatusNotRun && s.attempts < maxRunAttempts && now.Before(s.deadline) {
		n.sendCanary(now, s)
		return true
	}
	n.canaryDone(now, s, r)
	return true
}

// canaryPeerLost handles an instance that cannot be reached. A canary that it may
// have sent to a target counts as a crash, because nothing proves the opposite.
// If the instance is a coordinator, the outcome of the canaries requested from it
// is unknown.
func (n *Node) canaryPeerLost(now clock.Time, ref topology.InstanceRef) {
	for _, id := range slices.SortedFunc(maps.Keys(n.canaries.sent), compareSubIDs) {
		if s := n.canaries.sent[id]; s != nil && s.holder == ref {
			n.canaryDone(now, s, message.SubReply{
				ID: id, Workspace: s.sub.Workspace, Snapshot: s.sub.Snapshot,
				Status: message.StatusCrashed, Reason: message.ReasonNoHolder,
			})
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(n.canaries.requested), compareSubIDs) {
		if n.canaries.requested[id] == ref {
			n.canaryVerdict(now, ref, message.CanaryVerdict{ID: id, Reason: message.ReasonNoHolder})
		}
	}
}

func compareSubIDs(a, b message.SubID) int {
	return cmp.Or(cmp.Compare(a.Request.Seq, b.Request.Seq), cmp.Compare(a.Request.Entry.ID, b.Request.Entry.ID),
		cmp.Compare(a.Service, b.Service), cmp.Compare(a.Attempt, b.Attempt))
}

// reportCrash reports to the coordinator that a sub-request of the query crashed a
// target although the query's canary had passed.
func (n *Node) reportCrash(now clock.Time, s *search, r message.SubReply) {
	if r.Status != message.StatusCrashed {
		return
	}
	f := s.fingerprint
	n.canaries.cache.Forget(f, r.Snapshot)
	if coordinator, ok := n.coordinatorOf(now, f); ok {
		n.sendRef(coordinator, message.CrashReport{Fingerprint: f, Snapshot: r.Snapshot})
	}
}

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

// canaries are the first executions of requests that are not known to be safe.
type canaries struct {
	cache  *quarantine.Cache
	keeper *quarantine.Coordinator
	asked  map[message.SubID]topology.InstanceRef // at the entry or writer: which keeper was asked
	sent   map[message.SubID]*sentCanary          // at the keeper
}

// sentCanary is a canary on its way to a target.
type sentCanary struct {
	sub      message.SubRequest
	seq      uint64
	deadline clock.Time
	holder   topology.InstanceRef
	attempts int
}

func newCanaries(self topology.InstanceRef, unixOffset clock.Duration) canaries {
	return canaries{
		cache:  quarantine.NewCache(),
		keeper: quarantine.NewCoordinator(self, quarantine.WithUnixOffset(unixOffset)),
		asked:  map[message.SubID]topology.InstanceRef{},
		sent:   map[message.SubID]*sentCanary{},
	}
}

// known tells package query which fingerprints are safe.
type known struct{ n *Node }

// KnownGood implements query.KnownGood.
func (k known) KnownGood(now clock.Time, f message.Fingerprint, snapshot topology.SnapshotID) bool {
	if !k.n.opts.canary || !k.n.log.State().Tuning().Canary {
		return true
	}
	good, err := k.n.canaries.cache.Check(now, f, snapshot)
	return good && err == nil
}

// quarantined returns for how long the fingerprint is refused.
func (n *Node) quarantined(now clock.Time, f message.Fingerprint) (clock.Duration, bool) {
	_, err := n.canaries.cache.Check(now, f, "")
	if err == nil {
		err = n.canaries.keeper.Quarantined(now, f)
	}
	var q *quarantine.QuarantinedError
	if errors.As(err, &q) {
		return q.RetryAfter, true
	}
	return 0, false
}

// keeperOf names the instance that runs the fingerprint's canaries. One that is
// leaving is named only when there is no other, as keepers see it too.
func (n *Node) keeperOf(now clock.Time, f message.Fingerprint) (topology.InstanceRef, bool) {
	var stay, leave []topology.InstanceRef
	for _, m := range n.members.Live(now) {
		switch {
		case m.Region != n.self.Region:
		case m.State == topology.MemberLeaving, n.zoneOut[m.Zone], m.Ref == n.self.Ref && n.stopping:
			leave = append(leave, m.Ref)
		default:
			stay = append(stay, m.Ref)
		}
	}
	if keeper, ok := quarantine.TopRanked(f, stay); ok {
		return keeper, true
	}
	return quarantine.TopRanked(f, leave)
}

// askKeeper asks the keeper to run a sub-request. It reports false when there is
// none; then nothing is run.
func (n *Node) askKeeper(now clock.Time, sub message.SubRequest) bool {
	keeper, ok := n.keeperOf(now, sub.Fingerprint)
	if !ok || !n.sendRef(keeper, message.CanaryRequest{Sub: sub}) {
		return false
	}
	n.stats.Canaries++
	n.canaries.asked[sub.ID] = keeper
	return true
}

// runCanary starts the canary of a query.
func (n *Node) runCanary(now clock.Time, s *search, sub message.SubRequest) {
	if !n.askKeeper(now, sub) {
		n.query(now, s, s.query.CanaryDone(now, query.CanaryVerdict{ID: sub.ID, Outcome: query.CanaryNotRun, Reason: message.ReasonNoHolder}))
	}
}

// releaseRun has the keeper run a claimed request, one at a time for each
// fingerprint.
func (n *Node) releaseRun(now clock.Time, h *handedRun) {
	h.sub.RemainingMS = h.run.Deadline.Sub(now)
	if !n.askKeeper(now, h.sub) {
		n.runEnded(now, h, message.OutcomeNotRun, nil, message.ReasonNoHolder)
	}
}

// receiveCanary handles the messages of keepers.
func (n *Node) receiveCanary(now clock.Time, from topology.InstanceRef, b message.Body) {
	if v, ok := b.(message.CanaryVerdict); ok {
		n.verdict(now, from, v)
		return
	}
	n.keeper(now, n.canaries.keeper.Receive(now, from, b))
}

// verdict takes a keeper's answer as the entry of a query or the writer of a
// run.
func (n *Node) verdict(now clock.Time, from topology.InstanceRef, v message.CanaryVerdict) {
	n.canaries.cache.Observe(now, v)
	if n.canaries.asked[v.ID] != from {
		n.stats.RepliesDropped++
		return
	}
	delete(n.canaries.asked, v.ID)
	if h := n.runs.handed[v.ID.Request.Seq]; h != nil && h.sub.ID == v.ID {
		n.runVerdict(now, h, v)
		return
	}
	if s := n.searches[v.ID.Request.Seq]; s != nil {
		n.query(now, s, s.query.CanaryDone(now, queryVerdict(v)))
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

func (n *Node) runVerdict(now clock.Time, h *handedRun, v message.CanaryVerdict) {
	switch {
	case v.Verdict == message.VerdictRan && v.Reply != nil:
		n.runSettled(now, h, *v.Reply)
	case v.Verdict == message.VerdictQuarantined:
		n.runEnded(now, h, message.OutcomeNotRun, nil, message.ReasonQuarantined)
	case v.Verdict == message.VerdictNotRun:
		n.runEnded(now, h, message.OutcomeNotRun, nil, v.Reason)
	default:
		n.runEnded(now, h, message.OutcomeUnknown, nil, v.Reason)
	}
}

// keeper carries out commands of this instance's keeper.
func (n *Node) keeper(now clock.Time, commands []quarantine.Command) {
	k := n.canaries.keeper
	for _, c := range commands {
		switch c := c.(type) {
		case quarantine.Send:
			n.sendRef(c.To, c.Body)
		case quarantine.RunCanary:
			s := &sentCanary{sub: c.Sub, seq: c.Seq, deadline: c.Deadline}
			n.canaries.sent[c.Sub.ID] = s
			n.sendCanary(now, s)
		case quarantine.ReadObject:
			n.read(c.Key, func(now clock.Time, r object.ReadResult) { n.keeper(now, k.ReadDone(now, r)) })
		case quarantine.WriteObject:
			n.write(c.Key, c.Expect, c.Value, func(now clock.Time, r object.WriteResult) { n.keeper(now, k.WriteDone(now, r)) })
		}
	}
	n.alarms.set(k, func(now clock.Time) { n.keeper(now, k.Tick(now)) })
}

// sendCanary sends a canary to a holder of its service, and to the other one if
// the first proves that it ran nothing.
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
	n.keeper(now, n.canaries.keeper.CanaryDone(now, s.sub.Fingerprint, s.seq, r))
}

// canaryReplied takes a holder's reply as the keeper.
func (n *Node) canaryReplied(now clock.Time, from topology.InstanceRef, r message.SubReply) bool {
	s := n.canaries.sent[r.ID]
	if s == nil {
		return false
	}
	if from != s.holder || r.Workspace != s.sub.Workspace {
		n.stats.RepliesDropped++
		return true
	}
	if r.Status == message.StatusNotRun && s.attempts < maxRunAttempts && now.Before(s.deadline) {
		n.sendCanary(now, s)
		return true
	}
	n.canaryDone(now, s, r)
	return true
}

// canariesLost handles an instance that can't be reached. A canary that it may
// have sent counts as a crash, since nothing proves the opposite; a keeper's
// verdict that will not come is unknown.
func (n *Node) canariesLost(now clock.Time, ref topology.InstanceRef) {
	for _, id := range slices.SortedFunc(maps.Keys(n.canaries.sent), compareSubIDs) {
		if s := n.canaries.sent[id]; s != nil && s.holder == ref {
			n.canaryDone(now, s, message.SubReply{
				ID: id, Workspace: s.sub.Workspace, Snapshot: s.sub.Snapshot,
				Status: message.StatusCrashed, Reason: message.ReasonNoHolder,
			})
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(n.canaries.asked), compareSubIDs) {
		if n.canaries.asked[id] == ref {
			n.verdict(now, ref, message.CanaryVerdict{ID: id, Reason: message.ReasonNoHolder})
		}
	}
}

func compareSubIDs(a, b message.SubID) int {
	return cmp.Or(cmp.Compare(a.Request.Seq, b.Request.Seq), cmp.Compare(a.Request.Entry.ID, b.Request.Entry.ID),
		cmp.Compare(a.Service, b.Service), cmp.Compare(a.Attempt, b.Attempt))
}

// crashSeen reports a target that crashed after the query's canary had passed.
func (n *Node) crashSeen(now clock.Time, s *search, r message.SubReply) {
	if r.Status != message.StatusCrashed {
		return
	}
	f := s.fingerprint
	n.canaries.cache.Forget(f, r.Snapshot)
	if keeper, ok := n.keeperOf(now, f); ok {
		n.sendRef(keeper, message.CrashReport{Fingerprint: f, Snapshot: r.Snapshot})
	}
}

package query_test

import (
	"cmp"
	"slices"

	gocmp "github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/query"
	"knapweedstall/core/topology"
)

const (
	margin         = query.DefaultAnswerMargin
	minAttemptTime = query.DefaultMinAttemptTime
	minRestartTime = query.DefaultMinRestartTime
)

// failer is the part of *rapid.T that the model needs.
type failer interface {
	Fatalf(format string, args ...any)
}

// holders is a Router with a fixed pair of holders for each service. Lost holders are
// not selected.
type holders struct {
	pairs map[topology.ServiceID][2]topology.InstanceRef
	lost  map[topology.InstanceRef]bool
}

func (h holders) Route(_ clock.Time, s topology.ServiceID, avoid topology.InstanceRef) (topology.InstanceRef, bool) {
	for _, ref := range h.pairs[s] {
		if ref != avoid && !h.lost[ref] {
			return ref, true
		}
	}
	return topology.InstanceRef{}, false
}

// knownGood is the set of snapshots on which all fingerprints are known to be safe.
type knownGood map[topology.SnapshotID]bool

func (g knownGood) KnownGood(_ clock.Time, _ message.Fingerprint, s topology.SnapshotID) bool {
	return g[s]
}

// attempt is one attempt, as observed from the commands and replies.
type attempt struct {
	sub      message.SubRequest
	to       topology.InstanceRef // zero for a canary
	at       clock.Time
	open     bool
	answered bool
	overdue  bool
	notRun   bool // it is proven that no target started it
}

// servicePart is the expected part of one service in the answer on the pinned snapshot.
type servicePart struct {
	merged     map[topology.ShardID]bool
	attempts   []message.SubID
	failedOver bool
	crashed    bool
	settled    bool
	reason     message.Reason
}

// model is a reference model of one query. It derives the correct answer and coverage
// from the delivered replies, and checks each command against them.
type model struct {
	t         failer
	q         *query.Query
	id        message.RequestID
	req       query.Request
	snapshots []topology.Snapshot
	router    holders
	knownGood knownGood
	finishAt  clock.Time

	pinned       int
	canaryPhase  bool
	canaries     int
	slowestReply clock.Duration
	services     map[topology.ServiceID]*servicePart
	hits         []message.Hit
	attempts     map[message.SubID]*attempt
	finished     bool
	abandoned    bool // the caller disconnected
}

// reset clears the state that belongs to one snapshot.
func (m *model) reset() {
	m.services = make(map[topology.ServiceID]*servicePart)
	for id := range m.snapshots[m.pinned].Shards {
		m.services[id] = &servicePart{merged: make(map[topology.ShardID]bool)}
	}
	m.hits, m.slowestReply, m.canaries = nil, 0, 0
}

func (m *model) shards(s topology.ServiceID) []topology.ShardID {
	return m.snapshots[m.pinned].Shards[s]
}

func (m *model) missing(id topology.ServiceID) []topology.ShardID {
	var missing []topology.ShardID
	for _, sh := range m.shards(id) {
		if !m.services[id].merged[sh] {
			missing = append(missing, sh)
		}
	}
	return missing
}

// startSnapshot predicts the state after the first commands on the pinned snapshot.
func (m *model) startSnapshot(now clock.Time) {
	m.reset()
	m.canaryPhase = now < m.finishAt && !m.knownGood[m.snapshots[m.pinned].ID]
	if m.canaryPhase {
		m.nextCanary(message.ReasonNoHolder)
		return
	}
	m.fanOut()
}

// fanOut predicts the effect of sending the query to all services.
func (m *model) fanOut() {
	m.canaryPhase = false
	for id, s := range m.services {
		if !m.routable(id) {
			s.settle(message.ReasonNoHolder)
		}
	}
}

func (m *model) routable(id topology.ServiceID) bool {
	_, ok := m.router.Route(0, id, topology.InstanceRef{})
	return ok
}

// nextCanary predicts whether another canary follows one that failed for reason r.
func (m *model) nextCanary(r message.Reason) {
	routable := false
	for id := range m.services {
		routable = routable || m.routable(id)
	}
	if m.canaries == 2 || r == message.ReasonQuarantined {
		m.settleAll(r)
	} else if !routable {
		m.settleAll(message.ReasonNoHolder)
	}
}

func (m *model) settleAll(r message.Reason) {
	for _, s := range m.services {
		s.settle(r)
	}
}

func (s *servicePart) settle(r message.Reason) {
	if !s.settled {
		s.setReason(r)
		s.settled = true
	}
}

func (s *servicePart) setReason(r message.Reason) {
	if !s.crashed {
		s.reason, s.crashed = r, r == message.ReasonCrashed
	}
}

// accepts reports whether a reply belongs to an unanswered attempt.
func (m *model) accepts(from topology.InstanceRef, r message.SubReply) bool {
	s := m.attempts[r.ID]
	if m.finished || s == nil || s.answered || s.to != from || s.sub.Snapshot != m.snapshots[m.pinned].ID {
		return false
	}
	return r.Workspace == m.req.Workspace && r.Snapshot == s.sub.Snapshot && !m.services[r.ID.Service].settled
}

// hasOpenAttempt reports whether an attempt of the service is waiting for a reply.
func (m *model) hasOpenAttempt(id topology.ServiceID) bool {
	return slices.ContainsFunc(m.services[id].attempts, func(id message.SubID) bool { return m.attempts[id].open })
}

// canFailOver reports whether the other holder must be tried.
func (m *model) canFailOver(now clock.Time, id topology.ServiceID) bool {
	s := m.services[id]
	to, ok := m.router.Route(now, id, m.attempts[s.attempts[len(s.attempts)-1]].to)
	return ok && !to.IsZero() && !s.failedOver && !s.crashed && m.finishAt.Sub(now) >= minAttemptTime
}

// failOverOrSettle settles the service, unless retry is set and the other holder is tried,
// or an attempt is open.
func (m *model) failOverOrSettle(now clock.Time, id topology.ServiceID, retry bool) {
	s := m.services[id]
	if retry && m.canFailOver(now, id) {
		s.failedOver = true
		return
	}
	s.settled = !m.hasOpenAttempt(id)
}

// restart predicts a restart on another snapshot, and reports whether there is one.
func (m *model) restart(now clock.Time, have []topology.SnapshotID) bool {
	for i := m.pinned + 1; i < len(m.snapshots); i++ {
		if slices.Contains(have, m.snapshots[i].ID) && m.finishAt.Sub(now) >= max(minRestartTime, m.slowestReply) {
			m.pinned = i
			m.startSnapshot(now)
			return true
		}
	}
	return false
}

// merge records the shards of a delivered reply.
func (m *model) merge(id topology.ServiceID, answers []message.ShardAnswer) {
	for _, a := range answers {
		if s := m.services[id]; slices.Contains(m.shards(id), a.Shard) && !s.merged[a.Shard] {
			s.merged[a.Shard] = true
			m.hits = append(m.hits, a.Hits...)
		}
	}
	m.services[id].settled = len(m.missing(id)) == 0
}

// handleReply predicts the effect of an accepted reply.
func (m *model) handleReply(now clock.Time, r message.SubReply) {
	a, s := m.attempts[r.ID], m.services[r.ID.Service]
	a.open, a.answered, a.notRun = false, true, r.Status == message.StatusNotRun
	if !a.notRun && !a.to.IsZero() {
		m.slowestReply = max(m.slowestReply, now.Sub(a.at))
	}
	if r.Status == message.StatusSnapshotGone && m.restart(now, r.Snapshots) {
		return
	}
	if r.Status == message.StatusOK {
		m.merge(r.ID.Service, r.Shards)
	}
	switch {
	case m.canaryPhase && r.Status == message.StatusOK:
		m.fanOut()
	case m.canaryPhase && r.Status == message.StatusSnapshotGone:
		m.settleAll(message.ReasonSnapshotGone)
	case m.canaryPhase && m.finishAt.Sub(now) < minAttemptTime:
		m.settleAll(r.Reason)
	case m.canaryPhase:
		m.nextCanary(r.Reason)
	case !s.settled && r.Status == message.StatusOK:
		s.setReason(message.ReasonNoTarget)
		m.failOverOrSettle(now, r.ID.Service, true)
	case !s.settled:
		s.setReason(r.Reason)
		m.failOverOrSettle(now, r.ID.Service, a.notRun && r.Reason != message.ReasonQuarantined)
	}
}

// holderLost predicts the effect of the loss of a holder.
func (m *model) holderLost(now clock.Time, ref topology.InstanceRef) {
	for id, s := range m.services {
		lost := false
		for _, sub := range s.attempts {
			if a := m.attempts[sub]; a.to == ref && a.open {
				a.open, lost = false, true
			}
		}
		if lost && !s.settled {
			s.setReason(message.ReasonNoHolder)
			m.failOverOrSettle(now, id, true)
		}
	}
}

// tick predicts the effect of overdue replies.
func (m *model) tick(now clock.Time) {
	for id, s := range m.services {
		if s.settled || m.canaryPhase || len(s.attempts) == 0 || now >= m.finishAt || !m.hasOpenAttempt(id) {
			continue
		}
		a := m.attempts[s.attempts[len(s.attempts)-1]]
		due := a.at.Add(max(m.finishAt.Sub(a.at)/2, 1))
		if s.failedOver || a.overdue || now < due || due >= m.finishAt {
			continue
		}
		a.overdue = true
		m.slowestReply = max(m.slowestReply, now.Sub(a.at))
		s.failedOver = m.canFailOver(now, id)
	}
}

// check compares the commands of one step with the predictions of the model.
func (m *model) check(now clock.Time, cmds []query.Command) {
	if m.finished && len(cmds) > 0 {
		m.t.Fatalf("commands after the query ended: %+v", cmds)
	}
	for i, c := range cmds {
		switch c := c.(type) {
		case query.SendSub:
			m.checkSend(now, c.Sub, c.To)
		case query.RunCanary:
			m.canaries++
			m.checkSend(now, c.Sub, topology.InstanceRef{})
		case query.CancelSub:
			m.attempts[c.ID].open = false
		case query.CancelCanary:
			m.attempts[c.ID].open = false
		case query.Finish:
			if m.abandoned || i != len(cmds)-1 {
				m.t.Fatalf("Finish is not the last command, or comes after Abandon: %+v", cmds)
			}
			m.checkAnswer(now, c.Answer)
			m.finished = true
		}
	}
	m.finished = m.finished || m.abandoned
	m.checkOpen(now)
}

func (m *model) checkSend(now clock.Time, sub message.SubRequest, to topology.InstanceRef) {
	s := m.services[sub.ID.Service]
	if s == nil || s.settled || m.attempts[sub.ID] != nil || m.canaryPhase != (sub.Kind == message.KindCanary) || m.canaryPhase != to.IsZero() {
		m.t.Fatalf("unexpected sub-request at %d to %v: %+v", now, to, sub)
	}
	if sub.Workspace != m.req.Workspace || sub.Snapshot != m.snapshots[m.pinned].ID || !slices.Equal(sub.Shards, m.missing(sub.ID.Service)) {
		m.t.Fatalf("sub-request with wrong workspace, snapshot or shards: %+v", sub)
	}
	for _, id := range s.attempts {
		if !to.IsZero() && m.attempts[id].to == to || m.router.lost[to] {
			m.t.Fatalf("sub-request to a lost holder, or to the same holder again: %+v", sub)
		}
	}
	s.attempts = append(s.attempts, sub.ID)
	m.attempts[sub.ID] = &attempt{sub: sub, to: to, at: now, open: true}
}

// checkOpen checks that exactly the predicted attempts are open, and that the query has
// finished if and only if all services are settled or the time is over.
func (m *model) checkOpen(now clock.Time) {
	if !m.finished && m.q.NextWake() > m.finishAt {
		m.t.Fatalf("next wake at %d, after the finish time %d", m.q.NextWake(), m.finishAt)
	}
	open := 0
	for id, s := range m.services {
		if s.settled {
			continue
		}
		open++
		atHolders := slices.DeleteFunc(slices.Clone(s.attempts), func(id message.SubID) bool { return m.attempts[id].to.IsZero() })
		if !m.finished && !m.canaryPhase && (len(atHolders) == 0 || (len(atHolders) == 2) != s.failedOver) {
			m.t.Fatalf("%s has %d attempts at holders, failover expected: %v", id, len(atHolders), s.failedOver)
		}
	}
	for id, a := range m.attempts {
		old := a.sub.Snapshot != m.snapshots[m.pinned].ID
		if a.open && (m.finished || old || m.services[id.Service].settled) {
			m.t.Fatalf("attempt is not cancelled: %+v", a.sub)
		}
	}
	if ended := open == 0 || now >= m.finishAt; !m.abandoned && ended != m.finished || m.finished != m.q.Done() {
		m.t.Fatalf("at %d (finish time %d) with %d services open: finished is %v", now, m.finishAt, open, m.finished)
	}
}

func (m *model) checkAnswer(now clock.Time, got query.Answer) {
	want := query.Answer{Request: m.id, Workspace: m.req.Workspace, Outcome: query.OutcomeAnswered, Snapshot: m.snapshots[m.pinned].ID}
	missing := make(map[message.Reason][]topology.ShardID)
	for id, s := range m.services {
		reason := message.ReasonDeadline
		if s.settled {
			reason = s.reason
		} else if now < m.finishAt {
			m.t.Fatalf("finished at %d although %s is open", now, id)
		}
		want.Coverage.Total += len(m.shards(id))
		want.Coverage.Answered += len(s.merged)
		if sh := m.missing(id); len(sh) > 0 {
			missing[reason] = append(missing[reason], sh...)
		}
	}
	for r, shards := range missing {
		slices.Sort(shards)
		want.Coverage.Missing = append(want.Coverage.Missing, query.Missing{Shards: shards, Reason: r})
	}
	slices.SortFunc(want.Coverage.Missing, func(a, b query.Missing) int { return cmp.Compare(a.Reason, b.Reason) })
	want.Hits = slices.Clone(m.hits)
	slices.SortFunc(want.Hits, func(a, b message.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	want.Hits = want.Hits[:min(len(want.Hits), m.req.Limit)]
	want.Outcome = query.OutcomeNotRun
	for _, a := range m.attempts {
		if !a.notRun {
			want.Outcome = query.OutcomeAnswered
		}
	}
	if (want.Outcome == query.OutcomeNotRun) != (got.RetryAfter > 0) {
		m.t.Fatalf("outcome %s with retry-after %d", got.Outcome, got.RetryAfter)
	}
	got.RetryAfter, got.Latency = 0, 0
	if len(got.Hits) == 0 {
		got.Hits, want.Hits = nil, nil
	}
	if diff := gocmp.Diff(want, got); diff != "" {
		m.t.Fatalf("wrong answer (-want +got):\n%s", diff)
	}
}

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
	margin      = query.DefaultAnswerMargin
	minAttempt  = query.DefaultMinAttemptTime
	restartTime = query.DefaultMinRestartTime
)

// fataler is the part of *rapid.T that the model needs.
type fataler interface {
	Fatalf(format string, args ...any)
}

// holders is a Router over fixed pairs of holders, some of which are lost.
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

// good lists the snapshots on which a fingerprint is known to be safe.
type good map[topology.SnapshotID]bool

func (g good) KnownGood(_ clock.Time, _ message.Fingerprint, s topology.SnapshotID) bool { return g[s] }

// sent is one attempt as the outside sees it.
type sent struct {
	sub     message.SubRequest
	to      topology.InstanceRef // zero for a canary
	at      clock.Time
	waiting bool
	replied bool
	overdue bool
	refused bool // proved not to have run
}

// service is one service's part in the answer on the pinned snapshot.
type service struct {
	merged  map[topology.ShardID]bool
	ids     []message.SubID
	retried bool
	crashed bool
	closed  bool
	reason  message.Reason
}

// model is the oracle of one query. It derives the right answer and the true
// coverage from what was delivered, and checks each command against them.
type model struct {
	t         fataler
	q         *query.Query
	id        message.RequestID
	req       query.Request
	snapshots []topology.Snapshot
	router    holders
	good      good
	finishAt  clock.Time

	pinned   int
	canary   bool
	canaries int
	slowest  clock.Duration
	services map[topology.ServiceID]*service
	hits     []message.Hit
	sends    map[message.SubID]*sent
	done     bool
	gone     bool // the caller went away
}

func (m *model) reset() {
	m.services = make(map[topology.ServiceID]*service)
	for id := range m.snapshots[m.pinned].Shards {
		m.services[id] = &service{merged: make(map[topology.ShardID]bool)}
	}
	m.hits, m.slowest, m.canaries = nil, 0, 0
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

// begun predicts the first commands on the pinned snapshot.
func (m *model) begun(now clock.Time) {
	m.reset()
	m.canary = now < m.finishAt && !m.good[m.snapshots[m.pinned].ID]
	if m.canary {
		m.nextCanary(message.ReasonNoHolder)
		return
	}
	m.fannedOut()
}

func (m *model) fannedOut() {
	m.canary = false
	for id, s := range m.services {
		if !m.routable(id) {
			s.close(message.ReasonNoHolder)
		}
	}
}

func (m *model) routable(id topology.ServiceID) bool {
	_, ok := m.router.Route(0, id, topology.InstanceRef{})
	return ok
}

func (m *model) nextCanary(r message.Reason) {
	routable := false
	for id := range m.services {
		routable = routable || m.routable(id)
	}
	if m.canaries == 2 || r == message.ReasonQuarantined {
		m.closeAll(r)
	} else if !routable {
		m.closeAll(message.ReasonNoHolder)
	}
}

func (m *model) closeAll(r message.Reason) {
	for _, s := range m.services {
		s.close(r)
	}
}

func (s *service) close(r message.Reason) {
	if !s.closed {
		s.blame(r)
		s.closed = true
	}
}

func (s *service) blame(r message.Reason) {
	if !s.crashed {
		s.reason, s.crashed = r, r == message.ReasonCrashed
	}
}

// accepts says whether a reply belongs to an open attempt.
func (m *model) accepts(from topology.InstanceRef, r message.SubReply) bool {
	s := m.sends[r.ID]
	if m.done || s == nil || s.replied || s.to != from || s.sub.Snapshot != m.snapshots[m.pinned].ID {
		return false
	}
	return r.Workspace == m.req.Workspace && r.Snapshot == s.sub.Snapshot && !m.services[r.ID.Service].closed
}

// waiting says whether an attempt of the service can still be answered.
func (m *model) waiting(id topology.ServiceID) bool {
	return slices.ContainsFunc(m.services[id].ids, func(id message.SubID) bool { return m.sends[id].waiting })
}

// mayRetry says whether the other holder must be tried.
func (m *model) mayRetry(now clock.Time, id topology.ServiceID) bool {
	s := m.services[id]
	to, ok := m.router.Route(now, id, m.sends[s.ids[len(s.ids)-1]].to)
	return ok && !to.IsZero() && !s.retried && !s.crashed && m.finishAt.Sub(now) >= minAttempt
}

// failed closes the service unless it is tried at the other holder.
func (m *model) failed(now clock.Time, id topology.ServiceID, retry bool) {
	s := m.services[id]
	if retry && m.mayRetry(now, id) {
		s.retried = true
		return
	}
	s.closed = !m.waiting(id)
}

// restarts predicts a restart on another snapshot.
func (m *model) restarts(now clock.Time, have []topology.SnapshotID) bool {
	for i := m.pinned + 1; i < len(m.snapshots); i++ {
		if slices.Contains(have, m.snapshots[i].ID) && m.finishAt.Sub(now) >= max(restartTime, m.slowest) {
			m.pinned = i
			m.begun(now)
			return true
		}
	}
	return false
}

// merge notes a delivered answer.
func (m *model) merge(id topology.ServiceID, answers []message.ShardAnswer) {
	for _, a := range answers {
		if s := m.services[id]; slices.Contains(m.shards(id), a.Shard) && !s.merged[a.Shard] {
			s.merged[a.Shard] = true
			m.hits = append(m.hits, a.Hits...)
		}
	}
	m.services[id].closed = len(m.missing(id)) == 0
}

// take predicts the effect of an accepted reply.
func (m *model) take(now clock.Time, r message.SubReply) {
	a, s := m.sends[r.ID], m.services[r.ID.Service]
	a.waiting, a.replied, a.refused = false, true, r.Status == message.StatusNotRun
	if !a.refused && !a.to.IsZero() {
		m.slowest = max(m.slowest, now.Sub(a.at))
	}
	if r.Status == message.StatusSnapshotGone && m.restarts(now, r.Snapshots) {
		return
	}
	if r.Status == message.StatusOK {
		m.merge(r.ID.Service, r.Shards)
	}
	switch {
	case m.canary && r.Status == message.StatusOK:
		m.fannedOut()
	case m.canary && r.Status == message.StatusSnapshotGone:
		m.closeAll(message.ReasonSnapshotGone)
	case m.canary && m.finishAt.Sub(now) < minAttempt:
		m.closeAll(r.Reason)
	case m.canary:
		m.nextCanary(r.Reason)
	case !s.closed && r.Status == message.StatusOK:
		s.blame(message.ReasonNoTarget)
		m.failed(now, r.ID.Service, true)
	case !s.closed:
		s.blame(r.Reason)
		m.failed(now, r.ID.Service, a.refused && r.Reason != message.ReasonQuarantined)
	}
}

// lost predicts the effect of a lost holder, tick that of an overdue reply.
func (m *model) lost(now clock.Time, ref topology.InstanceRef) {
	for id, s := range m.services {
		hit := false
		for _, sub := range s.ids {
			if a := m.sends[sub]; a.to == ref && a.waiting {
				a.waiting, hit = false, true
			}
		}
		if hit && !s.closed {
			s.blame(message.ReasonNoHolder)
			m.failed(now, id, true)
		}
	}
}

func (m *model) tick(now clock.Time) {
	for id, s := range m.services {
		if s.closed || m.canary || len(s.ids) == 0 || now >= m.finishAt || !m.waiting(id) {
			continue
		}
		a := m.sends[s.ids[len(s.ids)-1]]
		due := a.at.Add(max(m.finishAt.Sub(a.at)/2, 1))
		if s.retried || a.overdue || now < due || due >= m.finishAt {
			continue
		}
		a.overdue = true
		m.slowest = max(m.slowest, now.Sub(a.at))
		s.retried = m.mayRetry(now, id)
	}
}

// check compares the commands of one step with what the model predicts.
func (m *model) check(now clock.Time, cmds []query.Command) {
	if m.done && len(cmds) > 0 {
		m.t.Fatalf("commands after the end: %+v", cmds)
	}
	for i, c := range cmds {
		switch c := c.(type) {
		case query.SendSub:
			m.checkSend(now, c.Sub, c.To)
		case query.RunCanary:
			m.canaries++
			m.checkSend(now, c.Sub, topology.InstanceRef{})
		case query.CancelSub:
			m.sends[c.ID].waiting = false
		case query.CancelCanary:
			m.sends[c.ID].waiting = false
		case query.Finish:
			if m.gone || i != len(cmds)-1 {
				m.t.Fatalf("Finish is not the last command, or comes after Abandon: %+v", cmds)
			}
			m.checkAnswer(now, c.Answer)
			m.done = true
		}
	}
	m.done = m.done || m.gone
	m.checkOpen(now)
}

func (m *model) checkSend(now clock.Time, sub message.SubRequest, to topology.InstanceRef) {
	s := m.services[sub.ID.Service]
	if s == nil || s.closed || m.sends[sub.ID] != nil || m.canary != (sub.Kind == message.KindCanary) || m.canary != to.IsZero() {
		m.t.Fatalf("unexpected sub-request at %d to %v: %+v", now, to, sub)
	}
	if sub.Workspace != m.req.Workspace || sub.Snapshot != m.snapshots[m.pinned].ID || !slices.Equal(sub.Shards, m.missing(sub.ID.Service)) {
		m.t.Fatalf("wrong content of a sub-request: %+v", sub)
	}
	for _, id := range s.ids {
		if !to.IsZero() && m.sends[id].to == to || m.router.lost[to] {
			m.t.Fatalf("sub-request to a lost holder or the same one again: %+v", sub)
		}
	}
	s.ids = append(s.ids, sub.ID)
	m.sends[sub.ID] = &sent{sub: sub, to: to, at: now, waiting: true}
}

// checkOpen checks that exactly the predicted work is outstanding, and that the
// query has finished if and only if nothing is left to wait for.
func (m *model) checkOpen(now clock.Time) {
	if !m.done && m.q.NextWake() > m.finishAt {
		m.t.Fatalf("wakes at %d, after %d", m.q.NextWake(), m.finishAt)
	}
	open := 0
	for id, s := range m.services {
		if s.closed {
			continue
		}
		open++
		atHolders := slices.DeleteFunc(slices.Clone(s.ids), func(id message.SubID) bool { return m.sends[id].to.IsZero() })
		if !m.done && !m.canary && (len(atHolders) == 0 || (len(atHolders) == 2) != s.retried) {
			m.t.Fatalf("%s has %d attempts at holders, second one is %v", id, len(atHolders), s.retried)
		}
	}
	for id, a := range m.sends {
		old := a.sub.Snapshot != m.snapshots[m.pinned].ID
		if a.waiting && (m.done || old || m.services[id.Service].closed) {
			m.t.Fatalf("not cancelled: %+v", a.sub)
		}
	}
	if ended := open == 0 || now >= m.finishAt; !m.gone && ended != m.done || m.done != m.q.Done() {
		m.t.Fatalf("at %d of %d with %d services open: finished is %v", now, m.finishAt, open, m.done)
	}
}

func (m *model) checkAnswer(now clock.Time, got query.Answer) {
	want := query.Answer{Request: m.id, Workspace: m.req.Workspace, Outcome: query.OutcomeAnswered, Snapshot: m.snapshots[m.pinned].ID}
	missing := make(map[message.Reason][]topology.ShardID)
	for id, s := range m.services {
		reason := message.ReasonDeadline
		if s.closed {
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
	for _, a := range m.sends {
		if !a.refused {
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

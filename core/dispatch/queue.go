package dispatch

import (
	"cmp"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

const (
	// defaultRetryAfter is stated when nothing tells when a target will be free:
	// rights are renewed at this interval.
	defaultRetryAfter = 500 * clock.Millisecond
	// maxProofs bounds how often a sub-request is sent again after proof that
	// nothing ran, so that it does not visit dead targets until its deadline.
	maxProofs = 3
)

func byDeadline(a, b *sub) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.item, b.item))
}

func (s *Dispatcher) enqueue(u *sub) {
	i, _ := slices.BinarySearchFunc(s.queue, u, byDeadline)
	s.queue = slices.Insert(s.queue, i, u)
}

func (s *Dispatcher) dequeue(u *sub) {
	if i, found := slices.BinarySearchFunc(s.queue, u, byDeadline); found {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// takeBatch removes a sub-request from the queue, with those that may share its
// call to t.
func (s *Dispatcher) takeBatch(head *sub, t *target) []*sub {
	batch := []*sub{head}
	s.dequeue(head)
	if s.maxBatch == 1 || !head.search() || head.alone || len(s.queue) == 0 {
		return batch
	}
	limit := s.cost.limit(s.maxBatch)
	s.queue = slices.DeleteFunc(s.queue, func(u *sub) bool {
		fits := len(batch) < limit && u.search() && !u.alone && u.avoid != t.ID &&
			u.req.Workspace == head.req.Workspace && u.req.Snapshot == head.req.Snapshot && u.req.Collection == head.req.Collection
		if fits {
			batch = append(batch, u)
		}
		return fits
	})
	return batch
}

// waitFor returns the expected wait for a slot at a position of the queue,
// judged by the observed service time.
func (s *Dispatcher) waitFor(now clock.Time, position int, c capacity) clock.Duration {
	behind := float64(position)/s.perCall - float64(c.free)
	if behind < 0 {
		return 0
	}
	wait := s.latency.mean * (behind + 1) / float64(max(1, c.slots))
	if c.slots == 0 {
		wait += float64(c.opens.Sub(now))
	}
	return clock.Duration(wait)
}

// hopeless returns the first position of the order that cannot start in time.
func (s *Dispatcher) hopeless(now clock.Time, order []*sub, c capacity) (int, bool) {
	if c.slots == 0 && c.opens == 0 {
		return 0, len(order) > 0
	}
	most := s.latency.most()
	last := len(order) - 1
	if last < 0 || now.Add(s.waitFor(now, last, c)+most) <= s.queue[0].deadline {
		return 0, false
	}
	for i, u := range order {
		wait := s.waitFor(now, i, c)
		if wait > 0 && now.Add(wait+most) > u.deadline {
			return i, true
		}
	}
	return 0, false
}

// refuseHopeless refuses sub-requests, the lowest rank first, until the rest can
// start in time. Ranks are the same at every holder, so all holders refuse the
// same queries.
func (s *Dispatcher) refuseHopeless(now clock.Time, c capacity) {
	for {
		order := s.order()
		last, found := s.hopeless(now, order, c)
		if !found {
			return
		}
		victim := order[last]
		alone := s.waitFor(now, 0, c)
		if now.Add(alone+s.latency.most()) <= victim.deadline {
			victim = leastWanted(s.queue, order[:last+1])
		}
		reason := message.ReasonShed
		if c.slots == 0 {
			reason = c.reason
		}
		s.dequeue(victim)
		s.refuse(now, victim, reason)
	}
}

// leastWanted returns the candidate of the lowest rank among those of the workspace
// that has the most in the whole queue, so that a workspace that asks for more than
// its part loses its own queries first.
func leastWanted(queue, candidates []*sub) *sub {
	waiting := map[topology.WorkspaceID]int{}
	for _, u := range queue {
		waiting[u.req.Workspace]++
	}
	return slices.MinFunc(candidates, func(a, b *sub) int {
		return cmp.Or(cmp.Compare(waiting[b.req.Workspace], waiting[a.req.Workspace]), byRank(a, b))
	})
}

func byRank(a, b *sub) int {
	return cmp.Or(cmp.Compare(a.req.Rank, b.req.Rank), cmp.Compare(b.item, a.item))
}

// sendQueued starts calls while there are free slots.
func (s *Dispatcher) sendQueued(now clock.Time) {
	for s.sendNext(now) {
	}
}

// sendNext starts one call and reports whether it did.
func (s *Dispatcher) sendNext(now clock.Time) bool {
	for _, u := range s.order() {
		t, share, ok := s.pick(now, u.avoid, nil)
		if ok {
			batch := s.takeBatch(u, t)
			s.turns.took(u.req.Workspace, len(batch))
			s.send(now, t, share, batch, false)
			return true
		}
		if u.avoid == "" {
			return false
		}
	}
	return false
}

// retry puts a sub-request back into the queue after it was lost or refused. It
// draws on the budget unless free.
func (s *Dispatcher) retry(now clock.Time, u *sub, t *target, free bool) bool {
	if u.canary() || now.Add(s.latency.typical()) >= u.deadline {
		return false
	}
	switch {
	case free:
		if u.proofs == maxProofs {
			return false
		}
		u.proofs++
	case u.retried || !s.budget.take(now, 1):
		return false
	default:
		u.retried = true
	}
	u.avoid = t.ID
	s.enqueue(u)
	return true
}

// refuse replies to a sub-request that gets no call any more. If no target can
// have run it, it states the expected wait as the time to retry after.
func (s *Dispatcher) refuse(now clock.Time, u *sub, reason message.Reason) {
	if u.runs > 0 {
		r := message.SubReply{Status: message.StatusFailed, Reason: reason}
		if u.status != "" {
			r.Status, r.Reason = u.status, u.reason
		}
		s.finish(now, u, r)
		return
	}
	c := s.capacity(now)
	after := defaultRetryAfter
	switch {
	case c.slots > 0:
		after = s.waitFor(now, len(s.queue), c)
	case c.opens > 0:
		after = c.opens.Sub(now)
	}
	s.finish(now, u, message.SubReply{Status: message.StatusNotRun, Reason: reason, RetryAfterMS: max(1, after)})
}

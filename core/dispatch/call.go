package dispatch

import (
	"cmp"
	"slices"

	"knapweedstall/core/allowance"
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
)

// cancelTerm is how long the end of a cancelled call is expected to take: a round
// trip, and some processing at a busy target.
const cancelTerm = 50 * clock.Millisecond

// call is one call to a target whose end is not known. It holds a slot.
type call struct {
	id         CallID
	target     *target
	share      int
	subs       []*sub
	generation allowance.Generation
	sentAt     clock.Time
	deadline   clock.Time
	hedgeAt    clock.Time // 0 when it is not to be hedged, or was
	over       bool       // only its end is awaited
	endsBy     clock.Time // when its cancellation should have ended it; 0 when nothing will end it before its deadline
	broken     bool       // its connection is known to be lost
}

// timedOut makes the target unknown, unless a call that was sent later has been
// answered: then this one was only slow.
func (c *call) timedOut(now clock.Time) {
	c.broken = true
	if c.target.answered <= c.sentAt {
		c.target.allow.TimedOut(now)
	}
}

// ends returns when the slot of a call that is over is expected to be free.
func (c *call) ends(now clock.Time) clock.Time {
	if now < c.endsBy {
		return min(c.endsBy, c.deadline)
	}
	return c.deadline
}

// send starts a call for the sub-requests.
func (s *Service) send(now clock.Time, t *target, share int, subs []*sub, hedge bool) {
	s.lastCall++
	c := &call{id: s.lastCall, target: t, share: share, subs: subs, generation: t.allow.Generation(), sentAt: now}
	head := subs[0]
	cmd := Send{Call: c.id, Target: t.ID, Snapshot: head.req.Snapshot, Once: head.once(), Items: make([]Item, len(subs))}
	for i, u := range subs {
		cmd.Items[i] = Item{ID: u.item, Workspace: u.req.Workspace, Shards: u.req.Shards, Query: u.req.Query, Limit: u.req.Limit}
		c.deadline = max(c.deadline, u.deadline)
		s.countSend(now, u)
	}
	c.deadline = min(c.deadline.Add(EndMargin), now.Add(message.MaxTargetCallDuration))
	if head.search() && !head.alone && !hedge && !s.noHedges && s.latency.tail > 0 {
		c.hedgeAt = now.Add(s.latency.tail + 1)
	}
	cmd.Deadline = c.deadline.Add(-EndMargin)
	cmd.StartBy = min(cmd.Deadline, now.Add(startTerm))
	t.inFlight[share]++
	s.perCall += meanWeight * (float64(len(subs)) - s.perCall)
	s.calls = append(s.calls, c)
	s.emit(cmd)
}

func (s *Service) countSend(now clock.Time, u *sub) {
	u.calls++
	u.runs++
	if u.started {
		s.load.Extra++
		return
	}
	u.started = true
	u.waited = now.Sub(u.arrived)
	s.delay = u.waited
	if u.req.Repeat {
		s.load.Extra++
		return
	}
	s.load.First++
	s.budget.earn()
}

// sendHedges sends the searches of overdue calls to a second target. Hedges go
// before the queue, also under overload: an overdue call has waited longest, and
// its cancellation frees a slot that it would use for long.
func (s *Service) sendHedges(now clock.Time) {
	for _, call := range s.calls[:len(s.calls):len(s.calls)] {
		if call.over || call.hedgeAt == 0 || now < call.hedgeAt {
			continue
		}
		live := slices.DeleteFunc(slices.Clone(call.subs), func(u *sub) bool {
			return u.done || now.Add(s.latency.typical()) > u.deadline
		})
		if len(live) == 0 {
			call.hedgeAt = 0
			continue
		}
		t, share, ok := s.pick(now, "", call.target)
		if !ok || !s.budget.take(now, len(live)) {
			continue
		}
		call.hedgeAt = 0
		s.send(now, t, share, live, true)
	}
}

// Answered takes a target's answer to a call. It proves that the call ended.
func (s *Service) Answered(now clock.Time, id CallID, a Answer) []Command {
	c := s.call(now, id)
	if c == nil {
		s.lateAnswer(now, id, a)
		return s.pump(now)
	}
	s.release(c)
	t := c.target
	t.answered = max(t.answered, c.sentAt)
	if a.Status == AnswerShed {
		use := s.right.Use(now, s.id)
		t.needsFresh = t.needsFresh || use.Warm[c.share] && !use.Cold[c.share]
		t.allow.Shed(now, c.generation, a.State, a.Bears, a.RetryAfter)
	} else {
		t.allow.Answered(now, c.generation, a.State, a.Bears)
	}
	s.report(now, t)
	if c.over {
		return s.pump(now)
	}
	if a.Status == AnswerOK {
		s.observe(now, c)
		s.cost.observe(len(c.subs), now.Sub(c.sentAt))
	}
	for _, u := range c.subs {
		s.itemAnswered(now, c, u, a)
	}
	return s.pump(now)
}

// lateAnswer takes an answer that is handled after its call's deadline, for
// example after a pause. Its items are dropped, but what it says against the
// target still counts.
func (s *Service) lateAnswer(now clock.Time, id CallID, a Answer) {
	s.load.Dropped++
	c := s.expired[id]
	delete(s.expired, id)
	if c == nil {
		if i, found := slices.BinarySearchFunc(s.calls, id, byID); found {
			c = s.calls[i] // its deadline has passed, but no Tick has come since
		}
	}
	if c == nil || a.State == message.TargetWarm {
		return
	}
	c.target.allow.Answered(now, c.generation, a.State, a.Bears)
	s.report(now, c.target)
}

func (s *Service) itemAnswered(now clock.Time, c *call, u *sub, a Answer) {
	u.calls--
	if u.done {
		return
	}
	switch a.Status {
	case AnswerOK:
	case AnswerShed, AnswerLate:
		s.notRun(now, u, c.target, false)
		return
	case AnswerDraining:
		s.notRun(now, u, c.target, true)
		return
	default:
		s.lost(now, u, c.target, message.StatusFailed, message.ReasonNoTarget)
		return
	}
	i := slices.IndexFunc(a.Items, func(x ItemAnswer) bool {
		return x.ID == u.item && x.Workspace == u.req.Workspace && x.Snapshot == u.req.Snapshot
	})
	if i < 0 {
		s.load.Dropped++
		s.lost(now, u, c.target, message.StatusFailed, message.ReasonNoTarget)
		return
	}
	switch item := a.Items[i]; item.Status {
	case ItemOK:
		s.finish(now, u, message.SubReply{Status: message.StatusOK, Shards: item.Shards})
	case ItemSnapshotGone:
		s.finish(now, u, message.SubReply{Status: message.StatusSnapshotGone, Reason: message.ReasonSnapshotGone, Snapshots: item.Snapshots})
	case ItemNotRun:
		s.notRun(now, u, c.target, false)
	default:
		s.lost(now, u, c.target, message.StatusFailed, message.ReasonNoTarget)
	}
}

// Failed takes the end of a call without an answer.
func (s *Service) Failed(now clock.Time, id CallID, f Failure) []Command {
	c := s.call(now, id)
	if c == nil {
		delete(s.expired, id)
		s.load.Dropped++
		return s.pump(now)
	}
	settled := c.over
	c.endsBy = 0
	switch {
	case f == FailureNotSent || f == FailureEnded:
		s.release(c)
	case !settled:
		// The target may still be running the call until its deadline.
		s.await(c)
	}
	switch {
	case c.broken:
	case f == FailureNotSent || f == FailureLost:
		c.broken = true
		c.target.allow.Failed(now)
		s.report(now, c.target)
	case f == FailureTimeout && !settled:
		c.timedOut(now)
	}
	if !settled {
		s.itemsFailed(now, c, f)
	}
	return s.pump(now)
}

func (s *Service) itemsFailed(now clock.Time, c *call, f Failure) {
	for _, u := range c.subs {
		u.calls--
		switch {
		case u.done:
		case f == FailureNotSent:
			s.notRun(now, u, c.target, true)
		case f == FailureLost:
			s.lost(now, u, c.target, message.StatusCrashed, message.ReasonCrashed)
		default:
			s.lost(now, u, c.target, message.StatusFailed, message.ReasonDeadline)
		}
	}
}

// notRun handles proof that a call did not run the sub-request. No load was
// caused, so the repetition is free, when the target was not even overloaded.
func (s *Service) notRun(now clock.Time, u *sub, t *target, free bool) {
	u.runs--
	if u.calls == 0 && !s.retry(now, u, t, free) {
		s.refuse(now, u, message.ReasonShed)
	}
}

// lost handles a call that may have run the sub-request. Only a search is sent
// again, alone, and to at most two targets in all, since it may have crashed
// the first.
func (s *Service) lost(now clock.Time, u *sub, t *target, status message.Status, reason message.Reason) {
	u.status, u.reason = status, reason
	u.alone = true
	if u.calls > 0 || u.search() && u.runs < 2 && s.retry(now, u, t, false) {
		return
	}
	s.refuse(now, u, reason)
}

// finish replies to a sub-request and cancels the calls that nobody needs any
// more.
func (s *Service) finish(now clock.Time, u *sub, r message.SubReply) {
	u.done = true
	delete(s.subs, u.req.ID)
	if u.once() {
		s.ran[u.req.ID] = struct{}{}
		s.runs = append(s.runs, finishedRun{u.req.ID, u.deadline.Add(runMemory)})
	}
	r.ID, r.Workspace, r.Snapshot = u.req.ID, u.req.Workspace, u.req.Snapshot
	r.QueueDelayMS = s.delay
	if u.started {
		r.QueueDelayMS = u.waited
	}
	s.emit(Reply{r})
	if u.calls == 0 {
		return
	}
	for _, c := range s.calls {
		if c.over || slices.ContainsFunc(c.subs, func(u *sub) bool { return !u.done }) {
			continue
		}
		s.await(c)
		c.endsBy = now.Add(cancelTerm)
		s.emit(CancelCall{c.id})
		// A cancelled call would have taken at least this long. Without it a slow
		// target whose calls lose to hedges would look fast.
		if d := now.Sub(c.sentAt); d > s.latency.most() {
			s.observe(now, c)
		}
	}
}

func (s *Service) observe(now clock.Time, c *call) {
	run := c.subs[0].once()
	s.latency.observe(now.Sub(c.sentAt), run)
	if !run {
		c.target.observe(now, now.Sub(c.sentAt))
	}
}

// expire ends what has passed its deadline.
func (s *Service) expire(now clock.Time) {
	for len(s.runs) > 0 && s.runs[0].until <= now {
		delete(s.ran, s.runs[0].id)
		s.runs = s.runs[1:]
	}
	for len(s.queue) > 0 && s.queue[0].deadline <= now {
		u := s.queue[0]
		s.dequeue(u)
		s.refuse(now, u, message.ReasonDeadline)
	}
	for _, c := range slices.Clone(s.calls) {
		if c.deadline <= now {
			s.release(c)
			s.expired[c.id] = c
			if !c.over {
				s.emit(CancelCall{c.id})
				c.timedOut(now)
				s.itemsFailed(now, c, FailureTimeout)
			}
			continue
		}
		for _, u := range c.subs {
			if !u.done && u.deadline <= now {
				s.refuse(now, u, message.ReasonDeadline)
			}
		}
	}
}

// call returns a call in flight, nil when it is unknown or past its deadline.
func (s *Service) call(now clock.Time, id CallID) *call {
	i, found := slices.BinarySearchFunc(s.calls, id, byID)
	if !found || s.calls[i].deadline <= now {
		return nil
	}
	return s.calls[i]
}

func byID(c *call, id CallID) int { return cmp.Compare(c.id, id) }

// await keeps the slot of a call whose outcome no longer matters.
func (s *Service) await(c *call) {
	c.over = true
	c.target.ending[c.share]++
}

// release frees the slot of a call that has ended.
func (s *Service) release(c *call) {
	i, _ := slices.BinarySearchFunc(s.calls, c.id, byID)
	s.calls = slices.Delete(s.calls, i, i+1)
	c.target.inFlight[c.share]--
	if c.over {
		c.target.ending[c.share]--
	}
}

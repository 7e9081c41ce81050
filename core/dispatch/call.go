package dispatch

import (
	"cmp"
	"slices"

	"knapweedstall/core/allowance"
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
)

// cancelLatency is the expected time from the cancellation of a call to its end: a
// round trip, and some processing at a busy target.
const cancelLatency = 50 * clock.Millisecond

// call is one call to a target that is not known to have ended. It occupies a slot
// of the target.
type call struct {
	id          CallID
	target      *target
	share       int
	subs        []*sub
	generation  allowance.Generation
	sentAt      clock.Time
	deadline    clock.Time
	hedgeAt     clock.Time // when a hedge is due; 0 if none is wanted or one was sent
	settled     bool       // its outcome no longer matters; it only occupies its slot until it ends
	expectedEnd clock.Time // when its cancellation is expected to take effect; 0 if nothing ends it before its deadline
	connLost    bool       // its connection is known to be lost, or it timed out
}

// timedOut records a timeout for the target, unless the target answered a call that
// was sent later: in that case only this call was slow.
func (c *call) timedOut(now clock.Time) {
	c.connLost = true
	if c.target.lastAnswered <= c.sentAt {
		c.target.allowance.TimedOut(now)
	}
}

// expectedRelease returns when the slot of a settled call is expected to be free.
func (c *call) expectedRelease(now clock.Time) clock.Time {
	if now < c.expectedEnd {
		return min(c.expectedEnd, c.deadline)
	}
	return c.deadline
}

// send starts a call that carries the sub-requests.
func (d *Dispatcher) send(now clock.Time, t *target, share int, subs []*sub, hedge bool) {
	d.lastCallID++
	c := &call{id: d.lastCallID, target: t, share: share, subs: subs, generation: t.allowance.Generation(), sentAt: now}
	head := subs[0]
	cmd := Send{Call: c.id, Target: t.ID, Snapshot: head.req.Snapshot, Once: head.atMostOnce(), Items: make([]Item, len(subs))}
	for i, u := range subs {
		cmd.Items[i] = Item{ID: u.item, Workspace: u.req.Workspace, Shards: u.req.Shards, Query: u.req.Query, Limit: u.req.Limit}
		c.deadline = max(c.deadline, u.deadline)
		d.countSend(now, u)
	}
	c.deadline = min(c.deadline.Add(SlotReleaseDelay), now.Add(message.MaxTargetCallDuration))
	if head.isSearch() && !head.exclusive && !hedge && !d.noHedges && d.latency.tail > 0 {
		c.hedgeAt = now.Add(d.latency.tail + 1)
	}
	cmd.Deadline = c.deadline.Add(-SlotReleaseDelay)
	cmd.StartBy = min(cmd.Deadline, now.Add(maxStartDelay))
	t.inFlight[share]++
	d.itemsPerCall += meanWeight * (float64(len(subs)) - d.itemsPerCall)
	d.calls = append(d.calls, c)
	d.emit(cmd)
}

// countSend updates the counters of u and d for a call that carries u.
func (d *Dispatcher) countSend(now clock.Time, u *sub) {
	u.openCalls++
	u.possibleRuns++
	if u.started {
		d.counters.RepeatedSends++
		return
	}
	u.started = true
	u.queueDelay = now.Sub(u.arrived)
	d.queueDelay = u.queueDelay
	if u.req.Repeat {
		d.counters.RepeatedSends++
		return
	}
	d.counters.FirstSends++
	d.budget.earn()
}

// sendHedges sends the searches of overdue calls to a second target. Hedges are sent
// before queued sub-requests, also under overload: the searches of an overdue call
// have waited longest, and cancelling the call frees a slot that it would otherwise
// occupy for a long time.
func (d *Dispatcher) sendHedges(now clock.Time) {
	for _, call := range d.calls[:len(d.calls):len(d.calls)] {
		if call.settled || call.hedgeAt == 0 || now < call.hedgeAt {
			continue
		}
		live := slices.DeleteFunc(slices.Clone(call.subs), func(u *sub) bool {
			return u.done || now.Add(d.latency.meanEstimate()) > u.deadline
		})
		if len(live) == 0 {
			call.hedgeAt = 0
			continue
		}
		t, share, ok := d.pick(now, "", call.target)
		if !ok || !d.budget.spend(now, len(live)) {
			continue
		}
		call.hedgeAt = 0
		d.send(now, t, share, live, true)
	}
}

// Answered handles a target's answer to a call. An answer proves that the call has
// ended.
func (d *Dispatcher) Answered(now clock.Time, id CallID, a Answer) []Command {
	c := d.call(now, id)
	if c == nil {
		d.lateAnswer(now, id, a)
		return d.process(now)
	}
	d.release(c)
	t := c.target
	t.lastAnswered = max(t.lastAnswered, c.sentAt)
	if a.Status == AnswerShed {
		permission := d.leases.Use(now, d.id)
		t.needsFreshLease = t.needsFreshLease || permission.Warm[c.share] && !permission.Cold[c.share]
		t.allowance.Shed(now, c.generation, a.State, a.Capacity, a.RetryAfter)
	} else {
		t.allowance.Answered(now, c.generation, a.State, a.Capacity)
	}
	d.report(now, t)
	if c.settled {
		return d.process(now)
	}
	if a.Status == AnswerOK {
		d.observe(now, c)
		d.cost.observe(len(c.subs), now.Sub(c.sentAt))
	}
	for _, u := range c.subs {
		d.itemAnswered(now, c, u, a)
	}
	return d.process(now)
}

// lateAnswer handles an answer that is processed after its call's deadline, for
// example after a pause of this process. Its items are dropped, but a
// state other than warm is still recorded for the target.
func (d *Dispatcher) lateAnswer(now clock.Time, id CallID, a Answer) {
	d.counters.DroppedAnswers++
	c := d.expired[id]
	delete(d.expired, id)
	if c == nil {
		if i, found := slices.BinarySearchFunc(d.calls, id, byID); found {
			c = d.calls[i] // its deadline has passed, but Tick has not been called since
		}
	}
	if c == nil || a.State == message.TargetWarm {
		return
	}
	c.target.allowance.Answered(now, c.generation, a.State, a.Capacity)
	d.report(now, c.target)
}

// itemAnswered applies the answer to call c to one of its sub-requests.
func (d *Dispatcher) itemAnswered(now clock.Time, c *call, u *sub, a Answer) {
	u.openCalls--
	if u.done {
		return
	}
	switch a.Status {
	case AnswerOK:
	case AnswerShed, AnswerLate:
		d.notRun(now, u, c.target, false)
		return
	case AnswerDraining:
		d.notRun(now, u, c.target, true)
		return
	default:
		d.maybeRun(now, u, c.target, message.StatusFailed, message.ReasonNoTarget)
		return
	}
	i := slices.IndexFunc(a.Items, func(x ItemAnswer) bool {
		return x.ID == u.item && x.Workspace == u.req.Workspace && x.Snapshot == u.req.Snapshot
	})
	if i < 0 {
		d.counters.DroppedAnswers++
		d.maybeRun(now, u, c.target, message.StatusFailed, message.ReasonNoTarget)
		return
	}
	switch item := a.Items[i]; item.Status {
	case ItemOK:
		d.finish(now, u, message.SubReply{Status: message.StatusOK, Shards: item.Shards})
	case ItemSnapshotGone:
		d.finish(now, u, message.SubReply{Status: message.StatusSnapshotGone, Reason: message.ReasonSnapshotGone, Snapshots: item.Snapshots})
	case ItemNotRun:
		d.notRun(now, u, c.target, false)
	default:
		d.maybeRun(now, u, c.target, message.StatusFailed, message.ReasonNoTarget)
	}
}

// Failed handles the failure of a call without an answer.
func (d *Dispatcher) Failed(now clock.Time, id CallID, f Failure) []Command {
	c := d.call(now, id)
	if c == nil {
		delete(d.expired, id)
		d.counters.DroppedAnswers++
		return d.process(now)
	}
	settled := c.settled
	c.expectedEnd = 0
	switch {
	case f == FailureNotSent || f == FailureEnded:
		d.release(c)
	case !settled:
		// The target may still be running the call until its deadline.
		d.settle(c)
	}
	switch {
	case c.connLost:
	case f == FailureNotSent || f == FailureLost:
		c.connLost = true
		c.target.allowance.Failed(now)
		d.report(now, c.target)
	case f == FailureTimeout && !settled:
		c.timedOut(now)
	}
	if !settled {
		d.itemsFailed(now, c, f)
	}
	return d.process(now)
}

// itemsFailed applies the failure of call c to its sub-requests.
func (d *Dispatcher) itemsFailed(now clock.Time, c *call, f Failure) {
	for _, u := range c.subs {
		u.openCalls--
		switch {
		case u.done:
		case f == FailureNotSent:
			d.notRun(now, u, c.target, true)
		case f == FailureLost:
			d.maybeRun(now, u, c.target, message.StatusCrashed, message.ReasonCrashed)
		default:
			d.maybeRun(now, u, c.target, message.StatusFailed, message.ReasonDeadline)
		}
	}
}

// notRun handles proof that a call did not run the sub-request. With free, the retry
// does not draw on the budget: the call caused no load, and the target did not refuse
// it for lack of capacity.
func (d *Dispatcher) notRun(now clock.Time, u *sub, t *target, free bool) {
	u.possibleRuns--
	if u.openCalls == 0 && !d.retry(now, u, t, free) {
		d.refuse(now, u, message.ReasonShed)
	}
}

// maybeRun handles the end of a call that may have run the sub-request. Only a search
// is sent again, in a call of its own, and to at most two targets in total, since it
// may have crashed the first one.
func (d *Dispatcher) maybeRun(now clock.Time, u *sub, t *target, status message.Status, reason message.Reason) {
	u.status, u.reason = status, reason
	u.exclusive = true
	if u.openCalls > 0 || u.isSearch() && u.possibleRuns < 2 && d.retry(now, u, t, false) {
		return
	}
	d.refuse(now, u, reason)
}

// finish replies to a sub-request and cancels the calls whose sub-requests are all
// finished.
func (d *Dispatcher) finish(now clock.Time, u *sub, r message.SubReply) {
	u.done = true
	delete(d.subs, u.req.ID)
	if u.atMostOnce() {
		d.finishedRunIDs[u.req.ID] = struct{}{}
		d.finishedRuns = append(d.finishedRuns, finishedRun{u.req.ID, u.deadline.Add(finishedRunRetention)})
	}
	r.ID, r.Workspace, r.Snapshot = u.req.ID, u.req.Workspace, u.req.Snapshot
	r.QueueDelayMS = d.queueDelay
	if u.started {
		r.QueueDelayMS = u.queueDelay
	}
	d.emit(Reply{r})
	if u.openCalls == 0 {
		return
	}
	for _, c := range d.calls {
		if c.settled || slices.ContainsFunc(c.subs, func(u *sub) bool { return !u.done }) {
			continue
		}
		d.settle(c)
		c.expectedEnd = now.Add(cancelLatency)
		d.emit(CancelCall{c.id})
		// The time so far is a lower bound of the call's latency. If it were not
		// recorded, a slow target whose calls are cancelled in favour of hedges
		// would look fast.
		if elapsed := now.Sub(c.sentAt); elapsed > d.latency.upperEstimate() {
			d.observe(now, c)
		}
	}
}

// observe records the latency of a call.
func (d *Dispatcher) observe(now clock.Time, c *call) {
	run := c.subs[0].atMostOnce()
	d.latency.observe(now.Sub(c.sentAt), run)
	if !run {
		c.target.observe(now, now.Sub(c.sentAt))
	}
}

// expire ends the calls and refuses the sub-requests whose deadline has passed, and
// removes outdated ids of finished runs.
func (d *Dispatcher) expire(now clock.Time) {
	for len(d.finishedRuns) > 0 && d.finishedRuns[0].expiresAt <= now {
		delete(d.finishedRunIDs, d.finishedRuns[0].id)
		d.finishedRuns = d.finishedRuns[1:]
	}
	for len(d.queue) > 0 && d.queue[0].deadline <= now {
		u := d.queue[0]
		d.dequeue(u)
		d.refuse(now, u, message.ReasonDeadline)
	}
	for _, c := range slices.Clone(d.calls) {
		if c.deadline <= now {
			d.release(c)
			d.expired[c.id] = c
			if !c.settled {
				d.emit(CancelCall{c.id})
				c.timedOut(now)
				d.itemsFailed(now, c, FailureTimeout)
			}
			continue
		}
		for _, u := range c.subs {
			if !u.done && u.deadline <= now {
				d.refuse(now, u, message.ReasonDeadline)
			}
		}
	}
}

// call returns the call in flight with the given id, or nil if it is unknown or past
// its deadline.
func (d *Dispatcher) call(now clock.Time, id CallID) *call {
	i, found := slices.BinarySearchFunc(d.calls, id, byID)
	if !found || d.calls[i].deadline <= now {
		return nil
	}
	return d.calls[i]
}

func byID(c *call, id CallID) int { return cmp.Compare(c.id, id) }

// settle marks a call whose outcome no longer matters. It keeps its slot until it
// ends.
func (d *Dispatcher) settle(c *call) {
	c.settled = true
	c.target.settled[c.share]++
}

// release frees the slot of a call that has ended.
func (d *Dispatcher) release(c *call) {
	i, _ := slices.BinarySearchFunc(d.calls, c.id, byID)
	d.calls = slices.Delete(d.calls, i, i+1)
	c.target.inFlight[c.share]--
	if c.settled {
		c.target.settled[c.share]--
	}
}

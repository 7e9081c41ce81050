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
	maxFreeRetries = 3
)

func byDeadline(a, b *sub) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.item, b.item))
}

func (d *Dispatcher) enqueue(u *sub) {
	i, _ := slices.BinarySearchFunc(d.queue, u, byDeadline)
	d.queue = slices.Insert(d.queue, i, u)
}

func (d *Dispatcher) dequeue(u *sub) {
	if i, found := slices.BinarySearchFunc(d.queue, u, byDeadline); found {
		d.queue = slices.Delete(d.queue, i, i+1)
	}
}

// takeBatch removes a sub-request from the queue, with those that may share its
// call to t.
func (d *Dispatcher) takeBatch(head *sub, t *target) []*sub {
	batch := []*sub{head}
	d.dequeue(head)
	if d.maxBatch == 1 || !head.isSearch() || head.exclusive || len(d.queue) == 0 {
		return batch
	}
	limit := d.cost.limit(d.maxBatch)
	d.queue = slices.DeleteFunc(d.queue, func(u *sub) bool {
		fits := len(batch) < limit && u.isSearch() && !u.exclusive && u.avoid != t.ID &&
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
func (d *Dispatcher) waitFor(now clock.Time, position int, c capacity) clock.Duration {
	behind := float64(position)/d.itemsPerCall - float64(c.free)
	if behind < 0 {
		return 0
	}
	wait := d.latency.mean * (behind + 1) / float64(max(1, c.slots))
	if c.slots == 0 {
		wait += float64(c.opensAt.Sub(now))
	}
	return clock.Duration(wait)
}

// hopeless returns the first position of the order that cannot start in time.
func (d *Dispatcher) firstUnmeetable(now clock.Time, order []*sub, c capacity) (int, bool) {
	if c.slots == 0 && c.opensAt == 0 {
		return 0, len(order) > 0
	}
	most := d.latency.upperEstimate()
	last := len(order) - 1
	if last < 0 || now.Add(d.waitFor(now, last, c)+most) <= d.queue[0].deadline {
		return 0, false
	}
	for i, u := range order {
		wait := d.waitFor(now, i, c)
		if wait > 0 && now.Add(wait+most) > u.deadline {
			return i, true
		}
	}
	return 0, false
}

// refuseHopeless refuses sub-requests, the lowest rank first, until the rest can
// start in time. Ranks are the same at every holder, so all holders refuse the
// same queries.
func (d *Dispatcher) refuseUnmeetable(now clock.Time, c capacity) {
	for {
		order := d.serviceOrder()
		last, found := d.firstUnmeetable(now, order, c)
		if !found {
			return
		}
		victim := order[last]
		alone := d.waitFor(now, 0, c)
		if now.Add(alone+d.latency.upperEstimate()) <= victim.deadline {
			victim = lowestPriority(d.queue, order[:last+1])
		}
		reason := message.ReasonShed
		if c.slots == 0 {
			reason = c.reason
		}
		d.dequeue(victim)
		d.refuse(now, victim, reason)
	}
}

// leastWanted returns the candidate of the lowest rank among those of the workspace
// that has the most in the whole queue, so that a workspace that asks for more than
// its part loses its own queries first.
func lowestPriority(queue, candidates []*sub) *sub {
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
func (d *Dispatcher) sendQueued(now clock.Time) {
	for d.sendNext(now) {
	}
}

// sendNext starts one call and reports whether it did.
func (d *Dispatcher) sendNext(now clock.Time) bool {
	for _, u := range d.serviceOrder() {
		t, share, ok := d.pick(now, u.avoid, nil)
		if ok {
			batch := d.takeBatch(u, t)
			d.fairQueue.charge(u.req.Workspace, len(batch))
			d.send(now, t, share, batch, false)
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
func (d *Dispatcher) retry(now clock.Time, u *sub, t *target, free bool) bool {
	if u.isCanary() || now.Add(d.latency.meanEstimate()) >= u.deadline {
		return false
	}
	switch {
	case free:
		if u.freeRetries == maxFreeRetries {
			return false
		}
		u.freeRetries++
	case u.retried || !d.budget.spend(now, 1):
		return false
	default:
		u.retried = true
	}
	u.avoid = t.ID
	d.enqueue(u)
	return true
}

// refuse replies to a sub-request that gets no call any more. If no target can
// have run it, it states the expected wait as the time to retry after.
func (d *Dispatcher) refuse(now clock.Time, u *sub, reason message.Reason) {
	if u.possibleRuns > 0 {
		r := message.SubReply{Status: message.StatusFailed, Reason: reason}
		if u.status != "" {
			r.Status, r.Reason = u.status, u.reason
		}
		d.finish(now, u, r)
		return
	}
	c := d.capacity(now)
	after := defaultRetryAfter
	switch {
	case c.slots > 0:
		after = d.waitFor(now, len(d.queue), c)
	case c.opensAt > 0:
		after = c.opensAt.Sub(now)
	}
	d.finish(now, u, message.SubReply{Status: message.StatusNotRun, Reason: reason, RetryAfterMS: max(1, after)})
}

package dispatch

import (
	"cmp"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

const (
	// defaultRetryAfter is stated when it is not known when a target will be free:
	// leases are renewed at this interval.
	defaultRetryAfter = 500 * clock.Millisecond
	// maxFreeRetries limits how often a sub-request is sent again after proof that
	// it was not run, so that it is not sent to dead targets until its deadline.
	maxFreeRetries = 3
)

func byDeadline(a, b *sub) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.item, b.item))
}

// enqueue inserts u into the queue.
func (d *Dispatcher) enqueue(u *sub) {
	i, _ := slices.BinarySearchFunc(d.queue, u, byDeadline)
	d.queue = slices.Insert(d.queue, i, u)
}

func (d *Dispatcher) dequeue(u *sub) {
	if i, found := slices.BinarySearchFunc(d.queue, u, byDeadline); found {
		d.queue = slices.Delete(d.queue, i, i+1)
	}
}

// takeBatch removes head from the queue, together with the sub-requests that may
// share its call to t.
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

// expectedWait returns the expected wait for a slot at a position in the queue,
// according to the mean latency of calls.
func (d *Dispatcher) expectedWait(now clock.Time, position int, c capacity) clock.Duration {
	callsAhead := float64(position)/d.itemsPerCall - float64(c.free)
	if callsAhead < 0 {
		return 0
	}
	wait := d.latency.mean * (callsAhead + 1) / float64(max(1, c.slots))
	if c.slots == 0 {
		wait += float64(c.opensAt.Sub(now))
	}
	return clock.Duration(wait)
}

// firstUnmeetable returns the first position in order whose sub-request cannot be
// started early enough to meet its deadline.
func (d *Dispatcher) firstUnmeetable(now clock.Time, order []*sub, c capacity) (int, bool) {
	if c.slots == 0 && c.opensAt == 0 {
		return 0, len(order) > 0
	}
	upper := d.latency.upperEstimate()
	last := len(order) - 1
	if last < 0 || now.Add(d.expectedWait(now, last, c)+upper) <= d.queue[0].deadline {
		return 0, false
	}
	for i, u := range order {
		wait := d.expectedWait(now, i, c)
		if wait > 0 && now.Add(wait+upper) > u.deadline {
			return i, true
		}
	}
	return 0, false
}

// refuseUnmeetable refuses sub-requests, the lowest rank first, until the others can
// meet their deadlines. Ranks are the same at every holder, so all holders refuse the
// same queries.
func (d *Dispatcher) refuseUnmeetable(now clock.Time, c capacity) {
	for {
		order := d.serviceOrder()
		position, found := d.firstUnmeetable(now, order, c)
		if !found {
			return
		}
		victim := order[position]
		firstWait := d.expectedWait(now, 0, c)
		if now.Add(firstWait+d.latency.upperEstimate()) <= victim.deadline {
			victim = lowestPriority(d.queue, order[:position+1])
		}
		reason := message.ReasonShed
		if c.slots == 0 {
			reason = c.reason
		}
		d.dequeue(victim)
		d.refuse(now, victim, reason)
	}
}

// lowestPriority returns the candidate with the lowest rank among those of the
// workspace that has the most sub-requests in the whole queue, so that a workspace
// that sends more than its fair share loses its own queries first.
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

// sendQueued starts calls for queued sub-requests while slots are free.
func (d *Dispatcher) sendQueued(now clock.Time) {
	for d.sendNext(now) {
	}
}

// sendNext starts one call and reports whether one was started.
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

// retry puts a sub-request back into the queue after target t refused it or did not
// answer it, and reports whether it did. Unless free is set, this takes a token from
// the budget.
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

// refuse replies to a sub-request that is not sent any more. If no target can have run
// it, the reply states the expected wait as the time after which to retry.
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
		after = d.expectedWait(now, len(d.queue), c)
	case c.opensAt > 0:
		after = c.opensAt.Sub(now)
	}
	d.finish(now, u, message.SubReply{Status: message.StatusNotRun, Reason: reason, RetryAfterMS: max(1, after)})
}

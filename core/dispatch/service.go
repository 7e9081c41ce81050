// Package dispatch decides when and where a holder, an instance that may send work to
// the targets of a service, sends the sub-requests of that service. It queues, batches,
// hedges, retries, cancels and refuses them and selects a replica for each call. It
// never has more calls in flight at a target than the holder's share of the target's
// slots allows.
//
// The JSON attributes Tenant and Bears keep the names that recorded traces use for the
// fields Workspace and Capacity, so that old traces stay readable.
package dispatch

import (
	"slices"

	"knapweedstall/core/allowance"
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// SlotReleaseDelay is how long after its deadline a call still occupies its slot. When
// the slot was released exactly at the deadline, the next call reached the target
// before the target had stopped the previous one.
const SlotReleaseDelay = 20 * clock.Millisecond

const (
	// maxStartDelay is the time after sending within which a target may start a
	// call, so that a call that was delayed by a pause is refused.
	maxStartDelay = 500 * clock.Millisecond
	// finishedRunRetention is how long the id of a finished run is kept after its
	// deadline, so that a duplicate message does not run it again.
	finishedRunRetention = 30 * clock.Second
)

// sub is a sub-request that was accepted and not yet replied to.
type sub struct {
	item         ItemID // increases in the order of arrival
	req          message.SubRequest
	arrived      clock.Time
	deadline     clock.Time
	openCalls    int               // calls in flight that can still answer it
	possibleRuns int               // calls in which a target may have run it; StatusNotRun requires 0
	freeRetries  int               // retries without a token, after calls that provably did not run it
	started      bool              // it was sent at least once
	queueDelay   clock.Duration    // wait for its first slot; set when started
	retried      bool              // it was retried with a token; this is done once
	exclusive    bool              // must be sent in a call of its own, without a hedge
	avoid        topology.TargetID // the target of the last failed call
	status       message.Status    // outcome of the last failed run; valid if possibleRuns > 0
	reason       message.Reason    // reason for status
	done         bool
}

// isSearch reports whether the sub-request may be hedged, retried and batched.
func (u *sub) isSearch() bool { return u.req.Kind == message.KindSearch }

// isCanary reports whether the sub-request is a canary: a search that is sent to one
// target only, since it is not known to be safe.
func (u *sub) isCanary() bool { return u.req.Kind == message.KindCanary }

// atMostOnce reports whether the sub-request may be run at most once. This includes
// unknown kinds.
func (u *sub) atMostOnce() bool { return !u.isSearch() && !u.isCanary() }

// Dispatcher queues and sends the sub-requests of one service of which this instance
// holds a share.
type Dispatcher struct {
	id             topology.ServiceID
	leases         Leases
	maxBatch       int
	noHedges       bool
	targets        []*target // in the order of the configuration
	retired        []*target // removed from the configuration, with calls in flight
	subs           map[message.SubID]*sub
	queue          []*sub // by deadline, then arrival
	fairQueue      fairQueue
	calls          []*call          // by id
	expired        map[CallID]*call // calls past their deadlines whose end the driver has not reported
	lastCallID     CallID
	lastItemID     ItemID
	latency        latency
	itemsPerCall   float64 // mean number of items in a call
	cost           batchCost
	budget         budget
	queueDelay     clock.Duration             // of the most recently started sub-request
	finishedRunIDs map[message.SubID]struct{} // the ids in finishedRuns
	finishedRuns   []finishedRun              // in the order of their replies
	counters       Load                       // only its counters are used
	nextTick       clock.Time
	commands       []Command
}

// finishedRun is the id of a run that was replied to, kept to detect duplicates.
type finishedRun struct {
	id        message.SubID
	expiresAt clock.Time
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithMaxBatch lets a call carry up to n searches. The default is 1.
func WithMaxBatch(n int) Option {
	return func(d *Dispatcher) { d.maxBatch = max(1, n) }
}

// WithoutBudgetRecovery makes the retry budget start empty and not recover with time,
// so that only first attempts fill it.
func WithoutBudgetRecovery() Option {
	return func(d *Dispatcher) { d.budget = newBudget(0) }
}

// Tune sets the maximum batch size and enables or disables hedging for new calls.
func (d *Dispatcher) Tune(maxBatch int, hedges bool) {
	d.maxBatch = max(1, maxBatch)
	d.noHedges = !hedges
}

// WithoutHedges disables hedging, as a baseline for measurements.
func WithoutHedges() Option {
	return func(d *Dispatcher) { d.noHedges = true }
}

// New returns an empty Dispatcher for the service. All its targets are in the state
// message.TargetUnknown.
func New(service topology.Service, leases Leases, opts ...Option) *Dispatcher {
	d := &Dispatcher{id: service.ID, leases: leases, maxBatch: 1, itemsPerCall: 1, budget: newBudget(maxUnits), subs: map[message.SubID]*sub{}, finishedRunIDs: map[message.SubID]struct{}{}, expired: map[CallID]*call{}, fairQueue: newFairQueue()}
	for _, opt := range opts {
		opt(d)
	}
	d.setTargets(0, service, nil)
	return d
}

// Submit accepts a sub-request with a deadline on this machine's clock. It retains
// req.Shards, which must not be changed. A sub-request that is already in progress, or
// a run that was replied to recently, is ignored.
func (d *Dispatcher) Submit(now clock.Time, req message.SubRequest, deadline clock.Time) []Command {
	_, pending := d.subs[req.ID]
	_, ran := d.finishedRunIDs[req.ID]
	if pending || ran {
		return nil
	}
	d.lastItemID++
	u := &sub{item: d.lastItemID, req: req, arrived: now, deadline: deadline}
	d.subs[req.ID] = u
	if req.Repeat && u.isSearch() && !d.budget.spend(now, 1) {
		d.refuse(now, u, message.ReasonShed)
	} else {
		d.enqueue(u)
	}
	return d.process(now)
}

// CancelSub ends a sub-request whose result is no longer needed. The reply states that
// it was not run if that is certain, and otherwise that it failed. A run that was sent
// continues, since its outcome must be recorded.
func (d *Dispatcher) CancelSub(now clock.Time, id message.SubID) []Command {
	u, pending := d.subs[id]
	if !pending || u.atMostOnce() && u.openCalls > 0 {
		return nil
	}
	d.dequeue(u)
	d.refuse(now, u, message.ReasonDeadline)
	return d.process(now)
}

// Reported handles a report from the other holder. Reports must arrive in the order in
// which they were sent.
func (d *Dispatcher) Reported(now clock.Time, r message.TargetReport) []Command {
	if t := d.target(r.Target); t != nil && r.Service == d.id {
		t.allowance.ReportReceived(now, r.State, r.Capacity)
	}
	return d.process(now)
}

// Connected records that the driver opened a connection to a target while it had none,
// not counting connections whose last call timed out. The target's state is unknown
// until it answers.
func (d *Dispatcher) Connected(now clock.Time, id topology.TargetID) []Command {
	if t := d.target(id); t != nil {
		t.allowance.Connected(now)
	}
	return d.process(now)
}

// Disconnected records that a target closed its last connection, on which no
// call was in flight.
func (d *Dispatcher) Disconnected(now clock.Time, id topology.TargetID) []Command {
	if t := d.target(id); t != nil {
		t.allowance.Disconnected(now)
		d.report(now, t)
	}
	return d.process(now)
}

// Configure replaces the service's targets and the set of targets whose zone is out of
// service. Calls in flight continue.
func (d *Dispatcher) Configure(now clock.Time, service topology.Service, zoneOut map[topology.TargetID]bool) []Command {
	d.setTargets(now, service, zoneOut)
	return d.process(now)
}

// setTargets replaces the targets, and keeps the state of those that are known.
func (d *Dispatcher) setTargets(now clock.Time, service topology.Service, zoneOut map[topology.TargetID]bool) {
	known := slices.Concat(d.targets, d.retired)
	d.targets = make([]*target, 0, len(service.Targets))
	for i, conf := range service.Targets {
		j := slices.IndexFunc(known, func(t *target) bool { return t.ID == conf.ID })
		if j < 0 {
			d.targets = append(d.targets, &target{Target: conf, allowance: allowance.New(i, conf.Slots), zoneOut: zoneOut[conf.ID]})
			continue
		}
		t := known[j]
		known = slices.Delete(known, j, j+1)
		if t.Address != conf.Address {
			t.allowance.Disconnected(now)
		}
		t.allowance.Resize(i, conf.Slots)
		t.Target, t.zoneOut = conf, zoneOut[conf.ID]
		d.targets = append(d.targets, t)
	}
	d.retired = slices.DeleteFunc(known, func(t *target) bool { return t.inFlight == [2]int{} })
}

// Tick executes what is due at now.
func (d *Dispatcher) Tick(now clock.Time) []Command { return d.process(now) }

// NextWake returns when Tick must be called next, or 0 for never.
func (d *Dispatcher) NextWake() clock.Time { return d.nextTick }

// BusyUntil returns the time by which the work in flight on the share has ended, or 0
// if there is none.
func (d *Dispatcher) BusyUntil(_ clock.Time, share int) clock.Time {
	var until clock.Time
	for _, c := range d.calls {
		if c.share == share {
			until = max(until, c.deadline)
		}
	}
	return until
}

// Load returns the current load.
func (d *Dispatcher) Load() Load {
	l := d.counters
	l.Queued, l.InFlight, l.QueueDelay = len(d.queue), len(d.calls), d.queueDelay
	return l
}

func (d *Dispatcher) target(id topology.TargetID) *target {
	for _, t := range d.targets {
		if t.ID == id {
			return t
		}
	}
	return nil
}

func (d *Dispatcher) emit(c Command) { d.commands = append(d.commands, c) }

// process does everything that is possible at now, and returns all commands that were
// emitted since the input method was called.
func (d *Dispatcher) process(now clock.Time) []Command {
	d.expire(now)
	c := d.capacity(now)
	d.refuseUnmeetable(now, c)
	d.sendHedges(now)
	d.sendQueued(now)
	d.nextTick = d.nextWake(now, c)
	commands := d.commands
	d.commands = nil
	return commands
}

// nextWake returns the earliest time after now at which something is due even if no
// input method is called.
func (d *Dispatcher) nextWake(now clock.Time, c capacity) clock.Time {
	next := clock.Time(0)
	consider := func(t clock.Time) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	for _, call := range d.calls {
		consider(call.deadline)
		if call.settled {
			continue
		}
		consider(call.hedgeAt)
		for _, u := range call.subs {
			if !u.done {
				consider(u.deadline)
			}
		}
	}
	if len(d.queue) > 0 {
		consider(d.queue[0].deadline)
		consider(d.queue[0].deadline - clock.Time(d.latency.upperEstimate()))
		consider(c.opensAt)
		for _, t := range d.targets {
			consider(t.allowance.NextIncrease(now))
		}
	}
	return next
}

// Package dispatch decides when and where a holder sends the sub-requests of
// one service: it queues them, picks replicas, batches, hedges, retries, cancels
// and refuses, and never has more calls in flight at a target than its share of
// the target's slots allows.
package dispatch

import (
	"slices"

	"knapweedstall/core/allowance"
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// EndMargin is how long after its deadline a call still occupies its slot. A
// slot that was free exactly at the deadline let the next call reach the target
// before the target had stopped the last one.
const SlotReleaseDelay = 20 * clock.Millisecond

const (
	// startTerm is how late a target may still start a call, so that a call
	// released after a pause is refused.
	maxStartDelay = 500 * clock.Millisecond
	// runMemory is how long the id of a finished run is kept after its
	// deadline, so that a repeated message does not run it again.
	finishedRunRetention = 30 * clock.Second
)

// sub is an accepted sub-request without a reply.
type sub struct {
	item         ItemID // grows with arrival
	req          message.SubRequest
	arrived      clock.Time
	deadline     clock.Time
	openCalls    int // calls in flight that may still answer it
	possibleRuns int // sends that a target may have run; zero permits StatusNotRun
	freeRetries  int // sends that certainly ran nothing and were repeated without a token
	started      bool
	queueDelay   clock.Duration // for its first slot, valid when started
	retried      bool
	exclusive    bool              // not to be batched or hedged
	avoid        topology.TargetID // shed or lost it last
	status       message.Status    // outcome of the last failed run, valid when runs > 0
	reason       message.Reason
	done         bool
}

// search reports whether the sub-request may be hedged, retried and batched.
func (u *sub) isSearch() bool { return u.req.Kind == message.KindSearch }

// canary reports whether the sub-request is a search that goes to one target.
func (u *sub) isCanary() bool { return u.req.Kind == message.KindCanary }

// once reports whether the sub-request may run at most once. Unknown kinds
// count as such.
func (u *sub) atMostOnce() bool { return !u.isSearch() && !u.isCanary() }

// Service is the queue of one held service.
type Dispatcher struct {
	id             topology.ServiceID
	leases         Leases
	maxBatch       int
	noHedges       bool
	targets        []*target // in the order of the configuration
	retired        []*target // no longer configured, with calls in flight
	subs           map[message.SubID]*sub
	queue          []*sub // by deadline, then arrival
	fairQueue      fairQueue
	calls          []*call          // by id
	expired        map[CallID]*call // past their deadlines, until the driver reports their ends
	lastCall       CallID
	lastItem       ItemID
	latency        latency
	itemsPerCall   float64 // mean number of items of a call
	cost           batchCost
	budget         budget
	queueDelay     clock.Duration             // queueing delay of the newest started sub-request
	finishedRunIDs map[message.SubID]struct{} // the ids in runs
	finishedRuns   []finishedRun              // in the order of their replies
	load           Load                       // the counters only
	nextTick       clock.Time
	commands       []Command
}

type finishedRun struct {
	id        message.SubID
	expiresAt clock.Time
}

// Option changes a Service.
type Option func(*Dispatcher)

// WithMaxBatch lets a call carry up to n searches. The default is 1.
func WithMaxBatch(n int) Option {
	return func(d *Dispatcher) { d.maxBatch = max(1, n) }
}

// WithoutFloor leaves the retry budget to first attempts alone: it starts empty
// and does not recover with time.
func WithoutBudgetRecovery() Option {
	return func(d *Dispatcher) { d.budget = newBudget(0) }
}

// Tune changes how new work is batched and hedged.
func (d *Dispatcher) Tune(maxBatch int, hedges bool) {
	d.maxBatch = max(1, maxBatch)
	d.noHedges = !hedges
}

// WithoutHedges switches hedging off, for measurements against it.
func WithoutHedges() Option {
	return func(d *Dispatcher) { d.noHedges = true }
}

// New returns a Service without work, with all targets unknown.
func New(service topology.Service, right Leases, opts ...Option) *Dispatcher {
	d := &Dispatcher{id: service.ID, leases: right, maxBatch: 1, itemsPerCall: 1, budget: newBudget(maxUnits), subs: map[message.SubID]*sub{}, finishedRunIDs: map[message.SubID]struct{}{}, expired: map[CallID]*call{}, fairQueue: newFairQueue()}
	for _, opt := range opts {
		opt(d)
	}
	d.setTargets(0, service, nil)
	return d
}

// Submit accepts a sub-request whose deadline is on this machine's clock. It
// keeps req.Shards, which must not be changed. A sub-request that is already
// held, or a run that was answered recently, is ignored.
func (d *Dispatcher) Submit(now clock.Time, req message.SubRequest, deadline clock.Time) []Command {
	_, held := d.subs[req.ID]
	_, ran := d.finishedRunIDs[req.ID]
	if held || ran {
		return nil
	}
	d.lastItem++
	u := &sub{item: d.lastItem, req: req, arrived: now, deadline: deadline}
	d.subs[req.ID] = u
	if req.Repeat && u.isSearch() && !d.budget.spend(now, 1) {
		d.refuse(now, u, message.ReasonShed)
	} else {
		d.enqueue(u)
	}
	return d.process(now)
}

// CancelSub ends a sub-request that nobody waits for. It is replied to as not
// run if that is certain, else as failed. A run that was sent goes on, since
// its outcome must be recorded.
func (d *Dispatcher) CancelSub(now clock.Time, id message.SubID) []Command {
	u, held := d.subs[id]
	if !held || u.atMostOnce() && u.openCalls > 0 {
		return nil
	}
	d.dequeue(u)
	d.refuse(now, u, message.ReasonDeadline)
	return d.process(now)
}

// Reported takes a report of the other holder. Reports must arrive in the order
// in which they were sent.
func (d *Dispatcher) Reported(now clock.Time, r message.TargetReport) []Command {
	if t := d.target(r.Target); t != nil && r.Service == d.id {
		t.allowance.Reported(now, r.State, r.Capacity)
	}
	return d.process(now)
}

// Connected records that the driver opened a connection to a target while it
// had none, not counting those whose last call timed out: the target is unknown
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

// Configure replaces the service's targets and the set of those whose zone is
// out. Calls in flight go on.
func (d *Dispatcher) Configure(now clock.Time, service topology.Service, out map[topology.TargetID]bool) []Command {
	d.setTargets(now, service, out)
	return d.process(now)
}

func (d *Dispatcher) setTargets(now clock.Time, service topology.Service, out map[topology.TargetID]bool) {
	known := slices.Concat(d.targets, d.retired)
	d.targets = make([]*target, 0, len(service.Targets))
	for i, conf := range service.Targets {
		j := slices.IndexFunc(known, func(t *target) bool { return t.ID == conf.ID })
		if j < 0 {
			d.targets = append(d.targets, &target{Target: conf, allowance: allowance.New(i, conf.Slots), zoneOut: out[conf.ID]})
			continue
		}
		t := known[j]
		known = slices.Delete(known, j, j+1)
		if t.Address != conf.Address {
			t.allowance.Disconnected(now)
		}
		t.allowance.Resize(i, conf.Slots)
		t.Target, t.zoneOut = conf, out[conf.ID]
		d.targets = append(d.targets, t)
	}
	d.retired = slices.DeleteFunc(known, func(t *target) bool { return t.inFlight == [2]int{} })
}

// Tick does what is due at now.
func (d *Dispatcher) Tick(now clock.Time) []Command { return d.process(now) }

// NextWake returns when Tick is next needed, 0 for never.
func (d *Dispatcher) NextWake() clock.Time { return d.nextTick }

// BusyUntil returns when the work in flight on the share must have ended, 0 if
// there is none.
func (d *Dispatcher) BusyUntil(_ clock.Time, share int) clock.Time {
	var until clock.Time
	for _, c := range d.calls {
		if c.share == share {
			until = max(until, c.deadline)
		}
	}
	return until
}

// Load returns the present load.
func (d *Dispatcher) Load() Load {
	l := d.load
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

// pump does all that is possible at now and returns the commands of the whole
// input.
func (d *Dispatcher) process(now clock.Time) []Command {
	d.expire(now)
	c := d.capacity(now)
	d.refuseUnmeetable(now, c)
	d.sendHedges(now)
	d.sendQueued(now)
	d.nextTick = d.nextWake(now, c)
	out := d.commands
	d.commands = nil
	return out
}

// nextWake returns the earliest time after now at which something is due
// without an input.
func (d *Dispatcher) nextWake(now clock.Time, c capacity) clock.Time {
	next := clock.Time(0)
	at := func(t clock.Time) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	for _, call := range d.calls {
		at(call.deadline)
		if call.settled {
			continue
		}
		at(call.hedgeAt)
		for _, u := range call.subs {
			if !u.done {
				at(u.deadline)
			}
		}
	}
	if len(d.queue) > 0 {
		at(d.queue[0].deadline)
		at(d.queue[0].deadline - clock.Time(d.latency.upperEstimate()))
		at(c.opensAt)
		for _, t := range d.targets {
			at(t.allowance.NextOpen(now))
		}
	}
	return next
}

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
const EndMargin = 20 * clock.Millisecond

const (
	// startTerm is how late a target may still start a call, so that a call
	// released after a pause is refused.
	startTerm = 500 * clock.Millisecond
	// runMemory is how long the id of a finished run is kept after its
	// deadline, so that a repeated message does not run it again.
	runMemory = 30 * clock.Second
)

// sub is an accepted sub-request without a reply.
type sub struct {
	item     ItemID // grows with arrival
	req      message.SubRequest
	arrived  clock.Time
	deadline clock.Time
	calls    int // calls in flight that may still answer it
	runs     int // sends that a target may have run; zero permits StatusNotRun
	proofs   int // sends that certainly ran nothing and were repeated without a token
	started  bool
	waited   clock.Duration // for its first slot, valid when started
	retried  bool
	alone    bool              // not to be batched or hedged
	avoid    topology.TargetID // shed or lost it last
	status   message.Status    // outcome of the last failed run, valid when runs > 0
	reason   message.Reason
	done     bool
}

// search reports whether the sub-request may be hedged, retried and batched.
func (u *sub) search() bool { return u.req.Kind == message.KindSearch }

// canary reports whether the sub-request is a search that goes to one target.
func (u *sub) canary() bool { return u.req.Kind == message.KindCanary }

// once reports whether the sub-request may run at most once. Unknown kinds
// count as such.
func (u *sub) once() bool { return !u.search() && !u.canary() }

// Service is the queue of one held service.
type Service struct {
	id       topology.ServiceID
	right    Right
	maxBatch int
	noHedges bool
	targets  []*target // in the order of the configuration
	retired  []*target // no longer configured, with calls in flight
	subs     map[message.SubID]*sub
	queue    []*sub // by deadline, then arrival
	turns    turns
	calls    []*call          // by id
	expired  map[CallID]*call // past their deadlines, until the driver reports their ends
	lastCall CallID
	lastItem ItemID
	latency  latency
	perCall  float64 // mean number of items of a call
	cost     batchCost
	budget   budget
	delay    clock.Duration             // queueing delay of the newest started sub-request
	ran      map[message.SubID]struct{} // the ids in runs
	runs     []finishedRun              // in the order of their replies
	load     Load                       // the counters only
	wake     clock.Time
	out      []Command
}

type finishedRun struct {
	id    message.SubID
	until clock.Time
}

// Option changes a Service.
type Option func(*Service)

// WithMaxBatch lets a call carry up to n searches. The default is 1.
func WithMaxBatch(n int) Option {
	return func(s *Service) { s.maxBatch = max(1, n) }
}

// WithoutFloor leaves the retry budget to first attempts alone: it starts empty
// and does not recover with time.
func WithoutFloor() Option {
	return func(s *Service) { s.budget = newBudget(0) }
}

// Tune changes how new work is batched and hedged.
func (s *Service) Tune(maxBatch int, hedges bool) {
	s.maxBatch = max(1, maxBatch)
	s.noHedges = !hedges
}

// WithoutHedges switches hedging off, for measurements against it.
func WithoutHedges() Option {
	return func(s *Service) { s.noHedges = true }
}

// New returns a Service without work, with all targets unknown.
func New(service topology.Service, right Right, opts ...Option) *Service {
	s := &Service{id: service.ID, right: right, maxBatch: 1, perCall: 1, budget: newBudget(tokenCap), subs: map[message.SubID]*sub{}, ran: map[message.SubID]struct{}{}, expired: map[CallID]*call{}, turns: newTurns()}
	for _, opt := range opts {
		opt(s)
	}
	s.setTargets(0, service, nil)
	return s
}

// Submit accepts a sub-request whose deadline is on this machine's clock. It
// keeps req.Shards, which must not be changed. A sub-request that is already
// held, or a run that was answered recently, is ignored.
func (s *Service) Submit(now clock.Time, req message.SubRequest, deadline clock.Time) []Command {
	_, held := s.subs[req.ID]
	_, ran := s.ran[req.ID]
	if held || ran {
		return nil
	}
	s.lastItem++
	u := &sub{item: s.lastItem, req: req, arrived: now, deadline: deadline}
	s.subs[req.ID] = u
	if req.Repeat && u.search() && !s.budget.take(now, 1) {
		s.refuse(now, u, message.ReasonShed)
	} else {
		s.enqueue(u)
	}
	return s.pump(now)
}

// CancelSub ends a sub-request that nobody waits for. It is replied to as not
// run if that is certain, else as failed. A run that was sent goes on, since
// its outcome must be recorded.
func (s *Service) CancelSub(now clock.Time, id message.SubID) []Command {
	u, held := s.subs[id]
	if !held || u.once() && u.calls > 0 {
		return nil
	}
	s.dequeue(u)
	s.refuse(now, u, message.ReasonDeadline)
	return s.pump(now)
}

// Reported takes a report of the other holder. Reports must arrive in the order
// in which they were sent.
func (s *Service) Reported(now clock.Time, r message.TargetReport) []Command {
	if t := s.target(r.Target); t != nil && r.Service == s.id {
		t.allow.ReportReceived(now, r.State, r.Capacity)
	}
	return s.pump(now)
}

// Connected records that the driver opened a connection to a target while it
// had none, not counting those whose last call timed out: the target is unknown
// until it answers.
func (s *Service) Connected(now clock.Time, id topology.TargetID) []Command {
	if t := s.target(id); t != nil {
		t.allow.Connected(now)
	}
	return s.pump(now)
}

// Disconnected records that a target closed its last connection, on which no
// call was in flight.
func (s *Service) Disconnected(now clock.Time, id topology.TargetID) []Command {
	if t := s.target(id); t != nil {
		t.allow.Disconnected(now)
		s.report(now, t)
	}
	return s.pump(now)
}

// Configure replaces the service's targets and the set of those whose zone is
// out. Calls in flight go on.
func (s *Service) Configure(now clock.Time, service topology.Service, out map[topology.TargetID]bool) []Command {
	s.setTargets(now, service, out)
	return s.pump(now)
}

func (s *Service) setTargets(now clock.Time, service topology.Service, out map[topology.TargetID]bool) {
	known := slices.Concat(s.targets, s.retired)
	s.targets = make([]*target, 0, len(service.Targets))
	for i, conf := range service.Targets {
		j := slices.IndexFunc(known, func(t *target) bool { return t.ID == conf.ID })
		if j < 0 {
			s.targets = append(s.targets, &target{Target: conf, allow: allowance.New(i, conf.Slots), out: out[conf.ID]})
			continue
		}
		t := known[j]
		known = slices.Delete(known, j, j+1)
		if t.Address != conf.Address {
			t.allow.Disconnected(now)
		}
		t.allow.Resize(i, conf.Slots)
		t.Target, t.out = conf, out[conf.ID]
		s.targets = append(s.targets, t)
	}
	s.retired = slices.DeleteFunc(known, func(t *target) bool { return t.inFlight == [2]int{} })
}

// Tick does what is due at now.
func (s *Service) Tick(now clock.Time) []Command { return s.pump(now) }

// NextWake returns when Tick is next needed, 0 for never.
func (s *Service) NextWake() clock.Time { return s.wake }

// BusyUntil returns when the work in flight on the share must have ended, 0 if
// there is none.
func (s *Service) BusyUntil(_ clock.Time, share int) clock.Time {
	var until clock.Time
	for _, c := range s.calls {
		if c.share == share {
			until = max(until, c.deadline)
		}
	}
	return until
}

// Load returns the present load.
func (s *Service) Load() Load {
	l := s.load
	l.Queued, l.InFlight, l.QueueDelay = len(s.queue), len(s.calls), s.delay
	return l
}

func (s *Service) target(id topology.TargetID) *target {
	for _, t := range s.targets {
		if t.ID == id {
			return t
		}
	}
	return nil
}

func (s *Service) emit(c Command) { s.out = append(s.out, c) }

// pump does all that is possible at now and returns the commands of the whole
// input.
func (s *Service) pump(now clock.Time) []Command {
	s.expire(now)
	c := s.capacity(now)
	s.refuseHopeless(now, c)
	s.sendHedges(now)
	s.sendQueued(now)
	s.wake = s.nextWake(now, c)
	out := s.out
	s.out = nil
	return out
}

// nextWake returns the earliest time after now at which something is due
// without an input.
func (s *Service) nextWake(now clock.Time, c capacity) clock.Time {
	next := clock.Time(0)
	at := func(t clock.Time) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	for _, call := range s.calls {
		at(call.deadline)
		if call.over {
			continue
		}
		at(call.hedgeAt)
		for _, u := range call.subs {
			if !u.done {
				at(u.deadline)
			}
		}
	}
	if len(s.queue) > 0 {
		at(s.queue[0].deadline)
		at(s.queue[0].deadline - clock.Time(s.latency.most()))
		at(c.opens)
		for _, t := range s.targets {
			at(t.allow.NextIncrease(now))
		}
	}
	return next
}

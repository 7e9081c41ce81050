// Package fanout decides, for one request, which targets it is sent to, when it
// is retried or hedged and when it is answered. A search is sent to one target of
// each of several services, called its shards; any other request is sent to one
// service. A repeat is a send of a request that a target of the service may have
// received before: a retry after a failed send, or a hedge, which is sent to a
// second target while the first send is overdue.
//
// The package does no input or output: its driver carries out the sends and
// reports their outcomes and the time.
package fanout

import (
	"math"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// Targets selects targets and updates its estimates from the outcomes of sends.
type Targets interface {
	Pick(name routing.ServiceName, svc *routing.Service, excluded []topology.TargetID, purpose replica.Purpose, now clock.Time) replica.Choice
	Undo(t *replica.Target) // a send that Pick has counted was not made
	// MarkOverdue notes that a send to t has no outcome after Latency.HedgeDelay.
	MarkOverdue(t *replica.Target, sent clock.Time)
	Done(t *replica.Target, r replica.Result, now clock.Time)
}

// Budget limits the repeats to each service.
type Budget interface {
	AddRequest(name routing.ServiceName, now clock.Time)
	AllowRepeat(name routing.ServiceName, now clock.Time) bool
	Refund(name routing.ServiceName, now clock.Time)
}

// Latency estimates how long the sends of a route take.
type Latency interface {
	Median() clock.Duration      // median of answered sends
	HedgeDelay() clock.Duration  // time after which a send without an outcome is overdue and may be hedged
	Observe(took clock.Duration) // records the latency of an answered send
}

// Send is an instruction to the driver to send the request to a target.
type Send struct {
	Shard   int // index within Params.Services
	Attempt int // number of the send within the call, from 0
	Target  *replica.Target
	Service routing.ServiceName
}

// Limits of the sends to one service.
const (
	// extraSends is the number of sends beyond MaxAttempts that a service gets
	// when targets state that they did not run the request.
	extraSends = 2
	// blockedRetryDelay is the time between two attempts to select a target when
	// none accepts the request.
	blockedRetryDelay = 5 * clock.Millisecond
)

// Call is the state of one request.
type Call struct {
	params        Params
	table         *routing.Table
	targets       Targets
	budget        Budget
	latency       Latency
	shards        []shard
	attempts      []attempt
	answered      int
	deniedRepeats int // repeats that the budget denied
	started       clock.Time
	final         bool // State has returned a final state, or the caller has left
	sends         []Send
}

// New returns a Call and its first sends. If too few shards have a usable target
// now, the call is refused without any send.
func New(params Params, table *routing.Table, targets Targets, budget Budget, latency Latency, now clock.Time) (*Call, []Send) {
	c := &Call{params: params, table: table, targets: targets, budget: budget, latency: latency, started: now}
	c.shards = make([]shard, len(params.Services))
	for i, name := range params.Services {
		c.shards[i].service = name
		s := &c.shards[i]
		if params.AlreadySent {
			s.reached, s.ran, s.sends = 1, params.EarlierSends, params.EarlierSends
		} else {
			budget.AddRequest(name, now)
		}
		if s.ran >= params.MaxAttempts {
			s.reason, s.exhausted = OutOfAttempts, true
			continue
		}
		c.send(i, replica.First, now)
	}
	c.sendToPaced(now)
	if !c.enough(c.answerable()) {
		c.cancelFirstSends(now)
	}
	return c, c.takeSends()
}

// sendToPaced sends to services that are exhausted because their targets are paced,
// that is, get fewer requests because they answer too late. It sends only to as many
// as an answer needs, since sending to all of them for every search would delay their
// answers further.
func (c *Call) sendToPaced(now clock.Time) {
	missing := c.required() - c.answerable()
	if missing <= 0 {
		return
	}
	var paced []int
	for i := range c.shards {
		if s := &c.shards[i]; s.exhausted && s.reason == replica.Paced && s.ran < c.params.MaxAttempts {
			paced = append(paced, i)
		}
	}
	for k := range min(missing, len(paced)) {
		i := paced[(int(now)+k)%len(paced)] // starts at a different service each time
		c.shards[i].exhausted = false
		c.send(i, replica.Needed, now)
	}
}

// cancelFirstSends cancels all first sends before the driver gets them.
func (c *Call) cancelFirstSends(now clock.Time) {
	for _, a := range c.attempts {
		s := &c.shards[a.shard]
		c.targets.Undo(a.target)
		if a.repeat {
			c.budget.Refund(s.service, now)
		}
		s.inFlight--
		s.ran--
		s.reached--
		s.exhausted = true
	}
	c.attempts, c.sends = nil, nil
}

// answerable returns the number of shards that have answered or may still answer.
func (c *Call) answerable() int {
	n := 0
	for i := range c.shards {
		if !c.shards[i].exhausted { // an answered shard is never exhausted
			n++
		}
	}
	return n
}

// required returns the number of shards that an answer needs.
func (c *Call) required() int {
	return int(math.Ceil(c.params.MinCoverage * float64(len(c.shards))))
}

// enough reports whether n shards are enough for an answer.
func (c *Call) enough(n int) bool { return n > 0 && n >= c.required() }

// MayHaveRun reports whether a target may have run the request.
func (c *Call) MayHaveRun() bool {
	return c.params.AlreadySent || slices.ContainsFunc(c.shards, func(s shard) bool { return s.ran > 0 })
}

// MostSends returns the number of targets of a service that may have run the request, those
// before this call included, of the service with the most.
func (c *Call) MostSends() int {
	most := 0
	for i := range c.shards {
		most = max(most, c.shards[i].ran)
	}
	return most
}

// takeSends returns and clears the sends that the driver has not received yet.
func (c *Call) takeSends() []Send {
	out := c.sends
	c.sends = nil
	return out
}

// send sends to a target of shard i if the budget allows it and a target is
// available. Otherwise, if no other send is in flight, the shard is exhausted or
// waits for a target.
func (c *Call) send(i int, purpose replica.Purpose, now clock.Time) {
	s := &c.shards[i]
	s.blockedAt = 0
	repeat := s.reached > 0
	if repeat && !c.budget.AllowRepeat(s.service, now) {
		c.deniedRepeats++
		s.reason, s.exhausted = OutOfBudget, s.inFlight == 0
		return
	}
	choice := c.targets.Pick(s.service, c.table.Service(s.service), s.tried, purpose, now)
	if choice.Reason == replica.Unlisted && len(s.shed) > 0 {
		// All other targets were tried; one that shed the request may accept it now.
		s.tried = slices.DeleteFunc(s.tried, func(id topology.TargetID) bool { return slices.Contains(s.shed, id) })
		s.shed = nil
		choice = c.targets.Pick(s.service, c.table.Service(s.service), s.tried, purpose, now)
	}
	if choice.Target == nil {
		if repeat {
			c.budget.Refund(s.service, now)
		}
		s.reason, s.retryAt = choice.Reason, choice.RetryAt
		if s.inFlight == 0 {
			c.waitOrGiveUp(s, choice, now)
		}
		return
	}
	s.reason = replica.Selected
	s.tried = append(s.tried, choice.Target.ID)
	s.sends++
	s.ran++
	s.reached++
	s.inFlight++
	s.hedgeAt = 0
	if s.inFlight == 1 {
		s.hedgeAt = now.Add(c.latency.HedgeDelay())
	}
	c.attempts = append(c.attempts, attempt{shard: i, target: choice.Target, started: now, repeat: repeat})
	c.sends = append(c.sends, Send{Shard: i, Attempt: len(c.attempts) - 1, Target: choice.Target, Service: s.service})
}

// waitOrGiveUp schedules another attempt to select a target for a shard, or marks
// the shard as exhausted if no target can become available by Params.SelectBy.
func (c *Call) waitOrGiveUp(s *shard, choice replica.Choice, now clock.Time) {
	at := now.Add(blockedRetryDelay)
	if choice.RetryAt != 0 && at.Before(choice.RetryAt) {
		at = choice.RetryAt
	}
	switch {
	case choice.Reason == replica.Unlisted || choice.Reason == replica.Paced || c.params.SelectBy.Before(at):
		s.exhausted = true
	default:
		s.blockedAt = at
	}
}

// Done reports the outcome of send n at now and returns the sends that result
// from it.
func (c *Call) Done(n int, outcome replica.Outcome, now clock.Time) []Send {
	a := &c.attempts[n]
	if a.ended {
		return nil
	}
	a.ended = true
	took := now.Sub(a.started)
	a.outcome, a.took = outcome, took
	c.targets.Done(a.target, replica.Result{Outcome: outcome, Slowness: c.slowness(outcome, took), Overdue: a.overdue, Late: c.late(took), Sent: a.started}, now)
	s := &c.shards[a.shard]
	s.inFlight--
	if outcome.NotRun() {
		s.ran--
	}
	if outcome == replica.Shed {
		s.shed = append(s.shed, a.target.ID)
	}
	if outcome == replica.Unsent {
		s.reached--
		if a.repeat {
			c.budget.Refund(s.service, now)
		}
	}
	if outcome == replica.Answered {
		if c.params.Untimed == nil || !c.params.Untimed(a.target) {
			c.latency.Observe(took)
		}
		if !s.answered && !c.final {
			s.answered = true
			c.answered++
		}
	}
	if s.answered || c.final {
		return nil
	}
	if s.inFlight == 0 {
		c.retry(a.shard, outcome, now)
		c.sendToPaced(now)
	}
	return c.takeSends()
}

// late reports whether a send took at least the time from the start of the call to
// PartialAt, from which on the call may be answered without it.
func (c *Call) late(took clock.Duration) bool {
	return c.params.PartialAt != 0 && took >= c.params.PartialAt.Sub(c.started)
}

// slowness returns the latency of a send relative to the median of the route, or
// 0 if the outcome gives no estimate of it.
func (c *Call) slowness(outcome replica.Outcome, took clock.Duration) float64 {
	if outcome != replica.Answered && outcome != replica.Canceled && outcome != replica.Lost {
		return 0
	}
	ratio := (float64(took) + 0.5) / (float64(max(c.latency.Median(), 1)) + 0.5)
	if outcome != replica.Answered && ratio < 1 {
		return 0 // it ended before the median, so it says nothing about the latency
	}
	return ratio
}

// retry sends to shard i again after a failed send if mayRepeat allows it.
func (c *Call) retry(i int, outcome replica.Outcome, now clock.Time) {
	s := &c.shards[i]
	if !c.mayRepeat(s, outcome.NotRun()) {
		s.exhausted = true
		return
	}
	c.send(i, replica.Needed, now)
}

// mayRepeat reports whether another send of the shard keeps within the attempt
// limits and can't run a non-idempotent request twice.
func (c *Call) mayRepeat(s *shard, notRun bool) bool {
	if s.ran >= c.params.MaxAttempts || s.sends >= c.params.MaxAttempts+extraSends {
		return false
	}
	return notRun && s.ran == 0 || c.params.Kind == routing.Idempotent
}

// Tick returns the sends that are due at now: hedges of overdue sends, and sends
// of shards that waited for a target.
func (c *Call) Tick(now clock.Time) []Send {
	if c.final {
		return nil
	}
	for i := range c.shards {
		s := &c.shards[i]
		if s.answered || s.exhausted {
			continue
		}
		if s.hedgeAt != 0 && !now.Before(s.hedgeAt) {
			c.hedge(i, now)
		}
		if s.blockedAt != 0 && !now.Before(s.blockedAt) {
			c.send(i, replica.Needed, now)
		}
	}
	c.sendToPaced(now)
	return c.takeSends()
}

// hedge marks the sends of shard i as overdue and, if the request is idempotent,
// sends it to a second target.
func (c *Call) hedge(i int, now clock.Time) {
	s := &c.shards[i]
	s.hedgeAt = 0
	for n := range c.attempts {
		if a := &c.attempts[n]; a.shard == i && !a.ended && !a.overdue {
			a.overdue = true
			c.targets.MarkOverdue(a.target, a.started)
		}
	}
	if c.params.Kind == routing.Idempotent && c.mayRepeat(s, false) {
		c.send(i, replica.Hedge, now)
	}
}

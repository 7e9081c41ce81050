// Package fanout decides, for one request, which targets it is sent to, when it
// is sent once more and when it is answered. It does no input or output: its
// driver carries out the sends and reports outcomes and the time.
package fanout

import (
	"math"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// Targets selects targets and learns from outcomes.
type Targets interface {
	Pick(name routing.ServiceName, svc *routing.Service, excluded []topology.TargetID, purpose replica.Purpose, now clock.Time) replica.Choice
	MarkOverdue(t *replica.Target)
	Done(t *replica.Target, r replica.Result, now clock.Time)
}

// Budget limits repeated sends.
type Budget interface {
	AddRequest(name routing.ServiceName, now clock.Time)
	AllowRepeat(name routing.ServiceName, now clock.Time) bool
	Refund(name routing.ServiceName, now clock.Time)
}

// Latency tells how long the parts of a route usually take.
type Latency interface {
	Median() clock.Duration      // median of answered sends
	HedgeDelay() clock.Duration  // when a send is overdue
	Observe(took clock.Duration) // records an answered send
}

// Send tells the driver to send the request to a target.
type Send struct {
	Shard   int // index within the services
	Attempt int // number of the send within the call, from 0
	Target  *replica.Target
	Service routing.ServiceName
}

// Bounds of the work on one service.
const (
	// extraSends is how many sends beyond MaxAttempts a service gets when
	// targets state that they did not run the request.
	extraSends = 2
	// blockedRetry is how long the call waits before it looks for a target
	// again when none can take the request.
	blockedRetry = 5 * clock.Millisecond
)

// Call is the state of one request.
type Call struct {
	terms    Params
	table    *routing.Table
	targets  Targets
	budget   Budget
	latency  Latency
	shards   []shard
	attempts []attempt
	answered int
	denied   int // repeats for lack of budget
	started  clock.Time
	given    bool // the state was final once
	sends    []Send
}

// New returns a Call and its first sends. A search that can't have enough shards
// now is refused without any send.
func New(terms Params, table *routing.Table, targets Targets, budget Budget, latency Latency, now clock.Time) (*Call, []Send) {
	c := &Call{terms: terms, table: table, targets: targets, budget: budget, latency: latency, started: now}
	c.shards = make([]shard, len(terms.Services))
	for i, name := range terms.Services {
		c.shards[i].service = name
		if terms.AlreadySent {
			c.shards[i].reached = 1
		} else {
			budget.AddRequest(name, now)
		}
		c.send(i, replica.First, now)
	}
	c.askPaced(now)
	if !c.enough(c.open()) {
		c.withdraw(now)
	}
	return c, c.take()
}

// askPaced sends to as many of the services whose targets answer too late as an
// answer needs. The other ones are left out: asking all of them each time
// would make each of them later still.
func (c *Call) askPaced(now clock.Time) {
	lacking := c.needed() - c.open()
	if lacking <= 0 {
		return
	}
	var paced []int
	for i := range c.shards {
		if s := &c.shards[i]; s.hopeless && s.reason == replica.Paced && s.ran < c.terms.MaxAttempts {
			paced = append(paced, i)
		}
	}
	for k := range min(lacking, len(paced)) {
		i := paced[(int(now)+k)%len(paced)] // a different one each time
		c.shards[i].hopeless = false
		c.send(i, replica.Needed, now)
	}
}

// withdraw gives back all first sends before the driver has taken them.
func (c *Call) withdraw(now clock.Time) {
	for _, a := range c.attempts {
		s := &c.shards[a.shard]
		c.targets.Done(a.target, replica.Result{Outcome: replica.Canceled}, now)
		if a.repeat {
			c.budget.Refund(s.service, now)
		}
		s.underWay--
		s.ran--
		s.reached--
		s.hopeless = true
	}
	c.attempts, c.sends = nil, nil
}

// open returns the number of shards that are or may still be answered.
func (c *Call) open() int {
	n := 0
	for i := range c.shards {
		if !c.shards[i].hopeless { // an answered shard never is
			n++
		}
	}
	return n
}

// needed returns the number of shards that an answer needs.
func (c *Call) needed() int {
	return int(math.Ceil(c.terms.MinCoverage * float64(len(c.shards))))
}

// enough reports whether n shards are enough for an answer.
func (c *Call) enough(n int) bool { return n > 0 && n >= c.needed() }

// mayHaveRun reports whether a target may have run the request.
func (c *Call) mayHaveRun() bool {
	return c.terms.AlreadySent || slices.ContainsFunc(c.shards, func(s shard) bool { return s.ran > 0 })
}

func (c *Call) take() []Send {
	out := c.sends
	c.sends = nil
	return out
}

// send sends to a target of shard i, if the budget and a target allow it.
// Otherwise the shard is blocked or hopeless, unless a send is under way.
func (c *Call) send(i int, purpose replica.Purpose, now clock.Time) {
	s := &c.shards[i]
	s.blockedAt = 0
	repeat := s.reached > 0
	if repeat && !c.budget.AllowRepeat(s.service, now) {
		c.denied++
		s.reason, s.hopeless = OutOfBudget, s.underWay == 0
		return
	}
	choice := c.targets.Pick(s.service, c.table.Service(s.service), s.tried, purpose, now)
	if choice.Reason == replica.Unlisted && len(s.shed) > 0 {
		// All others were tried; one that shed the request may take it now.
		s.tried = slices.DeleteFunc(s.tried, func(id topology.TargetID) bool { return slices.Contains(s.shed, id) })
		s.shed = nil
		choice = c.targets.Pick(s.service, c.table.Service(s.service), s.tried, purpose, now)
	}
	if choice.Target == nil {
		if repeat {
			c.budget.Refund(s.service, now)
		}
		s.reason, s.retry = choice.Reason, choice.RetryAt
		if s.underWay == 0 {
			c.block(s, choice, now)
		}
		return
	}
	s.reason = replica.Selected
	s.tried = append(s.tried, choice.Target.ID)
	s.sends++
	s.ran++
	s.reached++
	s.underWay++
	s.hedgeAt = 0
	if s.underWay == 1 {
		s.hedgeAt = now.Add(c.latency.HedgeDelay())
	}
	c.attempts = append(c.attempts, attempt{shard: i, target: choice.Target, started: now, repeat: repeat})
	c.sends = append(c.sends, Send{Shard: i, Attempt: len(c.attempts) - 1, Target: choice.Target, Service: s.service})
}

// block lets a shard without a target wait as long as one may become free in
// time.
func (c *Call) block(s *shard, choice replica.Choice, now clock.Time) {
	at := now.Add(blockedRetry)
	if choice.RetryAt != 0 && at.Before(choice.RetryAt) {
		at = choice.RetryAt
	}
	switch {
	case choice.Reason == replica.Unlisted || choice.Reason == replica.Paced || c.terms.SelectBy.Before(at):
		s.hopeless = true
	default:
		s.blockedAt = at
	}
}

// Ended reports the outcome of send n at now, and returns the sends that follow
// from it.
func (c *Call) Done(n int, outcome replica.Outcome, now clock.Time) []Send {
	a := &c.attempts[n]
	if a.ended {
		return nil
	}
	a.ended = true
	took := now.Sub(a.started)
	a.outcome, a.took = outcome, took
	c.targets.Done(a.target, replica.Result{Outcome: outcome, Slowness: c.slowness(outcome, took), Overdue: a.stalled, Late: c.late(took)}, now)
	s := &c.shards[a.shard]
	s.underWay--
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
		c.latency.Observe(took)
		if !s.answered && !c.given {
			s.answered = true
			c.answered++
		}
	}
	if s.answered || c.given {
		return nil
	}
	if s.underWay == 0 {
		c.again(a.shard, outcome, now)
		c.askPaced(now)
	}
	return c.take()
}

// late reports whether an answer after took comes when the call was answered
// without it.
func (c *Call) late(took clock.Duration) bool {
	return c.terms.PartialAt != 0 && took >= c.terms.PartialAt.Sub(c.started)
}

func (c *Call) slowness(outcome replica.Outcome, took clock.Duration) float64 {
	if outcome != replica.Answered && outcome != replica.Canceled && outcome != replica.Lost {
		return 0
	}
	ratio := (float64(took) + 0.5) / (float64(max(c.latency.Median(), 1)) + 0.5)
	if outcome != replica.Answered && ratio < 1 {
		return 0 // given up before anything could be learned
	}
	return ratio
}

// again sends to shard i once more after a failed send, if that is allowed.
func (c *Call) again(i int, outcome replica.Outcome, now clock.Time) {
	s := &c.shards[i]
	if !c.mayRepeat(s, outcome.NotRun()) {
		s.hopeless = true
		return
	}
	c.send(i, replica.Needed, now)
}

func (c *Call) mayRepeat(s *shard, notRun bool) bool {
	if s.ran >= c.terms.MaxAttempts || s.sends >= c.terms.MaxAttempts+extraSends {
		return false
	}
	return notRun && s.ran == 0 || c.terms.Kind == routing.Idempotent
}

// Tick sends what is due at now: hedges of overdue sends and sends of blocked
// shards.
func (c *Call) Tick(now clock.Time) []Send {
	if c.given {
		return nil
	}
	for i := range c.shards {
		s := &c.shards[i]
		if s.answered || s.hopeless {
			continue
		}
		if s.hedgeAt != 0 && !now.Before(s.hedgeAt) {
			c.hedge(i, now)
		}
		if s.blockedAt != 0 && !now.Before(s.blockedAt) {
			c.send(i, replica.Needed, now)
		}
	}
	c.askPaced(now)
	return c.take()
}

// hedge sends an overdue request to a second target.
func (c *Call) hedge(i int, now clock.Time) {
	s := &c.shards[i]
	s.hedgeAt = 0
	for n := range c.attempts {
		if a := &c.attempts[n]; a.shard == i && !a.ended && !a.stalled {
			a.stalled = true
			c.targets.MarkOverdue(a.target)
		}
	}
	if c.terms.Kind == routing.Idempotent && c.mayRepeat(s, false) {
		c.send(i, replica.Hedge, now)
	}
}

// Next returns when Tick or State must be called next.
func (c *Call) Next() clock.Time {
	next := c.terms.Deadline
	earlier := func(t clock.Time) {
		if t != 0 && t.Before(next) {
			next = t
		}
	}
	if c.enough(c.answered) {
		earlier(c.terms.PartialAt)
	}
	for i := range c.shards {
		if s := &c.shards[i]; !s.answered && !s.hopeless {
			earlier(s.hedgeAt)
			earlier(s.blockedAt)
		}
	}
	return next
}

// State returns what becomes of the call at now. Once it is final, no answer
// counts any more.
func (c *Call) State(now clock.Time) State {
	state := c.state(now)
	if state != Open {
		c.given = true
	}
	return state
}

func (c *Call) state(now clock.Time) State {
	open, enough := c.open(), c.enough(c.answered)
	switch {
	case c.answered == len(c.shards):
		return Complete
	case enough && (c.answered == open || !now.Before(c.terms.Deadline)):
		return Partial
	case enough && c.terms.PartialAt != 0 && !now.Before(c.terms.PartialAt):
		return Partial
	case !c.enough(open) && !c.mayHaveRun():
		return Refused
	case !c.enough(open):
		return Failure
	case now.Before(c.terms.Deadline):
		return Open
	case c.mayHaveRun():
		return TimedOut
	default:
		return Expired
	}
}

// Abandon ends the call without an answer: nothing more is sent.
func (c *Call) Abandon() { c.given = true }

// Expire ends the call before its time and returns its final state.
func (c *Call) Expire() State {
	c.terms.Deadline = 0
	return c.State(1)
}

// UnderWay returns the number of sends without an outcome.
func (c *Call) InFlight() int {
	n := 0
	for i := range c.shards {
		n += c.shards[i].underWay
	}
	return n
}

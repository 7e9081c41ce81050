// Package budget limits repeated sends to a service. All instances share one
// limit, a ratio of the requests plus a fixed number in any window, and each
// keeps within its own part of it without talking to the others.
package budget

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
)

// slots is the number of parts that a window is counted in.
const slots = 20

// share is the part of the limit that is used. Targets also count requests
// that arrive twice unnoticed, and the limit may not count test requests of
// operators, which an instance can't tell from others.
const share = 0.85

// Terms are the shared limit: in any window, at most ratio times the requests
// plus slack repeated sends.
type Limit struct {
	Window clock.Duration
	Ratio  float64
	Slack  float64
}

// counter counts events in a sliding window. A slot is dropped only when the
// whole of it is older than the window, so Count never misses a recent event.
type counter struct {
	counts [slots + 1]int
	newest int64 // number of the newest slot
	total  int
}

func (c *counter) advance(slot int64) {
	steps := min(slot-c.newest, slots+1)
	for i := range steps {
		at := (c.newest + 1 + i) % (slots + 1)
		c.total -= c.counts[at]
		c.counts[at] = 0
	}
	c.newest = max(c.newest, slot)
}

func (c *counter) add(slot int64) {
	c.advance(slot)
	c.counts[c.newest%(slots+1)]++
	c.total++
}

// service is what was counted for one service.
type service struct {
	requests counter
	repeats  counter
}

// Budget counts requests and repeated sends of one instance.
type Budget struct {
	terms    Limit
	started  clock.Time
	shards   part // of the slack at services that searches ask
	others   part // of the slack at other services
	isShard  func(routing.ServiceName) bool
	services map[routing.ServiceName]*service
}

// New returns a Budget of a process that started at now. The slack is not used
// during the first window, because an earlier run of the instance may have
// used its part.
func New(terms Limit, now clock.Time) *Budget {
	terms.Ratio *= share
	terms.Slack *= share
	return &Budget{
		terms: terms, started: now,
		isShard:  func(routing.ServiceName) bool { return false },
		services: map[routing.ServiceName]*service{},
	}
}

// SetParts sets which part of the slack, 0 to 1, is this instance's at the
// services that searches ask, and at the other ones. The parts of all instances
// add up to 1 at most.
func (b *Budget) SetSlackShares(shards, others float64, now clock.Time) {
	b.shards.set(shards, now, b.terms.Window)
	b.others.set(others, now, b.terms.Window)
}

// SetShards tells which services searches ask.
func (b *Budget) SetShards(isShard func(routing.ServiceName) bool) { b.isShard = isShard }

// slack returns how many repeats the instance may send to the service that its
// own requests don't pay for.
func (b *Budget) slack(name routing.ServiceName, now clock.Time) float64 {
	if now.Sub(b.started) < b.terms.Window {
		return 0
	}
	if b.isShard(name) {
		return b.terms.Slack * b.shards.at(now)
	}
	return b.terms.Slack * b.others.at(now)
}

func (b *Budget) slot(now clock.Time) int64 {
	return int64(now) * slots / int64(b.terms.Window)
}

func (b *Budget) of(name routing.ServiceName) *service {
	s := b.services[name]
	if s == nil {
		s = &service{}
		b.services[name] = s
	}
	return s
}

// Request counts a request for the service.
func (b *Budget) AddRequest(name routing.ServiceName, now clock.Time) {
	b.of(name).requests.add(b.slot(now))
}

// Repeat reports whether the instance may send a request to the service once
// more, and counts the send if so.
func (b *Budget) AllowRepeat(name routing.ServiceName, now clock.Time) bool {
	s, slot := b.of(name), b.slot(now)
	s.requests.advance(slot)
	s.repeats.advance(slot)
	oldest := s.requests.counts[(slot+1)%(slots+1)]
	allowed := b.terms.Ratio*float64(s.requests.total-oldest) + b.slack(name, now)
	if float64(s.repeats.total+1) > allowed {
		return false
	}
	s.repeats.add(slot)
	return true
}

// Refund takes back one Repeat of a send that did not reach the target.
func (b *Budget) Refund(name routing.ServiceName, now clock.Time) {
	s := b.of(name)
	slot := b.slot(now)
	s.repeats.advance(slot)
	if at := slot % (slots + 1); s.repeats.counts[at] > 0 {
		s.repeats.counts[at]--
		s.repeats.total--
	}
}

// Forget drops the services that keep does not name.
func (b *Budget) Retain(keep func(routing.ServiceName) bool) {
	for name := range b.services {
		if !keep(name) {
			delete(b.services, name)
		}
	}
}

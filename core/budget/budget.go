// Package budget limits the repeats to a service, that is, retries and hedges. All
// instances share one limit for each service: in any window, a ratio of the
// requests plus a fixed number of repeats, the slack. Each instance keeps within
// its own share of the limit without coordinating each send with the others.
package budget

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
)

// windowSlots is the number of slots into which a window is divided for counting.
const windowSlots = 20

// usedShare is the share of the limit that is used. Targets also count requests
// that arrive twice without the instance noticing, and the limit may not count
// test requests of operators, which an instance can't tell from others.
const usedShare = 0.85

// Limit is the shared limit for each service: in any window, at most Ratio times
// the requests plus Slack repeats.
type Limit struct {
	Window clock.Duration
	Ratio  float64
	Slack  float64
}

// counter counts events in a sliding window. A slot is dropped only when all of
// it is older than the window, so total includes each recent event.
type counter struct {
	counts [windowSlots + 1]int
	newest int64 // number of the newest slot
	total  int
}

// advance drops the slots that are outside of the window that ends with slot.
func (c *counter) advance(slot int64) {
	steps := min(slot-c.newest, windowSlots+1)
	for i := range steps {
		at := (c.newest + 1 + i) % (windowSlots + 1)
		c.total -= c.counts[at]
		c.counts[at] = 0
	}
	c.newest = max(c.newest, slot)
}

// add counts an event in slot.
func (c *counter) add(slot int64) {
	c.advance(slot)
	c.counts[c.newest%(windowSlots+1)]++
	c.total++
}

// serviceCounts holds the counters of one service.
type serviceCounts struct {
	requests counter
	repeats  counter
}

// Budget counts the requests and repeats of one instance and decides whether a
// further repeat is within its share of the limit.
type Budget struct {
	limit      Limit
	started    clock.Time
	shardSlack slackShare // share of the slack for services that are shards of searches
	otherSlack slackShare // share of the slack for other services
	isShard    func(routing.ServiceName) bool
	services   map[routing.ServiceName]*serviceCounts
}

// New returns a Budget of a process that started at now. The slack is not used
// during the first window, because an earlier process of the instance may have
// used its share.
func New(limit Limit, now clock.Time) *Budget {
	limit.Ratio *= usedShare
	limit.Slack *= usedShare
	return &Budget{
		limit: limit, started: now,
		isShard:  func(routing.ServiceName) bool { return false },
		services: map[routing.ServiceName]*serviceCounts{},
	}
}

// SetSlackShares sets this instance's shares of the slack, 0 to 1, for services
// that are shards of searches and for the other ones. The shares of all instances
// add up to 1 at most.
func (b *Budget) SetSlackShares(shards, others float64, now clock.Time) {
	b.shardSlack.set(shards, now, b.limit.Window)
	b.otherSlack.set(others, now, b.limit.Window)
}

// SetShards sets the function that reports whether a service is a shard of
// searches.
func (b *Budget) SetShards(isShard func(routing.ServiceName) bool) { b.isShard = isShard }

// slack returns how many repeats the instance may send to the service in a window
// beyond the ratio of its own requests.
func (b *Budget) slack(name routing.ServiceName, now clock.Time) float64 {
	if now.Sub(b.started) < b.limit.Window {
		return 0
	}
	if b.isShard(name) {
		return b.limit.Slack * b.shardSlack.at(now)
	}
	return b.limit.Slack * b.otherSlack.at(now)
}

// slot returns the number of the slot that holds now.
func (b *Budget) slot(now clock.Time) int64 {
	return int64(now) * windowSlots / int64(b.limit.Window)
}

// countsOf returns the counters of the service, which it creates if needed.
func (b *Budget) countsOf(name routing.ServiceName) *serviceCounts {
	s := b.services[name]
	if s == nil {
		s = &serviceCounts{}
		b.services[name] = s
	}
	return s
}

// AddRequest counts a request for the service.
func (b *Budget) AddRequest(name routing.ServiceName, now clock.Time) {
	b.countsOf(name).requests.add(b.slot(now))
}

// AllowRepeat reports whether the instance may send a repeat to the service, and
// counts it if so.
func (b *Budget) AllowRepeat(name routing.ServiceName, now clock.Time) bool {
	s, slot := b.countsOf(name), b.slot(now)
	s.requests.advance(slot)
	s.repeats.advance(slot)
	oldest := s.requests.counts[(slot+1)%(windowSlots+1)]
	allowed := b.limit.Ratio*float64(s.requests.total-oldest) + b.slack(name, now)
	if float64(s.repeats.total+1) > allowed {
		return false
	}
	s.repeats.add(slot)
	return true
}

// Refund uncounts a repeat that was allowed but did not reach the target.
func (b *Budget) Refund(name routing.ServiceName, now clock.Time) {
	s := b.countsOf(name)
	slot := b.slot(now)
	s.repeats.advance(slot)
	if at := slot % (windowSlots + 1); s.repeats.counts[at] > 0 {
		s.repeats.counts[at]--
		s.repeats.total--
	}
}

// Retain drops the counters of the services for which keep returns false.
func (b *Budget) Retain(keep func(routing.ServiceName) bool) {
	for name := range b.services {
		if !keep(name) {
			delete(b.services, name)
		}
	}
}

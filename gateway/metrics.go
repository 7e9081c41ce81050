package gateway

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
	"knapweedstall/core/replica"
	iometrics "knapweedstall/io/metrics"
)

// metricsPeriod is how often counts are published. A short one costs processor
// time on small instances.
const metricsPeriod = 5 * time.Second

// counters publishes what the instance counts. Names and units are listed in
// docs/OPERATIONS.md.
type counters struct {
	handler   http.Handler
	requests  map[fanout.State]tally.Counter
	sends     map[replica.Outcome]tally.Counter
	latency   tally.Histogram
	coverage  tally.Counter // shards that answers left out
	repeats   tally.Counter
	denied    tally.Counter // repeats for lack of budget
	refusals  tally.Counter // requests that were sent nowhere
	delegated tally.Counter // searches that other instances ran
	lost      tally.Counter // times that the store or a source was lost
	connects  tally.Counter
	dropped   tally.Counter
	version   tally.Gauge
	age       tally.Gauge

	lastConnects, lastDropped int64
}

func newCounters() *counters {
	scope, handler := iometrics.NewScope(metricsPeriod)
	c := &counters{
		handler:   handler,
		requests:  map[fanout.State]tally.Counter{},
		sends:     map[replica.Outcome]tally.Counter{},
		latency:   scope.Histogram("request_latency", latencyBuckets),
		coverage:  scope.Counter("shards_missing"),
		repeats:   scope.Counter("sends_repeated"),
		denied:    scope.Counter("repeats_denied"),
		refusals:  scope.Counter("requests_not_sent"),
		delegated: scope.Counter("searches_delegated"),
		lost:      scope.Counter("sources_lost"),
		connects:  scope.Counter("target_connections_opened"),
		dropped:   scope.Counter("log_lines_dropped"),
		version:   scope.Gauge("config_version"),
		age:       scope.Gauge("view_age_ms"),
	}
	for _, s := range []fanout.State{
		fanout.Complete, fanout.Partial, fanout.Failure, fanout.Refused, fanout.TimedOut, fanout.Expired, fanout.Abandoned,
	} {
		c.requests[s] = scope.Tagged(map[string]string{"outcome": string(s)}).Counter("requests")
	}
	for _, o := range []replica.Outcome{
		replica.Answered, replica.Failed, replica.Shed, replica.Replaced, replica.Unsent, replica.Lost, replica.Canceled,
	} {
		c.sends[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Counter("sends")
	}
	return c
}

var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond,
	80 * time.Millisecond, 120 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 5 * time.Second,
}

// request counts a request that ended.
func (c *counters) request(state fanout.State, took clock.Duration, missing int, sends fanout.Counts) {
	if counter := c.requests[state]; counter != nil {
		counter.Inc(1)
	}
	c.latency.RecordDuration(took.Std())
	c.coverage.Inc(int64(missing))
	c.repeats.Inc(int64(sends.Repeated))
	c.denied.Inc(int64(sends.Denied))
}

// send counts a send that ended.
func (c *counters) send(o replica.Outcome) {
	if counter := c.sends[o]; counter != nil {
		counter.Inc(1)
	}
}

// update publishes what is counted elsewhere. It is called by one goroutine.
func (c *counters) update(version int64, age clock.Duration, connects, dropped int64) {
	c.version.Update(float64(version))
	c.age.Update(float64(age))
	c.connects.Inc(connects - c.lastConnects)
	c.dropped.Inc(dropped - c.lastDropped)
	c.lastConnects, c.lastDropped = connects, dropped
}

package gateway

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
	"knapweedstall/core/overload"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	iometrics "knapweedstall/io/metrics"
	"knapweedstall/io/upstream"
)

// metricsPeriod is how often metrics are published. A shorter period takes too much
// processor time on small instances.
const metricsPeriod = 5 * time.Second

// counters holds the instance's metrics. Their names and units are listed in
// docs/OPERATIONS.md.
type counters struct {
	handler           http.Handler
	requests          map[fanout.State]tally.Counter
	sends             map[replica.Outcome]tally.Counter
	latency           tally.Histogram
	shardsMissing     tally.Counter // shards missing from answers
	repeats           tally.Counter
	repeatsDenied     tally.Counter // repeats that the budget denied
	refusals          tally.Counter // requests that were not sent to any target
	unauthorized      tally.Counter // requests without a valid key
	overloadRefused   tally.Counter // requests refused by admission control
	overQuota         tally.Counter // requests that exceeded the quota of their workspace
	quotaUnknown      tally.Counter // requests for which no coordinator of the quota answered
	quotaCalls        tally.Counter // calls that ask for credit
	quotaCallsFailed  tally.Counter
	delegated         tally.Counter // requests that other instances ran
	sourcesLost       tally.Counter // losses of the store or of a followed instance of this zone
	connectionsOpened tally.Counter
	connsBypassed     tally.Counter                         // idle connections not used since they had carried the same request
	answersSkipped    tally.Counter                         // answers to earlier requests, from targets
	answersUnframed   map[upstream.WriteState]tally.Counter // answers that ended with their connection, by the state of the request's write
	headsTooSlow      tally.Counter                         // requests rejected since their head took too long
	headsTooLarge     tally.Counter                         // requests rejected since their head was too large
	acceptsFailed     tally.Counter                         // accepts of connections that have failed
	linesDropped      tally.Counter
	panics            tally.Counter // requests that a panic failed
	targetsLeaving    tally.Counter // targets whose answers state that they are leaving
	pausesAsked       tally.Counter // answers with which targets ask for no requests
	configVersion     tally.Gauge
	viewAge           tally.Gauge
	targetsLimited    tally.Gauge // targets that state a limit of requests
	targetsPredicted  tally.Gauge // targets whose next pause is predicted
	rollouts          rolloutCounters
	isolated          tally.Gauge // 1 while the instance reaches no target
	instancesLost     tally.Gauge // registered instances that don't answer
	groupsLimited     tally.Gauge // groups of services with a limit of admitted requests
	overloadLimit     tally.Gauge // lowest of these limits; 0 for none

	lastConnects, lastDropped, lastBypassed, lastSkipped int64
	lastUnframed                                         map[upstream.WriteState]int64
}

func newCounters() *counters {
	scope, handler := iometrics.NewScope(metricsPeriod)
	c := &counters{
		handler:           handler,
		requests:          map[fanout.State]tally.Counter{},
		sends:             map[replica.Outcome]tally.Counter{},
		latency:           scope.Histogram("request_latency", latencyBuckets),
		shardsMissing:     scope.Counter("shards_missing"),
		repeats:           scope.Counter("sends_repeated"),
		repeatsDenied:     scope.Counter("repeats_denied"),
		refusals:          scope.Counter("requests_not_sent"),
		unauthorized:      scope.Counter("requests_unauthorized"),
		overloadRefused:   scope.Counter("requests_overload_refused"),
		overQuota:         scope.Counter("requests_over_quota"),
		quotaUnknown:      scope.Counter("requests_quota_unknown"),
		quotaCalls:        scope.Counter("quota_calls"),
		quotaCallsFailed:  scope.Counter("quota_calls_failed"),
		delegated:         scope.Counter("requests_delegated"),
		sourcesLost:       scope.Counter("sources_lost"),
		connectionsOpened: scope.Counter("target_connections_opened"),
		connsBypassed:     scope.Counter("target_connections_bypassed"),
		answersSkipped:    scope.Counter("target_answers_skipped"),
		headsTooSlow:      scope.Counter("request_heads_too_slow"),
		headsTooLarge:     scope.Counter("request_heads_too_large"),
		acceptsFailed:     scope.Counter("accepts_failed"),
		linesDropped:      scope.Counter("log_lines_dropped"),
		panics:            scope.Counter("panics"),
		targetsLeaving:    scope.Counter("targets_leaving"),
		pausesAsked:       scope.Counter("target_pauses"),
		configVersion:     scope.Gauge("config_version"),
		viewAge:           scope.Gauge("view_age_ms"),
		targetsLimited:    scope.Gauge("targets_limited"),
		targetsPredicted:  scope.Gauge("targets_pause_predicted"),
		isolated:          scope.Gauge("isolated"),
		instancesLost:     scope.Gauge("instances_lost"),
		groupsLimited:     scope.Gauge("overload_groups_limited"),
		overloadLimit:     scope.Gauge("overload_limit_per_second"),
		rollouts:          newRolloutCounters(scope),
		answersUnframed:   map[upstream.WriteState]tally.Counter{},
		lastUnframed:      map[upstream.WriteState]int64{},
	}
	for _, w := range []upstream.WriteState{upstream.WriteDone, upstream.WriteBlocked, upstream.WriteFailed} {
		c.answersUnframed[w] = scope.Tagged(map[string]string{"write": string(w)}).Counter("target_answers_unframed")
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

// request counts a request that has ended.
func (c *counters) request(state fanout.State, took clock.Duration, missing int, sends fanout.Counts) {
	if counter := c.requests[state]; counter != nil {
		counter.Inc(1)
	}
	c.latency.RecordDuration(took.Std())
	c.shardsMissing.Inc(int64(missing))
	c.repeats.Inc(int64(sends.Repeated))
	c.repeatsDenied.Inc(int64(sends.Denied))
}

// send counts a send that has ended.
func (c *counters) send(o replica.Outcome) {
	if counter := c.sends[o]; counter != nil {
		counter.Inc(1)
	}
}

// rejected counts a request that was rejected before its head was complete.
func (c *counters) rejected(status int) {
	switch status {
	case http.StatusRequestTimeout:
		c.headsTooSlow.Inc(1)
	case http.StatusRequestHeaderFieldsTooLarge:
		c.headsTooLarge.Inc(1)
	}
}

// gauges are the values of the metrics that are not counted by request.
type gauges struct {
	configVersion     routing.Version
	viewAge           clock.Duration
	targetsLimited    int
	targetsPredicted  int
	isolated          bool
	instancesLost     int
	groupsLimited     int
	overloadLimit     overload.Rate
	connectionsOpened int64                           // in total
	connsBypassed     int64                           // in total
	answersSkipped    int64                           // in total
	answersUnframed   func(upstream.WriteState) int64 // in total
	linesDropped      int64                           // in total
	rollouts          map[string]int                  // orders, by phase
}

// update sets the metrics that are not counted by request. It must be called by one
// goroutine only.
func (c *counters) update(v gauges) {
	c.configVersion.Update(float64(v.configVersion))
	c.viewAge.Update(float64(v.viewAge))
	c.targetsLimited.Update(float64(v.targetsLimited))
	c.groupsLimited.Update(float64(v.groupsLimited))
	c.overloadLimit.Update(float64(v.overloadLimit))
	c.targetsPredicted.Update(float64(v.targetsPredicted))
	isolated := 0.0
	if v.isolated {
		isolated = 1
	}
	c.isolated.Update(isolated)
	c.instancesLost.Update(float64(v.instancesLost))
	for phase, gauge := range c.rollouts.orders {
		gauge.Update(float64(v.rollouts[phase]))
	}
	c.connectionsOpened.Inc(v.connectionsOpened - c.lastConnects)
	c.linesDropped.Inc(v.linesDropped - c.lastDropped)
	c.connsBypassed.Inc(v.connsBypassed - c.lastBypassed)
	c.answersSkipped.Inc(v.answersSkipped - c.lastSkipped)
	c.lastConnects, c.lastDropped = v.connectionsOpened, v.linesDropped
	c.lastBypassed, c.lastSkipped = v.connsBypassed, v.answersSkipped
	for state, counter := range c.answersUnframed {
		total := v.answersUnframed(state)
		counter.Inc(total - c.lastUnframed[state])
		c.lastUnframed[state] = total
	}
}

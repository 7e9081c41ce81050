package instance

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"knapweedstall/core/clock"
	"knapweedstall/core/node"
	iometrics "knapweedstall/io/metrics"
)

// metricsPeriod is how often counted values are published.
const metricsPeriod = time.Second

// metrics publishes the counters of the instance through tally.
type metrics struct {
	scope         tally.Scope
	httpHandler   http.Handler
	lastCounters  node.Counters
	lastSentBytes int64
	latency       tally.Histogram
}

func newMetrics() *metrics {
	scope, handler := iometrics.NewScope(metricsPeriod)
	buckets := tally.DurationBuckets{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
		55 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
	}
	return &metrics{scope: scope, httpHandler: handler, latency: scope.Histogram("search_latency", buckets)}
}

func (m *metrics) handler() http.Handler { return m.httpHandler }

func (m *metrics) recordSearch(d clock.Duration) { m.latency.RecordDuration(d.Std()) }

// update adds the increase of the counters since the last call. Only the loop calls
// it.
func (m *metrics) update(c node.Counters, config uint64, sentBytes int64) {
	for _, v := range []struct {
		name      string
		now, last uint64
	}{
		{"searches", c.Searches, m.lastCounters.Searches},
		{"answered", c.Answered, m.lastCounters.Answered},
		{"incomplete", c.Incomplete, m.lastCounters.Incomplete},
		{"refused", c.Refused, m.lastCounters.Refused},
		{"runs", c.Runs, m.lastCounters.Runs},
		{"canaries", c.Canaries, m.lastCounters.Canaries},
		{"claim_writes", c.ClaimWrites, m.lastCounters.ClaimWrites},
		{"sub_requests", c.SubRequests, m.lastCounters.SubRequests},
		{"target_calls", c.TargetCalls, m.lastCounters.TargetCalls},
		{"target_items", c.TargetItems, m.lastCounters.TargetItems},
		{"replies_dropped", c.RepliesDropped, m.lastCounters.RepliesDropped},
		{"peers_lost", c.PeersLost, m.lastCounters.PeersLost},
		{"table_writes", c.TableWrites, m.lastCounters.TableWrites},
		{"store_reads", c.StoreReads, m.lastCounters.StoreReads},
		{"store_writes", c.StoreWrites, m.lastCounters.StoreWrites},
		{"peer_bytes", uint64(sentBytes), uint64(m.lastSentBytes)},
	} {
		m.scope.Counter(v.name).Inc(int64(v.now - v.last))
	}
	m.lastCounters, m.lastSentBytes = c, sentBytes
	m.scope.Gauge("config").Update(float64(config))
}

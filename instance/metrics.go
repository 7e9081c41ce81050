package instance

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"knapweedstall/core/clock"
	"knapweedstall/core/node"
	iometrics "knapweedstall/io/metrics"
)

const metricsPeriod = time.Second

// metrics publishes what the instance counts through tally.
type metrics struct {
	scope    tally.Scope
	served   http.Handler
	last     node.Counters
	lastSent int64
	latency  tally.Histogram
}

func newMetrics() *metrics {
	scope, handler := iometrics.NewScope(metricsPeriod)
	buckets := tally.DurationBuckets{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
		55 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
	}
	return &metrics{scope: scope, served: handler, latency: scope.Histogram("search_latency", buckets)}
}

func (m *metrics) handler() http.Handler { return m.served }

func (m *metrics) searched(d clock.Duration) { m.latency.RecordDuration(d.Std()) }

// update adds what was counted since the last call. It is called by the loop
// only.
func (m *metrics) update(c node.Counters, config uint64, sentBytes int64) {
	for _, v := range []struct {
		name      string
		now, last uint64
	}{
		{"searches", c.Searches, m.last.Searches},
		{"answered", c.Answered, m.last.Answered},
		{"incomplete", c.Incomplete, m.last.Incomplete},
		{"refused", c.Refused, m.last.Refused},
		{"runs", c.Runs, m.last.Runs},
		{"canaries", c.Canaries, m.last.Canaries},
		{"claim_writes", c.ClaimWrites, m.last.ClaimWrites},
		{"sub_requests", c.SubRequests, m.last.SubRequests},
		{"target_calls", c.TargetCalls, m.last.TargetCalls},
		{"target_items", c.TargetItems, m.last.TargetItems},
		{"replies_dropped", c.RepliesDropped, m.last.RepliesDropped},
		{"peers_lost", c.PeersLost, m.last.PeersLost},
		{"table_writes", c.TableWrites, m.last.TableWrites},
		{"store_reads", c.StoreReads, m.last.StoreReads},
		{"store_writes", c.StoreWrites, m.last.StoreWrites},
		{"peer_bytes", uint64(sentBytes), uint64(m.lastSent)},
	} {
		m.scope.Counter(v.name).Inc(int64(v.now - v.last))
	}
	m.last, m.lastSent = c, sentBytes
	m.scope.Gauge("config").Update(float64(config))
}

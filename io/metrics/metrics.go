// Package metrics exports counters and histograms in the text format of Prometheus.
package metrics

import (
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const prefix = "knapweedstall"

// NewScope returns a scope that reports its metrics every period until the process
// exits, and the handler that serves them.
func NewScope(period time.Duration) (tally.Scope, http.Handler) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
	}, period)
	return scope, reporter.HTTPHandler()
}

package gateway

import (
	"github.com/uber-go/tally/v4"

	"knapweedstall/core/rollout"
)

// Ways in which an order ends besides its decision.
const (
	rolloutRemoved  = "removed"
	rolloutReplaced = "replaced"
)

// rolloutCounters holds the metrics of rollouts. Their names are listed in
// docs/OPERATIONS.md.
type rolloutCounters struct {
	ended   map[string]tally.Counter // orders that ended as this instance sees them, by their end
	writes  map[string]tally.Counter // writes of a status, by result
	reports map[string]tally.Counter // reports to deciders, by result
	orders  map[string]tally.Gauge   // orders, by state or, if they are undecided, by stage
}

func newRolloutCounters(scope tally.Scope) rolloutCounters {
	counters := func(name, tag string, values ...string) map[string]tally.Counter {
		m := map[string]tally.Counter{}
		for _, v := range values {
			m[v] = scope.Tagged(map[string]string{tag: v}).Counter(name)
		}
		return m
	}
	c := rolloutCounters{
		ended: counters("rollouts_ended", "state",
			string(rollout.Completed), string(rollout.RolledBack), rolloutRemoved, rolloutReplaced),
		writes:  counters("rollout_writes", "result", "accepted", "conflict", "removed", "failed"),
		reports: counters("rollout_reports", "result", "answered", "failed"),
		orders:  map[string]tally.Gauge{},
	}
	for _, s := range orderPhases {
		c.orders[s] = scope.Tagged(map[string]string{"phase": s}).Gauge("rollouts")
	}
	return c
}

// orderPhases are the phases of orders that the gauges distinguish.
var orderPhases = []string{
	stageName(rollout.NoStage), stageName(rollout.Canary), stageName(rollout.Load), stageName(rollout.Move), stageName(rollout.Back),
	string(rollout.Completed), string(rollout.RolledBack),
}

// rolloutEnded counts the end of an order. An order that was decided before has been
// counted.
func (c *counters) rolloutEnded(end string, before rollout.OrderState) {
	if counter := c.rollouts.ended[end]; counter != nil && !before.State().Decided() {
		counter.Inc(1)
	}
}

// rolloutWrite counts a write of a status.
func (c *counters) rolloutWrite(result string) { c.rollouts.writes[result].Inc(1) }

// rolloutReport counts a report to a decider.
func (c *counters) rolloutReport(result string) { c.rollouts.reports[result].Inc(1) }

// rolloutCounts returns the number of orders by phase. mu must be held.
func (g *Gateway) rolloutCounts() map[string]int {
	counts := map[string]int{}
	if g.rollouts == nil {
		return counts
	}
	for service, o := range g.rollouts.orders {
		phase := string(o.State())
		if !o.State().Decided() {
			phase = stageName(g.rollouts.stages[service])
		}
		counts[phase]++
	}
	return counts
}

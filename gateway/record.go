package gateway

import (
	"net/http"

	"knapweedstall/core/fanout"
	"knapweedstall/core/placing"
	"knapweedstall/platform"
)

const (
	// maxFailureDetails bounds the failure details in one log line.
	maxFailureDetails = 8
	// sampleEvery is the number of complete requests of which one is logged.
	sampleEvery = 200
)

// record logs and counts a request that this instance ran.
func (g *Gateway) record(q *request) {
	took := g.clock.Now().Sub(q.arrived)
	g.mu.Lock()
	sends := q.call.Counts()
	missing := q.call.Missing()
	sampled := false
	if q.state == fanout.Complete {
		g.completeCount++
		sampled = g.completeCount%sampleEvery == 1
	}
	g.mu.Unlock()
	g.metrics.request(q.state, took, len(missing), sends)
	if q.state == fanout.Complete && !sampled {
		return
	}
	g.mu.Lock()
	details := q.call.FailureDetails(maxFailureDetails, g.clock.Now())
	versions := g.versionFields(q)
	g.mu.Unlock()
	g.log.With(versions...).With(q.logFields()...).Info("request", "id", q.out.ID, "outcome", string(q.state), "route", q.route.Name, "tookMs", int64(took),
		"version", q.version, "viewAgeMs", int64(g.views.age()),
		"sends", sends.Sent, "repeats", sends.Repeated, "denied", sends.Denied, "missing", missing, "troubles", details)
}

// recordDelegated logs and counts a request that another instance ran. That
// instance logs the causes of failures.
func (g *Gateway) recordDelegated(q *request, runner *placing.Runner, state fanout.State, missing int) {
	took := g.clock.Now().Sub(q.arrived)
	g.metrics.request(state, took, missing, fanout.Counts{})
	g.metrics.delegated.Inc(1)
	if state == fanout.Complete {
		return
	}
	g.log.With(q.logFields()...).Info("request", "id", q.out.ID, "outcome", string(state), "route", q.route.Name, "tookMs", int64(took),
		"version", q.version, "runner", runner.ID, "missing", missing)
}

// recordRefusal logs and counts a request that was not sent to any target.
func (g *Gateway) recordRefusal(r *http.Request, reason string) {
	g.metrics.refusals.Inc(1)
	g.log.Info("request", "id", platform.RequestID(r.Header), "outcome", "notSent", "reason", reason, "viewAgeMs", int64(g.views.age()))
}

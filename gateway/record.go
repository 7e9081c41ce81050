package gateway

import (
	"net/http"

	"knapweedstall/core/fanout"
	"knapweedstall/core/placing"
	"knapweedstall/platform"
)

// record logs how a request that this instance ran was decided.
func (g *Gateway) record(q *request) {
	if q.state == fanout.Complete {
		return
	}
	g.mu.Lock()
	sends, repeats := q.call.Sends()
	missing := q.call.Missing()
	reasons := q.call.Reasons()
	g.mu.Unlock()
	g.log.Info("request", "id", q.out.ID, "outcome", string(q.state), "route", q.route.Name, "tookMs", int64(g.clock.Now().Sub(q.arrived)),
		"sends", sends, "repeats", repeats, "missing", missing, "reasons", reasons)
}

// recordDelegated logs a request that another instance ran.
func (g *Gateway) recordDelegated(q *request, runner *placing.Runner, state fanout.State, missing int) {
	if state == fanout.Complete {
		return
	}
	g.log.Info("request", "id", q.out.ID, "outcome", string(state), "route", q.route.Name, "tookMs", int64(g.clock.Now().Sub(q.arrived)),
		"runner", runner.ID, "missing", missing)
}

// recordRefusal logs a request that was sent nowhere.
func (g *Gateway) recordRefusal(r *http.Request, reason string) {
	g.log.Info("request", "id", platform.RequestID(r.Header), "outcome", "refused", "reason", reason)
}

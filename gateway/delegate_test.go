package gateway

import (
	"context"
	"knapweedstall/core/clock"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestNoRefusalOfSentRequest guards against a request that this instance has refused,
// that another instance may have run since, and whose caller is told that it was not run.
func TestNoRefusalOfSentRequest(t *testing.T) {
	for name, c := range map[string]struct {
		alreadySent bool
		want        int
	}{
		"not sent":          {false, http.StatusServiceUnavailable},
		"may have been run": {true, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGatewayWithoutTargets()
			q := g.openRequest(g.table.Route("plain"), g.clock.Now())
			q.params = callParams(q.route, q.services, q.arrived, 100, 0)
			q.start(g.table)
			defer q.finish()
			q.params.AlreadySent = c.alreadySent // as a broken link to the other instance sets it
			w := httptest.NewRecorder()
			q.answer(w)
			if w.Code != c.want {
				t.Errorf("status %d, want %d", w.Code, c.want)
			}
		})
	}
}

// TestProbeIsNotAwaitedBeyondDeadline guards against a failed request whose answer waits
// for a probe although there is no time left to run the request again.
func TestProbeIsNotAwaitedBeyondDeadline(t *testing.T) {
	const limit = 100 * time.Millisecond
	for name, remaining := range map[string]clock.Duration{"passed": 0, "soon": minRerunTime / 2} {
		t.Run(name, func(t *testing.T) {
			g := newGatewayWithoutTargets()
			g.probeEnded = make(chan struct{}) // a probe that does not end
			q := g.openRequest(g.table.Route("plain"), g.clock.Now())
			q.params = callParams(q.route, q.services, q.arrived, 100, 0)
			q.start(g.table)
			defer q.finish()
			q.params.Deadline = g.clock.Now().Add(remaining)
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			ctx, cancel := context.WithTimeout(r.Context(), time.Second)
			defer cancel()
			started := time.Now()
			q.delegateInstead(httptest.NewRecorder(), r.WithContext(ctx), g.table)
			if took := time.Since(started); took > limit {
				t.Errorf("the answer waited for %v, want at most %v", took, limit)
			}
		})
	}
}

package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
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

package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"knapweedstall/core/placing"
)

// TestRerunKeepsWithinAttempts guards against a request that this instance runs again with
// all attempts after the instance that was running it has been lost.
func TestRerunKeepsWithinAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		sends, most int
		again       bool
	}{
		"not known":            {0, 2, false},
		"one of one":           {1, 1, false},
		"one of two":           {1, 2, true},
		"two of two":           {2, 2, false},
		"not known, of a dead": {0, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := newFaultyGateway()
			q := g.openRequest(&g.table.Config.Routes[0], 1)
			q.params = callParams(q.route, q.services, q.arrived, 100, 0)
			q.params.MaxAttempts = c.most
			w := httptest.NewRecorder()
			got := q.runAgain(w, &placing.Runner{}, c.sends, runLocally)
			if want := map[bool]delegation{true: runLocally, false: answered}[c.again]; got != want {
				t.Errorf("result %v, want %v", got, want)
			}
			if !c.again && w.Code != http.StatusBadGateway {
				t.Errorf("status %d, want 502", w.Code)
			}
			if c.again && q.params.EarlierSends != c.sends {
				t.Errorf("%d earlier sends, want %d", q.params.EarlierSends, c.sends)
			}
		})
	}
}

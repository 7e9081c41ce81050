package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"knapweedstall/core/fanout"
	"knapweedstall/core/placing"
	"knapweedstall/io/delegate"
)

// TestOddStatusOfInstance guards against a status that no answer can have and that another
// instance, of an older build, has taken from a target: the caller got it, or no answer.
func TestOddStatusOfInstance(t *testing.T) {
	for _, status := range []int{0, 7, 99, 101, 600, 999, 4711, -1} {
		for _, state := range []fanout.State{fanout.Complete, fanout.Failure} {
			g := newFaultyGateway()
			q := g.openRequest(&g.table.Config.Routes[1], 1)
			w := httptest.NewRecorder()
			q.answerDelegated(w, &placing.Runner{}, delegate.Answer{State: string(state), Status: status, Body: []byte("x")})
			if w.Code != http.StatusBadGateway {
				t.Errorf("status %d, state %s: the caller got %d, want 502", status, state, w.Code)
			}
		}
	}
}

package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"knapweedstall/core/routing"
	"knapweedstall/core/view"
	"knapweedstall/core/workspace"
	"knapweedstall/platform"
)

// TestUnknownRouteByConfigurationAge guards against an unknown route or key that is answered
// with 503 although the configuration is up to date, because copies of other kinds are not.
func TestUnknownRouteByConfigurationAge(t *testing.T) {
	for name, c := range map[string]struct {
		fresh  string // kind whose copy is up to date
		status [2]int // of an unknown route and of an unknown key
	}{
		"configuration up to date": {platform.KindConfig, [2]int{http.StatusNotFound, http.StatusUnauthorized}},
		"targets up to date":       {platform.KindTargets, [2]int{http.StatusServiceUnavailable, http.StatusServiceUnavailable}},
	} {
		t.Run(name, func(t *testing.T) {
			g := newFaultyGateway()
			g.keys = workspace.NewDirectory([]routing.Workspace{{ID: "harbor", Keys: []routing.Key{"harbor-key"}}})
			g.views.copies[c.fresh], g.views.freshAt[c.fresh] = view.NewCopy(nil, 1), g.clock.Now()
			for i, path := range []string{"http://other/x", "http://h/x"} {
				r := httptest.NewRequest(http.MethodGet, path, nil)
				r.Header.Set("Authorization", "Bearer unknown")
				w := httptest.NewRecorder()
				g.serveRecovered(w, r)
				if w.Code != c.status[i] {
					t.Errorf("status %d for %s, want %d", w.Code, path, c.status[i])
				}
			}
		})
	}
}

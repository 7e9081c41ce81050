package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestOldCopiesAreNotActedOn guards against an instance that was suspended and runs requests
// by an old configuration before it has asked for a newer one.
func TestOldCopiesAreNotActedOn(t *testing.T) {
	g := newFaultyGateway()
	g.actUntil.Store(int64(g.clock.Now().Add(-1)))
	w := httptest.NewRecorder()
	g.serveRecovered(w, httptest.NewRequest(http.MethodGet, "http://h/plain/x", nil))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q; want 503 and a time", w.Code, w.Header().Get("Retry-After"))
	}
	select {
	case <-g.askSoon:
	default:
		t.Error("the store is not asked")
	}
}

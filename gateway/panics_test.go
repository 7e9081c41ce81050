package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/charmbracelet/log"

	"knapweedstall/core/fanout"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/io/delegate"
	"knapweedstall/io/osclock"
	"knapweedstall/settings"
)

// newFaultyGateway returns a Gateway whose requests panic when they select a target.
func newFaultyGateway() *Gateway {
	s := settings.Gateway{Instance: "i", Zone: "z", Capacity: 1, Repeats: settings.RepeatLimit{WindowSeconds: 10, Ratio: 0.2}}
	s.Store.Address = "127.0.0.1:1"
	g := New(s, osclock.New(), log.New(io.Discard))
	g.table = routing.NewTable(&routing.Config{Version: 1, Routes: []routing.Route{{
		Name: "search", Host: "h", Prefix: "/", Kind: routing.Idempotent, Shards: []routing.ServiceName{"a", "b"}, MaxAttempts: 2, TopK: 1,
	}, {
		Name: "plain", Host: "h", Prefix: "/plain/", Kind: routing.Idempotent, MaxAttempts: 2,
		Split: []routing.WeightedService{{Service: "a", Weight: 1}},
	}}})
	g.targets = nil
	return g
}

// TestPanicFailsOneRequest guards against an unexpected error in one request that ends
// the process or keeps the lock that all requests need.
func TestPanicFailsOneRequest(t *testing.T) {
	g := newFaultyGateway()
	for _, path := range []string{"/x", "/plain/x"} { // a search, and a request for one service
		w := httptest.NewRecorder()
		g.serveRecovered(w, httptest.NewRequest(http.MethodGet, "http://h"+path, nil))
		if w.Code != http.StatusBadGateway {
			t.Errorf("status %d for %s, want %d", w.Code, path, http.StatusBadGateway)
		}
		if !g.mu.TryLock() {
			t.Fatalf("the lock is held after a panic on %s", path)
		}
		g.mu.Unlock()
	}
	if got := g.openRequests(); got != 0 {
		t.Errorf("%d requests count as open after their panics, want 0", got)
	}
	answer := g.runDelegated(t.Context(), delegate.Request{Version: 1, Route: "search", RequestID: "1", Remaining: 100})
	if answer.State != string(fanout.Failure) {
		t.Errorf("state %q of a delegated search, want %q", answer.State, fanout.Failure)
	}
	if !g.mu.TryLock() {
		t.Fatal("the lock is held after a panic")
	}
	g.mu.Unlock()
}

// TestPanicInSend guards against a send whose outcome can't be handled: its request must
// fail at once instead of waiting for its deadline.
func TestPanicInSend(t *testing.T) {
	g := newFaultyGateway()
	q := g.openRequest(&g.table.Config.Routes[0], 1)
	q.state = fanout.Open
	q.send(fanout.Send{Shard: 5}, replica.Listing{ID: "t", Address: "127.0.0.1:1"}) // there is no call, and no such shard
	if q.state != fanout.Failure {
		t.Errorf("state %q, want %q", q.state, fanout.Failure)
	}
	select {
	case <-q.wake:
	default:
		t.Error("the request was not woken")
	}
}

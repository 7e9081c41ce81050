package gateway

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/routing"
	"knapweedstall/io/delegate"
	"knapweedstall/io/osclock"
	"knapweedstall/settings"
)

// newGatewayWithoutTargets returns a Gateway with the route "plain", which no target
// serves.
func newGatewayWithoutTargets() *Gateway {
	g := New(settings.Gateway{Repeats: settings.RepeatLimit{WindowSeconds: 1}}, osclock.New(), log.New(io.Discard))
	plain := routing.Route{Name: "plain", Split: []routing.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 2}
	g.table = routing.NewTable(&routing.Config{Version: 1, Routes: []routing.Route{plain}})
	return g
}

// TestDelegatedRequestsAreBounded guards against an instance that accepts any number of
// requests of others, and with them the memory that they need.
func TestDelegatedRequestsAreBounded(t *testing.T) {
	g := newGatewayWithoutTargets()
	g.openCount = maxOpenRequests
	got := g.runDelegated(t.Context(), delegate.Request{Version: 1, Route: "plain", Remaining: 100})
	if diff := cmp.Diff(delegate.Answer{Declined: true}, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

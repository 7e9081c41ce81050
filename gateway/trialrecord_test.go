package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"

	"knapweedstall/core/clock"
	"knapweedstall/core/poison"
	"knapweedstall/core/topology"
	"knapweedstall/platform"
	"knapweedstall/platform/platformtest"
)

// TestTrialAfterLostRecord guards against a refused request that gets no trial any more
// because the record of its latest one was removed from the store, or written by another
// instance, and this one's copy does not have the change.
func TestTrialAfterLostRecord(t *testing.T) {
	for _, removed := range []bool{true, false} {
		g, store := newFaultyGateway(), platformtest.NewStore()
		server := httptest.NewServer(store)
		t.Cleanup(server.Close)
		g.store = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
		now := g.clock.Now()
		for _, target := range []topology.TargetID{"a", "b"} {
			g.crashes.tracker.Add(poison.Crash{Fingerprint: "f", Process: poison.Process{Target: target}}, 1, 5*clock.Minute, now)
		}
		if !removed {
			name, spec := platform.CrashRecord{Kind: platform.TrialRecorded, Fingerprint: "f", Instance: "other", Trial: 1}.Object()
			store.Put(platform.KindCrashes, name, spec)
		}
		last := poison.Trial{Number: 1, Revision: 77}
		g.crashes.tracker.SetTrial("f", last, 5*clock.Minute, now)
		if g.beginTrial(t.Context(), "f", last) {
			t.Fatal("a trial began by a record that is out of date")
		}
		if next := g.crashes.tracker.Trial("f"); removed && !g.beginTrial(t.Context(), "f", next) {
			t.Errorf("no trial begins with %+v after the record was removed", next)
		}
	}
}

package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/poison"
	"knapweedstall/core/view"
	"knapweedstall/platform"
	"knapweedstall/platform/platformtest"
)

// TestUselessCrashRecordsAreRemoved guards against a store in which the records of crashes
// pile up over the life of a deployment.
func TestUselessCrashRecordsAreRemoved(t *testing.T) {
	g, store := newFaultyGateway(), platformtest.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	g.store = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	objects := map[string]view.Object{}
	for f, ago := range map[poison.Fingerprint]clock.Duration{"old": clock.Hour, "new": clock.Minute} {
		for _, kind := range []platform.CrashRecordKind{platform.CrashRecorded, platform.AnswerRecorded, platform.TrialRecorded} {
			r := platform.CrashRecord{Kind: kind, Fingerprint: f, Process: poison.Process{Target: "t", StartedUnixMS: 1}, Instance: "i"}
			name, spec := r.Object()
			store.Put(platform.KindCrashes, name, spec)
			object, _ := store.Object(platform.KindCrashes, name)
			objects[name] = view.Object{Revision: 1, Spec: object.Spec}
		}
		g.crashes.tracker.Add(poison.Crash{Fingerprint: f}, 1, 0, g.clock.Now().Add(-ago))
	}
	g.views.copies[platform.KindCrashes] = view.NewCopy(objects, 1)
	g.removeUselessCrashes(t.Context())
	want := []string{"answered.new", "new.t.1", "trial.new"}
	if diff := cmp.Diff(want, store.Names(platform.KindCrashes)); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
}

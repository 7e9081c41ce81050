package quarantine_test

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
	q "knapweedstall/core/quarantine"
	"knapweedstall/core/topology"
)

// TestFingerprint guards against different requests that share a fingerprint: a
// harmless one would be refused because of the crashes of another one.
func TestFingerprint(t *testing.T) {
	canary := q.Fingerprint("acme", "dockdesk", message.KindCanary, "bad")
	if canary != crashing {
		t.Error("the fingerprint of a canary differs from that of its search")
	}
	others := map[string]message.Fingerprint{
		"workspace":  q.Fingerprint("other", "dockdesk", message.KindSearch, "bad"),
		"collection": q.Fingerprint("acme", "other", message.KindSearch, "bad"),
		"kind":       q.Fingerprint("acme", "dockdesk", message.KindRun, "bad"),
		"query":      q.Fingerprint("acme", "dockdesk", message.KindSearch, "bad "),
		"boundary":   q.Fingerprint("acm", "edockdesk", message.KindSearch, "bad"),
	}
	for name, fp := range others {
		if fp == crashing {
			t.Errorf("a request with another %s has the same fingerprint", name)
		}
	}
}

// TestCache guards against a search that skips its canary on a new snapshot or too
// long after a canary passed, and against a quarantine that refuses other requests
// or never ends.
func TestCache(t *testing.T) {
	c := q.NewCache(q.WithCacheSize(2))
	pass := func(now clock.Time, fp message.Fingerprint, snapshot topology.SnapshotID) {
		c.Observe(now, message.CanaryVerdict{Fingerprint: fp, Snapshot: snapshot, Verdict: message.VerdictPassed})
	}
	check := func(name string, now clock.Time, fp message.Fingerprint, snapshot topology.SnapshotID, wantPassed, wantRefused bool) {
		t.Helper()
		passed, err := c.Check(now, fp, snapshot)
		if refused := errors.As(err, new(*q.QuarantinedError)); passed != wantPassed || refused != wantRefused {
			t.Errorf("%s: passed %v, refused %v", name, passed, refused)
		}
	}
	minutes := func(n int) clock.Time { return clock.Time(n) * clock.Time(clock.Minute) }
	pass(0, harmless, "s1")
	check("passed", minutes(9), harmless, "s1", true, false)
	check("another snapshot", minutes(9), harmless, "s2", false, false)
	check("after 10 min", minutes(10), harmless, "s1", false, false)
	pass(minutes(20), harmless, "s1")
	c.Forget(harmless, "s1")
	check("forgotten", minutes(20), harmless, "s1", false, false)
	pass(minutes(20), harmless, "s2")
	pass(minutes(20), harmless, "s3")
	check("evicted", minutes(20), harmless, "s1", false, false)
	check("kept", minutes(20), harmless, "s3", true, false)
	c.Observe(minutes(20), message.CanaryVerdict{Fingerprint: crashing, Verdict: message.VerdictQuarantined, RetryAfterMS: clock.Hour})
	check("quarantined", minutes(79), crashing, "s1", false, true)
	check("another fingerprint", minutes(79), harmless, "s9", false, false)
	check("quarantine over", minutes(80), crashing, "s1", false, false)
}

// TestCrashIsRecordedBeforeSecondCanary guards against a second canary that runs
// before the crash of the first one is stored or, in an outage of the store,
// acknowledged by another instance.
func TestCrashIsRecordedBeforeSecondCanary(t *testing.T) {
	self, other := topology.InstanceRef{ID: "a", Incarnation: 1}, topology.InstanceRef{ID: "b", Incarnation: 2}
	co := q.NewCoordinator(self)
	co.SetMembers(1, []topology.Member{{Ref: self}, {Ref: other}})
	request := message.CanaryRequest{Sub: message.SubRequest{Kind: message.KindSearch, Fingerprint: crashing, RemainingMS: clock.Minute}}
	key := co.Receive(1, other, request)[0].(q.ReadObject).Key
	co.Receive(1, other, request)
	co.ReadDone(1, object.ReadResult{Key: key, Known: true})
	run := co.Receive(1, other, message.NoticeAck{Fingerprint: crashing, Seq: 1, Status: message.NoticeGranted})
	if diff := cmp.Diff(message.KindCanary, run[0].(q.RunCanary).Sub.Kind); diff != "" {
		t.Errorf("kind (-want +got):\n%s", diff)
	}
	commands := co.CanaryDone(2, crashing, 1, message.SubReply{Status: message.StatusCrashed})
	last := commands[len(commands)-1]
	if w, ok := last.(q.WriteObject); !ok || !strings.Contains(string(w.Value), `"fingerprint"`) {
		t.Fatalf("after a crash: %+v, want its record to be written and nothing else", last)
	}
	commands = co.WriteDone(3, object.WriteResult{Key: key, Status: object.NotSent})
	notice, ok := commands[len(commands)-1].(q.Send).Body.(message.CanaryNotice)
	if !ok || len(notice.Records) != 2 || !notice.Records[0].Crashed {
		t.Fatalf("with the store unavailable: %+v, want a notice with the crash", commands)
	}
	// A crash after a passed canary counts like the crash of a canary.
	co.Receive(4, other, message.CrashReport{Fingerprint: crashing})
	co.Receive(4, other, message.NoticeAck{Fingerprint: crashing, Seq: 2, Status: message.NoticeGranted})
	if err := co.Quarantined(5, crashing); !errors.As(err, new(*q.QuarantinedError)) {
		t.Errorf("after two crashes: %v, want a quarantine", err)
	}
	if err := co.Quarantined(5+clock.Time(clock.Hour), crashing); err != nil {
		t.Errorf("after the retention period: %v", err)
	}
}

// TestSecondCanaryWithoutBackupNeedsStore guards against an instance that knows no
// other one and runs a second canary before the first crash is stored: a restart
// would lose that crash.
func TestSecondCanaryWithoutBackupNeedsStore(t *testing.T) {
	self := topology.InstanceRef{ID: "a", Incarnation: 1}
	co := q.NewCoordinator(self)
	request := message.CanaryRequest{Sub: message.SubRequest{Kind: message.KindSearch, Fingerprint: crashing, RemainingMS: clock.Minute}}
	key := co.Receive(1, self, request)[0].(q.ReadObject).Key
	if _, ok := co.ReadDone(1, object.ReadResult{Key: key})[0].(q.RunCanary); !ok {
		t.Fatal("the first canary did not run")
	}
	co.CanaryDone(2, crashing, 1, message.SubReply{Status: message.StatusCrashed})
	refused := co.Receive(3, self, request)
	v, ok := refused[0].(q.Send).Body.(message.CanaryVerdict)
	if !ok || v.Verdict != message.VerdictNotRun || v.Reason != message.ReasonNoBackup || co.NextWake() == 0 {
		t.Fatalf("with the crash not stored: %+v", refused)
	}
	co.Tick(1000)
	co.ReadDone(1000, object.ReadResult{Key: key, Known: true})
	co.WriteDone(1000, object.WriteResult{Key: key, Status: object.Written, Version: 1})
	if out := co.Receive(1001, self, request); len(out) != 1 || out[0].(q.RunCanary).Seq == 1 {
		t.Errorf("with the crash stored: %+v", out)
	}
}

// TestStoredCrashesCountAtStart guards against crashes that are lost when all
// instances are replaced: a new coordinator counts the stored crashes.
func TestStoredCrashesCountAtStart(t *testing.T) {
	co := q.NewCoordinator(topology.InstanceRef{ID: "a", Incarnation: 1})
	value := `{"crashes":[{"fingerprint":"` + hex.EncodeToString(crashing[:]) + `","keeper":{"id":"x","incarnation":1},"seq":1,"at":5},` +
		`{"fingerprint":"` + hex.EncodeToString(crashing[:]) + `","keeper":{"id":"y","incarnation":1},"seq":1,"at":6},{"fingerprint":"zz"}]}`
	if n := len(co.Start(9)); n != 16 {
		t.Errorf("%d reads at start, want one for each bucket", n)
	}
	for _, c := range q.NewCoordinator(topology.InstanceRef{ID: "a", Incarnation: 1}).Start(9) {
		key := c.(q.ReadObject).Key
		co.ReadDone(9, object.ReadResult{Key: key})
		co.ApplyBucket(9, object.ReadResult{Key: key, Known: true, Version: 3, Value: []byte(value)})
	}
	if err := co.Quarantined(10, crashing); err == nil {
		t.Error("no quarantine after two stored crashes")
	}
	if err := co.Quarantined(10, harmless); err != nil {
		t.Errorf("another fingerprint: %v", err)
	}
}

// BenchmarkLookup looks up fingerprints at an entry: the known crashes and the
// cache, with 10,000 passed canaries.
func BenchmarkLookup(b *testing.B) {
	co := q.NewCoordinator(topology.InstanceRef{ID: "a", Incarnation: 1})
	c := q.NewCache()
	var fps []message.Fingerprint
	for n := range 10_000 {
		fps = append(fps, q.Fingerprint("acme", "dockdesk", message.KindSearch, strings.Repeat("q", n%50)+string(rune('a'+n))))
		c.Observe(1, message.CanaryVerdict{Fingerprint: fps[n], Snapshot: "s1", Verdict: message.VerdictPassed})
	}
	b.Run("cached", func(b *testing.B) {
		for n := 0; b.Loop(); n++ {
			fp := fps[n%len(fps)]
			known, err := c.Check(2, fp, "s1")
			if !known || err != nil || co.Quarantined(2, fp) != nil {
				b.Fatal("the cache lacks a passed canary")
			}
		}
	})
	b.Run("withFingerprint", func(b *testing.B) {
		query := strings.Repeat("q", 200)
		for b.Loop() {
			fp := q.Fingerprint("acme", "dockdesk", message.KindSearch, query)
			if known, _ := c.Check(2, fp, "s1"); known {
				b.Fatal("the cache has a canary that did not run")
			}
		}
	})
}

// BenchmarkCanary runs one canary at a coordinator that knows 690 instances.
func BenchmarkCanary(b *testing.B) {
	self := topology.InstanceRef{ID: "a", Incarnation: 1}
	co := q.NewCoordinator(self)
	var members []topology.Member
	var refs []topology.InstanceRef
	for n := range 690 {
		ref := topology.InstanceRef{ID: topology.InstanceID(fmt.Sprintf("instance-%03d", n)), Incarnation: 1}
		members = append(members, topology.Member{Ref: ref})
		refs = append(refs, ref)
	}
	co.SetMembers(1, members)
	for _, c := range co.Start(1) {
		co.ReadDone(1, object.ReadResult{Key: c.(q.ReadObject).Key, Known: true})
	}
	for n := uint64(1); b.Loop(); n++ {
		fp := q.Fingerprint("acme", "dockdesk", message.KindSearch, fmt.Sprint(n))
		backup, _ := q.TopRanked(fp, refs)
		co.Receive(1, self, message.CanaryRequest{Sub: message.SubRequest{Kind: message.KindSearch, Fingerprint: fp, RemainingMS: 100}})
		co.Receive(1, backup, message.NoticeAck{Fingerprint: fp, Seq: n, Status: message.NoticeGranted})
		if out := co.CanaryDone(1, fp, n, message.SubReply{Status: message.StatusOK}); len(out) != 2 {
			b.Fatalf("canary ended with %+v", out)
		}
	}
}

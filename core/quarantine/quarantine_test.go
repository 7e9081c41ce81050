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

// Guards against two different requests with one fingerprint, which would
// refuse a harmless one.
func TestFingerprint(t *testing.T) {
	canary := q.Fingerprint("acme", "dockdesk", message.KindCanary, "bad")
	if canary != bad {
		t.Error("a canary differs from its search")
	}
	others := map[string]message.Fingerprint{
		"workspace":  q.Fingerprint("other", "dockdesk", message.KindSearch, "bad"),
		"collection": q.Fingerprint("acme", "other", message.KindSearch, "bad"),
		"kind":       q.Fingerprint("acme", "dockdesk", message.KindRun, "bad"),
		"query":      q.Fingerprint("acme", "dockdesk", message.KindSearch, "bad "),
		"boundary":   q.Fingerprint("acm", "edockdesk", message.KindSearch, "bad"),
	}
	for name, fp := range others {
		if fp == bad {
			t.Errorf("another %s has the same fingerprint", name)
		}
	}
}

// Guards against a search that skips its canary on a new snapshot or too long
// after it passed, and against a quarantine that refuses others or never ends.
func TestCache(t *testing.T) {
	c := q.NewCache(q.WithCacheSize(2))
	pass := func(now clock.Time, fp message.Fingerprint, snapshot topology.SnapshotID) {
		c.Observe(now, message.CanaryVerdict{Fingerprint: fp, Snapshot: snapshot, Verdict: message.VerdictPassed})
	}
	check := func(name string, now clock.Time, fp message.Fingerprint, snapshot topology.SnapshotID, wantGood, wantRefused bool) {
		t.Helper()
		good, err := c.Check(now, fp, snapshot)
		if refused := errors.As(err, new(*q.QuarantinedError)); good != wantGood || refused != wantRefused {
			t.Errorf("%s: known good %v, refused %v", name, good, refused)
		}
	}
	minutes := func(n int) clock.Time { return clock.Time(n) * clock.Time(clock.Minute) }
	pass(0, good, "s1")
	check("passed", minutes(9), good, "s1", true, false)
	check("another snapshot", minutes(9), good, "s2", false, false)
	check("after 10 min", minutes(10), good, "s1", false, false)
	pass(minutes(20), good, "s1")
	c.Forget(good, "s1")
	check("forgotten", minutes(20), good, "s1", false, false)
	pass(minutes(20), good, "s2")
	pass(minutes(20), good, "s3")
	check("evicted", minutes(20), good, "s1", false, false)
	check("kept", minutes(20), good, "s3", true, false)
	c.Observe(minutes(20), message.CanaryVerdict{Fingerprint: bad, Verdict: message.VerdictQuarantined, RetryAfterMS: clock.Hour})
	check("quarantined", minutes(79), bad, "s1", false, true)
	check("another fingerprint", minutes(79), good, "s9", false, false)
	check("quarantine over", minutes(80), bad, "s1", false, false)
}

// Guards against a second canary before the crash of the first is stored or, in
// an outage of the store, acknowledged by another instance.
func TestCrashIsRecordedBeforeSecondCanary(t *testing.T) {
	self, other := topology.InstanceRef{ID: "a", Incarnation: 1}, topology.InstanceRef{ID: "b", Incarnation: 2}
	k := q.NewCoordinator(self)
	k.SetMembers(1, []topology.Member{{Ref: self}, {Ref: other}})
	request := message.CanaryRequest{Sub: message.SubRequest{Kind: message.KindSearch, Fingerprint: bad, RemainingMS: clock.Minute}}
	key := k.Receive(1, other, request)[0].(q.ReadObject).Key
	k.Receive(1, other, request)
	k.ReadDone(1, object.ReadResult{Key: key, Known: true})
	run := k.Receive(1, other, message.NoticeAck{Fingerprint: bad, Seq: 1, Status: message.NoticeGranted})
	if diff := cmp.Diff(message.KindCanary, run[0].(q.RunCanary).Sub.Kind); diff != "" {
		t.Errorf("kind (-want +got):\n%s", diff)
	}
	commands := k.CanaryDone(2, bad, 1, message.SubReply{Status: message.StatusCrashed})
	last := commands[len(commands)-1]
	if w, ok := last.(q.WriteObject); !ok || !strings.Contains(string(w.Value), `"fingerprint"`) {
		t.Fatalf("after a crash: %+v, want its record to be written and nothing else", last)
	}
	commands = k.WriteDone(3, object.WriteResult{Key: key, Status: object.NotSent})
	notice, ok := commands[len(commands)-1].(q.Send).Body.(message.CanaryNotice)
	if !ok || len(notice.Records) != 2 || !notice.Records[0].Crashed {
		t.Fatalf("with the store away: %+v, want a notice with the crash", commands)
	}
	// A crash after a passed canary counts like one of a canary.
	k.Receive(4, other, message.CrashReport{Fingerprint: bad})
	k.Receive(4, other, message.NoticeAck{Fingerprint: bad, Seq: 2, Status: message.NoticeGranted})
	if err := k.Quarantined(5, bad); !errors.As(err, new(*q.QuarantinedError)) {
		t.Errorf("after two crashes: %v, want a quarantine", err)
	}
	if err := k.Quarantined(5+clock.Time(clock.Hour), bad); err != nil {
		t.Errorf("after the retention period: %v", err)
	}
}

// Guards against an instance that knows no other one and runs a second canary
// although a restart would forget the first crash.
func TestAloneSecondCanaryNeedsStore(t *testing.T) {
	self := topology.InstanceRef{ID: "a", Incarnation: 1}
	k := q.NewCoordinator(self)
	request := message.CanaryRequest{Sub: message.SubRequest{Kind: message.KindSearch, Fingerprint: bad, RemainingMS: clock.Minute}}
	key := k.Receive(1, self, request)[0].(q.ReadObject).Key
	if _, ok := k.ReadDone(1, object.ReadResult{Key: key})[0].(q.RunCanary); !ok {
		t.Fatal("the first canary did not run")
	}
	k.CanaryDone(2, bad, 1, message.SubReply{Status: message.StatusCrashed})
	refused := k.Receive(3, self, request)
	v, ok := refused[0].(q.Send).Body.(message.CanaryVerdict)
	if !ok || v.Verdict != message.VerdictNotRun || v.Reason != message.ReasonNoBackup || k.NextWake() == 0 {
		t.Fatalf("with the crash not stored: %+v", refused)
	}
	k.Tick(1000)
	k.ReadDone(1000, object.ReadResult{Key: key, Known: true})
	k.WriteDone(1000, object.WriteResult{Key: key, Status: object.Written, Version: 1})
	if out := k.Receive(1001, self, request); len(out) != 1 || out[0].(q.RunCanary).Seq == 1 {
		t.Errorf("with the crash stored: %+v", out)
	}
}

// Guards against crashes that are forgotten when all instances are replaced:
// what the store holds counts at a new keeper.
func TestStoredCrashesCountAtStart(t *testing.T) {
	k := q.NewCoordinator(topology.InstanceRef{ID: "a", Incarnation: 1})
	value := `{"crashes":[{"fingerprint":"` + hex.EncodeToString(bad[:]) + `","keeper":{"id":"x","incarnation":1},"seq":1,"at":5},` +
		`{"fingerprint":"` + hex.EncodeToString(bad[:]) + `","keeper":{"id":"y","incarnation":1},"seq":1,"at":6},{"fingerprint":"zz"}]}`
	if n := len(k.Start(9)); n != 16 {
		t.Errorf("%d reads at start, want one for each bucket", n)
	}
	for _, c := range q.NewCoordinator(topology.InstanceRef{ID: "a", Incarnation: 1}).Start(9) {
		key := c.(q.ReadObject).Key
		k.ReadDone(9, object.ReadResult{Key: key})
		k.ApplyBucket(9, object.ReadResult{Key: key, Known: true, Version: 3, Value: []byte(value)})
	}
	if err := k.Quarantined(10, bad); err == nil {
		t.Error("two stored crashes do not count")
	}
	if err := k.Quarantined(10, good); err != nil {
		t.Errorf("another fingerprint: %v", err)
	}
}

// BenchmarkLookup looks up fingerprints at an entry: the known crashes and the
// cache, with 10,000 known-good ones.
func BenchmarkLookup(b *testing.B) {
	k := q.NewCoordinator(topology.InstanceRef{ID: "a", Incarnation: 1})
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
			if !known || err != nil || k.Quarantined(2, fp) != nil {
				b.Fatal("a known-good fingerprint is unknown")
			}
		}
	})
	b.Run("withFingerprint", func(b *testing.B) {
		query := strings.Repeat("q", 200)
		for b.Loop() {
			fp := q.Fingerprint("acme", "dockdesk", message.KindSearch, query)
			if known, _ := c.Check(2, fp, "s1"); known {
				b.Fatal("an unknown fingerprint is known")
			}
		}
	})
}

// BenchmarkCanary runs one canary at a keeper that knows 690 instances.
func BenchmarkCanary(b *testing.B) {
	self := topology.InstanceRef{ID: "a", Incarnation: 1}
	k := q.NewCoordinator(self)
	var members []topology.Member
	var refs []topology.InstanceRef
	for n := range 690 {
		ref := topology.InstanceRef{ID: topology.InstanceID(fmt.Sprintf("instance-%03d", n)), Incarnation: 1}
		members = append(members, topology.Member{Ref: ref})
		refs = append(refs, ref)
	}
	k.SetMembers(1, members)
	for _, c := range k.Start(1) {
		k.ReadDone(1, object.ReadResult{Key: c.(q.ReadObject).Key, Known: true})
	}
	for n := uint64(1); b.Loop(); n++ {
		fp := q.Fingerprint("acme", "dockdesk", message.KindSearch, fmt.Sprint(n))
		backup, _ := q.TopRanked(fp, refs)
		k.Receive(1, self, message.CanaryRequest{Sub: message.SubRequest{Kind: message.KindSearch, Fingerprint: fp, RemainingMS: 100}})
		k.Receive(1, backup, message.NoticeAck{Fingerprint: fp, Seq: n, Status: message.NoticeGranted})
		if out := k.CanaryDone(1, fp, n, message.SubReply{Status: message.StatusOK}); len(out) != 2 {
			b.Fatalf("canary ended with %+v", out)
		}
	}
}

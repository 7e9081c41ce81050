package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/placing"
	"knapweedstall/core/poison"
	"knapweedstall/core/topology"
	"knapweedstall/io/relay"
	"knapweedstall/platform"
	"knapweedstall/platform/platformtest"
	"knapweedstall/settings"
)

// TestRequests checks, for each kind of request, what targets receive and what the
// caller gets.
func TestRequests(t *testing.T) {
	env := newTestEnv(t)
	in := env.start(nil)
	search := in.do(t, "GET", "/search/1", "")
	if got := strings.Count(search.Digests, "st-"); got != 4 {
		t.Errorf("digests of %d shards, want 4", got)
	}
	search.Digests = ""
	for name, c := range map[string]struct{ want, got reply }{
		"search":         {reply{Status: 200, Body: record("d") + record("c") + record("b")}, search},
		"plain":          {reply{Status: 200, Body: record("single")}, in.do(t, "GET", "/plain/a%2Fb?x=1", "")},
		"non-idempotent": {reply{Status: 200, Body: record("single")}, in.do(t, "POST", "/order/1", "two lamps")},
		"unknown route":  {reply{Status: 404}, in.do(t, "GET", "/nowhere/", "")},
		"body too large": {reply{Status: 413}, in.do(t, "POST", "/order/1", strings.Repeat("x", platformtest.MaxBodyBytes+1))},
	} {
		if diff := cmp.Diff(c.want, c.got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	runs := env.targets["single1"].Runs()
	for i := range runs {
		runs[i].RequestID = ""
	}
	want := map[platformtest.Run]bool{{Target: "single1", Path: "/plain/a%2Fb?x=1"}: true, {Target: "single1", Path: "/order/1", Body: "two lamps"}: true}
	got := map[platformtest.Run]bool{}
	for _, r := range runs {
		got[r] = true
	}
	if diff := cmp.Diff(want, got); diff != "" || len(runs) != 2 {
		t.Errorf("%d runs (-want +got):\n%s", len(runs), diff)
	}
}

// TestAtMostOnce checks that a non-idempotent request does not run twice, and that
// the caller is not told that it has not run when it may have.
func TestAtMostOnce(t *testing.T) {
	env := newTestEnv(t)
	in := env.start(nil)
	env.targets["single1"].SetDropAnswers(true)
	if diff := cmp.Diff(reply{Status: 502}, in.do(t, "POST", "/order/1", "lamp")); diff != "" {
		t.Errorf("lost answer (-want +got):\n%s", diff)
	}
	if got := len(env.targets["single1"].Runs()); got != 1 {
		t.Errorf("the request ran %d times, want once", got)
	}
	env.targets["single1"].SetShedding(true)
	if diff := cmp.Diff(reply{Status: 503, Retry: true}, in.do(t, "POST", "/order/2", "lamp")); diff != "" {
		t.Errorf("shed (-want +got):\n%s", diff)
	}
}

// TestStatedLimitIsKept guards against an instance that does not read the limit of
// requests that a target states, and against one that keeps to it after its end.
func TestStatedLimitIsKept(t *testing.T) {
	const limit, duration = 5, 2 * time.Second
	env := newTestEnv(t)
	in := env.start(nil)
	target := env.targets["single1"]
	target.SetRequestLimit(strconv.Itoa(limit))
	in.do(t, "GET", "/plain/first", "") // its answer states the limit
	before, refused := len(target.Runs()), 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := in.do(t, "GET", "/plain/1", ""); got.Status == http.StatusServiceUnavailable && got.Retry {
			refused++
		}
	}
	if got, allowed := len(target.Runs())-before, 3*limit*int(duration/time.Second)/2+5; got > allowed || got == 0 {
		t.Errorf("%d requests in %v, want 1 to %d", got, duration, allowed)
	}
	if refused == 0 {
		t.Error("no request was refused with the time to come back")
	}
	target.SetRequestLimit("")
	env.eventually("the limit has ended", func() bool {
		for range 5 {
			if in.do(t, "GET", "/plain/2", "").Status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// TestMissingShard checks that a search whose shard is down is answered at once and
// states the shard as missing.
func TestMissingShard(t *testing.T) {
	env := newTestEnv(t)
	in := env.start(nil)
	env.targets["d1"].Close()
	env.targets["d2"].Close()
	started := time.Now()
	got := in.do(t, "GET", "/search/1", "")
	got.Digests = ""
	if diff := cmp.Diff(reply{Status: 200, Body: record("c") + record("b") + record("a"), Missing: "1"}, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if took := time.Since(started); took > 190*time.Millisecond {
		t.Errorf("the answer took %v, want at most 190ms", took)
	}
}

// TestStoreUnavailable checks that instances serve during an outage of the store: a
// running one continues, a new one starts with the copies of another one, and both
// get a change when the store is available again without its history.
func TestStoreUnavailable(t *testing.T) {
	env := newTestEnv(t)
	first := env.start(nil)
	env.store.SetUnavailable(true)
	second := env.start(func(s *settings.Gateway) { s.Peers = []string{first.settings.Listen.Peers} })
	for _, in := range []*instance{first, second} {
		if got := in.do(t, "GET", "/plain/1", ""); got.Status != http.StatusOK {
			t.Errorf("status %d while the store is unavailable", got.Status)
		}
	}
	env.configure(2, false)
	env.store.DropHistory()
	env.store.SetUnavailable(false)
	for _, in := range []*instance{first, second} {
		env.eventually("the route is gone", func() bool { return in.do(t, "GET", "/plain/1", "").Status == http.StatusNotFound })
	}
}

// TestConfigNeverReverts checks that an earlier version of the configuration does
// not replace a later one.
func TestConfigNeverReverts(t *testing.T) {
	env := newTestEnv(t)
	in := env.start(nil)
	env.configure(3, false)
	env.eventually("version 3 is active", func() bool { return in.do(t, "GET", "/plain/1", "").Status == http.StatusNotFound })
	env.configure(2, true)
	time.Sleep(500 * time.Millisecond)
	if got := in.do(t, "GET", "/plain/1", ""); got.Status != http.StatusNotFound {
		t.Errorf("status %d, want 404, since version 2 must be ignored", got.Status)
	}
}

// TestInvalidEntries checks that invalid entries of targets, which other writers may
// create in the store, are ignored and that the valid ones remain in use.
func TestInvalidEntries(t *testing.T) {
	env := newTestEnv(t)
	in := env.start(nil)
	for i, entry := range []any{
		"text", 7, nil, []string{"a"}, map[string]any{}, map[string]any{"backend": "single", "address": 7},
		map[string]any{"backend": "single", "address": "nowhere", "zone": "z1", "version": "v1", "concurrency": 2, "state": "ready", "coldMs": 0, "sequence": 1},
		map[string]any{"backend": "single", "address": "127.0.0.1:1", "zone": "z1", "version": "v1", "concurrency": 2, "state": "odd", "coldMs": 0, "sequence": 1},
	} {
		env.store.Put("servers", fmt.Sprintf("forged-%d", i), entry)
	}
	time.Sleep(400 * time.Millisecond)
	for range 20 {
		if got := in.do(t, "GET", "/plain/1", ""); got.Status != http.StatusOK {
			t.Fatalf("status %d", got.Status)
		}
	}
}

// TestGracefulStop checks that a planned stop does not abort a request: a request in
// progress is answered, the readiness check fails so that the load balancer removes
// the instance, and the process ends within the grace period.
func TestGracefulStop(t *testing.T) {
	env := newTestEnv(t)
	in := env.start(nil)
	env.targets["single1"].SetDelay(400 * time.Millisecond)
	answer := make(chan reply)
	go func() { answer <- in.do(t, "POST", "/order/1", "lamp") }()
	env.eventually("the request is running", func() bool { return len(env.targets["single1"].Runs()) == 1 })
	started := time.Now()
	in.stop()
	env.eventually("the readiness check fails", func() bool { return !in.ready() })
	if got := <-answer; got.Status != http.StatusOK {
		t.Errorf("status %d, want 200", got.Status)
	}
	if err := <-in.served; err != nil {
		t.Error(err)
	}
	if took := time.Since(started); took > 2*time.Second {
		t.Errorf("the stop took %v, longer than the grace period", took)
	}
}

// TestChangeReachesAll checks that a change of the configuration reaches all
// instances and not only the one that watches the store.
func TestChangeReachesAll(t *testing.T) {
	env := newTestEnv(t)
	var instances []*instance
	for range 4 {
		instances = append(instances, env.start(nil))
	}
	time.Sleep(1500 * time.Millisecond) // until the instances know each other
	env.configure(2, false)
	for _, in := range instances {
		env.eventually("the route is gone", func() bool { return in.do(t, "GET", "/plain/1", "").Status == http.StatusNotFound })
	}
}

// TestSearchIsDelegated checks searches at a small instance while a large one runs
// them, and while that one stops.
func TestSearchIsDelegated(t *testing.T) {
	env := newTestEnv(t)
	large := env.start(func(s *settings.Gateway) { s.Capacity = 4 })
	small := env.start(func(s *settings.Gateway) { s.Capacity = 0.05 })
	time.Sleep(1500 * time.Millisecond) // until the instances are known
	for range 5 {
		got := small.do(t, "GET", "/search/1", "")
		if got.Status != http.StatusOK || got.Missing != "" || got.Body != record("d")+record("c")+record("b") {
			t.Fatalf("answer %+v", got)
		}
	}
	large.stop()
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := small.do(t, "GET", "/search/1", ""); got.Status != http.StatusOK || got.Missing != "" {
			t.Fatalf("answer %+v while the large instance is stopping", got)
		}
	}
}

// TestStartedInstanceDelegatesAtOnce guards against a small instance that runs
// searches itself for a second after each start. When all instances restart after
// a power failure, the first searches would be late.
func TestStartedInstanceDelegatesAtOnce(t *testing.T) {
	env := newTestEnv(t)
	logs := &logBuffer{}
	env.logger = logs.logger()
	large := env.start(func(s *settings.Gateway) { s.Capacity = 4 })
	env.eventually("the large instance is known", func() bool { return len(env.store.Names(platform.KindInstances)) == 1 })
	env.targets["d1"].Close() // so that answers are partial and therefore logged
	env.targets["d2"].Close()
	small := env.start(func(s *settings.Gateway) { s.Capacity = 0.05 })
	for end := time.Now().Add(400 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		small.do(t, "GET", "/search/1", "")
		if strings.Contains(logs.String(), "runner="+string(large.settings.Instance)) {
			return
		}
	}
	t.Error("the started instance delegated no search within 400 ms")
}

// TestCrashesOfDelegatedSearch guards against a search that crashes targets and is
// taken for a new one each time it is sent: an instance that runs it for another one
// must report the fingerprint of the caller's request.
func TestCrashesOfDelegatedSearch(t *testing.T) {
	env := newTestEnv(t)
	env.start(func(s *settings.Gateway) { s.Capacity = 4 })
	small := env.start(func(s *settings.Gateway) { s.Capacity = 0.05 })
	time.Sleep(1500 * time.Millisecond) // until the instances are known
	for _, target := range env.targets {
		target.SetCrashOnRequest(true)
	}
	small.do(t, "GET", "/search/1", "")
	var names []string
	env.eventually("crashes are written to the store", func() bool {
		names = env.store.Names(platform.KindCrashes)
		return len(names) > 0
	})
	want := string(poison.NewFingerprint("", "GET", host, "/search/1", nil))
	for _, name := range names {
		if !strings.HasPrefix(name, want+".") {
			t.Errorf("crash object %s, want one of the fingerprint %s", name, want)
		}
	}
}

// TestRestartOfAllReadsStorePerZone guards against a stampede on the store when all
// instances start at once, as after a loss of power: in each zone, three instances read
// all objects, and the others take them from these. Instances that are still registered
// write nothing.
func TestRestartOfAllReadsStorePerZone(t *testing.T) {
	const zones, perZone = 2, 8
	env := newTestEnv(t)
	var all []settings.Gateway
	for i := range zones * perZone {
		s := env.newSettings(func(s *settings.Gateway) {
			s.Zone = topology.ZoneID(fmt.Sprintf("z%d", 1+i%zones))
			s.Capacity = 1 / float64(1+i/zones)
		})
		name, spec := platform.InstanceObject(placing.Instance{ID: s.Instance, Zone: s.Zone, Address: s.Listen.Peers, Capacity: s.Capacity})
		env.store.Put(platform.KindInstances, name, spec)
		all = append(all, s)
	}
	var instances []*instance
	for _, s := range all {
		instances = append(instances, env.launch(s))
	}
	for _, in := range instances {
		env.eventually("the instance is ready", func() bool { return in.ready() })
	}
	time.Sleep(300 * time.Millisecond)
	if got, limit := env.store.Lists(platform.KindTargets), 3*zones; got > limit {
		t.Errorf("the targets were listed %d times, want at most %d", got, limit)
	}
	if got, limit := env.store.Lists(platform.KindInstances), zones*perZone+3*zones; got > limit {
		t.Errorf("the instances were listed %d times, want at most %d", got, limit)
	}
	if got := env.store.Writes(platform.KindInstances); got > 0 {
		t.Errorf("%d writes of instances that are registered", got)
	}
}

// TestOutagePollsOfReaders guards against an outage of the store in which all instances
// poll it: only the first three of a zone may.
func TestOutagePollsOfReaders(t *testing.T) {
	const instances = 10
	env := newTestEnv(t)
	first := env.start(nil)
	for i := range instances - 1 {
		env.start(func(s *settings.Gateway) { s.Capacity = 1 / float64(2+i) })
	}
	time.Sleep(2 * time.Second) // until the instances know each other
	env.store.SetUnavailable(true)
	time.Sleep(2 * time.Second) // until the followers have lost their source
	before := env.store.Calls()
	time.Sleep(4 * time.Second)
	// Three instances call once in 0.4 s at the most, and twice for each poll.
	if got, limit := env.store.Calls()-before, 3*2*10; got > limit {
		t.Errorf("%d calls in 4 s, want at most %d", got, limit)
	}
	env.configure(2, false)
	env.store.SetUnavailable(false)
	env.eventually("the route is gone", func() bool { return first.do(t, "GET", "/plain/1", "").Status == http.StatusNotFound })
}

// TestRemovedRegistrationIsWritten guards against an instance that stays unknown after
// an earlier process of it has removed its entry late.
func TestRemovedRegistrationIsWritten(t *testing.T) {
	env := newTestEnv(t)
	in := env.start(nil)
	name := "z1." + string(in.settings.Instance)
	env.eventually("the instance is registered", func() bool { return len(env.store.Names(platform.KindInstances)) == 1 })
	env.store.Delete(platform.KindInstances, name)
	env.eventually("the instance is registered again", func() bool { return len(env.store.Names(platform.KindInstances)) == 1 })
}

// TestInstanceWithoutCopiesIsNotUpToDate guards against followers that wait for an
// instance that has just started and has no copies itself, and against callers that it
// tells to come back so soon that they use up their retries while the store is away.
func TestInstanceWithoutCopiesIsNotUpToDate(t *testing.T) {
	env := newTestEnv(t)
	env.store.SetUnavailable(true)
	in := env.launch(env.newSettings(nil))
	var age clock.Duration
	env.eventually("the instance sends a frame", func() bool {
		err := relay.Follow(t.Context(), in.settings.Listen.Peers, nil, clock.Second, func(f relay.Frame) bool {
			age = f.Age
			return false
		})
		return err == nil
	})
	var waits []float64
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get("http://" + in.settings.Listen.Callers + "/plain/1")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusServiceUnavailable || err != nil {
			t.Fatalf("status %d, Retry-After %v without a configuration", resp.StatusCode, err)
		}
		waits = append(waits, wait)
	}
	if first, last := waits[0], waits[len(waits)-1]; first > 0.5 || last < 0.9 {
		t.Errorf("callers are told to come back after %v s at the start and %v s while the store is away", first, last)
	}
	if age < clock.Minute {
		t.Errorf("an instance without copies states that it may have missed the changes of %d ms only", age)
	}
}

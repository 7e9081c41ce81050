package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/poison"
	"knapweedstall/core/topology"
	"knapweedstall/gateway"
	"knapweedstall/io/osclock"
	"knapweedstall/io/porttest"
	"knapweedstall/platform"
	"knapweedstall/platform/platformtest"
	"knapweedstall/settings"
)

const host = "h.example"

// world is a store, targets and instances in one process.
type world struct {
	t         *testing.T
	store     *platformtest.Store
	address   string // of the store
	targets   map[string]*platformtest.Target
	instances int
	logger    *log.Logger // of the instances
}

// instance is a running gateway.
type instance struct {
	settings settings.Gateway
	stop     context.CancelFunc
	stopped  chan error
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, store: platformtest.NewStore(), targets: map[string]*platformtest.Target{}, logger: log.New(io.Discard)}
	server := httptest.NewServer(w.store)
	t.Cleanup(server.CloseClientConnections)
	w.address = strings.TrimPrefix(server.URL, "http://")
	for _, shard := range []string{"a", "b", "c", "d"} {
		for _, copy := range []string{"1", "2"} {
			w.target(shard+copy, shard)
		}
	}
	w.target("single1", "single")
	w.configure(1, true)
	return w
}

func (w *world) target(id, service string) {
	target := platformtest.StartTarget(w.store, id, service, "z1", record(service))
	w.t.Cleanup(target.Close)
	w.targets[id] = target
}

// record returns a record that is greater for a later service.
func record(service string) string { return fmt.Sprintf("%-16s", service) }

// configure writes a version of the configuration. It has the route for plain
// requests only if plain is true.
func (w *world) configure(version int, plain bool) {
	routes := []platformtest.Route{
		{Name: "search", Host: host, Prefix: "/search/", Shards: []string{"a", "b", "c", "d"}, TopK: 3, MinCoverage: 0.5},
		{Name: "order", Host: host, Prefix: "/order/", Service: "single", Once: true},
	}
	if plain {
		routes = append(routes, platformtest.Route{Name: "plain", Host: host, Prefix: "/plain/", Service: "single"})
	}
	w.store.Configure(version, routes)
}

// start starts an instance and waits until it is ready.
func (w *world) start(change func(*settings.Gateway)) *instance {
	w.instances++
	s := settings.Gateway{
		Instance: topology.InstanceID(fmt.Sprintf("instance-%d", w.instances)), Zone: "z1", Capacity: 1,
		Listen: settings.GatewayListen{
			Callers: porttest.Address(w.t), Readiness: porttest.Address(w.t), Peers: porttest.Address(w.t), Metrics: porttest.Address(w.t),
		},
		Store:    settings.GatewayStore{Address: w.address, CatchUpMS: 4000, ConfigDueMS: 3000},
		Repeats:  settings.Repeats{WindowSeconds: 10, Ratio: 0.2, Slack: 100},
		Shutdown: settings.GatewayShutdown{GraceSeconds: 2},
	}
	if change != nil {
		change(&s)
	}
	ctx, stop := context.WithCancel(context.Background())
	in := &instance{settings: s, stop: stop, stopped: make(chan error, 1)}
	g := gateway.New(s, osclock.New(), w.logger.With("instance", string(s.Instance)))
	go func() { in.stopped <- g.Serve(ctx) }()
	w.t.Cleanup(stop)
	w.eventually("the instance is ready", func() bool { return in.ready() })
	return in
}

func (in *instance) ready() bool {
	resp, err := http.Get("http://" + in.settings.Listen.Readiness + platformtest.ReadinessPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) eventually(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Fatalf("after 8 s it does not hold that %s", what)
}

// reply is what a caller gets.
type reply struct {
	Status  int
	Body    string
	Digests string
	Missing string
	Retry   bool // it says when to come back
}

var requests int

// lastRequest returns the id of the last request.
func lastRequest() string { return fmt.Sprintf("request-%d", requests) }

// ask sends a request to the instance.
func (in *instance) ask(t *testing.T, method, path, body string) reply {
	t.Helper()
	requests++
	r, err := http.NewRequest(method, "http://"+in.settings.Listen.Callers+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = host
	r.Header.Set(platformtest.HeaderRequestID, lastRequest())
	r.Header.Set(platformtest.HeaderDeadline, "2000")
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	h := resp.Header
	return reply{resp.StatusCode, string(data), h.Get(platformtest.HeaderDigests), h.Get(platformtest.HeaderMissing), h.Get("Retry-After") != ""}
}

// TestRequests guards the path of each kind of request: what reaches targets,
// and what the caller gets.
func TestRequests(t *testing.T) {
	w := newWorld(t)
	in := w.start(nil)
	search := in.ask(t, "GET", "/search/1", "")
	if got := strings.Count(search.Digests, "st-"); got != 4 {
		t.Errorf("digests of %d shards, want 4", got)
	}
	search.Digests = ""
	for name, c := range map[string]struct{ want, got reply }{
		"search":         {reply{Status: 200, Body: record("d") + record("c") + record("b")}, search},
		"plain":          {reply{Status: 200, Body: record("single")}, in.ask(t, "GET", "/plain/a%2Fb?x=1", "")},
		"once":           {reply{Status: 200, Body: record("single")}, in.ask(t, "POST", "/order/1", "two lamps")},
		"unknown route":  {reply{Status: 404}, in.ask(t, "GET", "/nowhere/", "")},
		"body too large": {reply{Status: 413}, in.ask(t, "POST", "/order/1", strings.Repeat("x", platformtest.MaxBodyBytes+1))},
	} {
		if diff := cmp.Diff(c.want, c.got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	runs := w.targets["single1"].Runs()
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

// TestAtMostOnce guards against a request that may not be repeated running
// twice, and against saying that it has not run when it may have.
func TestAtMostOnce(t *testing.T) {
	w := newWorld(t)
	in := w.start(nil)
	w.targets["single1"].SetBreaking(true)
	if diff := cmp.Diff(reply{Status: 502}, in.ask(t, "POST", "/order/1", "lamp")); diff != "" {
		t.Errorf("lost answer (-want +got):\n%s", diff)
	}
	if got := len(w.targets["single1"].Runs()); got != 1 {
		t.Errorf("it ran %d times", got)
	}
	w.targets["single1"].SetShedding(true)
	if diff := cmp.Diff(reply{Status: 503, Retry: true}, in.ask(t, "POST", "/order/2", "lamp")); diff != "" {
		t.Errorf("shed (-want +got):\n%s", diff)
	}
}

// TestMissingShard guards an answer's coverage: a shard that is down must be
// stated as missing, at once.
func TestMissingShard(t *testing.T) {
	w := newWorld(t)
	in := w.start(nil)
	w.targets["d1"].Close()
	w.targets["d2"].Close()
	started := time.Now()
	got := in.ask(t, "GET", "/search/1", "")
	got.Digests = ""
	if diff := cmp.Diff(reply{Status: 200, Body: record("c") + record("b") + record("a"), Missing: "1"}, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if took := time.Since(started); took > 190*time.Millisecond {
		t.Errorf("it took %v", took)
	}
}

// TestStoreAway guards against an outage of the store stopping the service: an
// instance goes on, a new one starts from another one, and both hear of a change
// when the store is back with its history gone.
func TestStoreAway(t *testing.T) {
	w := newWorld(t)
	first := w.start(nil)
	w.store.SetAway(true)
	second := w.start(func(s *settings.Gateway) { s.Peers = []string{first.settings.Listen.Peers} })
	for _, in := range []*instance{first, second} {
		if got := in.ask(t, "GET", "/plain/1", ""); got.Status != http.StatusOK {
			t.Errorf("status %d while the store is away", got.Status)
		}
	}
	w.configure(2, false)
	w.store.Forget()
	w.store.SetAway(false)
	for _, in := range []*instance{first, second} {
		w.eventually("the route is gone", func() bool { return in.ask(t, "GET", "/plain/1", "").Status == http.StatusNotFound })
	}
}

// TestConfigNeverReverts guards against an earlier version coming into force.
func TestConfigNeverReverts(t *testing.T) {
	w := newWorld(t)
	in := w.start(nil)
	w.configure(3, false)
	w.eventually("version 3 is in force", func() bool { return in.ask(t, "GET", "/plain/1", "").Status == http.StatusNotFound })
	w.configure(2, true)
	time.Sleep(500 * time.Millisecond)
	if got := in.ask(t, "GET", "/plain/1", ""); got.Status != http.StatusNotFound {
		t.Errorf("status %d, want that version 2 is ignored", got.Status)
	}
}

// TestForgedEntries guards against entries of other writers: they name no
// target, and the others hold.
func TestForgedEntries(t *testing.T) {
	w := newWorld(t)
	in := w.start(nil)
	for i, forged := range []any{
		"text", 7, nil, []string{"a"}, map[string]any{}, map[string]any{"backend": "single", "address": 7},
		map[string]any{"backend": "single", "address": "nowhere", "zone": "z1", "version": "v1", "concurrency": 2, "state": "ready", "coldMs": 0, "sequence": 1},
		map[string]any{"backend": "single", "address": "127.0.0.1:1", "zone": "z1", "version": "v1", "concurrency": 2, "state": "odd", "coldMs": 0, "sequence": 1},
	} {
		w.store.Put("servers", fmt.Sprintf("forged-%d", i), forged)
	}
	time.Sleep(400 * time.Millisecond)
	for range 20 {
		if got := in.ask(t, "GET", "/plain/1", ""); got.Status != http.StatusOK {
			t.Fatalf("status %d", got.Status)
		}
	}
}

// TestGracefulStop guards against a planned stop cutting a request: one in
// progress is answered, the balancer is told, and the process ends in time.
func TestGracefulStop(t *testing.T) {
	w := newWorld(t)
	in := w.start(nil)
	w.targets["single1"].SetDelay(400 * time.Millisecond)
	answer := make(chan reply)
	go func() { answer <- in.ask(t, "POST", "/order/1", "lamp") }()
	w.eventually("the request runs", func() bool { return len(w.targets["single1"].Runs()) == 1 })
	started := time.Now()
	in.stop()
	w.eventually("the balancer is told", func() bool { return !in.ready() })
	if got := <-answer; got.Status != http.StatusOK {
		t.Errorf("status %d, want the answer", got.Status)
	}
	if err := <-in.stopped; err != nil {
		t.Error(err)
	}
	if took := time.Since(started); took > 2*time.Second {
		t.Errorf("it took %v, longer than the grace period", took)
	}
}

// TestChangeReachesAll guards against a change that only the instance that watches
// the store hears of.
func TestChangeReachesAll(t *testing.T) {
	w := newWorld(t)
	var instances []*instance
	for range 4 {
		instances = append(instances, w.start(nil))
	}
	time.Sleep(1500 * time.Millisecond) // instances that started alone find each other
	w.configure(2, false)
	for _, in := range instances {
		w.eventually("the route is gone", func() bool { return in.ask(t, "GET", "/plain/1", "").Status == http.StatusNotFound })
	}
}

// TestSearchIsHandedOver guards searches of a small instance: a large one runs
// them, and the small one does when that one is gone.
func TestSearchIsHandedOver(t *testing.T) {
	w := newWorld(t)
	large := w.start(func(s *settings.Gateway) { s.Capacity = 4 })
	small := w.start(func(s *settings.Gateway) { s.Capacity = 0.05 })
	time.Sleep(1500 * time.Millisecond) // until the instances are known
	for range 5 {
		got := small.ask(t, "GET", "/search/1", "")
		if got.Status != http.StatusOK || got.Missing != "" || got.Body != record("d")+record("c")+record("b") {
			t.Fatalf("answer %+v", got)
		}
	}
	large.stop()
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := small.ask(t, "GET", "/search/1", ""); got.Status != http.StatusOK || got.Missing != "" {
			t.Fatalf("answer %+v while the large instance stops", got)
		}
	}
}

// TestStartedInstanceKnowsTheOthers guards against a small instance that runs
// searches itself for a second after each start: when all of them restart after a
// loss of power, the first searches would be late.
func TestStartedInstanceKnowsTheOthers(t *testing.T) {
	w := newWorld(t)
	logs := &journal{}
	w.logger = logs.logger()
	large := w.start(func(s *settings.Gateway) { s.Capacity = 4 })
	w.eventually("the large instance is known", func() bool { return len(w.store.Names(platform.KindInstances)) == 1 })
	w.targets["d1"].Close() // so that searches are logged
	w.targets["d2"].Close()
	small := w.start(func(s *settings.Gateway) { s.Capacity = 0.05 })
	for end := time.Now().Add(400 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		small.ask(t, "GET", "/search/1", "")
		if strings.Contains(logs.String(), "runner="+string(large.settings.Instance)) {
			return
		}
	}
	t.Error("the started instance handed no search over within 400 ms")
}

// TestCrashesOfHandedOverSearch guards against a search that crashes targets and
// looks like a new one each time it is sent: an instance that runs it for another
// one must report the fingerprint of the caller's request.
func TestCrashesOfHandedOverSearch(t *testing.T) {
	w := newWorld(t)
	w.start(func(s *settings.Gateway) { s.Capacity = 4 })
	small := w.start(func(s *settings.Gateway) { s.Capacity = 0.05 })
	time.Sleep(1500 * time.Millisecond) // until the instances are known
	for _, target := range w.targets {
		target.SetCrashing(true)
	}
	small.ask(t, "GET", "/search/1", "")
	var names []string
	w.eventually("crashes are told", func() bool {
		names = w.store.Names(platform.KindCrashes)
		return len(names) > 0
	})
	want := string(poison.NewFingerprint("GET", host, "/search/1", nil))
	for _, name := range names {
		if !strings.HasPrefix(name, want+".") {
			t.Errorf("crash of %s, want one of the request %s", name, want)
		}
	}
}

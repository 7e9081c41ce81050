package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"knapweedstall/core/topology"
	"knapweedstall/gateway"
	"knapweedstall/io/osclock"
	"knapweedstall/io/porttest"
	"knapweedstall/platform/platformtest"
	"knapweedstall/settings"
)

const host = "h.example"

// testEnv is a store, targets and instances in one process.
type testEnv struct {
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
	served   chan error
}

// newTestEnv returns a store with a configuration and targets: two for each of the
// shards a to d, and one of the service single.
func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{t: t, store: platformtest.NewStore(), targets: map[string]*platformtest.Target{}, logger: log.New(io.Discard)}
	server := httptest.NewServer(env.store)
	t.Cleanup(server.CloseClientConnections)
	env.address = strings.TrimPrefix(server.URL, "http://")
	for _, shard := range []string{"a", "b", "c", "d"} {
		for _, copy := range []string{"1", "2"} {
			env.startTarget(shard+copy, shard)
		}
	}
	env.startTarget("single1", "single")
	env.configure(1, true)
	return env
}

// startTarget starts a target and registers it at the store.
func (env *testEnv) startTarget(id, service string) {
	target := platformtest.StartTarget(env.store, id, service, "z1", record(service))
	env.t.Cleanup(target.Close)
	env.targets[id] = target
}

// record returns the record that targets of a service answer. Records are ordered
// as the names of their services.
func record(service string) string { return fmt.Sprintf("%-16s", service) }

// configure writes a version of the configuration to the store. It includes the
// route "plain" only if plain is true.
func (env *testEnv) configure(version int, plain bool) {
	routes := []platformtest.Route{
		{Name: "search", Host: host, Prefix: "/search/", Shards: []string{"a", "b", "c", "d"}, TopK: 3, MinCoverage: 0.5},
		{Name: "order", Host: host, Prefix: "/order/", Service: "single", NonIdempotent: true},
	}
	if plain {
		routes = append(routes, platformtest.Route{Name: "plain", Host: host, Prefix: "/plain/", Service: "single"})
	}
	env.store.PutConfig(version, routes)
}

// start starts an instance and waits until it is ready.
func (env *testEnv) start(change func(*settings.Gateway), opts ...gateway.Option) *instance {
	in := env.launch(env.newSettings(change), opts...)
	env.eventually("the instance is ready", func() bool { return in.ready() })
	return in
}

// newSettings returns the settings of a new instance.
func (env *testEnv) newSettings(change func(*settings.Gateway)) settings.Gateway {
	env.instances++
	s := settings.Gateway{
		Instance: topology.InstanceID(fmt.Sprintf("instance-%d", env.instances)), Zone: "z1", Capacity: 1,
		Listen: settings.GatewayListen{
			Callers: porttest.Address(env.t), Readiness: porttest.Address(env.t), Peers: porttest.Address(env.t), Metrics: porttest.Address(env.t),
		},
		Store:    settings.GatewayStore{Address: env.address, CatchUpMS: 4000, ConfigDueMS: 3000},
		Repeats:  settings.RepeatLimit{WindowSeconds: 10, Ratio: 0.2, Slack: 100},
		Shutdown: settings.GatewayShutdown{GraceSeconds: 2},
	}
	if change != nil {
		change(&s)
	}
	return s
}

// launch starts an instance with the settings.
func (env *testEnv) launch(s settings.Gateway, opts ...gateway.Option) *instance {
	ctx, stop := context.WithCancel(context.Background())
	in := &instance{settings: s, stop: stop, served: make(chan error, 1)}
	g := gateway.New(s, osclock.New(), env.logger.With("instance", string(s.Instance)), opts...)
	go func() { in.served <- g.Serve(ctx) }()
	env.t.Cleanup(stop)
	return in
}

// ready reports whether the instance's readiness check succeeds.
func (in *instance) ready() bool {
	resp, err := http.Get("http://" + in.settings.Listen.Readiness + platformtest.ReadinessPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually waits until the condition holds, which what describes, and fails the
// test if that takes longer than 8 s.
func (env *testEnv) eventually(what string, holds func() bool) {
	env.t.Helper()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	env.t.Fatalf("condition not met within 8 s: %s", what)
}

// reply is what a caller gets.
type reply struct {
	Status  int
	Body    string
	Digests string
	Missing string
	Retry   bool // it has a Retry-After header
}

// requests is the number of requests with an id of newRequestID.
var requests atomic.Int64

// newRequestID returns the id of a new request.
func newRequestID() string { return requestID(requests.Add(1)) }

// lastRequest returns the id of the latest request.
func lastRequest() string { return requestID(requests.Load()) }

func requestID(n int64) string { return fmt.Sprintf("request-%d", n) }

// do sends a request to the instance and returns the reply.
func (in *instance) do(t *testing.T, method, path, body string) reply {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+in.settings.Listen.Callers+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = host
	r.Header.Set(platformtest.HeaderRequestID, newRequestID())
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

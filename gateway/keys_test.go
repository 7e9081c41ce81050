package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/platform"
	"knapweedstall/platform/platformtest"
	"knapweedstall/settings"
)

// Keys of the tests' workspaces.
const (
	harborKey   = "harbor-key-5f1c9a"
	harborSpare = "harbor-key-77e20b"
	millKey     = "mill-key-04dd31"
)

// workspaces returns the workspaces harbor, which has the keys, mill, and quarry, which has
// no key.
func workspaces(harbor ...string) []platformtest.Workspace {
	return []platformtest.Workspace{
		{Name: "harbor", Keys: harbor}, {Name: "mill", Keys: []string{millKey}, Priority: 1}, {Name: "quarry", Keys: []string{}},
	}
}

// configureKeys writes a version of the configuration with workspaces to the store.
func (env *testEnv) configureKeys(version int, list []platformtest.Workspace) {
	env.store.PutConfig(version, []platformtest.Route{
		{Name: "search", Host: host, Prefix: "/search/", Shards: []string{"a", "b", "c", "d"}, TopK: 3, MinCoverage: 0.5},
		{Name: "plain", Host: host, Prefix: "/plain/", Service: "single"},
		{Name: "public", Host: host, Prefix: "/public/", Service: "single", Public: true},
	}, list...)
}

// response is a response to a request with a header.
type response struct {
	Status    int
	Retry     bool // it has a Retry-After header
	Challenge string
	Body      string
	reused    bool // the request was sent on a kept connection
}

// keyRequests is the number of requests sent by get.
var keyRequests atomic.Int64

// get sends a GET request with the headers to the instance and returns the response.
func (in *instance) get(t *testing.T, path string, header http.Header) response {
	t.Helper()
	return in.send(t, "GET", path, header, nil)
}

// send sends a request with the headers and the body.
func (in *instance) send(t *testing.T, method, path string, header http.Header, body io.Reader) (out response) {
	t.Helper()
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { out.reused = c.Reused }}
	ctx := httptrace.WithClientTrace(t.Context(), trace)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+in.settings.Listen.Callers+path, body)
	if err != nil {
		t.Fatal(err)
	}
	r.Host, r.Header = host, header.Clone()
	r.Header.Set(platformtest.HeaderRequestID, fmt.Sprintf("key-request-%d", keyRequests.Add(1)))
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	out.Status, out.Body = resp.StatusCode, string(data)
	out.Retry, out.Challenge = resp.Header.Get("Retry-After") != "", resp.Header.Get("WWW-Authenticate")
	return out
}

// withKey returns the header of a request with the key.
func withKey(key string) http.Header {
	return http.Header{platformtest.HeaderKey: {"Bearer " + key}}
}

// forwarded returns the headers with the key and the workspace that the target got with
// its latest request.
func forwarded(t *testing.T, target *platformtest.Target) http.Header {
	t.Helper()
	all := target.Headers()
	if len(all) == 0 {
		t.Fatal("the target got no request")
	}
	out := http.Header{}
	for _, name := range []string{platformtest.HeaderKey, platformtest.HeaderWorkspace} {
		if values, ok := all[len(all)-1][name]; ok {
			out[name] = values
		}
	}
	return out
}

// TestKeys guards against a request that is served without a valid key, and against a key
// or a forged workspace that reaches a target.
func TestKeys(t *testing.T) {
	env := newTestEnv(t)
	logs := &logBuffer{}
	env.logger = logs.logger()
	env.configureKeys(2, workspaces(harborKey))
	in := env.start(nil)
	unauthorized := response{Status: 401, Challenge: "Bearer"}
	served := response{Status: 200, Body: record("single")}
	forged := func(h http.Header) http.Header {
		h[platformtest.HeaderWorkspace] = []string{"mill", "quarry"}
		return h
	}
	harbor := http.Header{platformtest.HeaderWorkspace: {"harbor"}}
	in.get(t, "/plain/1", withKey(harborKey)) // the first complete request has a log line
	for name, c := range map[string]struct {
		path   string
		header http.Header
		want   response
		target http.Header // what the target gets; nil if it must get nothing
	}{
		"key":                            {"/plain/1", withKey(harborKey), served, harbor},
		"other workspace":                {"/plain/1", withKey(millKey), served, http.Header{platformtest.HeaderWorkspace: {"mill"}}},
		"forged workspace":               {"/plain/1", forged(withKey(harborKey)), served, harbor},
		"forged workspace alone":         {"/plain/1", forged(http.Header{}), unauthorized, nil},
		"no key":                         {"/plain/1", http.Header{}, unauthorized, nil},
		"unknown key":                    {"/plain/1", withKey("unknown-key"), unauthorized, nil},
		"empty key":                      {"/plain/1", withKey(""), unauthorized, nil},
		"other scheme":                   {"/plain/1", http.Header{platformtest.HeaderKey: {"Basic " + harborKey}}, unauthorized, nil},
		"several keys":                   {"/plain/1", http.Header{platformtest.HeaderKey: {"Bearer " + harborKey, "Bearer " + millKey}}, unauthorized, nil},
		"public route":                   {"/public/1", forged(http.Header{}), served, http.Header{}},
		"public route with key":          {"/public/1", withKey(harborKey), served, harbor},
		"public route with unknown key":  {"/public/1", withKey("unknown-key"), served, http.Header{}},
		"public route with several keys": {"/public/1", http.Header{platformtest.HeaderKey: {"Bearer " + harborKey, "Bearer x"}}, served, http.Header{}},
		"unknown route":                  {"/nowhere/", http.Header{}, response{Status: 404}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			before := len(env.targets["single1"].Runs())
			got := in.get(t, c.path, c.header)
			got.reused = false
			if diff := cmp.Diff(c.want, got, cmp.AllowUnexported(response{})); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if c.target == nil {
				if after := len(env.targets["single1"].Runs()); after != before {
					t.Errorf("the target got %d requests, want none", after-before)
				}
				return
			}
			if diff := cmp.Diff(c.target, forwarded(t, env.targets["single1"])); diff != "" {
				t.Errorf("header of the target (-want +got):\n%s", diff)
			}
		})
	}
	noKeyIn(t, logs.String())
	if !strings.Contains(logs.String(), "workspace=") || !strings.Contains(logs.String(), "outcome=unauthorized") {
		t.Error("no log line names the workspace, or none an unauthorized request")
	}
}

// noKeyIn fails the test if the text has a key of the tests' workspaces.
func noKeyIn(t *testing.T, text string) {
	t.Helper()
	for _, key := range []string{harborKey, harborSpare, millKey, "unknown-key"} {
		if strings.Contains(text, key) {
			t.Errorf("a key appears in the text:\n%s", text)
		}
	}
}

// TestNoWorkspaces guards against a deployment whose configuration has no workspaces, and
// whose targets no longer get the headers that they got before.
func TestNoWorkspaces(t *testing.T) {
	env := newTestEnv(t)
	in := env.start(nil)
	header := withKey("any")
	header.Set(platformtest.HeaderWorkspace, "any")
	if got := in.get(t, "/plain/1", header); got.Status != http.StatusOK {
		t.Errorf("status %d, want 200", got.Status)
	}
	if diff := cmp.Diff(header, forwarded(t, env.targets["single1"])); diff != "" {
		t.Errorf("header of the target (-want +got):\n%s", diff)
	}
}

// unreadBody is a body that must not be read.
type unreadBody struct{ read atomic.Bool }

// Read implements io.Reader. It blocks for a while, as a slow caller does.
func (b *unreadBody) Read([]byte) (int, error) {
	b.read.Store(true)
	time.Sleep(300 * time.Millisecond)
	return 0, io.EOF
}

// TestKeyIsCheckedBeforeBody guards against callers without a key that make an instance
// wait for bodies.
func TestKeyIsCheckedBeforeBody(t *testing.T) {
	env := newTestEnv(t)
	env.configureKeys(2, workspaces(harborKey))
	in := env.start(nil)
	header := withKey("unknown-key")
	header.Set("Expect", "100-continue")
	body := &unreadBody{}
	if got := in.send(t, "POST", "/plain/1", header, body); got.Status != http.StatusUnauthorized || body.read.Load() {
		t.Errorf("status %d, body read: %v; want 401 without the body", got.Status, body.read.Load())
	}
}

// TestKeysChange guards against a withdrawn key that is still valid on a kept connection,
// and against a new key that is not valid on one.
func TestKeysChange(t *testing.T) {
	env := newTestEnv(t)
	env.configureKeys(2, workspaces(harborKey))
	instances := []*instance{env.start(nil), env.start(nil)}
	time.Sleep(1500 * time.Millisecond) // until the instances know each other
	for version, c := range []struct {
		keys  []string
		valid map[string]bool
	}{
		{[]string{harborKey, harborSpare}, map[string]bool{harborKey: true, harborSpare: true, millKey: true}},
		{[]string{harborSpare}, map[string]bool{harborKey: false, harborSpare: true, millKey: true}},
		{[]string{}, map[string]bool{harborKey: false, harborSpare: false, millKey: true}},
		{[]string{harborKey}, map[string]bool{harborKey: true, harborSpare: false, millKey: true}},
	} {
		env.configureKeys(3+version, workspaces(c.keys...))
		due := time.Now().Add(instances[0].settings.Store.ConfigDueMS.Std())
		for i, in := range instances {
			for key, valid := range c.valid {
				want := map[bool]int{true: 200, false: 401}[valid]
				env.eventually(fmt.Sprintf("instance %d answers %d with keys %d", i, want, version), func() bool {
					return in.get(t, "/plain/1", withKey(key)).Status == want
				})
				if got := in.get(t, "/plain/1", withKey(key)); got.Status != want || !got.reused {
					t.Errorf("instance %d, keys %d: status %d, want %d; kept connection: %v", i, version, got.Status, want, got.reused)
				}
			}
		}
		if time.Now().After(due) {
			t.Errorf("keys %d are not in force within the configuration's due time", version)
		}
	}
}

// TestRequestInProgressOutlivesKey guards against a request in progress that fails because
// its key is withdrawn.
func TestRequestInProgressOutlivesKey(t *testing.T) {
	env := newTestEnv(t)
	env.configureKeys(2, workspaces(harborKey))
	in := env.start(nil)
	env.targets["single1"].SetDelay(800 * time.Millisecond)
	answer := make(chan response)
	go func() { answer <- in.get(t, "/plain/1", withKey(harborKey)) }()
	env.eventually("the request is running", func() bool { return len(env.targets["single1"].Runs()) == 1 })
	env.configureKeys(3, workspaces())
	env.eventually("the key is withdrawn", func() bool { return in.get(t, "/plain/1", withKey(harborKey)).Status == http.StatusUnauthorized })
	if got := <-answer; got.Status != http.StatusOK {
		t.Errorf("status %d, want 200", got.Status)
	}
}

// storeLink forwards calls to the store until it is cut.
type storeLink struct {
	store      *platformtest.Store
	server     *httptest.Server
	cut        atomic.Bool
	refuse     atomic.Bool // calls are not executed
	turnedAway atomic.Bool // the same, with status 503
	silent     atomic.Bool // calls get no answer
}

// turnAway refuses calls with status 503 from now on, and ends those that wait.
func (l *storeLink) turnAway() {
	l.turnedAway.Store(true)
	l.server.CloseClientConnections()
}

// reset ends each call without an answer from now on, also those that wait.
func (l *storeLink) reset() {
	l.refuse.Store(true)
	l.server.CloseClientConnections()
}

// fallSilent leaves calls without an answer from now on, also those that wait.
func (l *storeLink) fallSilent() { l.silent.Store(true) }

// ServeHTTP implements http.Handler.
func (l *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.refuse.Load() {
		panic(http.ErrAbortHandler)
	}
	if l.turnedAway.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := httptest.NewRecorder()
	l.store.ServeHTTP(answer, r)
	if l.cut.Load() { // also for a watch that was open before
		panic(http.ErrAbortHandler)
	}
	if l.silent.Load() { // the same
		<-r.Context().Done()
		return
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // fails only when the instance has disconnected
}

// linkStore returns a link to the store and its address.
func (env *testEnv) linkStore() (*storeLink, string) {
	link := &storeLink{store: env.store}
	link.server = httptest.NewServer(link)
	env.t.Cleanup(link.server.CloseClientConnections)
	return link, strings.TrimPrefix(link.server.URL, "http://")
}

// TestKeyWithdrawnDuringCut guards against an instance without a link to the store that
// turns away a valid new key as unknown, stops to serve known ones, or keeps a withdrawn
// key after it is connected again.
func TestKeyWithdrawnDuringCut(t *testing.T) {
	env := newTestEnv(t)
	env.configureKeys(2, workspaces(harborKey))
	link, address := env.linkStore()
	in := env.start(func(s *settings.Gateway) { s.Store.Address = address })
	link.cut.Store(true)
	env.configureKeys(3, workspaces(harborSpare))
	env.eventually("the new key is refused without a statement that it is wrong", func() bool {
		got := in.get(t, "/plain/1", withKey(harborSpare))
		return got.Status == http.StatusServiceUnavailable && got.Retry
	})
	for key, want := range map[string]int{harborKey: 200, millKey: 200, "unknown-key": 503} {
		if got := in.get(t, "/plain/1", withKey(key)); got.Status != want {
			t.Errorf("status %d, want %d", got.Status, want)
		}
	}
	if got := in.get(t, "/plain/1", http.Header{}); got.Status != http.StatusUnauthorized {
		t.Errorf("status %d without a key, want 401", got.Status)
	}
	link.cut.Store(false)
	env.eventually("the new key is valid", func() bool { return in.get(t, "/plain/1", withKey(harborSpare)).Status == http.StatusOK })
	for key, want := range map[string]int{harborKey: 401, millKey: 200, "unknown-key": 401} {
		if got := in.get(t, "/plain/1", withKey(key)); got.Status != want {
			t.Errorf("status %d after the cut, want %d", got.Status, want)
		}
	}
}

// TestKeyWithdrawnBesideCutStore guards against an instance that the store turns away and
// that keeps a withdrawn key although another instance knows the configuration.
func TestKeyWithdrawnBesideCutStore(t *testing.T) {
	env := newTestEnv(t)
	env.configureKeys(2, workspaces(harborKey))
	link, address := env.linkStore()
	env.start(nil)
	in := env.start(func(s *settings.Gateway) { s.Store.Address, s.Zone = address, "z2" })
	time.Sleep(1500 * time.Millisecond) // until the instances know each other
	link.cut.Store(true)
	env.configureKeys(3, workspaces(harborSpare))
	written := time.Now()
	env.eventually("the key is withdrawn", func() bool { return in.get(t, "/plain/1", withKey(harborKey)).Status == http.StatusUnauthorized })
	if took, due := time.Since(written), in.settings.Store.ConfigDueMS.Std(); took > due {
		t.Errorf("the key was valid for %v, want at most %v", took, due)
	}
}

// TestKeyBeforeConfiguration guards against a caller with a valid key that is told that it
// has none by an instance without a configuration.
func TestKeyBeforeConfiguration(t *testing.T) {
	env := newTestEnv(t)
	env.configureKeys(2, workspaces(harborKey))
	env.store.SetUnavailable(true)
	in := env.launch(env.newSettings(nil))
	env.eventually("the instance listens", func() bool {
		resp, err := http.Get("http://" + in.settings.Listen.Callers)
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	})
	if got := in.get(t, "/plain/1", withKey(harborKey)); got.Status != http.StatusServiceUnavailable || !got.Retry {
		t.Errorf("response %+v, want 503 with Retry-After", got)
	}
}

// TestDelegatedRequestCarriesWorkspace guards against a delegated request whose targets do
// not learn the workspace, and against a key that is passed on to another instance.
func TestDelegatedRequestCarriesWorkspace(t *testing.T) {
	env := newTestEnv(t)
	logs := &logBuffer{}
	env.logger = logs.logger()
	env.configureKeys(2, workspaces(harborKey))
	env.start(func(s *settings.Gateway) { s.Capacity = 4 })
	env.eventually("the large instance is known", func() bool { return len(env.store.Names(platform.KindInstances)) == 1 })
	env.targets["d1"].Close() // so that answers are partial and therefore logged
	env.targets["d2"].Close()
	small := env.start(func(s *settings.Gateway) { s.Capacity = 0.05 })
	env.eventually("a search is delegated", func() bool {
		if got := small.get(t, "/search/1", withKey(harborKey)); got.Status != http.StatusOK {
			t.Fatalf("status %d", got.Status)
		}
		return strings.Contains(logs.String(), "runner=")
	})
	want := http.Header{platformtest.HeaderWorkspace: {"harbor"}}
	for _, id := range []string{"a1", "a2"} {
		for _, h := range env.targets[id].Headers() {
			got := http.Header{}
			for _, name := range []string{platformtest.HeaderKey, platformtest.HeaderWorkspace} {
				if values, ok := h[name]; ok {
					got[name] = values
				}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("header of target %s (-want +got):\n%s", id, diff)
			}
		}
	}
	noKeyIn(t, logs.String())
}

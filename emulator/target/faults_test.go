package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/message"
)

// Guards against a crash that answers the call, leaves other calls running, or
// restarts the server warm.
func TestCrashTextDropsConnections(t *testing.T) {
	s := startTestFleet(t, func(c *Config) { c.Timing.BaseMS = longServiceMS }).servers[0]
	other, _ := startSearch(t, s)
	if got := post(context.Background(), newClient(t), s, pathSearch, searchRequest(s, "amber !crash")); got.code != 0 {
		t.Errorf("got %+v", got)
	}
	if got := <-other; got.code != 0 {
		t.Errorf("the other call got %+v", got)
	}
	eventually(t, "restarted cold", func() bool { return s.State().State == message.TargetCold })
}

// Guards against a call from before a crash that counts as load on the restarted
// server, which would report an overload that no client caused.
func TestCallsFromBeforeACrashDoNotCount(t *testing.T) {
	s := startTestFleet(t, nil).servers[0]
	old := httptest.NewRequest(http.MethodPost, pathSearch, nil)
	old = old.WithContext(withConn(old.Context(), &conn{process: s.process}))
	s.Crash()
	eventually(t, "restarted", func() bool { return s.State().State == message.TargetCold })
	if a := s.admitCall(pathSearch, searchRequest(s, "amber"), old); a.outcome != OutcomeDown || running(s) != 0 {
		t.Errorf("outcome %s with %d running", a.outcome, running(s))
	}
}

// Guards against a stop that leaves the port open, and a start on another address.
func TestStopAndStartKeepTheAddress(t *testing.T) {
	s, client := startTestFleet(t, nil).servers[0], newClient(t)
	before := s.Address()
	s.Stop()
	if got := post(context.Background(), client, s, pathSearch, searchRequest(s, "amber")); got.code != 0 {
		t.Errorf("stopped server answered %+v", got)
	}
	if err := s.Start(); err != nil || s.Address() != before {
		t.Fatalf("address %s, error %v", s.Address(), err)
	}
	if got := post(context.Background(), client, s, pathSearch, searchRequest(s, "amber")); got.Reply.State != message.TargetCold {
		t.Errorf("got %+v", got)
	}
}

// Guards against SilenceOpen that also affects new connections, and silence that ends
// before the connection is closed.
func TestSilentConnections(t *testing.T) {
	s, client := startTestFleet(t, nil).servers[0], newClient(t)
	send := func(c *http.Client) response {
		ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
		defer cancel()
		return post(ctx, c, s, pathSearch, searchRequest(s, "amber"))
	}
	send(client) // opens the connection
	_ = s.SetFaults(Faults{Silence: SilenceOpen})
	if got := send(client); got.code != 0 {
		t.Errorf("silent connection answered %+v", got)
	}
	if got := send(newClient(t)); got.code != http.StatusOK {
		t.Errorf("new connection got %+v", got)
	}
	_ = s.SetFaults(Faults{Silence: SilenceAll})
	if got := send(newClient(t)); got.code != 0 {
		t.Errorf("silent server answered %+v", got)
	}
	if c := s.CallLog().Counts(); c.Calls != 2 {
		t.Errorf("calls on silent connections were counted: %+v", c)
	}
}

// Guards against calls that continue after their client disconnected or their
// deadline passed.
func TestCancelAndDeadlineFreeTheSlot(t *testing.T) {
	s := startTestFleet(t, func(c *Config) { c.Timing.BaseMS = longServiceMS }).servers[0]
	_, cancel := startSearch(t, s)
	cancel()
	eventually(t, "cancelled", func() bool { return running(s) == 0 })
	got := post(context.Background(), newClient(t), s, pathSearch, searchRequest(s, "amber"), HeaderDeadline, unixMSAfter(50*time.Millisecond))
	if got.code != http.StatusGatewayTimeout || got.Refusal.Status != StatusDeadline || running(s) != 0 {
		t.Errorf("got %+v with %d running", got, running(s))
	}
	want := map[Outcome]int64{OutcomeCancelled: 1, OutcomeDeadline: 1}
	if diff := cmp.Diff(want, s.CallLog().Counts().Outcomes); diff != "" {
		t.Error(diff)
	}
}

// Guards against a call log that misses a repeated run or one whose reply was lost.
func TestRunsAreCounted(t *testing.T) {
	f := startTestFleet(t, nil)
	r := Request{Items: []Item{{ID: "k1", Workspace: "acme", Query: "book 7"}}}
	got := post(context.Background(), newClient(t), f.servers[0], pathRun, r)
	if hits := got.Reply.Items[0].Shards[0].Hits; hits[0].ID != Receipt("k1", "book 7") || hits[0].Text != "book 7" {
		t.Errorf("receipt %+v, want id and text of the item", hits)
	}
	_ = f.servers[1].SetFaults(Faults{LoseReplyRate: 1})
	if got := post(context.Background(), newClient(t), f.servers[1], pathRun, r); got.code != 0 {
		t.Errorf("reply that should be lost arrived: %+v", got)
	}
	if diff := cmp.Diff(map[RunKey]int{{"acme", "k1", "book 7"}: 2}, f.RunCounts()); diff != "" {
		t.Error(diff)
	}
}

// Guards against a health endpoint that reports the current state although the faults
// ask for an old or false one.
func TestHealthFaults(t *testing.T) {
	s, client := startTestFleet(t, nil).servers[0], newClient(t)
	health := func() Health {
		var h Health
		resp, err := client.Get("http://" + s.Address() + "/v1/health")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		_ = json.NewDecoder(resp.Body).Decode(&h)
		return h
	}
	_ = s.SetFaults(Faults{Draining: true, HealthLagMS: 60_000})
	if got := health(); got != (Health{message.TargetWarm, 2}) {
		t.Errorf("delayed health is %+v, want the state before the drain", got)
	}
	_ = s.SetFaults(Faults{Draining: true})
	if got := health(); got.State != message.TargetDraining {
		t.Errorf("health without delay is %+v, want draining", got)
	}
	_ = s.SetFaults(Faults{HealthState: message.TargetCold, HealthCapacity: 9})
	if got := health(); got != (Health{message.TargetCold, 9}) {
		t.Errorf("false health is %+v, want cold and 9", got)
	}
}

// Guards against connections that are accepted over the limit, and against connections
// and calls without their configured delays.
func TestConnectionLimitAndDelays(t *testing.T) {
	s := startTestFleet(t, func(c *Config) { c.ConnectMS, c.NetworkMS, c.Target.Connections = 20, 10, 2 }).servers[0]
	client, start := newClient(t), time.Now()
	post(context.Background(), client, s, pathSearch, searchRequest(s, "amber"))
	if d := time.Since(start); d < 41*time.Millisecond {
		t.Errorf("first call took %v, want 20 ms to connect, 2 x 10 ms network and 1 ms service", d)
	}
	post(context.Background(), newClient(t), s, pathSearch, searchRequest(s, "amber"))
	if got := post(context.Background(), newClient(t), s, pathSearch, searchRequest(s, "amber")); got.code != 0 {
		t.Errorf("third connection was accepted: %+v", got)
	}
}

// Guards against a service-time distribution without its tail or its costs per call
// and item. With 20,000 draws the share of slow calls has a standard error of 0.0007.
func TestTiming(t *testing.T) {
	timing := Timing{BaseMS: 3, ItemMS: 1, Sigma: 0.1, SlowShare: 0.01, SlowFactor: 20}
	r := rand.New(rand.NewPCG(1, 2))
	slow := 0
	for range 20_000 {
		if d := timing.Draw(r, 2); d > 40*time.Millisecond {
			slow++
		}
	}
	if share := float64(slow) / 20_000; share < 0.006 || share > 0.014 {
		t.Errorf("slow share %v, want 0.01", share)
	}
	if d := (Timing{BaseMS: 3, ItemMS: 1}).Draw(r, 2); d != 5*time.Millisecond {
		t.Errorf("constant draw %v, want 5ms", d)
	}
}

// Guards against control requests that apply to servers that were not selected, or
// that set invalid faults.
func TestControl(t *testing.T) {
	f := startTestFleet(t, nil)
	control := f.ControlHandler()
	do := func(method, url, body string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, url, bytes.NewBufferString(body))
		r.Header.Set("Content-Type", "application/json")
		w := httptest.NewRecorder()
		control.ServeHTTP(w, r)
		return w
	}
	if w := do("PUT", "/faults?zone=macon-yard", `{"draining":true}`); w.Code != http.StatusNoContent {
		t.Fatalf("PUT /faults: %d %s", w.Code, w.Body)
	}
	for _, s := range f.servers {
		if got := s.Faults().Draining; got != (s.config.Target.Zone == "macon-yard") {
			t.Errorf("%s in %s: draining %t", s.config.Target.ID, s.config.Target.Zone, got)
		}
	}
	if w := do("PUT", "/faults", `{"loseReplyRate":2}`); w.Code != http.StatusBadRequest {
		t.Errorf("invalid faults: %d", w.Code)
	}
	if w := do("PUT", "/faults?target=nobody", `{}`); w.Code != http.StatusNotFound {
		t.Errorf("unknown target: %d", w.Code)
	}
	if w := do("POST", "/stop?target="+string(f.servers[0].config.Target.ID), ""); w.Code != http.StatusNoContent || f.servers[0].State().State != message.TargetUnknown {
		t.Errorf("stop: %d, %+v", w.Code, f.servers[0].State())
	}
	if w := do("PUT", "/snapshots/dockdesk", `{"id":"dockdesk@9"}`); w.Code != http.StatusNoContent || f.servers[0].Snapshots()[0] != "dockdesk@9" {
		t.Errorf("PUT /snapshots: %d", w.Code)
	}
}

// Guards against a cancelled call that is not answered, so that its client cannot know
// that it has ended.
func TestCancelAnswersTheCall(t *testing.T) {
	s := startTestFleet(t, func(c *Config) { c.Timing = Timing{BaseMS: 5000} }).servers[0]
	done := make(chan response, 1)
	client := newClient(t)
	go func() {
		done <- post(context.Background(), client, s, pathSearch, searchRequest(s, "amber"), HeaderCall, "c1")
	}()
	eventually(t, "the call runs", func() bool { return running(s) == 1 })
	post(context.Background(), client, s, pathCancel, Request{}, HeaderCall, "c1")
	select {
	case got := <-done:
		if got.code != http.StatusServiceUnavailable || got.Refusal.Status != StatusCancelled {
			t.Errorf("got status %d %q, want 503 %q", got.code, got.Refusal.Status, StatusCancelled)
		}
	case <-time.After(waitLimit):
		t.Fatal("the call was not cancelled")
	}
	if n := running(s); n != 0 {
		t.Errorf("%d calls still run after the cancellation, want 0", n)
	}
}

// Guards against a cancellation that has no effect because it arrives just when the call
// has started: the call keeps its slot until its end.
func TestCancelOfStartingCall(t *testing.T) {
	const calls = 300
	s := startTestFleet(t, func(c *Config) { c.Timing = Timing{BaseMS: 5000} }).servers[0]
	client := newClient(t)
	for i := range calls {
		done := make(chan response, 1)
		id := fmt.Sprintf("c%d", i)
		go func() {
			done <- post(context.Background(), client, s, pathSearch, searchRequest(s, "amber"), HeaderCall, id)
		}()
		for end := time.Now().Add(waitLimit); running(s) == 0; runtime.Gosched() {
			if time.Now().After(end) {
				t.Fatalf("call %d of %d does not start", i, calls)
			}
		}
		if cancel, ok := s.cancels.Load(id); ok {
			cancel.(context.CancelFunc)()
		} else {
			t.Fatalf("call %d of %d runs and can't be cancelled", i, calls)
		}
		<-done
	}
}

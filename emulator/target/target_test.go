package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
	"knapweedstall/deployment"
)

const (
	waitLimit     = 5 * time.Second // limit of a wait for another goroutine
	longServiceMS = 20_000          // service time that is longer than every wait
)

// startTestFleet starts a fleet for the collection dockdesk: two services of two warm
// servers that answer in 1 ms, unless change sets another configuration.
func startTestFleet(t *testing.T, change func(*Config)) *Fleet {
	t.Helper()
	d := deployment.Peachline(deployment.WithMaxServices(2))
	f, err := StartFleet(d.Collections[:1], d.Snapshots, WithConfig(func(_ topology.Collection, c *Config) {
		c.Timing = Timing{BaseMS: 1}
		c.RestartMS = 20
		if change != nil {
			change(c)
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f
}

// response is the status and the body of an answer, which is a Reply or a Refusal.
type response struct {
	code    int // 0 when the connection was closed without an answer
	Reply   Reply
	Refusal Refusal
}

// post sends one call. headers holds names and values in turn.
func post(ctx context.Context, client *http.Client, s *Server, path string, r Request, headers ...string) response {
	body, _ := json.Marshal(r)
	hr, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address()+path, bytes.NewReader(body))
	hr.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		hr.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(hr)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	out := response{code: resp.StatusCode}
	if resp.StatusCode == http.StatusOK {
		_ = json.NewDecoder(resp.Body).Decode(&out.Reply)
	} else {
		_ = json.NewDecoder(resp.Body).Decode(&out.Refusal)
	}
	return out
}

func newClient(t *testing.T) *http.Client {
	c := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// searchRequest returns a request with one item for all shards of the server's newest
// snapshot.
func searchRequest(s *Server, query string) Request {
	item := Item{ID: "i1", Workspace: "acme", Query: query, Limit: 5}
	snapshot := topology.SnapshotID("none")
	if len(s.snapshots) > 0 {
		snapshot = s.snapshots[0].id
		for shard := range s.snapshots[0].shards {
			item.Shards = append(item.Shards, shard)
		}
	}
	return Request{Snapshot: snapshot, Items: []Item{item}}
}

// startSearch starts a search and returns once it runs at the server.
func startSearch(t *testing.T, s *Server) (done chan response, cancel context.CancelFunc) {
	t.Helper()
	before := running(s)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	done = make(chan response, 1)
	client := newClient(t)
	go func() { done <- post(ctx, client, s, pathSearch, searchRequest(s, "amber")) }()
	eventually(t, "the call runs", func() bool { return running(s) == before+1 })
	return done, cancel
}

// running returns the number of calls that run at the server.
func running(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil {
		return 0
	}
	return s.process.running
}

// eventually fails the test unless ok returns true within waitLimit.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", waitLimit, what)
		}
	}
}

// unixMSAfter formats the time d from now in Unix ms.
func unixMSAfter(d time.Duration) string { return strconv.FormatInt(time.Now().Add(d).UnixMilli(), 10) }

// Guards against refused calls that run, and refusals with a wrong status or without
// a time to retry after.
func TestRefusalsRunNothing(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  Faults
		running int // calls that run when the refused one arrives
		headers []string
		want    RefusalStatus
	}{
		{name: "shed", running: 2, want: StatusShed},
		{name: "start-by passed", headers: []string{HeaderStartBy, unixMSAfter(-50 * time.Millisecond)}, want: StatusLate},
		{name: "deadline passed", headers: []string{HeaderDeadline, unixMSAfter(-50 * time.Millisecond)}, want: StatusLate},
		{name: "draining", faults: Faults{Draining: true}, want: StatusDraining},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := startTestFleet(t, func(c *Config) { c.Timing.BaseMS = longServiceMS })
			s := f.servers[0]
			for range tc.running {
				startSearch(t, s)
			}
			if err := s.SetFaults(tc.faults); err != nil {
				t.Fatal(err)
			}
			got := post(context.Background(), newClient(t), s, pathRun, searchRequest(s, "pay"), tc.headers...)
			if got.code != http.StatusServiceUnavailable || got.Refusal.Status != tc.want || got.Refusal.RetryAfterMS <= 0 {
				t.Errorf("got %+v, want a refusal with the status of the case and a time to retry after", got)
			}
			if runs := s.CallLog().RunCounts(); len(runs) != 0 {
				t.Errorf("refused call ran: %v", runs)
			}
			if c := s.CallLog().Counts(); c.Items != int64(tc.running) || c.Outcomes[Outcome(tc.want)] != 1 {
				t.Errorf("counts %+v, want the items of the running calls and one refusal", c)
			}
		})
	}
}

// Guards against items that are answered from another snapshot or from only a part of
// their shards.
func TestAddAndRetireSnapshots(t *testing.T) {
	f := startTestFleet(t, nil)
	s, client := f.servers[0], newClient(t)
	old := searchRequest(s, "amber barrel")
	next := deployment.Partition(f.Collections()[0], 2, 2)
	f.AddSnapshot("dockdesk", next)
	if got := post(context.Background(), client, s, pathSearch, old); got.Reply.Items[0].Status != message.StatusOK {
		t.Errorf("item of the old snapshot: %+v", got)
	}
	moved := old
	moved.Snapshot = next.ID
	if got := post(context.Background(), client, s, pathSearch, moved); got.Reply.Items[0].Status != message.StatusNotRun {
		t.Errorf("item with shards that the server does not hold in the new snapshot: %+v", got)
	}
	f.RetireSnapshot("dockdesk", old.Snapshot)
	got := post(context.Background(), client, s, pathSearch, old).Reply.Items[0]
	want := ItemReply{
		ID: "i1", Workspace: "acme", Snapshot: old.Snapshot,
		Status: message.StatusSnapshotGone, Snapshots: []topology.SnapshotID{next.ID},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against servers whose answers differ from those that Corpus computes, and
// against answers that do not depend on the workspace and the snapshot.
func TestAnswersMatchCorpus(t *testing.T) {
	f := startTestFleet(t, nil)
	var hits []message.Hit
	var shards []topology.ShardID
	var snapshot topology.SnapshotID
	for _, s := range []*Server{f.servers[0], f.servers[2]} { // one of each service
		r := searchRequest(s, "amber kettle")
		snapshot = r.Snapshot
		shards = append(shards, r.Items[0].Shards...)
		got := post(context.Background(), newClient(t), s, pathSearch, r)
		for _, part := range got.Reply.Items[0].Shards {
			hits = append(hits, part.Hits...)
		}
	}
	corpus := f.servers[0].config.Corpus
	want := corpus.Answer(snapshot, shards, "acme", "amber kettle", 5)
	if len(want) != 5 {
		t.Fatalf("%d hits, want as many as the query's limit of 5", len(want))
	}
	if diff := cmp.Diff(want, bestHits(hits, 5)); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(want, corpus.Answer(snapshot, shards, "rival", "amber kettle", 5)) ||
		cmp.Equal(want, corpus.Answer("other", shards, "acme", "amber kettle", 5)) {
		t.Error("another workspace or snapshot gets the same answer")
	}
}

// Guards against a cold period that does not end, and a cold server that does not
// crash when its capacity is exceeded.
func TestColdServer(t *testing.T) {
	cold := func(c *Config) {
		c.StartWarm = false
		c.ColdPeriod = ColdPeriod{Capacity: 1, Calls: 3}
	}
	t.Run("becomes warm after calls", func(t *testing.T) {
		s, client := startTestFleet(t, cold).servers[0], newClient(t)
		var states []message.TargetState
		for range 4 {
			got := post(context.Background(), client, s, pathSearch, searchRequest(s, "amber"))
			states = append(states, got.Reply.State)
		}
		want := []message.TargetState{message.TargetCold, message.TargetCold, message.TargetWarm, message.TargetWarm}
		if diff := cmp.Diff(want, states); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("becomes warm after a time", func(t *testing.T) {
		s := startTestFleet(t, func(c *Config) { c.StartWarm, c.ColdPeriod = false, ColdPeriod{Capacity: 1, MS: 30} }).servers[0]
		if got := s.State().State; got != message.TargetCold {
			t.Errorf("state %s, want cold", got)
		}
		eventually(t, "warm", func() bool { return s.State() == Health{message.TargetWarm, 2} })
	})
	t.Run("crashes over its capacity", func(t *testing.T) {
		s := startTestFleet(t, func(c *Config) { cold(c); c.Timing.BaseMS = longServiceMS }).servers[0]
		first, _ := startSearch(t, s)
		if got := post(context.Background(), newClient(t), s, pathSearch, searchRequest(s, "amber")); got.code != 0 {
			t.Errorf("the call over the capacity got %+v", got)
		}
		if got := <-first; got.code != 0 {
			t.Errorf("the call that was running got %+v", got)
		}
		eventually(t, "restarted cold", func() bool { return s.State() == Health{message.TargetCold, 1} })
		eventually(t, "interrupted", func() bool { return s.CallLog().Counts().Outcomes[OutcomeInterrupted] == 1 })
		if c := s.CallLog().Counts(); c.OverLimitCold != 1 || c.Outcomes[OutcomeOverloadCrash] != 1 {
			t.Errorf("counts %+v", c)
		}
	})
}

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
	patience  = 5 * time.Second // bound of a wait for another goroutine
	endlessMS = 20_000          // service time that outlasts every wait
)

// testFleet starts dockdesk with two services of two warm servers that answer
// in 1 ms, unless change says otherwise.
func testFleet(t *testing.T, change func(*Config)) *Fleet {
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

type reply struct {
	code    int // 0 when the connection was dropped
	Reply   Reply
	Refusal Refusal
}

// post sends one call; headers alternate names and values.
func post(ctx context.Context, client *http.Client, s *Server, path string, r Request, headers ...string) reply {
	body, _ := json.Marshal(r)
	hr, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address()+path, bytes.NewReader(body))
	hr.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		hr.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(hr)
	if err != nil {
		return reply{}
	}
	defer func() { _ = resp.Body.Close() }()
	out := reply{code: resp.StatusCode}
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

func search(s *Server, query string) Request {
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

// hold starts a search and returns once it runs at the server.
func hold(t *testing.T, s *Server) (done chan reply, cancel context.CancelFunc) {
	t.Helper()
	before := running(s)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	done = make(chan reply, 1)
	client := newClient(t)
	go func() { done <- post(ctx, client, s, pathSearch, search(s, "amber")) }()
	eventually(t, "the call runs", func() bool { return running(s) == before+1 })
	return done, cancel
}

func running(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life == nil {
		return 0
	}
	return s.life.running
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

func unixMS(d time.Duration) string { return strconv.FormatInt(time.Now().Add(d).UnixMilli(), 10) }

// Guards against refusals that run something, carry the wrong status, or lack
// the time to retry after.
func TestRefusalsRunNothing(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  Faults
		held    int
		headers []string
		want    RefusalStatus
	}{
		{name: "shed", held: 2, want: StatusShed},
		{name: "start-by passed", headers: []string{HeaderStartBy, unixMS(-50 * time.Millisecond)}, want: StatusLate},
		{name: "deadline passed", headers: []string{HeaderDeadline, unixMS(-50 * time.Millisecond)}, want: StatusLate},
		{name: "draining", faults: Faults{Draining: true}, want: StatusDraining},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := testFleet(t, func(c *Config) { c.Timing.BaseMS = endlessMS })
			s := f.servers[0]
			for range tc.held {
				hold(t, s)
			}
			if err := s.SetFaults(tc.faults); err != nil {
				t.Fatal(err)
			}
			got := post(context.Background(), newClient(t), s, pathRun, search(s, "pay"), tc.headers...)
			if got.code != http.StatusServiceUnavailable || got.Refusal.Status != tc.want || got.Refusal.RetryAfterMS <= 0 {
				t.Errorf("got %+v", got)
			}
			if runs := s.CallLog().RunCounts(); len(runs) != 0 {
				t.Errorf("refused but ran: %v", runs)
			}
			if c := s.CallLog().Counts(); c.Items != int64(tc.held) || c.Outcomes[Outcome(tc.want)] != 1 {
				t.Errorf("counts %+v", c)
			}
		})
	}
}

// Guards against items answered from the wrong snapshot or from part of their
// shards.
func TestSnapshotsComeAndGo(t *testing.T) {
	f := testFleet(t, nil)
	s, client := f.servers[0], newClient(t)
	old := search(s, "amber barrel")
	next := deployment.Partition(f.Collections()[0], 2, 2)
	f.AddSnapshot("dockdesk", next)
	if got := post(context.Background(), client, s, pathSearch, old); got.Reply.Items[0].Status != message.StatusOK {
		t.Errorf("old snapshot: %+v", got)
	}
	moved := old
	moved.Snapshot = next.ID
	if got := post(context.Background(), client, s, pathSearch, moved); got.Reply.Items[0].Status != message.StatusNotRun {
		t.Errorf("shards that moved away: %+v", got)
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

// Guards against servers that disagree with the function that computes the
// right answer, and against answers that hardly depend on workspace or snapshot.
func TestAnswersMatchCorpus(t *testing.T) {
	f := testFleet(t, nil)
	var hits []message.Hit
	var shards []topology.ShardID
	var snapshot topology.SnapshotID
	for _, s := range []*Server{f.servers[0], f.servers[2]} { // one of each service
		r := search(s, "amber kettle")
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
		t.Fatalf("%d hits; the query must have enough for its limit", len(want))
	}
	if diff := cmp.Diff(want, best(hits, 5)); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(want, corpus.Answer(snapshot, shards, "rival", "amber kettle", 5)) ||
		cmp.Equal(want, corpus.Answer("other", shards, "acme", "amber kettle", 5)) {
		t.Error("another workspace or snapshot has the same answer")
	}
}

// Guards against a cold phase that never ends, or that survives more than it
// bears.
func TestColdServer(t *testing.T) {
	cold := func(c *Config) {
		c.StartWarm = false
		c.ColdPeriod = ColdPeriod{Capacity: 1, Calls: 3}
	}
	t.Run("warms up by calls", func(t *testing.T) {
		s, client := testFleet(t, cold).servers[0], newClient(t)
		var states []message.TargetState
		for range 4 {
			got := post(context.Background(), client, s, pathSearch, search(s, "amber"))
			states = append(states, got.Reply.State)
		}
		want := []message.TargetState{message.TargetCold, message.TargetCold, message.TargetWarm, message.TargetWarm}
		if diff := cmp.Diff(want, states); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("warms up by time", func(t *testing.T) {
		s := testFleet(t, func(c *Config) { c.StartWarm, c.ColdPeriod = false, ColdPeriod{Capacity: 1, MS: 30} }).servers[0]
		if got := s.State().State; got != message.TargetCold {
			t.Errorf("state %s", got)
		}
		eventually(t, "warm", func() bool { return s.State() == Health{message.TargetWarm, 2} })
	})
	t.Run("falls over", func(t *testing.T) {
		s := testFleet(t, func(c *Config) { cold(c); c.Timing.BaseMS = endlessMS }).servers[0]
		first, _ := hold(t, s)
		if got := post(context.Background(), newClient(t), s, pathSearch, search(s, "amber")); got.code != 0 {
			t.Errorf("the call that was too much got %+v", got)
		}
		if got := <-first; got.code != 0 {
			t.Errorf("the running call got %+v", got)
		}
		eventually(t, "restarted cold", func() bool { return s.State() == Health{message.TargetCold, 1} })
		eventually(t, "interrupted", func() bool { return s.CallLog().Counts().Outcomes[OutcomeInterrupted] == 1 })
		if c := s.CallLog().Counts(); c.OverLimitCold != 1 || c.Outcomes[OutcomeOverloadCrash] != 1 {
			t.Errorf("counts %+v", c)
		}
	})
}

package query_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/query"
	"knapweedstall/core/topology"
	"knapweedstall/core/trace"
)

// newSnapshots returns snapshots with the given ids, each with n services that have one
// shard, and a router for them.
func newSnapshots(n int, snapshots ...topology.SnapshotID) ([]topology.Snapshot, holders) {
	h := holders{pairs: make(map[topology.ServiceID][2]topology.InstanceRef)}
	shards := make(map[topology.ServiceID][]topology.ShardID)
	for i := range n {
		s := topology.ServiceID(fmt.Sprintf("s%03d", i))
		shards[s] = []topology.ShardID{topology.ShardID(fmt.Sprintf("p%03d", i))}
		h.pairs[s] = [2]topology.InstanceRef{ref(i % 15), ref((i + 7) % 15)}
	}
	var all []topology.Snapshot
	for _, id := range snapshots {
		all = append(all, topology.Snapshot{ID: id, Shards: shards})
	}
	return all, h
}

// Guards against wrong outcomes of queries that cannot start: a refusal that is not true,
// no answer at all, or a refusal without a retry-after.
func TestQueryThatCannotStart(t *testing.T) {
	snapshots, router := newSnapshots(2, "v1")
	tests := []struct {
		name      string
		snapshots []topology.Snapshot
		router    query.Router
		deadline  clock.Time
		outcome   query.Outcome
		reason    message.Reason
	}{
		{"no snapshot", nil, router, 100, query.OutcomeNotRun, ""},
		{"past deadline", snapshots, router, 1, query.OutcomeNotRun, message.ReasonDeadline},
		{"no holder", snapshots, holders{}, 100, query.OutcomeNotRun, message.ReasonNoHolder},
		{"empty map", []topology.Snapshot{{ID: "v1"}}, router, 100, query.OutcomeAnswered, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := query.New(message.RequestID{}, query.Request{Deadline: tt.deadline}, tt.snapshots, tt.router)
			cmds := q.Start(1)
			if len(cmds) != 1 || q.NextWake() != 0 || len(q.Start(2)) != 0 {
				t.Fatalf("commands %+v, want only an answer", cmds)
			}
			a := cmds[0].(query.Finish).Answer
			if a.Outcome != tt.outcome || (a.RetryAfter > 0) != (tt.outcome == query.OutcomeNotRun) {
				t.Errorf("outcome %s with retry-after %d, want %s", a.Outcome, a.RetryAfter, tt.outcome)
			}
			if tt.reason != "" && (len(a.Coverage.Missing) != 1 || a.Coverage.Missing[0].Reason != tt.reason) {
				t.Errorf("missing %+v, want reason %s", a.Coverage.Missing, tt.reason)
			}
		})
	}
}

// Guards against using a canary's reply for another workspace, and against a restart
// whose first attempts have the numbers of second attempts.
func TestCanaryStampsAndAttemptNumbers(t *testing.T) {
	snapshots, router := newSnapshots(3, "v2", "v1")
	q := query.New(message.RequestID{}, query.Request{Workspace: "t", Deadline: 100}, snapshots, router,
		query.WithKnownGood(knownGood{"v1": true}))
	canary := q.Start(1)[0].(query.RunCanary).Sub
	v := query.CanaryVerdict{ID: canary.ID, Outcome: query.CanaryReplied, Reply: message.SubReply{
		ID: canary.ID, Workspace: "other", Snapshot: "v2", Status: message.StatusOK}}
	if cmds := q.CanaryDone(2, v); len(cmds) != 0 || q.Drops().Workspace != 1 {
		t.Fatalf("verdict for another workspace gave %+v, drops %+v", cmds, q.Drops())
	}
	v.Reply.Workspace, v.Reply.Status = "t", message.StatusSnapshotGone
	cmds := q.CanaryDone(3, v)
	if len(cmds) != 3 {
		t.Fatalf("restart gave %+v, want 3 sub-requests", cmds)
	}
	for _, c := range cmds {
		if id := c.(query.SendSub).Sub.ID; id.Attempt != query.AttemptsPerRestart {
			t.Errorf("attempt %d after the restart, want %d", id.Attempt, query.AttemptsPerRestart)
		}
	}
}

// Guards against second attempts that are sent much more or much less often than for 1
// in 100 sub-requests, which would exhaust the retry budget or leave slow sub-requests
// without a second attempt.
func TestDelayTrackerFindsQuantile(t *testing.T) {
	tracker, rng, late := query.NewDelayTracker(), rand.New(rand.NewPCG(1, 2)), 0
	const n = 50000
	for i := range n {
		d := clock.Duration(5 + rng.ExpFloat64()*10)
		if limit, ok := tracker.FailoverAfter("s"); i > n/2 && ok && d > limit {
			late++
		}
		tracker.Observe("s", d)
	}
	if share := float64(late) / (n / 2); share < 0.005 || share > 0.02 {
		t.Errorf("%.4f of the replies are overdue, want about 0.01", share)
	}
}

// Guards against queries whose replay gives other commands, and against a replay that
// does not detect a difference.
func TestReplayOfQuery(t *testing.T) {
	snapshots, router := newSnapshots(20, "v2", "v1")
	registry := trace.NewRegistry()
	if err := query.Register(registry); err != nil {
		t.Fatal(err)
	}
	build := func(limit int) *query.Query {
		return query.New(message.RequestID{Entry: ref(7), Seq: 1}, query.Request{Workspace: "t", Limit: limit, Deadline: 100}, snapshots, router)
	}
	var text bytes.Buffer
	r, err := trace.NewRecorder(&text, registry, trace.Machine[query.Input, query.Command](build(10)), trace.Header{Machine: "query"})
	if err != nil {
		t.Fatal(err)
	}
	canary := r.Handle(1, query.StartInput{})[0].(query.RunCanary).Sub
	cmds := r.Handle(2, query.CanaryDoneInput{Verdict: query.CanaryVerdict{ID: canary.ID, Outcome: query.CanaryKnownGood}})
	from, replies := replyToAll(cmds)
	cmds = r.Handle(3, query.HolderLostInput{Ref: from[0]})
	from2, replies2 := replyToAll(cmds)
	replies[5].Status, replies[5].Shards = message.StatusNotRun, nil
	for i, f := range append(from, from2...) {
		r.Handle(4, query.RepliedInput{From: f, Reply: append(replies, replies2...)[i]})
	}
	r.Handle(60, query.TickInput{})
	r.Handle(95, query.TickInput{})
	if err := r.Close(); err != nil || r.Steps() < 20 {
		t.Fatalf("%d steps: %v", r.Steps(), err)
	}
	for _, limit := range []int{10, 10, 9} {
		d, err := trace.NewReader(bytes.NewReader(text.Bytes()), registry)
		if err != nil {
			t.Fatal(err)
		}
		steps, err := trace.Replay(d, trace.Machine[query.Input, query.Command](build(limit)))
		var mismatch *trace.MismatchError
		if limit == 10 && (err != nil || steps != r.Steps()) || limit == 9 && !errors.As(err, &mismatch) {
			t.Errorf("limit %d: %d steps: %v", limit, steps, err)
		}
	}
}

// replyToAll returns one reply for each sub-request with 10 hits.
func replyToAll(cmds []query.Command) (from []topology.InstanceRef, replies []message.SubReply) {
	for _, c := range cmds {
		s := c.(query.SendSub)
		r := message.SubReply{ID: s.Sub.ID, Workspace: s.Sub.Workspace, Snapshot: s.Sub.Snapshot, Status: message.StatusOK}
		for _, sh := range s.Sub.Shards {
			a := message.ShardAnswer{Shard: sh}
			for k := range 10 {
				id := fmt.Sprintf("%s-%d", sh, k)
				a.Hits = append(a.Hits, message.Hit{ID: id, Score: float64(topology.Hash64(id)%1000) - float64(k)*1000})
			}
			r.Shards = append(r.Shards, a)
		}
		from, replies = append(from, s.To), append(replies, r)
	}
	return from, replies
}

// BenchmarkQuery measures a whole query, with one reply from each service.
func BenchmarkQuery(b *testing.B) {
	for _, n := range []int{20, 200, 750} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			snapshots, router := newSnapshots(n, "v1")
			start := func() (*query.Query, []query.Command) {
				q := query.New(message.RequestID{}, query.Request{Limit: 10, Deadline: 55}, snapshots, router,
					query.WithKnownGood(knownGood{"v1": true}), query.WithDelays(query.NewDelayTracker()))
				return q, q.Start(1)
			}
			_, cmds := start()
			from, replies := replyToAll(cmds)
			b.ReportAllocs()
			for b.Loop() {
				q, _ := start()
				for i, r := range replies {
					q.NextWake()
					q.Replied(2, from[i], r)
				}
				if !q.Done() {
					b.Fatal("not finished")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/sub-answer")
		})
	}
}

// BenchmarkReplied measures only the merging of one reply with 10 hits.
func BenchmarkReplied(b *testing.B) {
	snapshots, router := newSnapshots(750, "v1")
	var q *query.Query
	var from []topology.InstanceRef
	var replies []message.SubReply
	i := 0
	for b.Loop() {
		if i == len(replies) {
			b.StopTimer()
			q = query.New(message.RequestID{}, query.Request{Limit: 10, Deadline: 55}, snapshots, router,
				query.WithKnownGood(knownGood{"v1": true}))
			from, replies = replyToAll(q.Start(1))
			i = 0
			b.StartTimer()
		}
		q.Replied(2, from[i], replies[i])
		i++
	}
}

package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"image/png"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
	"knapweedstall/emulator/target"
)

// completeAnswer is the body of an answer that covers both shards of a snapshot.
const completeAnswer = `{"snapshot":"s1","coverage":{"total":2,"answered":2},"hits":[]}`

// startStub starts a tier that answers every query with handler, and returns a plan
// for it.
func startStub(t *testing.T, handler http.HandlerFunc) Plan {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return Plan{
		Name:       "test",
		Addresses:  []string{strings.TrimPrefix(s.URL, "http://")},
		RatePerSec: 200,
		DurationMS: 500,
		Seed:       1,
		Streams:    []Stream{{Workspace: "acme", Token: "secret-token", Collection: "dockdesk", Weight: 1, Queries: []string{"amber"}}},
	}
}

// answerWith returns a handler that answers with body.
func answerWith(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }
}

// run runs the plan and fails the test on an error.
func run(t *testing.T, p Plan, opts ...Option) *Result {
	t.Helper()
	r, err := Run(context.Background(), p, opts...)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// stallingHandler answers immediately, except that requests which arrive between 300
// and 900 ms after its creation wait until 900 ms.
func stallingHandler() http.HandlerFunc {
	start := time.Now()
	return func(w http.ResponseWriter, _ *http.Request) {
		if d := time.Since(start); d > 300*time.Millisecond {
			time.Sleep(900*time.Millisecond - d)
		}
		_, _ = w.Write([]byte(completeAnswer))
	}
}

// Guards against a generator that waits for answers before it sends further requests
// (coordinated omission). The tier stalls for 600 of 1,500 ms, so 2 in 5 requests wait,
// at most 600 ms, and the 90th percentile is 450 ms. A generator that waits for answers
// would send a few requests in that time and report a low 90th percentile.
func TestStallShowsInPercentiles(t *testing.T) {
	p := startStub(t, stallingHandler())
	p.DurationMS = 1500
	r := run(t, p)
	if l := r.Total.LatencyMS; l.P90 < 350 || l.P50 > 200 || l.Max < 500 {
		t.Errorf("latency %+v, want the stall in the 90th percentile and the maximum", l)
	}
	if r.LagMS.P90 > 100 {
		t.Errorf("the generator waited for answers: lag %+v", r.LagMS)
	}
	if r.Total.Offered < 240 || r.Total.Answered != r.Total.Offered {
		t.Errorf("offered %d, answered %d, want about 300", r.Total.Offered, r.Total.Answered)
	}
	if r.Total.Good == r.Total.Answered || r.Total.Good == 0 {
		t.Errorf("%d of %d answers are good, want some but not all, since some exceed the deadline", r.Total.Good, r.Total.Answered)
	}
}

// Guards against requests over Plan.MaxOutstanding that are missing from the
// percentiles or count as fast.
func TestRequestsOverMaxOutstandingCountAsSlow(t *testing.T) {
	p := startStub(t, stallingHandler())
	p.DurationMS, p.MaxOutstanding, p.TimeoutMS = 1500, 4, 700
	r := run(t, p)
	failed := r.Total.Failures[FailureTooManyOutstanding]
	if failed < r.Total.Offered/4 || r.Total.LatencyMS.P90 < 700 || r.Total.LatencyMS.Count != r.Total.Offered {
		t.Errorf("%d of %d requests over the limit, latency %+v", failed, r.Total.Offered, r.Total.LatencyMS)
	}
}

// Guards against latency that is measured from the actual send when the generator is
// late.
func TestLatencyCountsFromIntendedArrival(t *testing.T) {
	const late = 300 * time.Millisecond
	p := startStub(t, answerWith(completeAnswer)).withDefaults()
	r := &runner{plan: p, client: newClient(p), check: func(Query, Answer) error { return nil }}
	r.generate(context.Background(), time.Now().Add(-late))
	seen := 0
	for _, s := range r.samples {
		if s.at < late {
			seen++
			if s.latency < late-s.at || s.lag < late-s.at {
				t.Errorf("request %v late at the start: latency %v, lag %v, want at least that", late-s.at, s.latency, s.lag)
			}
		}
	}
	if seen < 30 {
		t.Errorf("%d late arrivals, want about 60", seen)
	}
}

// Guards against arrivals that are not Poisson, streams whose shares differ from their
// weights, and equal plans with different schedules. 20,000 draws give standard errors
// under 0.02.
func TestSchedule(t *testing.T) {
	p := startStub(t, answerWith(completeAnswer)).withDefaults()
	p.RatePerSec, p.DurationMS = 1000, 20*clock.Second
	p.Streams = append(p.Streams, Stream{Collection: "ledgerline", Weight: 3, Queries: []string{"a", "b"}})
	a, b := newSchedule(p), newSchedule(p)
	var gaps, squares float64
	var last time.Duration
	n, second := 0, 0
	for {
		x, ok := a.next()
		y, _ := b.next()
		if !ok {
			break
		}
		if x != y {
			t.Fatalf("equal plans have different arrivals: %+v, %+v", x, y)
		}
		gap := (x.at - last).Seconds()
		gaps, squares, last = gaps+gap, squares+gap*gap, x.at
		n++
		second += x.query.Stream
	}
	mean := gaps / float64(n)
	if cv := math.Sqrt(squares/float64(n)-mean*mean) / mean; math.Abs(cv-1) > 0.06 || math.Abs(mean*1000-1) > 0.04 {
		t.Errorf("gaps have mean %v ms and coefficient of variation %v, want 1 and 1", mean*1000, cv)
	}
	if share := float64(second) / float64(n); math.Abs(share-0.75) > 0.02 {
		t.Errorf("second stream has share %v, want 0.75", share)
	}
}

// Guards against refusals that lower the latency of answers, and refusals without a
// time to retry after that are not counted.
func TestRefusalsAreKeptApart(t *testing.T) {
	var calls atomic.Int64
	p := startStub(t, func(w http.ResponseWriter, _ *http.Request) {
		if n := calls.Add(1); n%2 == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprintf(w, `{"code":"overload","outcome":"notRun","retryAfterMs":%d}`, 40*(n%4/2))
			return
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = w.Write([]byte(completeAnswer))
	})
	s := run(t, p).Total
	if s.Refused == 0 || s.Refusals["overload"] != s.Refused || s.WithoutRetryAfter == 0 || s.WithoutRetryAfter == s.Refused {
		t.Errorf("refusals %+v", s)
	}
	if s.RetryAfterMS.Max != 40 || s.RefusalMS.Count != s.Refused || s.LatencyMS.P50 < 20 {
		t.Errorf("latency %+v, refusals %+v, retry after %+v", s.LatencyMS, s.RefusalMS, s.RetryAfterMS)
	}
}

// Guards against responses that count as answers or refusals although they are not.
func TestParseReply(t *testing.T) {
	for _, tc := range []struct {
		status int
		body   string
		want   Failure // "" for an answer or refusal
	}{
		{200, completeAnswer, ""},
		{200, `{}`, FailureBody},
		{200, `{"coverage":{"total":1,"answered":2}}`, FailureBody},
		{200, `<html>`, FailureBody},
		{429, `{"code":"quota","outcome":"notRun","retryAfterMs":5}`, ""},
		{503, `{"code":"overload","outcome":"unknown"}`, FailureStatus},
		{500, `oops`, FailureStatus},
		{307, ``, FailureStatus},
	} {
		got := parseReply(tc.status, []byte(tc.body))
		if got.failure != tc.want || (got.answer != nil) != (tc.want == "" && tc.status == 200) {
			t.Errorf("%d %s: %+v", tc.status, tc.body, got)
		}
	}
}

// Guards against goodput that includes partial or wrong answers.
func TestPartialAndWrongAnswersAreNotGood(t *testing.T) {
	partial := `{"snapshot":"s1","coverage":{"total":4,"answered":3,"missing":[{"shards":["a"],"reason":"shed"}]}}`
	p := startStub(t, answerWith(partial))
	s := run(t, p).Total
	if s.Good != 0 || s.Answered == 0 || s.Complete != 0 || s.MeanCoverage != 0.75 || s.MissingShards[message.ReasonShed] != s.Answered {
		t.Errorf("partial: %+v", s)
	}
	p = startStub(t, answerWith(completeAnswer))
	wrong := WithCheck(func(Query, Answer) error { return &WrongAnswerError{WrongHits} })
	if s := run(t, p, wrong).Total; s.Good != 0 || s.Wrong != s.Answered || s.Answered == 0 {
		t.Errorf("wrong: %+v", s)
	}
}

// Guards against a check that accepts a false coverage, hits of shards that are not
// covered, or hits of another workspace.
func TestCheck(t *testing.T) {
	var corpus target.Corpus
	all := []topology.ShardID{"a", "b"}
	check := NewCheck(func(_ topology.CollectionID, s topology.SnapshotID) []topology.ShardID {
		if s != "s1" {
			return nil
		}
		return all
	}, func(q Query, s topology.SnapshotID, shards []topology.ShardID) []message.Hit {
		return corpus.Answer(s, shards, q.Workspace, q.Text, q.Limit)
	})
	q := Query{Workspace: "acme", Text: "amber", Limit: 3}
	hits := corpus.Answer("s1", all, "acme", "amber", 3)
	part := corpus.Answer("s1", all[:1], "acme", "amber", 3)
	missing := func(s ...topology.ShardID) []Missing { return []Missing{{s, message.ReasonShed}} }
	for _, tc := range []struct {
		name string
		a    Answer
		want WrongAnswerKind
	}{
		{"complete", Answer{"s1", Coverage{2, 2, nil}, hits}, ""},
		{"partial", Answer{"s1", Coverage{2, 1, missing("b")}, part}, ""},
		{"snapshot", Answer{"s2", Coverage{2, 2, nil}, hits}, WrongSnapshot},
		{"total", Answer{"s1", Coverage{1, 1, nil}, hits}, WrongTotal},
		{"missing shard without a name", Answer{"s1", Coverage{2, 1, nil}, part}, WrongMissing},
		{"shard named twice", Answer{"s1", Coverage{2, 0, missing("b", "b")}, part}, WrongMissing},
		{"no reason", Answer{"s1", Coverage{2, 1, []Missing{{Shards: all[1:]}}}, part}, WrongMissing},
		{"hits of a missing shard", Answer{"s1", Coverage{2, 1, missing("b")}, hits}, WrongHits},
		{"lost hits", Answer{"s1", Coverage{2, 2, nil}, part}, WrongHits},
		{"other workspace", Answer{"s1", Coverage{2, 2, nil}, corpus.Answer("s1", all, "rival", "amber", 3)}, WrongHits},
	} {
		var got WrongAnswerKind
		var wrong *WrongAnswerError
		if errors.As(check(q, tc.a), &wrong) {
			got = wrong.Kind
		}
		if got != tc.want {
			t.Errorf("%s: got %q, want %q", tc.name, got, tc.want)
		}
	}
}

// Guards against requests to addresses outside loopback.
func TestOnlyLoopback(t *testing.T) {
	for _, address := range []string{"10.0.0.1:80", "localhost:80", "example.com:80", "127.0.0.1", "0.0.0.0:80", "127.0.0.1:0", "[::2]:80"} {
		p := startStub(t, answerWith(completeAnswer))
		p.Addresses = append(p.Addresses, address)
		var refused *AddressError
		if _, err := Run(context.Background(), p); !errors.As(err, &refused) || refused.Address != address {
			t.Errorf("%s: %v", address, err)
		}
	}
	p := startStub(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://192.0.2.1/v1/query", http.StatusTemporaryRedirect)
	})
	if s := run(t, p).Total; s.Failures[FailureStatus] != s.Offered || s.Offered == 0 {
		t.Errorf("redirected requests: %+v, want FailureStatus for all", s)
	}
}

// Guards against a stopped run whose rates are computed with the plan's duration.
func TestStoppedRun(t *testing.T) {
	p := startStub(t, answerWith(completeAnswer))
	p.DurationMS = clock.Minute
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	r, err := Run(ctx, p)
	if err != nil || r.ElapsedMS < 290 || r.ElapsedMS > 5000 || r.Total.GoodPerSec < 10 {
		t.Errorf("elapsed %v ms, %v good/s, error %v", r.ElapsedMS, r.Total.GoodPerSec, err)
	}
}

// Guards against ratios of the baseline to the result, and a ratio to a baseline
// of 0.
func TestCompare(t *testing.T) {
	baseline, ours := &Result{ElapsedMS: 1000}, &Result{ElapsedMS: 2000}
	baseline.Total = Summary{Offered: 100, LatencyMS: Quantiles{Count: 1, P99: 80}}
	ours.Total = Summary{Offered: 300, Refused: 2, LatencyMS: Quantiles{Count: 1, P99: 20}}
	var b bytes.Buffer
	if err := Compare("hedging", baseline, ours).WriteTable(&b); err != nil {
		t.Fatal(err)
	}
	rows := map[string]string{}
	for _, line := range strings.Split(b.String(), "\n") {
		name, rest, _ := strings.Cut(line, "  ")
		rows[name] = strings.Join(strings.Fields(rest), " ")
	}
	want := map[string]string{"hedging": "unit baseline ours ratio", "offered": "1/s 100 150 1.5", "latency p99": "ms 80 20 0.25", "refused": "1/s 0 1 -", "refusal p99": "ms - - -"}
	for name, cells := range want {
		if rows[name] != cells {
			t.Errorf("%s: got %q, want %q", name, rows[name], cells)
		}
	}
}

// Guards against reports that contain tokens, omit requests of a stream or bucket, or
// are not valid images.
func TestReports(t *testing.T) {
	p := startStub(t, answerWith(completeAnswer))
	p.WarmupMS, p.DurationMS = 100, 550 // 5 buckets, the last of 150 ms
	r := run(t, p)
	inStreams, inSeries := 0, 0
	for _, g := range r.Streams {
		inStreams += g.Summary.Offered
	}
	for _, b := range r.Series {
		inSeries += b.Summary.Offered
	}
	if inStreams != r.Total.Offered || inSeries != r.Total.Offered || len(r.Series) != 5 {
		t.Errorf("offered %d, in streams %d, in %d buckets %d", r.Total.Offered, inStreams, len(r.Series), inSeries)
	}
	if last := r.Series[len(r.Series)-1]; last.FromMS+last.WidthMS != 550 {
		t.Errorf("series ends at %v ms, want 550", last.FromMS+last.WidthMS)
	}
	out, err := json.Marshal(r)
	if err != nil || bytes.Contains(out, []byte("secret-token")) {
		t.Errorf("error %v in %s", err, out)
	}
	var back Result
	if err := json.Unmarshal(out, &back); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(*r, back); diff != "" {
		t.Error(diff)
	}
	for name, write := range map[string]func(*bytes.Buffer, *Result) error{
		"CDF":    func(b *bytes.Buffer, r *Result) error { return WriteCDF(b, "t", r, r) },
		"series": func(b *bytes.Buffer, r *Result) error { return WriteSeries(b, "t", r) },
	} {
		var b bytes.Buffer
		if err := write(&b, r); err != nil {
			t.Fatal(err)
		}
		if _, err := png.Decode(&b); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		var none *NoSamplesError
		if err := write(&b, &Result{}); !errors.As(err, &none) {
			t.Errorf("%s without samples: got error %v, want *NoSamplesError", name, err)
		}
	}
	if err := r.Save(t.TempDir()); err != nil {
		t.Error(err)
	}
}

// Package demo runs a whole deployment in one process and watches whether the
// promises of docs/design.md section 1.1 hold while an availability zone leaves
// and returns.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
	"knapweedstall/deployment"
	"knapweedstall/emulator/target"
	"knapweedstall/io/caller"
	"knapweedstall/tier"
)

const (
	queryPeriod  = 25 * time.Millisecond
	showEvery    = 20 // queries for each printed line
	phase        = 1500 * time.Millisecond
	settleLimit  = 5 * time.Second // an accepted configuration is in force everywhere by then
	zoneOutLimit = 3 * time.Second // a zone taken out gets no new work after that
)

// Report is the outcome of a demo.
type Report struct {
	Queries    int            `json:"queries"`
	Complete   int            `json:"complete"`
	WorstMS    clock.Duration `json:"worstMs"`
	Violations []string       `json:"broken"` // promises seen broken
}

// Verdict returns one line for people.
func (r Report) Summary() string {
	if len(r.Violations) == 0 {
		return fmt.Sprintf("%d queries, %d complete, slowest %d ms; no promise was seen broken", r.Queries, r.Complete, r.WorstMS)
	}
	return fmt.Sprintf("%d queries; promises seen broken: %v", r.Queries, r.Violations)
}

// run is one demo in progress.
type run struct {
	ctx     context.Context
	out     io.Writer
	tier    *tier.Tier
	report  Report
	corpus  target.Corpus
	started time.Time
}

// Run starts the deployment with the given number of instances, and reports
// progress to out.
func Run(ctx context.Context, d deployment.Deployment, instances int, out io.Writer) (Report, error) {
	t, err := tier.Start(d, tier.WithInstances(instances))
	if err != nil {
		return Report{}, err
	}
	defer t.Close()
	r := &run{ctx: ctx, out: out, tier: t, started: time.Now()}
	r.say("%s: %d instances, %d targets", d.Name, instances, d.Targets())
	steps := []func() error{r.queries, r.zoneOut, r.zoneIn, r.runOnce, r.stopInstance}
	for _, step := range steps {
		if err := step(); err != nil {
			return r.report, err
		}
	}
	counts := t.Targets.Counts()
	r.expect(counts.OverLimit == 0, fmt.Sprintf("no target gets more than it bears (%d calls over)", counts.OverLimit))
	r.expect(counts.MixedWorkspaces == 0, "workspaces are kept apart")
	return r.report, nil
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.out, "%6.2fs  ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *run) expect(holds bool, promise string) {
	if !holds {
		r.report.Violations = append(r.report.Violations, promise)
		r.say("BROKEN: %s", promise)
	}
}

// queries searches for one phase.
func (r *run) queries() error { return r.queriesFor(phase) }

func (r *run) queriesFor(d time.Duration) error {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		if r.ctx.Err() != nil {
			return errors.WithStack(r.ctx.Err())
		}
		if err := r.query(r.report.Queries); err != nil {
			return err
		}
		time.Sleep(queryPeriod)
	}
	return nil
}

func (r *run) query(n int) error {
	d := r.tier.Deployment
	addresses := r.tier.Addresses()
	workspace := d.Workspaces[n%len(d.Workspaces)]
	collection := d.Collections[0].ID
	request := caller.SearchRequest{Collection: collection, Query: target.Words()[n%8], Limit: 5, DeadlineMS: 1000}
	var a caller.SearchAnswer
	status, err := post(r.ctx, addresses[n%len(addresses)], "/v1/query", tier.Token(workspace), "", request, &a)
	if err != nil {
		return err
	}
	r.report.Queries++
	r.expect(status == http.StatusOK, fmt.Sprintf("queries are answered (status %d)", status))
	r.check(a, collection, workspace, request)
	if n%showEvery == 0 {
		r.say("query: %d of %d shards, snapshot %s, ticket %d, %d ms", a.Coverage.Answered, a.Coverage.Total, a.Snapshot, a.Config, a.LatencyMS)
	}
	return nil
}

// check compares an answer with one computed from the documents directly.
func (r *run) check(a caller.SearchAnswer, id topology.CollectionID, workspace topology.WorkspaceID, q caller.SearchRequest) {
	r.report.WorstMS = max(r.report.WorstMS, a.LatencyMS)
	missing := 0
	for _, m := range a.Coverage.Missing {
		missing += len(m.Shards)
	}
	r.expect(a.Coverage.Answered+missing == a.Coverage.Total, "an answer states its coverage truthfully")
	if a.Coverage.Answered < a.Coverage.Total {
		r.say("incomplete: %v", a.Coverage.Missing)
		return
	}
	r.report.Complete++
	snapshot := r.tier.Deployment.Snapshots[id][0]
	var shards []topology.ShardID
	for _, service := range snapshot.Services() {
		shards = append(shards, snapshot.Shards[service]...)
	}
	want := r.corpus.Answer(a.Snapshot, shards, workspace, q.Query, q.Limit)
	same := len(want) == len(a.Hits)
	for i := range want {
		same = same && want[i].ID == a.Hits[i].ID
	}
	r.expect(same, "a complete answer holds the right hits")
}

// zoneOut takes the first zone out and watches that its targets get no new work.
func (r *run) zoneOut() error {
	zone := r.tier.Deployment.Zones[0]
	number, err := r.fileZone(zone, "out")
	if err != nil {
		return err
	}
	r.say("ticket %d takes %s out", number, zone)
	accepted := time.Now()
	r.expect(r.tier.InForce(number, settleLimit) == nil, "an accepted ticket is in force everywhere within seconds")
	r.say("in force everywhere after %d ms", time.Since(accepted).Milliseconds())
	if err := r.queriesFor(time.Until(accepted.Add(zoneOutLimit))); err != nil {
		return err
	}
	limit := time.Now()
	if err := r.queries(); err != nil {
		return err
	}
	calls, err := r.tier.Targets.CallsSince(target.Selector{Zone: zone}, limit)
	if err != nil {
		return err
	}
	r.expect(calls == 0, "a zone taken out gets no new work after 3 s")
	return nil
}

func (r *run) zoneIn() error {
	zone := r.tier.Deployment.Zones[0]
	number, err := r.fileZone(zone, "in")
	if err != nil {
		return err
	}
	r.say("ticket %d brings %s back", number, zone)
	before := time.Now()
	r.expect(r.tier.InForce(number, settleLimit) == nil, "an accepted ticket is in force everywhere within seconds")
	if err := r.queriesFor(zoneOutLimit); err != nil {
		return err
	}
	calls, err := r.tier.Targets.CallsSince(target.Selector{Zone: zone}, before)
	if err != nil {
		return err
	}
	r.say("%s got %d calls since", zone, calls)
	r.expect(calls > 0, "a zone that is back gets work again")
	return nil
}

func (r *run) fileZone(zone topology.ZoneID, state string) (uint64, error) {
	accepted, err := r.tier.FileChanges(r.tier.Deployment.ZoneChange(zone, state))
	return accepted.Number, err
}

// runOnce sends one request that may not be repeated through two instances.
func (r *run) runOnce() error {
	d := r.tier.Deployment
	const payload = "demo intake 4711"
	for i, address := range r.tier.Addresses()[:2] {
		var a caller.RunAnswer
		request := caller.RunRequest{Collection: d.Collections[0].ID, Payload: payload, DeadlineMS: 1000}
		status, err := post(r.ctx, address, "/v1/run", tier.Token(d.Workspaces[0]), "demo-4711", request, &a)
		if err != nil {
			return err
		}
		r.say("run, attempt %d: status %d, %s, recorded %v", i+1, status, a.Outcome, a.Recorded)
		r.expect(status == http.StatusOK && a.Outcome == caller.OutcomeAnswered, "a run request is answered")
	}
	runs := 0
	for key, n := range r.tier.Targets.RunCounts() {
		if key.Payload == payload {
			runs += n
		}
	}
	r.expect(runs == 1, fmt.Sprintf("a request that may not be repeated runs at most once (%d runs)", runs))
	return nil
}

// stopInstance stops an instance gracefully while queries go on.
func (r *run) stopInstance() error {
	members := r.tier.Members()
	last := members[len(members)-1]
	r.say("stopping instance %s", last.ID)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.tier.Stop(last)
	}()
	for {
		select {
		case <-done:
			r.say("stopped")
			return r.queries()
		default:
			if err := r.queriesFor(queryPeriod); err != nil {
				return err
			}
		}
	}
}

func post(ctx context.Context, address, path, token, key string, in, out any) (int, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, errors.WithStack(err)
	}
	return resp.StatusCode, errors.WithStack(json.NewDecoder(resp.Body).Decode(out))
}

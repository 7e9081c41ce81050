// Package demo runs a whole deployment in one process and checks whether the
// guarantees of docs/design.md section 1.1 hold while an availability zone is taken
// out and brought back and an instance stops.
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
	queryPeriod   = 25 * time.Millisecond
	printEvery    = 20 // a line is printed for every 20th query
	phaseDuration = 1500 * time.Millisecond
	inForceLimit  = 5 * time.Second // an accepted ticket is in force in all instances within this time
	zoneOutLimit  = 3 * time.Second // a zone that was taken out receives no new calls after this time
)

// Report is the outcome of a demo.
type Report struct {
	Queries    int            `json:"queries"`
	Complete   int            `json:"complete"`
	WorstMS    clock.Duration `json:"worstMs"`
	Violations []string       `json:"broken"` // guarantees that did not hold
}

// Summary returns the report as one line of text.
func (r Report) Summary() string {
	if len(r.Violations) == 0 {
		return fmt.Sprintf("%d queries, %d complete, slowest %d ms; no guarantee was violated", r.Queries, r.Complete, r.WorstMS)
	}
	return fmt.Sprintf("%d queries; violated guarantees: %v", r.Queries, r.Violations)
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

// Run starts the deployment with the given number of instances, performs the steps of
// the demo and writes their progress to out.
func Run(ctx context.Context, d deployment.Deployment, instances int, out io.Writer) (Report, error) {
	t, err := tier.Start(d, tier.WithInstances(instances))
	if err != nil {
		return Report{}, err
	}
	defer t.Close()
	r := &run{ctx: ctx, out: out, tier: t, started: time.Now()}
	r.printf("%s: %d instances, %d targets", d.Name, instances, d.TargetCount())
	steps := []func() error{r.queryPhase, r.takeZoneOut, r.bringZoneBack, r.checkRunsOnce, r.stopInstance}
	for _, step := range steps {
		if err := step(); err != nil {
			return r.report, err
		}
	}
	counts := t.Targets.Counts()
	r.checkGuarantee(counts.OverLimit == 0, fmt.Sprintf("no target receives more concurrent calls than its capacity (%d calls over it)", counts.OverLimit))
	r.checkGuarantee(counts.MixedWorkspaces == 0, "no call to a target mixes workspaces")
	return r.report, nil
}

// printf writes a line of progress with the time since the start.
func (r *run) printf(format string, args ...any) {
	fmt.Fprintf(r.out, "%6.2fs  ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// checkGuarantee records and prints a violation unless the guarantee holds.
func (r *run) checkGuarantee(holds bool, guarantee string) {
	if !holds {
		r.report.Violations = append(r.report.Violations, guarantee)
		r.printf("VIOLATED: %s", guarantee)
	}
}

// queryPhase sends queries for phaseDuration.
func (r *run) queryPhase() error { return r.queriesFor(phaseDuration) }

// queriesFor sends queries for d, one every queryPeriod.
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

// query sends query number n to one of the instances and checks its answer.
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
	r.checkGuarantee(status == http.StatusOK, fmt.Sprintf("queries are answered (status %d)", status))
	r.checkAnswer(a, collection, workspace, request)
	if n%printEvery == 0 {
		r.printf("query: %d of %d shards, snapshot %s, ticket %d, %d ms", a.Coverage.Answered, a.Coverage.Total, a.Snapshot, a.Config, a.LatencyMS)
	}
	return nil
}

// checkAnswer compares an answer with one computed directly from the documents.
func (r *run) checkAnswer(a caller.SearchAnswer, id topology.CollectionID, workspace topology.WorkspaceID, q caller.SearchRequest) {
	r.report.WorstMS = max(r.report.WorstMS, a.LatencyMS)
	missing := 0
	for _, m := range a.Coverage.Missing {
		missing += len(m.Shards)
	}
	r.checkGuarantee(a.Coverage.Answered+missing == a.Coverage.Total, "an answer states its coverage correctly")
	if a.Coverage.Answered < a.Coverage.Total {
		r.printf("incomplete: %v", a.Coverage.Missing)
		return
	}
	r.report.Complete++
	snapshot := r.tier.Deployment.Snapshots[id][0]
	var shards []topology.ShardID
	for _, service := range snapshot.Services() {
		shards = append(shards, snapshot.Shards[service]...)
	}
	want := r.corpus.Answer(a.Snapshot, shards, workspace, q.Query, q.Limit)
	equal := len(want) == len(a.Hits)
	for i := range want {
		equal = equal && want[i].ID == a.Hits[i].ID
	}
	r.checkGuarantee(equal, "a complete answer contains the correct hits")
}

// takeZoneOut takes the first zone out and checks that its targets receive no new
// calls after zoneOutLimit.
func (r *run) takeZoneOut() error {
	zone := r.tier.Deployment.Zones[0]
	number, err := r.fileZone(zone, "out")
	if err != nil {
		return err
	}
	r.printf("ticket %d takes %s out", number, zone)
	accepted := time.Now()
	r.checkGuarantee(r.tier.WaitForTicket(number, inForceLimit) == nil, "an accepted ticket is in force in all instances within 5 s")
	r.printf("in force in all instances after %d ms", time.Since(accepted).Milliseconds())
	if err := r.queriesFor(time.Until(accepted.Add(zoneOutLimit))); err != nil {
		return err
	}
	after := time.Now()
	if err := r.queryPhase(); err != nil {
		return err
	}
	calls, err := r.tier.Targets.CallsSince(target.Selector{Zone: zone}, after)
	if err != nil {
		return err
	}
	r.checkGuarantee(calls == 0, "a zone that was taken out receives no new calls after 3 s")
	return nil
}

// bringZoneBack brings the first zone back and checks that its targets receive calls.
func (r *run) bringZoneBack() error {
	zone := r.tier.Deployment.Zones[0]
	number, err := r.fileZone(zone, "in")
	if err != nil {
		return err
	}
	r.printf("ticket %d brings %s back", number, zone)
	accepted := time.Now()
	r.checkGuarantee(r.tier.WaitForTicket(number, inForceLimit) == nil, "an accepted ticket is in force in all instances within 5 s")
	if err := r.queriesFor(zoneOutLimit); err != nil {
		return err
	}
	calls, err := r.tier.Targets.CallsSince(target.Selector{Zone: zone}, accepted)
	if err != nil {
		return err
	}
	r.printf("%s has received %d calls since", zone, calls)
	r.checkGuarantee(calls > 0, "a zone that was brought back receives calls again")
	return nil
}

// fileZone files a ticket that sets the state of a zone, and returns its number.
func (r *run) fileZone(zone topology.ZoneID, state string) (uint64, error) {
	accepted, err := r.tier.FileChanges(r.tier.Deployment.ZoneChange(zone, state))
	return accepted.Number, err
}

// checkRunsOnce sends one request with the same idempotency key through two instances
// and checks that it runs at most once.
func (r *run) checkRunsOnce() error {
	d := r.tier.Deployment
	const payload = "demo intake 4711"
	for i, address := range r.tier.Addresses()[:2] {
		var a caller.RunAnswer
		request := caller.RunRequest{Collection: d.Collections[0].ID, Payload: payload, DeadlineMS: 1000}
		status, err := post(r.ctx, address, "/v1/run", tier.Token(d.Workspaces[0]), "demo-4711", request, &a)
		if err != nil {
			return err
		}
		r.printf("run, attempt %d: status %d, %s, recorded %v", i+1, status, a.Outcome, a.Recorded)
		r.checkGuarantee(status == http.StatusOK && a.Outcome == caller.OutcomeAnswered, "a run request is answered")
	}
	runs := 0
	for key, n := range r.tier.Targets.RunCounts() {
		if key.Payload == payload {
			runs += n
		}
	}
	r.checkGuarantee(runs == 1, fmt.Sprintf("a request with an idempotency key runs at most once (%d runs)", runs))
	return nil
}

// stopInstance stops an instance gracefully while queries continue.
func (r *run) stopInstance() error {
	members := r.tier.Members()
	last := members[len(members)-1]
	r.printf("stopping instance %s", last.ID)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.tier.Stop(last)
	}()
	for {
		select {
		case <-done:
			r.printf("stopped")
			return r.queryPhase()
		default:
			if err := r.queriesFor(queryPeriod); err != nil {
				return err
			}
		}
	}
}

// post sends in as JSON to an instance and decodes an answer with status 200 into out.
// It returns the status.
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

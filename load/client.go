package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Answer is the body of an answered query.
type Answer struct {
	Snapshot topology.SnapshotID `json:"snapshot"`
	Coverage Coverage            `json:"coverage"`
	Hits     []message.Hit       `json:"hits"`
}

// Coverage states how many shards an answer covers.
type Coverage struct {
	Total    int       `json:"total"`
	Answered int       `json:"answered"`
	Missing  []Missing `json:"missing"`
}

// plausible reports whether the coverage can be true of any snapshot. An empty
// body must not count as a complete answer.
func (c Coverage) plausible() bool {
	return c.Total > 0 && c.Answered >= 0 && c.Answered <= c.Total
}

// Missing names shards that an answer does not cover.
type Missing struct {
	Shards []topology.ShardID `json:"shards"`
	Reason message.Reason     `json:"reason"`
}

// Failure says why a request got neither an answer nor a valid refusal.
type Failure string

// Failures. Other HTTP statuses than those of an answer or a refusal are
// FailureStatus.
const (
	FailureTooManyOutstanding Failure = "outstanding" // not sent, too many in flight
	FailureTimeout            Failure = "timeout"     // no answer before Plan.GiveUpMS
	FailureTransport          Failure = "transport"   // the connection failed
	FailureStatus             Failure = "status"      // an HTTP status without a promise that nothing ran
	FailureBody               Failure = "body"        // a body that does not follow the protocol
	FailureStopped            Failure = "stopped"     // the run was stopped while the request was in flight
)

// refusal is the body of an error of the tier.
type refusal struct {
	Code         string         `json:"code"`
	Outcome      string         `json:"outcome"`
	RetryAfterMS clock.Duration `json:"retryAfterMs"`
}

// reply is the outcome of one request: exactly one field is set.
type reply struct {
	answer  *Answer
	refusal *refusal
	failure Failure
}

// client sends queries. It never follows a redirect and uses no proxy, so it
// only reaches the addresses of the plan.
type client struct {
	http   *http.Client
	tokens []string // by stream
}

func newClient(p Plan) *client {
	c := &client{http: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: p.MaxOutstanding},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	for _, s := range p.Streams {
		c.tokens = append(c.tokens, s.Token)
	}
	return c
}

func (c *client) close() { c.http.CloseIdleConnections() }

// send sends q and waits for the outcome until giveUp.
func (c *client) send(run context.Context, q Query, giveUp time.Time) reply {
	ctx, cancel := context.WithDeadline(run, giveUp)
	defer cancel()
	req, err := c.request(ctx, q)
	if err != nil {
		return reply{failure: FailureTransport}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{failure: failureOf(run, ctx)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{failure: failureOf(run, ctx)}
	}
	return parse(resp.StatusCode, body)
}

func (c *client) request(ctx context.Context, q Query) (*http.Request, error) {
	body, err := json.Marshal(struct {
		Collection topology.CollectionID `json:"collection"`
		Query      string                `json:"query"`
		Limit      int                   `json:"limit"`
		DeadlineMS clock.Duration        `json:"deadlineMs"`
	}{q.Collection, q.Text, q.Limit, q.DeadlineMS})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.Address+"/v1/query", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.tokens[q.Stream])
	return req, nil
}

func failureOf(run, request context.Context) Failure {
	switch {
	case run.Err() != nil:
		return FailureStopped
	case request.Err() != nil:
		return FailureTimeout
	}
	return FailureTransport
}

func parse(status int, body []byte) reply {
	if status == http.StatusOK {
		var a Answer
		if json.Unmarshal(body, &a) != nil || !a.Coverage.plausible() {
			return reply{failure: FailureBody}
		}
		return reply{answer: &a}
	}
	var r refusal
	if json.Unmarshal(body, &r) != nil || r.Code == "" || r.Outcome != "notRun" {
		return reply{failure: FailureStatus}
	}
	return reply{refusal: &r}
}

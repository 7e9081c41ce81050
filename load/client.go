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

// Coverage states how many of the snapshot's shards an answer covers.
type Coverage struct {
	Total    int       `json:"total"`
	Answered int       `json:"answered"`
	Missing  []Missing `json:"missing"`
}

// isConsistent reports whether the numbers are possible for any snapshot. It keeps an
// empty body, with 0 of 0 shards answered, from counting as a complete answer.
func (c Coverage) isConsistent() bool {
	return c.Total > 0 && c.Answered >= 0 && c.Answered <= c.Total
}

// Missing names shards that an answer does not cover, with the reason.
type Missing struct {
	Shards []topology.ShardID `json:"shards"`
	Reason message.Reason     `json:"reason"`
}

// Failure is the reason why a request got neither an answer nor a valid refusal.
type Failure string

// Values of Failure.
const (
	FailureTooManyOutstanding Failure = "outstanding" // not sent, because Plan.MaxOutstanding requests were in flight
	FailureTimeout            Failure = "timeout"     // no answer within Plan.TimeoutMS
	FailureTransport          Failure = "transport"   // the connection failed
	FailureStatus             Failure = "status"      // another HTTP status than 200, without a body which guarantees that the request did not run
	FailureBody               Failure = "body"        // status 200 with a body that is not an answer
	FailureStopped            Failure = "stopped"     // the run was stopped while the request was in flight
)

// refusal is the body of an error response of the tier.
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

// client sends queries. It follows no redirects and uses no proxy, so that it
// connects only to the addresses of the plan.
type client struct {
	http   *http.Client
	tokens []string // bearer tokens, by stream
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

// query sends q and waits for the outcome until the time timeout.
func (c *client) query(run context.Context, q Query, timeout time.Time) reply {
	ctx, cancel := context.WithDeadline(run, timeout)
	defer cancel()
	req, err := c.request(ctx, q)
	if err != nil {
		return reply{failure: FailureTransport}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{failure: classifyFailure(run, ctx)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{failure: classifyFailure(run, ctx)}
	}
	return parseReply(resp.StatusCode, body)
}

// request builds the HTTP request for q.
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

// classifyFailure returns the Failure of a request that ended without a response. run
// is the context of the whole run, request that of the request.
func classifyFailure(run, request context.Context) Failure {
	switch {
	case run.Err() != nil:
		return FailureStopped
	case request.Err() != nil:
		return FailureTimeout
	}
	return FailureTransport
}

// parseReply returns the outcome that a response's status and body stand for.
func parseReply(status int, body []byte) reply {
	if status == http.StatusOK {
		var a Answer
		if json.Unmarshal(body, &a) != nil || !a.Coverage.isConsistent() {
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

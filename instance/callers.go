package instance

import (
	"context"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/node"
	"knapweedstall/core/query"
	"knapweedstall/core/topology"
	"knapweedstall/io/caller"
)

// Search implements caller.Backend.
func (in *Instance) Search(ctx context.Context, workspace topology.WorkspaceID, r caller.SearchRequest) (caller.SearchAnswer, error) {
	start := in.clock.Now()
	c, ok := in.submit(ctx, func(call node.CallID) node.Event {
		return node.SearchArrived{
			Call: call, Workspace: workspace, Collection: r.Collection, Query: r.Query, Limit: r.Limit, Deadline: start.Add(r.DeadlineMS),
		}
	})
	if !ok {
		return caller.SearchAnswer{}, callerGoneError()
	}
	in.metrics.recordSearch(in.clock.Now().Sub(start))
	switch c := c.(type) {
	case node.AnswerSearch:
		return in.searchAnswer(start, c)
	case node.RefuseCall:
		return caller.SearchAnswer{}, refusalError(c.Refusal, c.RetryAfter)
	}
	return caller.SearchAnswer{}, callerGoneError()
}

// callerGoneError returns the error of a request whose caller disconnected before
// the answer was ready.
func callerGoneError() *caller.Error {
	return &caller.Error{Code: caller.CodeUnknownOutcome, Message: "the caller disconnected before the answer was ready", Outcome: caller.OutcomeUnknown}
}

// searchAnswer converts the answer of the node for the caller. A query of which
// nothing was run becomes a refusal.
func (in *Instance) searchAnswer(start clock.Time, c node.AnswerSearch) (caller.SearchAnswer, error) {
	a := c.Answer
	missing := make([]caller.MissingShards, 0, len(a.Coverage.Missing))
	for _, m := range a.Coverage.Missing {
		missing = append(missing, caller.MissingShards{Shards: m.Shards, Reason: m.Reason})
	}
	if a.Outcome == query.OutcomeNotRun {
		return caller.SearchAnswer{}, notRunError(a, missing)
	}
	return caller.SearchAnswer{
		RequestID: a.Request.Entry.String() + "-" + strconv.FormatUint(a.Request.Seq, 10),
		Snapshot:  a.Snapshot,
		Config:    uint64(c.Config),
		Coverage:  caller.Coverage{Total: a.Coverage.Total, Answered: a.Coverage.Answered, Missing: missing},
		Hits:      append([]message.Hit{}, a.Hits...), // encodes as [] and not as null when there are no hits
		LatencyMS: in.clock.Now().Sub(start),
	}, nil
}

// notRunError returns the refusal for a query of which nothing was run. It names
// the reason for the first missing shards.
func notRunError(a query.Answer, missing []caller.MissingShards) *caller.Error {
	reason := "no shard could be reached"
	for _, m := range missing {
		if m.Reason == message.ReasonQuarantined {
			return refusalError(node.RefusedQuarantined, a.RetryAfter)
		}
	}
	if len(missing) > 0 {
		reason += " (" + string(missing[0].Reason) + ")"
	}
	return caller.NotRun(caller.CodeUnavailable, a.RetryAfter, reason)
}

// refusalErrors maps the refusals of the node to the codes and messages for callers.
var refusalErrors = map[node.Refusal]struct {
	code    caller.Code
	message string
}{
	node.RefusedUnknownCollection: {caller.CodeNotFound, "no such collection"},
	node.RefusedForbidden:         {caller.CodeForbidden, "the workspace may not use the collection"},
	node.RefusedOverloaded:        {caller.CodeOverloaded, "the request rate is higher than what can be answered in time"},
	node.RefusedQuarantined:       {caller.CodeQuarantined, "this exact request has crashed targets"},
	node.RefusedKeyReused:         {caller.CodeConflict, "the Idempotency-Key belongs to a request with another collection or payload"},
	node.RefusedIsolated:          {caller.CodeIsolated, "the instance has lost contact with the store and the other instances"},
	node.RefusedUnavailable:       {caller.CodeUnavailable, "temporarily unavailable"},
	node.RefusedStopping:          {caller.CodeStopping, "the instance is stopping"},
}

func refusalError(r node.Refusal, retryAfter clock.Duration) *caller.Error {
	e := refusalErrors[r]
	return caller.NotRun(e.code, retryAfter, e.message)
}

// Run implements caller.Backend.
func (in *Instance) Run(ctx context.Context, workspace topology.WorkspaceID, r caller.RunRequest) (caller.RunAnswer, error) {
	start := in.clock.Now()
	c, ok := in.submit(ctx, func(call node.CallID) node.Event {
		return node.RunArrived{
			Call: call, Workspace: workspace, Collection: r.Collection, Key: r.Key, Payload: r.Payload,
			Deadline: start.Add(r.DeadlineMS),
		}
	})
	if !ok {
		return caller.RunAnswer{}, callerGoneError()
	}
	switch c := c.(type) {
	case node.RefuseCall:
		return caller.RunAnswer{}, refusalError(c.Refusal, c.RetryAfter)
	case node.AnswerRun:
		return in.runAnswer(c)
	}
	return caller.RunAnswer{}, callerGoneError()
}

func (in *Instance) runAnswer(c node.AnswerRun) (caller.RunAnswer, error) {
	switch c.Outcome {
	case node.RunAnswered:
		id := in.self.Ref.String() + "-run-" + strconv.FormatUint(uint64(c.Call), 10)
		return caller.RunAnswer{RequestID: id, Outcome: caller.OutcomeAnswered, Receipt: c.Receipt, Recorded: c.Recorded}, nil
	case node.RunNotRun:
		if c.Refusal != "" {
			return caller.RunAnswer{}, refusalError(c.Refusal, c.RetryAfter)
		}
		return caller.RunAnswer{}, caller.NotRun(caller.CodeUnavailable, c.RetryAfter, "the request could not be claimed or sent")
	default:
		return caller.RunAnswer{}, &caller.Error{
			Code: caller.CodeUnknownOutcome, Outcome: caller.OutcomeUnknown,
			Message: "the request may have run; repeat it with the same key to learn the recorded outcome",
		}
	}
}

// addMonitoring adds the routes of the load balancer and the metrics collector.
func (in *Instance) addMonitoring(e *echo.Echo) {
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if !in.ready.Load() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET("/metrics", echo.WrapHandler(in.metrics.handler()))
}

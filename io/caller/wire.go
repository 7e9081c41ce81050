// Package caller serves the callers' HTTP protocol, as docs/design.md section
// 15.3 describes it.
package caller

import (
	"fmt"
	"net/http"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// SearchRequest is the body of POST /v1/query.
type SearchRequest struct {
	Collection topology.CollectionID `json:"collection"`
	Query      string                `json:"query"`
	Limit      int                   `json:"limit"`      // hits wanted, 1 to 1000; default 10
	DeadlineMS clock.Duration        `json:"deadlineMs"` // time for the answer, 1 to 2000; default 1000
}

// MissingShards lists shards that an answer does not cover for the same reason.
type MissingShards struct {
	Shards []topology.ShardID `json:"shards"`
	Reason message.Reason     `json:"reason"`
}

// Coverage describes which shards of the query's snapshot an answer covers.
type Coverage struct {
	Total    int             `json:"total"`    // shards in the snapshot's partition map
	Answered int             `json:"answered"` // shards whose hits are merged
	Missing  []MissingShards `json:"missing"`  // the other shards, grouped by reason; each shard once
}

// SearchAnswer is the reply to POST /v1/query.
type SearchAnswer struct {
	RequestID string              `json:"requestId"`
	Snapshot  topology.SnapshotID `json:"snapshot"`
	Config    uint64              `json:"config"` // number of the change ticket in force
	Coverage  Coverage            `json:"coverage"`
	Hits      []message.Hit       `json:"hits"` // in descending order of score, then by id
	LatencyMS clock.Duration      `json:"latencyMs"`
}

// RunRequest is the body of POST /v1/run; the key comes from the
// Idempotency-Key header.
type RunRequest struct {
	Collection topology.CollectionID `json:"collection"`
	Payload    string                `json:"payload"`
	DeadlineMS clock.Duration        `json:"deadlineMs"`
	Key        string                `json:"-"`
}

// Outcome tells whether a request was run.
type Outcome string

// Values of Outcome.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "notRun"
	OutcomeUnknown  Outcome = "unknown" // it may have been run
)

// RunAnswer is the reply to POST /v1/run.
type RunAnswer struct {
	RequestID string  `json:"requestId"`
	Outcome   Outcome `json:"outcome"`
	Receipt   string  `json:"receipt,omitempty"`  // the target's answer; set when Outcome is OutcomeAnswered
	Recorded  bool    `json:"recorded,omitempty"` // the answer was recorded for an earlier request with the same key
}

// Code is a stable error code.
type Code string

// Error codes. docs/callers.md describes how a caller should react to each.
const (
	CodeBadRequest      Code = "badRequest"
	CodeTooLarge        Code = "tooLarge"
	CodeUnauthenticated Code = "unauthenticated"
	CodeForbidden       Code = "forbidden"
	CodeNotFound        Code = "notFound"
	CodeConflict        Code = "conflict"
	CodeOverloaded      Code = "overloaded"
	CodeQuarantined     Code = "quarantined"
	CodeUnavailable     Code = "unavailable"
	CodeIsolated        Code = "isolated"
	CodeStopping        Code = "stopping"
	CodeUnknownOutcome  Code = "unknownOutcome"
)

// Error is the answer to a request that was refused or has failed.
type Error struct {
	Code         Code           `json:"code"`
	Message      string         `json:"message"`
	Outcome      Outcome        `json:"outcome"`
	RetryAfterMS clock.Duration `json:"retryAfterMs,omitempty"` // time to wait before a retry; 0 when a retry can't succeed
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// NotRun returns an Error for a request of which no part was run.
func NotRun(code Code, retryAfter clock.Duration, message string) *Error {
	return &Error{Code: code, Message: message, Outcome: OutcomeNotRun, RetryAfterMS: retryAfter}
}

// RetryAfter implements jsonerror.Error.
func (e *Error) RetryAfter() clock.Duration { return e.RetryAfterMS }

// Status returns the HTTP status for e.
func (e *Error) Status() int {
	switch e.Code {
	case CodeBadRequest:
		return http.StatusBadRequest
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeUnauthenticated:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeNotFound:
		return http.StatusNotFound
	case CodeConflict:
		return http.StatusConflict
	case CodeOverloaded:
		return http.StatusTooManyRequests
	case CodeQuarantined:
		return http.StatusUnprocessableEntity
	case CodeUnknownOutcome:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

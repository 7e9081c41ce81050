package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
)

const (
	maxAnswerBytes  = 8 << 20
	idleConnTimeout = 30 * time.Second
	cancelTimeout   = 200 * time.Millisecond
)

// NotSentError says that no byte of the call reached the target.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "call was not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError says that the call ended without an answer although it may have
// been run.
type LostError struct {
	Timeout bool // the deadline passed; otherwise the connection broke
	Cause   error
}

// Error implements error.
func (e *LostError) Error() string { return "call has no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// ProtocolError says that a target's answer breaks the protocol.
type ProtocolError struct {
	Status int
	Cause  error
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("target answered status %d with an unusable body: %v", e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.Cause }

// Client calls targets. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a Client that keeps at most maxConns connections to each
// target and gives up dialling after dialTimeout.
func NewClient(maxConns int, dialTimeout clock.Duration) *Client {
	transport := &http.Transport{
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DialContext:         (&net.Dialer{Timeout: dialTimeout.Std()}).DialContext,
	}
	return &Client{http: &http.Client{Transport: transport}}
}

// Do makes one call and waits for its answer until ctx ends. It fails with
// *NotSentError, *LostError or *ProtocolError.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	body, err := json.Marshal(callJSON{call.Snapshot, call.Items})
	if err != nil {
		return Answer{}, errors.WithStack(&NotSentError{Cause: err})
	}
	var connected, fresh atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		fresh.Store(!info.Reused)
	}}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), call, body)
	if err != nil {
		return Answer{}, errors.WithStack(&NotSentError{Cause: err})
	}
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return Answer{}, errors.WithStack(&NotSentError{Cause: err})
	}
	if err != nil {
		return Answer{}, lost(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, lost(ctx, err)
	}
	a, err := parseAnswer(resp.StatusCode, data)
	a.Fresh = fresh.Load()
	return a, err
}

// Cancel asks a target to give up the call with this id. The call itself then
// ends with the status CallCancelled; it may also have ended already.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/cancel", nil)
	if err != nil {
		return errors.WithStack(&NotSentError{Cause: err})
	}
	req.Header.Set(HeaderCall, id)
	resp, err := c.http.Do(req)
	if err != nil {
		return lost(ctx, err)
	}
	return resp.Body.Close()
}

func newRequest(ctx context.Context, call Call, body []byte) (*http.Request, error) {
	path := "/v1/search"
	if call.Run {
		path = "/v1/run"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderCall, call.ID)
	req.Header.Set(HeaderStartBy, strconv.FormatInt(call.StartByUnixMS, 10))
	req.Header.Set(HeaderDeadline, strconv.FormatInt(call.DeadlineUnixMS, 10))
	return req, nil
}

func lost(ctx context.Context, cause error) error {
	return errors.WithStack(&LostError{Timeout: ctx.Err() != nil, Cause: cause})
}

func parseAnswer(status int, data []byte) (Answer, error) {
	var a Answer
	switch status {
	case http.StatusOK, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
	default:
		return a, errors.WithStack(&ProtocolError{Status: status})
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, errors.WithStack(&ProtocolError{Status: status, Cause: err})
	}
	if status == http.StatusOK {
		a.Status = CallOK
		return a, nil
	}
	switch a.Status {
	case CallShed, CallLate, CallDraining, CallCancelled, CallDeadline:
		return a, nil
	default:
		return a, errors.WithStack(&ProtocolError{Status: status})
	}
}

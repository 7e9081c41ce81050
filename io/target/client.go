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
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
)

const (
	maxStatus       = 599
	maxHeadBytes    = 64 << 10
	maxAnswerBytes  = 8 << 20
	idleConnTimeout = 30 * time.Second
	cancelTimeout   = 200 * time.Millisecond
)

// NotSentError reports that no byte of the call reached the target.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "call not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError reports that the call ended without an answer, so that the target may have
// run it.
type LostError struct {
	Timeout bool // the deadline passed; otherwise the connection broke
	Cause   error
}

// Error implements error.
func (e *LostError) Error() string { return "call ended without an answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// MismatchedAnswerError reports that the answer on a connection is to another call, as a
// second copy of an earlier answer that comes late.
type MismatchedAnswerError struct{ ID string }

// Error implements error.
func (e *MismatchedAnswerError) Error() string { return "answer to another call: " + e.ID }

// ProtocolError reports that a target's answer violates the protocol.
type ProtocolError struct {
	Status int
	Cause  error
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("target answered with status %d and an invalid body: %v", e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.Cause }

// Observer is called when the first connection to an address opens and when the last
// one closes. It must be safe for concurrent use.
type Observer func(address string, connected bool)

// Client calls targets. It is safe for concurrent use.
type Client struct {
	maxConns    int
	dialTimeout clock.Duration
	observer    Observer

	mu      sync.Mutex
	open    map[string]int          // connections by address
	clients map[string]*http.Client // by address, so that one target's idle connections can be closed
}

// Option configures a Client.
type Option func(*Client)

// WithObserver sets the function that is called when connections open and close.
func WithObserver(o Observer) Option { return func(c *Client) { c.observer = o } }

// NewClient returns a Client that opens at most maxConns connections to each target
// and gives up dialing after dialTimeout.
func NewClient(maxConns int, dialTimeout clock.Duration, opts ...Option) *Client {
	c := &Client{
		maxConns: maxConns, dialTimeout: dialTimeout, observer: func(string, bool) {},
		open: map[string]int{}, clients: map[string]*http.Client{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// client returns the HTTP client for one target.
func (c *Client) client(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.clients[address]
	if h == nil {
		h = &http.Client{
			Transport: &http.Transport{
				MaxConnsPerHost:        c.maxConns,
				MaxIdleConnsPerHost:    c.maxConns,
				IdleConnTimeout:        idleConnTimeout,
				DialContext:            c.dialer(c.dialTimeout),
				MaxResponseHeaderBytes: maxHeadBytes,
			},
			CheckRedirect: noRedirect,
		}
		c.clients[address] = h
	}
	return h
}

// dialer returns a dial function that counts the open connections.
func (c *Client) dialer(timeout clock.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout.Std()}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		c.countOpen(address, 1)
		return &countedConn{Conn: conn, closed: sync.OnceFunc(func() { c.countOpen(address, -1) })}, nil
	}
}

// countOpen changes the number of open connections to an address and calls the observer
// when it becomes 0 or is 0 no longer.
func (c *Client) countOpen(address string, change int) {
	c.mu.Lock()
	before := c.open[address]
	after := before + change
	c.open[address] = after
	if after == 0 {
		delete(c.open, address)
	}
	c.mu.Unlock()
	if (before == 0) != (after == 0) {
		c.observer(address, after > 0)
	}
}

// noRedirect keeps a call from being sent to another address.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// countedConn calls closed when it is closed. The transport closes a connection as soon
// as it notices that the target closed it.
type countedConn struct {
	net.Conn
	closed func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closed()
	return errors.WithStack(c.Conn.Close())
}

// Do makes one call and waits for its answer until ctx ends. It fails with
// *NotSentError, *LostError or *ProtocolError.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	body, err := json.Marshal(callJSON{call.Snapshot, call.Items})
	if err != nil {
		return Answer{}, errors.WithStack(&NotSentError{Cause: err})
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), call, body)
	if err != nil {
		return Answer{}, errors.WithStack(&NotSentError{Cause: err})
	}
	client := c.client(call.Address)
	resp, err := client.Do(req)
	if err != nil && !connected.Load() {
		return Answer{}, errors.WithStack(&NotSentError{Cause: err})
	}
	if err != nil {
		if ctx.Err() != nil {
			// The cause of the timeout may affect the idle connections too.
			client.CloseIdleConnections()
		}
		return Answer{}, newLostError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }() // also closes the connection if the body has not been read
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		// No answer: the connection ends. Without a body, it may count as idle already.
		defer client.CloseIdleConnections()
		return Answer{}, errors.WithStack(&ProtocolError{Status: resp.StatusCode})
	}
	if id := resp.Header.Get(HeaderCall); id != "" && id != call.ID {
		return Answer{}, newLostError(ctx, &MismatchedAnswerError{ID: id})
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, newLostError(ctx, err)
	}
	return parseAnswer(resp.StatusCode, data)
}

// Cancel asks a target to cancel the call with this id. The call then ends with the
// status CallCancelled, unless it has already ended.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/cancel", nil)
	if err != nil {
		return errors.WithStack(&NotSentError{Cause: err})
	}
	req.Header.Set(HeaderCall, id)
	resp, err := c.client(address).Do(req)
	if err != nil {
		return newLostError(ctx, err)
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

func newLostError(ctx context.Context, cause error) error {
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

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

// Observer is told when the first connection to an address opens and when the
// last one closes. It is called from many goroutines.
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

// Option changes a Client.
type Option func(*Client)

// WithObserver sets who is told of connections.
func WithObserver(o Observer) Option { return func(c *Client) { c.observer = o } }

// NewClient returns a Client that keeps at most maxConns connections to each
// target and gives up dialling after dialTimeout.
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
		h = &http.Client{Transport: &http.Transport{
			MaxConnsPerHost:     c.maxConns,
			MaxIdleConnsPerHost: c.maxConns,
			IdleConnTimeout:     idleConnTimeout,
			DialContext:         c.dialer(c.dialTimeout),
		}}
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
		c.count(address, 1)
		return &countedConn{Conn: conn, closed: sync.OnceFunc(func() { c.count(address, -1) })}, nil
	}
}

func (c *Client) count(address string, change int) {
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

// countedConn tells when it is closed. The transport closes a connection as soon
// as it sees that the target did.
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
			// Whatever silenced this connection may have silenced the idle ones.
			client.CloseIdleConnections()
		}
		return Answer{}, lost(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, lost(ctx, err)
	}
	return parseAnswer(resp.StatusCode, data)
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
	resp, err := c.client(address).Do(req)
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

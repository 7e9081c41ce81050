// Package platform implements the client of the platform's object API and instance
// list, as docs/design.md section 15.2 describes them.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Object is one stored value.
type Object struct {
	Key     string `json:"key"`
	Version int64  `json:"version"` // at least 1; increases with every write
	Value   []byte `json:"value"`
}

// NotFoundError reports that no object has the key.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("object %q does not exist", e.Key) }

// ConflictError reports that a conditional write found another version; the write had
// no effect.
type ConflictError struct {
	Key     string
	Current int64 // version in the store; 0 when the object does not exist
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q is at version %d", e.Key, e.Current)
}

// UnavailableError reports that the platform gave no valid reply. A write may or may
// not have taken effect.
type UnavailableError struct {
	Status int // HTTP status; 0 when there was no reply
	Cause  error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Cause != nil {
		return "platform is unavailable: " + e.Cause.Error()
	}
	return fmt.Sprintf("platform is unavailable: status %d", e.Status)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of a call; a watch gets its waiting time in addition.
// The default is 1 s.
func WithTimeout(d clock.Duration) Option {
	return func(c *Client) { c.timeout = d.Std() }
}

// NewClient returns a client for the platform at address (host:port).
func NewClient(address string, opts ...Option) *Client {
	c := &Client{base: "http://" + address, http: &http.Client{
		Transport:     &http.Transport{MaxResponseHeaderBytes: maxHeadBytes, IdleConnTimeout: time.Minute},
		CheckRedirect: noRedirect,
	}, timeout: time.Second}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Get reads an object. It fails with *NotFoundError or *UnavailableError.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var o Object
	err := c.call(ctx, c.timeout, request{method: http.MethodGet, path: "/v1/objects/" + key, key: key}, &o)
	return o, err
}

// Put writes an object if its version is expect, where 0 means that the object does not
// exist. It returns the new version, or fails with *ConflictError or
// *UnavailableError.
func (c *Client) Put(ctx context.Context, key string, expect int64, value []byte) (int64, error) {
	header := http.Header{}
	if expect == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.FormatInt(expect, 10))
	}
	var reply struct {
		Version int64 `json:"version"`
	}
	r := request{method: http.MethodPut, path: "/v1/objects/" + key, key: key, header: header, body: value}
	err := c.call(ctx, c.timeout, r, &reply)
	return reply.Version, err
}

// Watch waits up to wait for objects under the prefixes that were written after
// revision since. It returns them in the order of their versions, and the revision to
// continue from.
func (c *Client) Watch(ctx context.Context, prefixes []string, since int64, wait clock.Duration) ([]Object, int64, error) {
	q := url.Values{}
	q.Set("prefix", strings.Join(prefixes, ","))
	q.Set("since", strconv.FormatInt(since, 10))
	q.Set("waitMs", strconv.FormatInt(int64(wait), 10))
	var reply struct {
		Revision int64    `json:"revision"`
		Objects  []Object `json:"objects"`
	}
	err := c.call(ctx, c.timeout+wait.Std(), request{method: http.MethodGet, path: "/v1/objects?" + q.Encode()}, &reply)
	return reply.Objects, reply.Revision, err
}

type instanceJSON struct {
	ID          topology.InstanceID  `json:"id"`
	Incarnation topology.Incarnation `json:"incarnation"`
	Address     string               `json:"address"`
	Zone        topology.ZoneID      `json:"zone"`
	Region      topology.RegionID    `json:"region"`
	State       topology.MemberState `json:"state"`
}

// Instances returns the instance list, which may be outdated.
func (c *Client) Instances(ctx context.Context) ([]topology.Member, error) {
	var reply struct {
		Instances []instanceJSON `json:"instances"`
	}
	if err := c.call(ctx, c.timeout, request{method: http.MethodGet, path: "/v1/instances"}, &reply); err != nil {
		return nil, err
	}
	members := make([]topology.Member, 0, len(reply.Instances))
	for _, in := range reply.Instances {
		ref := topology.InstanceRef{ID: in.ID, Incarnation: in.Incarnation}
		members = append(members, topology.Member{Ref: ref, Address: in.Address, Zone: in.Zone, Region: in.Region, State: in.State})
	}
	return members, nil
}

// Register adds or replaces m in the instance list.
func (c *Client) Register(ctx context.Context, m topology.Member) error {
	body, err := json.Marshal(instanceJSON{m.Ref.ID, m.Ref.Incarnation, m.Address, m.Zone, m.Region, m.State})
	if err != nil {
		return errors.WithStack(err)
	}
	path := "/v1/instances/" + string(m.Ref.ID)
	return c.call(ctx, c.timeout, request{method: http.MethodPut, path: path, body: body}, nil)
}

// Deregister removes the instance from the list.
func (c *Client) Deregister(ctx context.Context, id topology.InstanceID) error {
	return c.call(ctx, c.timeout, request{method: http.MethodDelete, path: "/v1/instances/" + string(id)}, nil)
}

// Bounds of a reply.
const (
	maxStatus     = 599
	maxHeadBytes  = 64 << 10
	maxReplyBytes = 16 << 20 // of the body; the largest is the list of all objects
)

// noRedirect keeps a client from turning to another address.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

type request struct {
	method, path, key string
	header            http.Header
	body              []byte
}

func (c *Client) call(ctx context.Context, timeout time.Duration, r request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return errors.WithStack(err)
	}
	for k, v := range r.header {
		req.Header[k] = v
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		// No answer: the connection ends. Without a body, it may count as idle already.
		defer c.http.CloseIdleConnections()
		return &UnavailableError{Status: resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	return decode(r.key, resp.StatusCode, body, out)
}

func decode(key string, status int, body []byte, out any) error {
	switch {
	case status == http.StatusNotFound:
		return &NotFoundError{Key: key}
	case status == http.StatusPreconditionFailed:
		var current struct {
			Version int64 `json:"version"`
		}
		_ = json.Unmarshal(body, &current) // the version is informational; the conflict is reported without it too
		return &ConflictError{Key: key, Current: current.Version}
	case status >= http.StatusMultipleChoices:
		return &UnavailableError{Status: status}
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &UnavailableError{Status: status, Cause: err}
	}
	return nil
}

package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	clientTimeout = 35 * time.Second
	maxReplyBytes = 64 << 20
)

// client calls the HTTP API of an instance.
type client struct {
	address, token string
}

// call sends a request with body, or without one when it is nil, and returns the
// status and the body of the reply.
func (c client) call(ctx context.Context, method, path string, header http.Header, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return resp.StatusCode, data, errors.WithStack(err)
}

// post encodes in as JSON, sends it, and decodes the reply into out if its status is
// less than 300 and into refusal otherwise. It returns the status.
func (c client) post(ctx context.Context, path string, header http.Header, in, out, refusal any) (int, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	status, data, err := c.call(ctx, http.MethodPost, path, header, body)
	if err != nil {
		return 0, err
	}
	dst := out
	if status >= http.StatusMultipleChoices {
		dst = refusal
	}
	return status, errors.WithStack(json.Unmarshal(data, dst))
}

package upstream

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
	"knapweedstall/platform"
)

// UnhealthyError reports an answer to a health probe that says nothing of the target.
type UnhealthyError struct {
	Status int
	Target topology.TargetID // that has answered
}

// Error implements error.
func (e *UnhealthyError) Error() string {
	return fmt.Sprintf("health probe answered with status %d by %q", e.Status, e.Target)
}

// AskCold asks a target, at the health path of its service, how much longer it is cold; 0 if it
// is warm. It uses a connection of its own, on which no answer to another request can come.
func (p *Pool) AskCold(ctx context.Context, id topology.TargetID, address, path string) (clock.Duration, error) {
	c, err := p.dial(ctx, id, address)
	if err != nil {
		return 0, err
	}
	defer c.close()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) }) // on a closed connection, reads and writes fail anyway
	defer stop()
	if _, err := c.Write(append(platform.Head(http.MethodGet, path, address, http.Header{}, 0), "Connection: close\r\n\r\n"...)); err != nil {
		return 0, errors.WithStack(err)
	}
	c.limit.left = maxHeadBytes
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet}) //nolint:bodyclose // it holds nothing but the connection
	if err != nil {
		return 0, errors.WithStack(err)
	}
	answering, cold, err := platform.Health(resp.Header)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK || answering != id {
		return 0, errors.WithStack(&UnhealthyError{resp.StatusCode, answering})
	}
	return cold, nil
}

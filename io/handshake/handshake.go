// Package handshake opens WebSocket connections to other instances.
package handshake

import (
	"context"
	"net/http"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// maxHeadBytes bounds the headers of the answer to a handshake.
const maxHeadBytes = 64 << 10

// client makes the handshakes. It follows no redirection and uses no proxy.
var client = &http.Client{
	Transport:     &http.Transport{MaxResponseHeaderBytes: maxHeadBytes, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Dial opens a connection to an instance at an address and a path. Messages of more than
// maxMessageBytes end it. status is that of a handshake that was answered otherwise; 0 for
// none.
func Dial(ctx context.Context, address, path string, maxMessageBytes int64) (c *websocket.Conn, status int, err error) {
	c, resp, err := websocket.Dial(ctx, "ws://"+address+path, &websocket.DialOptions{HTTPClient: client}) //nolint:bodyclose // Dial closes it
	if resp != nil {
		status = resp.StatusCode
	}
	if err != nil {
		return nil, status, errors.WithStack(err)
	}
	c.SetReadLimit(maxMessageBytes)
	return c, status, nil
}

// Package relay carries copies of the store's objects between instances over
// WebSocket, encoded as CBOR. A follower states the revisions that it has; the
// source then sends what changed, and a heartbeat while nothing does.
package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/view"
)

// Path is where an instance serves followers.
const Path = "/v1/follow"

// Bounds of the exchange.
const (
	maxFrameBytes = 16 << 20
	writeTimeout  = 2 * clock.Second // a follower that does not read for longer is dropped
	helloTimeout  = clock.Second
)

// Frame is what a source tells a follower.
type Frame struct {
	Age    clock.Duration        `cbor:"1,keyasint"` // for how long the source may have missed changes
	Deltas map[string]view.Delta `cbor:"2,keyasint"` // by kind; none in a heartbeat
}

// hello is what a follower sends first.
type hello struct {
	Have map[string]view.Revision `cbor:"1,keyasint"`
}

// Source is what an instance knows.
type Source interface {
	// Since returns what changed after the revisions in have, and a channel
	// that is closed at the next change.
	Since(have map[string]view.Revision) (Frame, <-chan struct{})
}

// Server serves followers.
type Server struct {
	source    Source
	heartbeat clock.Duration
}

// NewServer returns a Server that sends a heartbeat at least every heartbeat.
func NewServer(source Source, heartbeat clock.Duration) *Server {
	return &Server{source: source, heartbeat: heartbeat}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered the request
	}
	defer func() { _ = c.CloseNow() }() // the follower has left or is dropped
	have, err := readHello(r.Context(), c)
	if err != nil {
		return // not a follower, or it has left
	}
	ctx := c.CloseRead(r.Context())
	for {
		frame, changed := s.source.Since(have)
		data, err := cbor.Marshal(frame)
		if err != nil {
			return // cannot happen: frames hold plain data
		}
		if err := write(ctx, c, data); err != nil {
			return // the follower finds another source
		}
		for kind, d := range frame.Deltas {
			have[kind] = d.Revision
		}
		if !waitChange(ctx, s.heartbeat, changed) {
			return
		}
	}
}

// waitChange waits for a change or for d. It returns false when ctx is done.
func waitChange(ctx context.Context, d clock.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(d.Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-changed:
	}
	return true
}

func readHello(ctx context.Context, c *websocket.Conn) (map[string]view.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout.Std())
	defer cancel()
	_, data, err := c.Read(ctx)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h := hello{}
	if err := cbor.Unmarshal(data, &h); err != nil {
		return nil, errors.WithStack(err)
	}
	if h.Have == nil {
		h.Have = map[string]view.Revision{}
	}
	return h.Have, nil
}

func write(ctx context.Context, c *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Std())
	defer cancel()
	return errors.WithStack(c.Write(ctx, websocket.MessageBinary, data))
}

// Follow asks the instance at address for changes after the revisions in have
// and calls take for each frame until take returns false. It fails when no
// frame comes within silence.
func Follow(ctx context.Context, address string, have map[string]view.Revision, silence clock.Duration, take func(Frame) bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := dial(ctx, address, have)
	if err != nil {
		return err
	}
	defer func() { _ = c.CloseNow() }() // the source notices
	for {
		frame, err := read(ctx, c, silence)
		if err != nil {
			return err
		}
		if !take(frame) {
			return nil
		}
	}
}

func dial(ctx context.Context, address string, have map[string]view.Revision) (*websocket.Conn, error) {
	short, cancel := context.WithTimeout(ctx, helloTimeout.Std())
	defer cancel()
	c, _, err := websocket.Dial(short, "ws://"+address+Path, nil) //nolint:bodyclose // Dial closes it
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c.SetReadLimit(maxFrameBytes)
	data, err := cbor.Marshal(hello{Have: have})
	if err == nil {
		err = c.Write(short, websocket.MessageBinary, data)
	}
	if err != nil {
		_ = c.CloseNow() // the error of the exchange is reported
		return nil, errors.WithStack(err)
	}
	return c, nil
}

func read(ctx context.Context, c *websocket.Conn, silence clock.Duration) (Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, silence.Std())
	defer cancel()
	_, data, err := c.Read(ctx)
	if err != nil {
		return Frame{}, errors.WithStack(err)
	}
	var f Frame
	return f, errors.WithStack(cbor.Unmarshal(data, &f))
}

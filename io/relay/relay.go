// Package relay replicates copies of the store's objects between instances over
// WebSocket, encoded as CBOR. An instance, the follower, sends the revisions of its
// copies to another instance, the source. The source then sends all changes, and
// heartbeats while there are none.
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
	"knapweedstall/io/handshake"
)

// Path is the URL path on which an instance serves followers.
const Path = "/v1/follow"

// Limits of a connection.
const (
	maxFrameBytes = 16 << 20
	writeTimeout  = 2 * clock.Second // a follower that does not read for longer is disconnected
	helloTimeout  = clock.Second
	dialTimeout   = 500 * clock.Millisecond // an instance that is up answers within a few round trips
)

// Frame is a message from a source to a follower.
type Frame struct {
	Age    clock.Duration        `cbor:"1,keyasint"` // how long the source may have been missing changes
	Deltas map[string]view.Delta `cbor:"2,keyasint"` // changes by kind of object; empty in a heartbeat
	// Optional describes the kinds that not all instances copy, by kind. An older build
	// neither reads nor sends it, so that it can't pass such objects on without the
	// fields that it does not know.
	Optional map[string]OptionalDelta `cbor:"3,keyasint,omitempty"`
	// StoreAway tells that the store has not answered since the source's copies were last
	// up to date. An older build does not send it.
	StoreAway bool `cbor:"4,keyasint,omitempty"`
}

// OptionalDelta describes the source's copy of an optional kind. Every frame has one for
// each optional kind that the source copies, also when nothing has changed.
type OptionalDelta struct {
	Age   clock.Duration `cbor:"1,keyasint"`           // how long the source may have been missing changes of the kind
	Delta *view.Delta    `cbor:"2,keyasint,omitempty"` // changes; nil for none
}

// hello is the first message of a follower. Have holds the revisions of its copies, by
// kind of object.
type hello struct {
	Have map[string]view.Revision `cbor:"1,keyasint"`
}

// Source provides the copies of an instance.
type Source interface {
	// Since returns the changes after the revisions in have, and a channel that is
	// closed at the next change.
	Since(have map[string]view.Revision) (Frame, <-chan struct{})
}

// Server serves followers.
type Server struct {
	source          Source
	heartbeatPeriod clock.Duration
}

// NewServer returns a Server that sends a heartbeat after each heartbeatPeriod without a
// change.
func NewServer(source Source, heartbeatPeriod clock.Duration) *Server {
	return &Server{source: source, heartbeatPeriod: heartbeatPeriod}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered the request
	}
	defer func() { _ = c.CloseNow() }() // the follower has disconnected or is too slow
	have, err := readHello(r.Context(), c)
	if err != nil {
		return // not a follower, or it has disconnected
	}
	ctx := c.CloseRead(r.Context())
	for {
		frame, changed := s.source.Since(have)
		data, err := cbor.Marshal(frame)
		if err != nil {
			return // can't happen: a frame always has an encoding
		}
		if err := write(ctx, c, data); err != nil {
			return // the follower connects to another source
		}
		for kind, d := range frame.Deltas {
			have[kind] = d.Revision
		}
		for kind, o := range frame.Optional {
			if o.Delta != nil {
				have[kind] = o.Delta.Revision
			}
		}
		if !waitForChange(ctx, s.heartbeatPeriod, changed) {
			return
		}
	}
}

// waitForChange waits until changed is closed or d has passed. It returns false when
// ctx is done.
func waitForChange(ctx context.Context, d clock.Duration, changed <-chan struct{}) bool {
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
	var h hello
	if err := read(ctx, c, helloTimeout, &h); err != nil {
		return nil, err
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

// Follow requests the changes after the revisions in have from the instance at address
// and calls handle for each frame until handle returns false. It fails when no frame
// arrives within timeout.
func Follow(ctx context.Context, address string, have map[string]view.Revision, timeout clock.Duration, handle func(Frame) bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := dial(ctx, address, have)
	if err != nil {
		return err
	}
	defer func() { _ = c.CloseNow() }() // tells the source to stop sending
	for {
		var frame Frame
		if err := read(ctx, c, timeout, &frame); err != nil {
			return err
		}
		if !handle(frame) {
			return nil
		}
	}
}

func dial(ctx context.Context, address string, have map[string]view.Revision) (*websocket.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout.Std())
	defer cancel()
	c, _, err := handshake.Dial(dialCtx, address, Path, maxFrameBytes)
	if err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(hello{Have: have})
	if err == nil {
		err = c.Write(dialCtx, websocket.MessageBinary, data)
	}
	if err != nil {
		_ = c.CloseNow() // the earlier error is returned
		return nil, errors.WithStack(err)
	}
	return c, nil
}

// read reads one message into out.
func read(ctx context.Context, c *websocket.Conn, timeout clock.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Std())
	defer cancel()
	_, data, err := c.Read(ctx)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(cbor.Unmarshal(data, out))
}

// Package exchange carries small calls between instances over WebSocket, encoded as
// CBOR. A link is a kept connection that carries the calls of one instance to another.
// Calls are not repeated: one without an answer may have been handled.
package exchange

import (
	"context"
	"fmt"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Path is the URL path on which an instance accepts calls of other instances.
const Path = "/v1/exchange"

// MaxPayloadBytes bounds the payload of a call and of its answer.
const MaxPayloadBytes = 256 << 10

// maxFrameBytes bounds a message: a payload and the fields around it.
const maxFrameBytes = MaxPayloadBytes + 1<<10

// writeTimeout bounds sending a message. An instance that does not read for longer is
// disconnected.
const writeTimeout = clock.Second

// message is a message on a link: a call if Topic is set, and otherwise the answer to
// the call with the same number.
type message struct {
	Number      uint64              `cbor:"1,keyasint"` // unique within the link
	Topic       string              `cbor:"2,keyasint,omitempty"`
	From        topology.InstanceID `cbor:"3,keyasint,omitempty"`
	Payload     []byte              `cbor:"4,keyasint,omitempty"`
	Error       string              `cbor:"5,keyasint,omitempty"` // why the call failed
	Unsupported bool                `cbor:"6,keyasint,omitempty"` // the instance does not know the topic
}

func send(ctx context.Context, c *websocket.Conn, m message) error {
	data, err := cbor.Marshal(m)
	if err != nil {
		return errors.WithStack(err)
	}
	if len(m.Payload) > MaxPayloadBytes {
		return errors.WithStack(&TooLargeError{Topic: m.Topic, Bytes: len(m.Payload)})
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Std())
	defer cancel()
	return errors.WithStack(c.Write(ctx, websocket.MessageBinary, data))
}

func decode(data []byte) (message, error) {
	var m message
	err := cbor.Unmarshal(data, &m)
	return m, errors.WithStack(err)
}

// UnavailableError reports that an instance could not be reached or did not answer in
// time. It may have handled the call unless NotSent is set.
type UnavailableError struct {
	Address string
	NotSent bool // no byte of the call has left this instance
	Cause   error
}

// Error implements error.
func (e *UnavailableError) Error() string { return "call to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnsupportedError reports that an instance does not know the topic or accepts no calls
// at all, as one of an older version.
type UnsupportedError struct{ Address, Topic string }

// Error implements error.
func (e *UnsupportedError) Error() string {
	return fmt.Sprintf("instance %s does not support %s", e.Address, e.Topic)
}

// RemoteError reports that an instance has failed to handle a call.
type RemoteError struct{ Address, Topic, Detail string }

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s at %s failed: %s", e.Topic, e.Address, e.Detail)
}

// TooLargeError reports a payload of more than MaxPayloadBytes.
type TooLargeError struct {
	Topic string
	Bytes int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("payload of %d bytes for %s is too large", e.Bytes, e.Topic)
}

// LinkClosedError reports that a link ended before the answer arrived.
type LinkClosedError struct{}

// Error implements error.
func (*LinkClosedError) Error() string { return "link closed" }

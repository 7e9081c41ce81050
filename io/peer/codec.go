// Package peer exchanges messages between instances over WebSocket, encoded as CBOR. A
// binary WebSocket message is one frame: a header and the bodies that were queued when
// the frame was written.
package peer

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"knapweedstall/core/message"
)

// maxFrameBytes bounds the size of a received frame, so that a faulty peer can't
// exhaust the memory.
const maxFrameBytes = 4 << 20

// Frame is one decoded WebSocket message.
type Frame struct {
	Header message.Header
	Bodies []message.Body
}

// frameCBOR is the encoded form of a Frame.
type frameCBOR struct {
	_      struct{} `cbor:",toarray"`
	Header message.Header
	Items  []itemCBOR
}

// itemCBOR is the encoded form of a body with its type number.
type itemCBOR struct {
	_    struct{} `cbor:",toarray"`
	Type uint8
	Body cbor.RawMessage
}

// FrameError reports that a frame can't be encoded or decoded.
type FrameError struct {
	Type  uint8 // type number of the invalid body; 0 when the frame itself is malformed
	Cause error
}

// Error implements error.
func (e *FrameError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("frame has the unknown body type %d", e.Type)
	}
	return fmt.Sprintf("frame with body type %d is malformed: %v", e.Type, e.Cause)
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Cause }

var (
	typeNumbers = map[reflect.Type]uint8{}
	decoders    = map[uint8]func(cbor.RawMessage) (message.Body, error){}
	decMode     = mustDecMode()
)

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// register assigns the type number t to the body type B. Type numbers are part of the
// protocol and are never reused.
func register[B message.Body](t uint8) {
	typeNumbers[reflect.TypeFor[B]()] = t
	decoders[t] = func(raw cbor.RawMessage) (message.Body, error) {
		var b B
		err := decMode.Unmarshal(raw, &b)
		return b, err
	}
}

// Encode returns the encoded form of a frame. It fails with *FrameError when a body
// type is not registered.
func Encode(f Frame) ([]byte, error) {
	out := frameCBOR{Header: f.Header, Items: make([]itemCBOR, 0, len(f.Bodies))}
	for _, b := range f.Bodies {
		t, ok := typeNumbers[reflect.TypeOf(b)]
		if !ok {
			return nil, errors.WithStack(&FrameError{})
		}
		raw, err := cbor.Marshal(b)
		if err != nil {
			return nil, errors.WithStack(&FrameError{Type: t, Cause: err})
		}
		out.Items = append(out.Items, itemCBOR{Type: t, Body: raw})
	}
	data, err := cbor.Marshal(out)
	return data, errors.WithStack(err)
}

// Decode decodes a frame. It fails with *FrameError and then returns no part of the
// frame.
func Decode(data []byte) (Frame, error) {
	var in frameCBOR
	if err := decMode.Unmarshal(data, &in); err != nil {
		return Frame{}, errors.WithStack(&FrameError{Cause: err})
	}
	f := Frame{Header: in.Header, Bodies: make([]message.Body, 0, len(in.Items))}
	for _, item := range in.Items {
		decode, ok := decoders[item.Type]
		if !ok {
			return Frame{}, errors.WithStack(&FrameError{Type: item.Type})
		}
		b, err := decode(item.Body)
		if err != nil {
			return Frame{}, errors.WithStack(&FrameError{Type: item.Type, Cause: err})
		}
		f.Bodies = append(f.Bodies, b)
	}
	return f, nil
}

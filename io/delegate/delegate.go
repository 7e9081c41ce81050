// Package delegate sends requests from one instance to another over WebSocket, encoded
// as CBOR. A link is a connection that carries many requests at the same time.
package delegate

import (
	"net/http"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/poison"
)

// Path is the URL path on which an instance accepts requests of other instances.
const Path = "/v1/searches"

// maxFrameBytes bounds the size of a message. It is more than the largest answer of a
// target; a request with a larger body is not sent.
const maxFrameBytes = 9 << 20

// Request is a request that another instance is asked to run.
type Request struct {
	Version      int64          `cbor:"1,keyasint"` // of the configuration that selected the route
	Route        string         `cbor:"2,keyasint"`
	RequestID    string         `cbor:"3,keyasint"` // set by the caller
	Method       string         `cbor:"4,keyasint"`
	Head         []byte         `cbor:"5,keyasint"` // request line and headers for the targets
	Body         []byte         `cbor:"6,keyasint"`
	Remaining    clock.Duration `cbor:"7,keyasint"` // time until the request is given up
	PartialAfter clock.Duration `cbor:"8,keyasint"` // time until a partial answer to a search is sent, without the shards that are still missing
	// Fingerprint is that of the caller's request. A retry by the caller has the same
	// fingerprint, but another Head, since Head contains the request's id.
	Fingerprint poison.Fingerprint `cbor:"10,keyasint"`
	AlreadySent bool               `cbor:"11,keyasint"` // targets may have received the request before
	// EarlierSends is the number of targets of each service that may have run the request
	// before. An instance of an older version does not set it.
	EarlierSends int `cbor:"13,keyasint,omitempty"`
}

// Answer is the result of a request.
type Answer struct {
	Declined bool     `cbor:"1,keyasint"` // the instance did not run the request
	State    string   `cbor:"2,keyasint"` // final state of the request
	Body     []byte   `cbor:"3,keyasint"` // of a search, the greatest records in descending order
	Digests  []string `cbor:"4,keyasint"` // of the shards' answers that Body is merged from
	Missing  int      `cbor:"5,keyasint"` // number of shards that are not included
	Isolated bool     `cbor:"6,keyasint"` // it declined because it reaches no target
	// Status and Header are those of the target whose answer Body is. They are set if
	// a target answered a request that is not a search.
	Status int         `cbor:"7,keyasint"`
	Header http.Header `cbor:"8,keyasint"`
	Target string      `cbor:"9,keyasint,omitempty"` // id of that target
	// LacksCapacity tells that the request has failed because targets have too much to
	// do. An instance of an older version does not set it.
	LacksCapacity bool `cbor:"12,keyasint,omitempty"`
	// Sends is the number of targets of one service that may have run the request, of the
	// service with the most, if the request was not answered. An instance of an older
	// version does not set it.
	Sends int `cbor:"13,keyasint,omitempty"`
}

// message is a message on a link. A message to the instance that runs the requests has
// Request or Cancel set, a message from it has Answer or Drain set.
type message struct {
	Number  uint64   `cbor:"1,keyasint"` // number of the request, unique within the link
	Request *Request `cbor:"2,keyasint,omitempty"`
	Answer  *Answer  `cbor:"3,keyasint,omitempty"`
	Cancel  bool     `cbor:"4,keyasint,omitempty"` // the request is canceled
	Drain   bool     `cbor:"5,keyasint,omitempty"` // the instance accepts no more requests
}

func encode(m message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	return data, errors.WithStack(err)
}

func decode(data []byte) (message, error) {
	var m message
	err := cbor.Unmarshal(data, &m)
	return m, errors.WithStack(err)
}

// LinkError reports that a link broke before the answer arrived, so that the other
// instance may have run the request.
type LinkError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *LinkError) Error() string { return "link to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.Cause }

// NotSentError reports that a request did not reach the other instance.
type NotSentError struct {
	Address string
	Cause   error // nil when the instance accepts no more requests
}

// Error implements error.
func (e *NotSentError) Error() string {
	if e.Cause == nil {
		return "instance " + e.Address + " accepts no more requests"
	}
	return "request not sent to " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// TooLargeError reports a message that is larger than the other instance accepts.
type TooLargeError struct{ Bytes int }

// Error implements error.
func (e *TooLargeError) Error() string {
	return "message of " + strconv.Itoa(e.Bytes) + " bytes is too large"
}

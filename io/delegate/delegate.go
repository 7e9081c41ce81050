// Package delegate hands searches from one instance to another over WebSocket,
// encoded as CBOR. A link carries many searches at a time.
package delegate

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/poison"
)

// Path is where an instance takes searches.
const Path = "/v1/searches"

// maxFrameBytes bounds a message; an answer holds at most topK records and a
// digest for each shard.
const maxFrameBytes = 4 << 20

// Search is a request that another instance is to run.
type Search struct {
	Version      int64          `cbor:"1,keyasint"` // of the configuration that selected the route
	Route        string         `cbor:"2,keyasint"`
	RequestID    string         `cbor:"3,keyasint"` // that the caller gave it
	Method       string         `cbor:"4,keyasint"`
	Head         []byte         `cbor:"5,keyasint"` // request line and headers for the targets
	Body         []byte         `cbor:"6,keyasint"`
	Remaining    clock.Duration `cbor:"7,keyasint"`              // until it is given up
	PartialAfter clock.Duration `cbor:"8,keyasint" json:"Early"` // until an answer goes out although shards are missing
	// Fingerprint is that of the caller's request, which a request sent again
	// has too. Head differs, since it holds the request's id.
	Fingerprint poison.Fingerprint `cbor:"10,keyasint"`
}

// Answer is what became of a search.
type Answer struct {
	Declined bool     `cbor:"1,keyasint"` // it was not run
	State    string   `cbor:"2,keyasint"` // final state of the search
	Records  []byte   `cbor:"3,keyasint"` // greatest first
	Digests  []string `cbor:"4,keyasint"` // of the parts that are in
	Missing  int      `cbor:"5,keyasint"` // shards that are left out
}

// message is what a link carries in either direction.
type message struct {
	Number uint64  `cbor:"1,keyasint"` // of the search, within the link
	Search *Search `cbor:"2,keyasint,omitempty"`
	Answer *Answer `cbor:"3,keyasint,omitempty"`
	Cancel bool    `cbor:"4,keyasint,omitempty"` // the caller has left
	Leave  bool    `cbor:"5,keyasint,omitempty"` // the instance takes no more searches
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

// LinkError says that a link broke before the answer came, so that the search
// may have run.
type LinkError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *LinkError) Error() string { return "link to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.Cause }

// NotSentError says that a search did not reach the other instance.
type NotSentError struct {
	Address string
	Cause   error // nil when the instance takes no more searches
}

// Error implements error.
func (e *NotSentError) Error() string {
	if e.Cause == nil {
		return "instance " + e.Address + " takes no more searches"
	}
	return "search not sent to " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

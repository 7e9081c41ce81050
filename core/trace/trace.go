// Package trace records what a core machine was told and what it commanded, and
// replays it.
//
// A trace is a text of JSON objects, one on each line, in UTF-8:
//
//	{"format":"knapweedstall-trace","version":1,"machine":"query","setup":{…}}
//	{"seq":1,"at":1000,"input":{"type":"query.start","value":{}},"commands":[{"type":"query.sendSub","value":{…}}]}
//	{"seq":2,"at":1004,"input":{"type":"query.replied","value":{…}},"commands":[]}
//	{"end":"closed","steps":2}
//
// The first line is the header; setup is whatever is needed to build the machine
// again, in a form that the machine's owner chooses. Each further line is one
// step: seq counts from 1 without gaps, at is the machine's time in ms and never
// decreases, input is one input, and commands are what the machine returned, in
// order. The last line says why the trace ends: "closed" by its writer, or
// "limit" when it reached its size limit, after which steps are missing. A trace
// without a last line was cut off.
//
// A value is the encoding/json form of the Go type that is registered under the
// name in type. Recorder, Reader and Replay keep one line in memory at a time.
package trace

import (
	"encoding/json"

	"knapweedstall/core/clock"
)

// Identification of the format.
const (
	Format  = "knapweedstall-trace"
	Version = 1
)

// Default bounds.
const (
	// DefaultMaxBytes bounds a whole trace.
	DefaultMaxBytes = 1 << 30
	// DefaultMaxLine bounds one line, both when writing and when reading.
	DefaultMaxLine = 16 << 20
)

// Reasons for the end of a trace.
const (
	EndClosed = "closed"
	EndLimit  = "limit"
)

// Machine is a deterministic state machine. Its commands depend only on how it
// was built and on the inputs so far.
type Machine[I, C any] interface {
	Handle(now clock.Time, input I) []C
}

// Header opens a trace.
type Header struct {
	Machine string          // name of the machine
	Setup   json.RawMessage // what the machine is built from; may be nil
}

// Step is one input and the commands that it caused.
type Step struct {
	Seq      uint64
	At       clock.Time
	Input    any             // of the type registered under its name
	Commands json.RawMessage // array of named values
}

// End closes a trace.
type End struct {
	Reason string // EndClosed or EndLimit
	Steps  uint64
}

// Option changes a bound.
type Option func(*limits)

type limits struct {
	maxBytes int64
	maxLine  int
}

func newLimits(opts []Option) limits {
	b := limits{maxBytes: DefaultMaxBytes, maxLine: DefaultMaxLine}
	for _, o := range opts {
		o(&b)
	}
	return b
}

// WithMaxBytes bounds what a Recorder writes, but for the last line.
func WithMaxBytes(n int64) Option { return func(b *limits) { b.maxBytes = n } }

// WithMaxLine bounds the length of one line in bytes.
func WithMaxLine(n int) Option { return func(b *limits) { b.maxLine = n } }

// The lines as they are encoded.
type (
	headerLine struct {
		Format  string          `json:"format"`
		Version int             `json:"version"`
		Machine string          `json:"machine"`
		Setup   json.RawMessage `json:"setup,omitempty"`
	}
	stepLine struct {
		Seq      uint64          `json:"seq"`
		At       clock.Time      `json:"at"`
		Input    typedValue           `json:"input"`
		Commands json.RawMessage `json:"commands"`
	}
	endLine struct {
		End   string `json:"end"`
		Steps uint64 `json:"steps"`
	}
	typedValue struct {
		Type  string          `json:"type"`
		Value json.RawMessage `json:"value"`
	}
)

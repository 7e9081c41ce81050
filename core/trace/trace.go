// Package trace records the inputs and commands of a deterministic state machine,
// and replays them.
//
// A trace is a UTF-8 text with one JSON object on each line:
//
//	{"format":"knapweedstall-trace","version":1,"machine":"query","setup":{…}}
//	{"seq":1,"at":1000,"input":{"type":"query.start","value":{}},"commands":[{"type":"query.sendSub","value":{…}}]}
//	{"seq":2,"at":1004,"input":{"type":"query.replied","value":{…}},"commands":[]}
//	{"end":"closed","steps":2}
//
// The first line is the header. Its setup contains what is needed to build the
// machine again, in a form that the machine's package defines. Each further line
// is one step: seq counts from 1 without gaps, at is the machine's time in ms and
// never decreases, input is one input, and commands are the commands that the
// machine returned, in order. The last line, the end line, gives the reason for
// the end of the trace: "closed" if the writer closed it, or "limit" if a step
// would have exceeded a size limit, in which case steps are missing. A trace
// without an end line is truncated.
//
// A value is the encoding/json encoding of the Go type that is registered under
// the name in type. Recorder, Reader and Replay keep one line in memory at a time.
package trace

import (
	"encoding/json"

	"knapweedstall/core/clock"
)

// Name and version of the format.
const (
	Format  = "knapweedstall-trace"
	Version = 1
)

// Default limits.
const (
	// DefaultMaxBytes is the maximum size of a trace in bytes.
	DefaultMaxBytes = 1 << 30
	// DefaultMaxLine is the maximum length of a line in bytes, both when writing and
	// when reading.
	DefaultMaxLine = 16 << 20
)

// Reasons for the end of a trace.
const (
	EndClosed = "closed"
	EndLimit  = "limit"
)

// Machine is a deterministic state machine. Its commands depend only on its
// initial state and on the inputs so far with their times.
type Machine[I, C any] interface {
	Handle(now clock.Time, input I) []C
}

// Header is the content of the first line of a trace.
type Header struct {
	Machine string          // name of the machine
	Setup   json.RawMessage // what is needed to build the machine again; may be nil
}

// Step is one input and the commands that it caused.
type Step struct {
	Seq      uint64
	At       clock.Time
	Input    any             // of the type registered under its name
	Commands json.RawMessage // array of values with the names of their types
}

// End is the content of the end line of a trace.
type End struct {
	Reason string // EndClosed or EndLimit
	Steps  uint64
}

// Option changes a limit.
type Option func(*limits)

type limits struct {
	maxBytes int64
	maxLine  int
}

func newLimits(opts []Option) limits {
	l := limits{maxBytes: DefaultMaxBytes, maxLine: DefaultMaxLine}
	for _, o := range opts {
		o(&l)
	}
	return l
}

// WithMaxBytes limits the number of bytes that a Recorder writes before the end
// line.
func WithMaxBytes(n int64) Option { return func(l *limits) { l.maxBytes = n } }

// WithMaxLine limits the length of a line in bytes.
func WithMaxLine(n int) Option { return func(l *limits) { l.maxLine = n } }

// The JSON forms of the lines, and of a value with the name of its type.
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
		Input    typedValue      `json:"input"`
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

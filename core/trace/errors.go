package trace

import (
	"fmt"

	"knapweedstall/core/clock"
)

// RegisterError reports that a name or a type is already registered.
type RegisterError struct {
	Name string
	Type string
}

// Error implements error.
func (e *RegisterError) Error() string {
	return fmt.Sprintf("trace: name %q or type %s is already registered", e.Name, e.Type)
}

// TypeError reports that a value cannot be encoded or decoded because its type or
// name is not registered, or that an input does not have the machine's input type.
type TypeError struct {
	Name string // a registered name or a Go type
}

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("trace: type %s is not registered or not an input of the machine", e.Name)
}

// EncodeError reports that a value cannot be encoded without loss.
type EncodeError struct {
	Type string
	Err  error // nil if the value contains text that is not valid UTF-8
}

// Error implements error.
func (e *EncodeError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("trace: %s contains text that is not valid UTF-8", e.Type)
	}
	return fmt.Sprintf("trace: encode %s: %v", e.Type, e.Err)
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Err }

// WriteError reports that the trace could not be written.
type WriteError struct {
	Err error
}

// Error implements error.
func (e *WriteError) Error() string { return fmt.Sprintf("trace: write: %v", e.Err) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// FormatError reports that a line of a trace is not valid.
type FormatError struct {
	Line  uint64 // counted from 1
	Field string // the invalid part of the line
	Err   error  // may be nil
}

// Error implements error.
func (e *FormatError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("trace: line %d: invalid %s", e.Line, e.Field)
	}
	return fmt.Sprintf("trace: line %d: invalid %s: %v", e.Line, e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// TruncatedError reports that a trace has no end line.
type TruncatedError struct {
	Steps uint64 // number of complete steps
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("trace: truncated after %d steps", e.Steps)
}

// MismatchError reports that a machine did not return the recorded commands.
type MismatchError struct {
	Seq  uint64
	At   clock.Time
	Diff string // lines of the recorded commands start with -, those of the replayed ones with +
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("trace: step %d at %d ms differs (-recorded +replayed):\n%s", e.Seq, e.At, e.Diff)
}

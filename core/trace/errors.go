package trace

import (
	"fmt"

	"knapweedstall/core/clock"
)

// RegisterError says that a name or a type is already registered.
type RegisterError struct {
	Name string
	Type string
}

// Error implements error.
func (e *RegisterError) Error() string {
	return fmt.Sprintf("trace: name %q or type %s is already registered", e.Name, e.Type)
}

// TypeError says that a value cannot be encoded or decoded, since its type or
// name is not registered or it is not of the kind that the machine takes.
type TypeError struct {
	Name string // a registered name or a Go type
}

// Error implements error.
func (e *TypeError) Error() string { return fmt.Sprintf("trace: %s is not a usable type", e.Name) }

// EncodeError says that a value would not come back equal from its encoding.
type EncodeError struct {
	Type string
	Err  error // nil for text that is not valid UTF-8
}

// Error implements error.
func (e *EncodeError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("trace: %s holds text that is not UTF-8", e.Type)
	}
	return fmt.Sprintf("trace: encode %s: %v", e.Type, e.Err)
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Err }

// WriteError says that the trace could not be written.
type WriteError struct {
	Err error
}

// Error implements error.
func (e *WriteError) Error() string { return fmt.Sprintf("trace: write: %v", e.Err) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// FormatError says that a line of a trace is not valid.
type FormatError struct {
	Line  uint64 // from 1
	Field string // what is wrong
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

// CutOffError says that a trace has no last line.
type TruncatedError struct {
	Steps uint64 // complete steps before
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("trace: cut off after %d steps", e.Steps)
}

// MismatchError says that a machine did not return the recorded commands.
type MismatchError struct {
	Seq  uint64
	At   clock.Time
	Diff string // -recorded +replayed
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("trace: step %d at %d ms differs (-recorded +replayed):\n%s", e.Seq, e.At, e.Diff)
}

package settings

import (
	"fmt"
	"strings"
)

// FaultKind says what is wrong with a part of a settings file.
type FaultKind string

// Kinds of faults.
const (
	KindSyntax       FaultKind = "syntax error"
	KindUnknownField FaultKind = "unknown field"
	KindDuplicate    FaultKind = "duplicate"
	KindWrongType    FaultKind = "wrong type"
	KindMissing      FaultKind = "missing"
	KindInvalid      FaultKind = "invalid value"
)

// Fault describes an error in a settings file. It never contains a token.
type Fault struct {
	Path   string // such as "callers[2].token"; "" for the whole file
	Line   int    // counted from 1; for a missing field, the line of the object that should contain it
	Kind   FaultKind
	Detail string // what is expected
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "file"
	}
	return fmt.Sprintf("line %d: %s: %s: %s", f.Line, path, f.Kind, f.Detail)
}

// FaultsError reports all faults of a settings file in the order of their lines.
type FaultsError struct{ Faults []Fault }

// Error implements error. It returns one line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

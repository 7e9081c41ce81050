package ticket

import (
	"errors"
	"fmt"
	"strings"
)

// FaultCode says what is wrong with a ticket or a checkpoint.
type FaultCode string

// Fault codes.
const (
	FaultSyntax       FaultCode = "syntax"       // not JSON, or a value of the wrong JSON type
	FaultUnknownField FaultCode = "unknownField" // a field or scope kind that this version does not know
	FaultMissing      FaultCode = "missing"      // a required field is absent or empty
	FaultDuplicate    FaultCode = "duplicate"    // an id, address, key or scope occurs twice
	FaultNotFound     FaultCode = "notFound"     // a reference to something that does not exist
	FaultMismatch     FaultCode = "mismatch"     // two fields contradict each other
	FaultRange        FaultCode = "range"        // a number or state outside its allowed values
	FaultForce        FaultCode = "forceNeeded"  // the change takes out the last zone of a region without force
	FaultSize         FaultCode = "size"         // the encoded value exceeds MaxObjectSize
)

// FaultError says why a ticket is refused.
type FaultError struct {
	Scope  Scope // zero for faults outside of any change
	Path   string
	Code   FaultCode
	Detail string
}

// Error implements error.
func (e *FaultError) Error() string {
	where := e.Path
	if !e.Scope.IsZero() {
		where = e.Scope.String() + ": " + e.Path
	}
	return fmt.Sprintf("%s: %s: %s", where, e.Code, e.Detail)
}

// FaultsError lists several faults of a ticket, at least two.
type FaultsError struct {
	Faults []*FaultError
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "; ")
}

// Unwrap returns the faults.
func (e *FaultsError) Unwrap() []error {
	out := make([]error, 0, len(e.Faults))
	for _, fault := range e.Faults {
		out = append(out, fault)
	}
	return out
}

// joinFaults returns a *FaultError or a *FaultsError; nil for no faults.
func joinFaults(faults []*FaultError) error {
	switch len(faults) {
	case 0:
		return nil
	case 1:
		return faults[0]
	default:
		return &FaultsError{Faults: faults}
	}
}

// FaultsOf returns the faults that err consists of, or none when it is no error
// of an invalid ticket.
func FaultsOf(err error) []*FaultError {
	var several *FaultsError
	var one *FaultError
	switch {
	case errors.As(err, &several):
		return several.Faults
	case errors.As(err, &one):
		return []*FaultError{one}
	default:
		return nil
	}
}

// GapError says that a ticket cannot be applied before the ones ahead of it.
type GapError struct {
	InForce Number // number of the last applied ticket
	Got     Number
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("ticket %d does not follow ticket %d", e.Got, e.InForce)
}

// AlreadyFiledError says that the filing id is already in the log.
type AlreadyFiledError struct {
	FilingID FilingID
	Number   Number
}

// Error implements error.
func (e *AlreadyFiledError) Error() string {
	return fmt.Sprintf("filing %s was accepted as ticket %d", e.FilingID, e.Number)
}

// ConflictError says that another filing was accepted under the same number.
type ConflictError struct {
	Number         Number
	Winner         FilingID // empty when the stored ticket cannot be decoded
	WinnerOperator Operator
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("ticket %d was filed by %s as %s", e.Number, e.WinnerOperator, e.Winner)
}

// UnavailableError says that a filing ended at its deadline without a reply
// from the store that settles it.
type UnavailableError struct {
	Number Number
	// Unknown is true when the ticket may have been accepted or may still be;
	// false is a promise that it was not and will not be.
	Unknown bool
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Unknown {
		return fmt.Sprintf("store is unavailable: it is unknown whether ticket %d was accepted", e.Number)
	}
	return fmt.Sprintf("store is unavailable: ticket %d was not filed", e.Number)
}

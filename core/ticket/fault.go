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
	FaultForce        FaultCode = "forceNeeded"  // the change takes the last zone of a region out of service without force
	FaultSize         FaultCode = "size"         // the encoded value exceeds MaxObjectSize
)

// FaultError reports why a ticket or a checkpoint is refused. Traces record the
// texts of Detail, and an older trace must replay with the same texts, so they must
// not change.
type FaultError struct {
	Scope  Scope  // zero for faults that concern no single change
	Path   string // JSON path of the faulty field
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

// FaultsError reports two or more faults of a ticket or a checkpoint.
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

// FaultsOf returns the faults that err reports, or none when err is not a
// *FaultError or a *FaultsError.
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

// GapError reports that tickets between the last applied one and this one are
// missing.
type GapError struct {
	InForce Number // number of the last applied ticket
	Got     Number
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("ticket %d does not follow ticket %d", e.Got, e.InForce)
}

// AlreadyFiledError reports that a ticket with the filing id is already in the log.
type AlreadyFiledError struct {
	FilingID FilingID
	Number   Number
}

// Error implements error.
func (e *AlreadyFiledError) Error() string {
	return fmt.Sprintf("filing %s was accepted as ticket %d", e.FilingID, e.Number)
}

// ConflictError reports that another filing was accepted under the same number.
type ConflictError struct {
	Number         Number
	Winner         FilingID // empty when the stored ticket cannot be decoded
	WinnerOperator Operator
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("ticket %d was filed by %s as %s", e.Number, e.WinnerOperator, e.Winner)
}

// UnavailableError reports that a filing reached its deadline without a reply from
// the store that shows whether the ticket was accepted.
type UnavailableError struct {
	Number Number
	// Unknown is true when the ticket may have been accepted or may be accepted
	// later; false means that it was not and will not be.
	Unknown bool
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Unknown {
		return fmt.Sprintf("store is unavailable: it is unknown whether ticket %d was accepted", e.Number)
	}
	return fmt.Sprintf("store is unavailable: ticket %d was not filed", e.Number)
}

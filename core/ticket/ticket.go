// Package ticket implements the tier's configuration: numbered change tickets, their
// validation, the state that results from applying them in order, and the state
// machine that files a ticket.
package ticket

import (
	"encoding/json"
	"strconv"

	"knapweedstall/core/message"
	"knapweedstall/core/object"
)

// Number is the position of a ticket in the log, starting at 1.
type Number = message.TicketNumber

// FilingID identifies one attempt to file a ticket, that is, to add it to the log
// under a number. The filer chooses it at random. The id in the stored ticket shows
// which filing was accepted under the number.
type FilingID string

// Operator identifies who filed a ticket.
type Operator string

// MaxObjectSize is the largest value that the platform's store holds.
const MaxObjectSize = 1_000_000

// Ticket is one numbered change of the configuration.
type Ticket struct {
	Number   Number   `json:"number"`
	FilingID FilingID `json:"filingId"`
	Operator Operator `json:"operator"`
	At       int64    `json:"at"`              // wall clock of the filer in Unix ms
	Force    bool     `json:"force,omitempty"` // allows taking the last zone of a region out of service
	Changes  []Change `json:"changes"`         // at least 1; each scope at most once
}

// Change replaces the value of one scope.
type Change struct {
	Scope Scope `json:"scope"`
	Value Value `json:"value"` // nil removes the scope
}

// Key returns the key of the object that holds ticket n.
func Key(n Number) object.Key { return object.Key("tickets/" + strconv.FormatUint(uint64(n), 10)) }

// Decode decodes a ticket strictly: unknown, missing and repeated fields are
// refused. It fails with *FaultError.
func Decode(data []byte) (Ticket, error) {
	var wire struct {
		Number   Number            `json:"number"`
		FilingID FilingID          `json:"filingId"`
		Operator Operator          `json:"operator"`
		At       int64             `json:"at"`
		Force    bool              `json:"force"`
		Changes  []json.RawMessage `json:"changes"`
	}
	if err := decodeStrict(data, &wire); err != nil {
		return Ticket{}, withScope(err, Scope{}, "")
	}
	t := Ticket{Number: wire.Number, FilingID: wire.FilingID, Operator: wire.Operator, At: wire.At, Force: wire.Force}
	for i, raw := range wire.Changes {
		c, err := decodeChange(raw)
		if err != nil {
			return Ticket{}, withScope(err, c.Scope, indexPath("changes", i))
		}
		t.Changes = append(t.Changes, c)
	}
	return t, nil
}

// UnmarshalJSON implements json.Unmarshaler by Decode.
func (t *Ticket) UnmarshalJSON(data []byte) error {
	decoded, err := Decode(data)
	if err != nil {
		return err
	}
	*t = decoded
	return nil
}

// UnmarshalJSON implements json.Unmarshaler with the strictness of Decode.
func (c *Change) UnmarshalJSON(data []byte) error {
	decoded, err := decodeChange(data)
	if err != nil {
		return withScope(err, decoded.Scope, "")
	}
	*c = decoded
	return nil
}

// decodeChange decodes a change. It returns the scope also when the value is
// invalid.
func decodeChange(data []byte) (Change, error) {
	var wire struct {
		Scope Scope           `json:"scope"`
		Value json.RawMessage `json:"value"`
	}
	if err := decodeStrict(data, &wire); err != nil {
		return Change{Scope: wire.Scope}, err
	}
	c := Change{Scope: wire.Scope}
	if c.Scope.IsZero() {
		return c, &FaultError{Path: "scope", Code: FaultMissing, Detail: "a change needs a scope"}
	}
	value, err := decodeValue(c.Scope.Kind, wire.Value)
	if err != nil {
		return c, prefixPath(err, "value")
	}
	c.Value = value
	return c, nil
}

// decodeValue decodes the value of a scope of kind k; null gives nil.
func decodeValue(k Kind, raw json.RawMessage) (Value, error) {
	if len(raw) == 0 {
		return nil, &FaultError{Code: FaultMissing, Detail: "a change needs a value, or null to remove the scope"}
	}
	if string(raw) == "null" {
		return nil, nil
	}
	if err := requireFields(raw, requiredFields(k)); err != nil {
		return nil, err
	}
	switch k {
	case KindZone:
		return decodeAs[Zone](raw)
	case KindCollection:
		return decodeAs[Collection](raw)
	case KindSnapshot:
		return decodeAs[Snapshots](raw)
	case KindWorkspace:
		return decodeAs[Workspace](raw)
	default:
		return decodeAs[Tuning](raw)
	}
}

func decodeAs[V Value](raw json.RawMessage) (Value, error) {
	var v V
	if err := decodeStrict(raw, &v); err != nil {
		return nil, err
	}
	return v, nil
}

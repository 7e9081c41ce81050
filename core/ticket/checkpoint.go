package ticket

import (
	"encoding/json"

	"knapweedstall/core/object"
)

// CheckpointKey is the key of the object that holds the newest checkpoint. A
// checkpoint is the encoded State after a ticket, so that a new instance need not
// apply all earlier tickets.
const CheckpointKey object.Key = "config/checkpoint"

// CheckpointInterval is the number of tickets between checkpoints.
const CheckpointInterval = 50

// decodedEntry is one scope of a checkpoint.
type decodedEntry struct {
	Number Number `json:"number"` // ticket that last set the scope
	Change
}

// EncodeCheckpoint returns the JSON form of s. Equal states give equal bytes. It
// fails with a *FaultError of code FaultSize when the result is too large for the
// store.
func EncodeCheckpoint(s *State) ([]byte, error) {
	wire := struct {
		Number Number `json:"number"`
		Scopes []any  `json:"scopes"`
	}{Number: s.number, Scopes: []any{}}
	type entry struct {
		Number Number `json:"number"`
		Scope  Scope  `json:"scope"`
		Value  Value  `json:"value"`
	}
	for _, scope := range s.Scopes() {
		wire.Scopes = append(wire.Scopes, entry{s.lastSet[scope], scope, s.values[scope]})
	}
	data, err := json.Marshal(wire)
	if err != nil {
		return nil, &FaultError{Code: FaultSyntax, Detail: err.Error()}
	}
	if len(data) > MaxObjectSize {
		return nil, &FaultError{Code: FaultSize, Detail: "the state does not fit one object"}
	}
	return data, nil
}

// UnmarshalJSON implements json.Unmarshaler; without it the method of the
// embedded Change would hide Number.
func (e *decodedEntry) UnmarshalJSON(data []byte) error {
	var wire struct {
		Number Number          `json:"number"`
		Scope  Scope           `json:"scope"`
		Value  json.RawMessage `json:"value"`
	}
	if err := decodeStrict(data, &wire); err != nil {
		return err
	}
	value, err := decodeValue(wire.Scope.Kind, wire.Value)
	if err != nil {
		return withScope(err, wire.Scope, "value")
	}
	*e = decodedEntry{Number: wire.Number, Change: Change{Scope: wire.Scope, Value: value}}
	return nil
}

// DecodeCheckpoint decodes and checks a checkpoint. It fails with *FaultError or
// *FaultsError.
func DecodeCheckpoint(data []byte) (*State, error) {
	var wire struct {
		Number Number         `json:"number"`
		Scopes []decodedEntry `json:"scopes"`
	}
	if err := decodeStrict(data, &wire); err != nil {
		return nil, err
	}
	s := NewState()
	s.number = wire.Number
	for i, e := range wire.Scopes {
		path := indexPath("scopes", i)
		switch {
		case s.values[e.Scope] != nil:
			return nil, &FaultError{Scope: e.Scope, Path: path, Code: FaultDuplicate, Detail: "repeated scope"}
		case e.Value == nil:
			return nil, &FaultError{Scope: e.Scope, Path: path, Code: FaultMissing, Detail: "a checkpoint has no removals"}
		case e.Number < 1 || e.Number > wire.Number:
			return nil, &FaultError{Scope: e.Scope, Path: path + ".number", Code: FaultRange, Detail: "not a ticket of this fold"}
		}
		s.set(e.Change, e.Number)
	}
	if err := joinFaults(checkState(s)); err != nil {
		return nil, err
	}
	return s, nil
}

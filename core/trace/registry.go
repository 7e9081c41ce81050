package trace

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// Registry maps the names of input and command types to Go types. No type may be
// registered once a Recorder or Reader uses it.
type Registry struct {
	types map[string]reflect.Type
	names map[reflect.Type]string
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{types: make(map[string]reflect.Type), names: make(map[reflect.Type]string)}
}

// Register registers the struct type T under a name. It fails with *RegisterError
// if the name or the type is already registered.
func Register[T any](r *Registry, name string) error {
	t := reflect.TypeFor[T]()
	_, nameTaken := r.types[name]
	_, typeTaken := r.names[t]
	if nameTaken || typeTaken {
		return &RegisterError{Name: name, Type: t.String()}
	}
	r.types[name] = t
	r.names[t] = name
	return nil
}

// encode returns the encoded value with the name of its type.
func (r *Registry) encode(v any) (typedValue, error) {
	t := reflect.TypeOf(v)
	name, ok := r.names[t]
	if !ok {
		return typedValue{}, &TypeError{Name: typeName(t)}
	}
	data, err := json.Marshal(v)
	if err != nil {
		return typedValue{}, &EncodeError{Type: name, Err: err}
	}
	// json.Marshal writes this escape only for bytes that are not valid UTF-8. It
	// writes the character U+FFFD itself without an escape, and doubles a
	// backslash.
	if bytes.Contains(bytes.ReplaceAll(data, []byte(`\\`), nil), []byte(`\ufffd`)) {
		return typedValue{}, &EncodeError{Type: name}
	}
	return typedValue{Type: name, Value: data}, nil
}

// decode returns the decoded value.
func (r *Registry) decode(n typedValue) (any, error) {
	t, ok := r.types[n.Type]
	if !ok {
		return nil, &TypeError{Name: n.Type}
	}
	v := reflect.New(t)
	if err := json.Unmarshal(n.Value, v.Interface()); err != nil {
		return nil, err
	}
	return v.Elem().Interface(), nil
}

// Encode encodes a value in the form {"type","value"}, for a field whose type is
// an interface. It fails with *TypeError or *EncodeError.
func (r *Registry) Encode(v any) (json.RawMessage, error) {
	n, err := r.encode(v)
	if err != nil {
		return nil, err
	}
	return json.Marshal(n)
}

// Decode decodes a value that Encode encoded. It fails with *TypeError, or with an
// error of encoding/json.
func (r *Registry) Decode(data json.RawMessage) (any, error) {
	var n typedValue
	if err := json.Unmarshal(data, &n); err != nil {
		return nil, err
	}
	return r.decode(n)
}

// encodeAll encodes the values as a JSON array, each with the name of its type.
func encodeAll[C any](r *Registry, values []C) (json.RawMessage, error) {
	all := make([]typedValue, len(values))
	for i, v := range values {
		n, err := r.encode(v)
		if err != nil {
			return nil, err
		}
		all[i] = n
	}
	return json.Marshal(all)
}

// nameOf returns the registered name of a value's type.
func (r *Registry) nameOf(v any) string { return r.names[reflect.TypeOf(v)] }

func typeName(t reflect.Type) string {
	if t == nil {
		return "nil"
	}
	return t.String()
}

package trace

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/google/go-cmp/cmp"
)

// Replay feeds the inputs of a trace to a machine that was built like the
// recorded one, compares its commands with the recorded ones after each step,
// and returns the number of steps that agree. It stops at the first difference
// with *MismatchError, and returns the errors of the Reader for a trace that is
// not valid or is truncated. A trace that ended at its size limit is replayed up
// to its end.
//
// Commands are equal if their names and encoded values are equal. Absent, null
// and empty lists and objects are considered equal.
func Replay[I, C any](r *Reader, m Machine[I, C]) (steps uint64, err error) {
	for {
		step, err := r.Next()
		if err == io.EOF {
			return steps, nil
		}
		if err != nil {
			return steps, err
		}
		input, ok := step.Input.(I)
		if !ok {
			return steps, &TypeError{Name: r.types.nameOf(step.Input)}
		}
		got, err := encodeAll(r.types, m.Handle(step.At, input))
		if err != nil {
			return steps, err
		}
		diff, err := diffJSON(step.Commands, got)
		if err != nil {
			return steps, &FormatError{Line: r.line, Field: "commands", Err: err}
		}
		if diff != "" {
			return steps, &MismatchError{Seq: step.Seq, At: step.At, Diff: diff}
		}
		steps++
	}
}

// diffJSON returns the difference between two encoded values, or "" if there is
// none.
func diffJSON(want, got json.RawMessage) (string, error) {
	if bytes.Equal(want, got) {
		return "", nil
	}
	w, err := decodeGeneric(want)
	if err != nil {
		return "", err
	}
	g, err := decodeGeneric(got)
	if err != nil {
		return "", err
	}
	return cmp.Diff(w, g), nil
}

// decodeGeneric decodes a value, keeps all digits of numbers and leaves out what
// is empty.
func decodeGeneric(data json.RawMessage) (any, error) {
	if len(data) == 0 {
		return nil, nil
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	return removeEmpty(v), nil
}

// removeEmpty replaces empty lists and objects by nil, and removes the members of
// objects that are nil.
func removeEmpty(v any) any {
	switch v := v.(type) {
	case []any:
		for i := range v {
			v[i] = removeEmpty(v[i])
		}
		if len(v) > 0 {
			return v
		}
		return nil
	case map[string]any:
		for k, member := range v {
			if v[k] = removeEmpty(member); v[k] == nil {
				delete(v, k)
			}
		}
		if len(v) > 0 {
			return v
		}
		return nil
	}
	return v
}

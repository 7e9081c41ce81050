package ticket

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
)

// decodeStrict decodes one JSON value into out and refuses unknown fields,
// repeated keys and trailing data. It fails with *FaultError.
func decodeStrict(data []byte, out any) error {
	if err := rejectRepeatedKeys(data); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(out)
	if err == nil {
		return nil
	}
	var fault *FaultError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &fault):
		return fault
	case errors.As(err, &wrongType):
		return &FaultError{Path: wrongType.Field, Code: FaultSyntax, Detail: "unexpected JSON " + wrongType.Value}
	}
	const unknown = "json: unknown field "
	if name, ok := strings.CutPrefix(err.Error(), unknown); ok {
		return &FaultError{Path: strings.Trim(name, `"`), Code: FaultUnknownField, Detail: "unknown field"}
	}
	return &FaultError{Code: FaultSyntax, Detail: err.Error()}
}

// maxDepth bounds the nesting of a JSON value; tickets need 8 levels.
const maxDepth = 16

// rejectRepeatedKeys returns a fault for the first key that occurs twice in one
// object. encoding/json keeps the last of several equal keys, which would silently
// drop, for example, part of a partition map.
func rejectRepeatedKeys(data []byte) error {
	k := keyChecker{json.NewDecoder(bytes.NewReader(data))}
	if err := k.value("", maxDepth); err != nil {
		return err
	}
	if _, err := k.d.Token(); !errors.Is(err, io.EOF) {
		return &FaultError{Code: FaultSyntax, Detail: "data after the JSON value"}
	}
	return nil
}

// keyChecker reads a JSON value token by token and checks that keys are unique.
type keyChecker struct {
	d *json.Decoder
}

func (k keyChecker) token(path string) (json.Token, error) {
	token, err := k.d.Token()
	if err != nil {
		return nil, &FaultError{Path: path, Code: FaultSyntax, Detail: err.Error()}
	}
	return token, nil
}

func (k keyChecker) value(path string, depth int) error {
	token, err := k.token(path)
	if err != nil {
		return err
	}
	if depth == 0 {
		return &FaultError{Path: path, Code: FaultSyntax, Detail: "nested too deeply"}
	}
	switch token {
	case json.Delim('{'):
		return k.object(path, depth-1)
	case json.Delim('['):
		return k.array(path, depth-1)
	}
	return nil
}

func (k keyChecker) object(path string, depth int) error {
	seen := map[string]bool{}
	for k.d.More() {
		token, err := k.token(path)
		if err != nil {
			return err
		}
		key, _ := token.(string)
		field := joinPath(path, key)
		if !strings.HasSuffix(path, "shards") { // whose keys are ids
			key = strings.ToLower(key) // encoding/json treats "Slots" as "slots"
		}
		if seen[key] {
			return &FaultError{Path: field, Code: FaultDuplicate, Detail: "repeated key"}
		}
		seen[key] = true
		if err := k.value(field, depth); err != nil {
			return err
		}
	}
	_, err := k.token(path)
	return err
}

func (k keyChecker) array(path string, depth int) error {
	for i := 0; k.d.More(); i++ {
		if err := k.value(indexPath(path, i), depth); err != nil {
			return err
		}
	}
	_, err := k.token(path)
	return err
}

// requireFields checks that the object raw has the named fields and that none of
// them is null.
func requireFields(raw json.RawMessage, names []string) error {
	if len(names) == 0 {
		return nil
	}
	var fields map[string]json.RawMessage
	if err := decodeStrict(raw, &fields); err != nil {
		return err
	}
	for _, name := range names {
		if value, ok := fields[name]; !ok || string(value) == "null" {
			return &FaultError{Path: name, Code: FaultMissing, Detail: "required field"}
		}
	}
	return nil
}

// withScope adds the scope and the path of the enclosing value to a fault.
func withScope(err error, s Scope, path string) error {
	err = prefixPath(err, path)
	var fault *FaultError
	if errors.As(err, &fault) && fault.Scope.IsZero() {
		fault.Scope = s
	}
	return err
}

// prefixPath puts path before the path of a fault.
func prefixPath(err error, path string) error {
	var fault *FaultError
	if errors.As(err, &fault) && path != "" {
		fault.Path = joinPath(path, fault.Path)
	}
	return err
}

func joinPath(path, field string) string {
	if path == "" || field == "" {
		return path + field
	}
	return path + "." + field
}

func indexPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

package settings

import (
	"bytes"
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder decodes JSON with comments into a struct and collects faults. It walks the
// syntax tree itself because encoding/json stops at the first fault, ignores the case
// of field names and uses the last value of a repeated field.
type decoder struct {
	data       []byte
	lines      map[string]int  // line of each path in the file
	reported   map[string]bool // paths that have a fault
	faults     []Fault
	unreadable bool // the file is not a JSON object
}

func newDecoder(data []byte) *decoder {
	return &decoder{data: data, lines: map[string]int{}, reported: map[string]bool{}}
}

// decode decodes the file into dst, a pointer to a struct.
func (d *decoder) decode(dst any) {
	// hujson.Parse aliases its input, so it gets a copy.
	root, err := hujson.Parse(bytes.Clone(d.data))
	if err != nil {
		d.unreadable = true
		d.lines[""] = syntaxLine(err)
		d.report("", KindSyntax, err.Error())
		return
	}
	if root.Value.Kind() != '{' {
		d.unreadable = true
	}
	d.decodeValue("", root, reflect.ValueOf(dst).Elem())
}

// syntaxLine extracts the line from a message such as "hujson: line 3, column
// 5: …", because hujson has no error type that contains it.
func syntaxLine(err error) int {
	_, rest, _ := strings.Cut(err.Error(), "line ")
	digits, _, _ := strings.Cut(rest, ",")
	line, convErr := strconv.Atoi(digits)
	if convErr != nil {
		return 1
	}
	return line
}

// report adds a fault unless its path already has one.
func (d *decoder) report(path string, kind FaultKind, detail string) {
	if d.reported[path] {
		return
	}
	d.reported[path] = true
	d.faults = append(d.faults, Fault{Path: path, Line: d.line(path), Kind: kind, Detail: detail})
}

// line returns the line of path, or of its closest parent that the file contains.
func (d *decoder) line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return max(d.lines[""], 1)
}

// sortedFaults returns the faults in the order of their lines.
func (d *decoder) sortedFaults() []Fault {
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return d.faults
}

// decodeValue decodes v into dst according to the kind of dst.
func (d *decoder) decodeValue(path string, v hujson.Value, dst reflect.Value) {
	d.lines[path] = 1 + bytes.Count(d.data[:v.StartOffset], []byte("\n"))
	switch dst.Kind() {
	case reflect.Pointer:
		dst.Set(reflect.New(dst.Type().Elem()))
		d.decodeValue(path, v, dst.Elem())
	case reflect.Struct:
		d.decodeObject(path, v, dst)
	case reflect.Slice:
		d.decodeArray(path, v, dst)
	default:
		d.decodeLiteral(path, v, dst)
	}
}

func (d *decoder) decodeObject(path string, v hujson.Value, dst reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.report(path, KindWrongType, "expected an object")
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		sub := joinPath(path, name)
		field, known := fieldByName(dst, name)
		switch {
		case !known:
			d.lines[sub] = 1 + bytes.Count(d.data[:member.Name.StartOffset], []byte("\n"))
			d.report(sub, KindUnknownField, "expected one of "+strings.Join(fieldNames(dst.Type()), ", "))
		case seen[name]:
			d.lines[sub] = 1 + bytes.Count(d.data[:member.Name.StartOffset], []byte("\n"))
			d.report(sub, KindDuplicate, "the field appears twice")
		default:
			d.decodeValue(sub, member.Value, field)
		}
		seen[name] = true
	}
}

func (d *decoder) decodeArray(path string, v hujson.Value, dst reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.report(path, KindWrongType, "expected an array")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), element, dst.Index(i))
	}
}

func (d *decoder) decodeLiteral(path string, v hujson.Value, dst reflect.Value) {
	literal, _ := v.Value.(hujson.Literal)
	switch dst.Kind() {
	case reflect.String:
		if v.Value.Kind() != '"' {
			d.report(path, KindWrongType, "expected a string")
			return
		}
		dst.SetString(literal.String())
	case reflect.Bool:
		text := string(literal)
		if text != "true" && text != "false" {
			d.report(path, KindWrongType, "expected true or false")
			return
		}
		dst.SetBool(text == "true")
	case reflect.Float64:
		f, err := strconv.ParseFloat(string(literal), 64)
		if err != nil {
			d.report(path, KindWrongType, "expected a number")
			return
		}
		dst.SetFloat(f)
	default:
		n, err := strconv.ParseInt(string(literal), 10, 64)
		if err != nil || dst.OverflowInt(n) {
			d.report(path, KindWrongType, "expected a whole number")
			return
		}
		dst.SetInt(n)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldByName(dst reflect.Value, name string) (reflect.Value, bool) {
	i := slices.Index(fieldNames(dst.Type()), name)
	if i < 0 {
		return reflect.Value{}, false
	}
	return dst.Field(i), true
}

// fieldNames returns the names of the fields of t in settings files; every field has
// one.
func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("json"))
	}
	return names
}

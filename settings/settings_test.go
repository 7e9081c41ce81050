package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const minimal = `{
  "instance": "i1", "zone": "z1", "region": "r1",
  "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "operators": "127.0.0.1:3"},
  "platform": "127.0.0.1:4",
  "adminToken": "0123456789abcdef",
  "peerToken": "peer-0123456789abcdef",
  "callers": [{"token": "fedcba9876543210", "tenant": "acme"}],
}`

// Guards against defaults that are not applied or differ from the documentation.
func TestMinimalFileGetsDefaults(t *testing.T) {
	got, err := Parse([]byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	want := Defaults()
	want.Instance, want.Zone, want.Region = "i1", "z1", "r1"
	want.Listen = Listen{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	want.PeerAddress = "127.0.0.1:2"
	want.Platform, want.AdminToken = "127.0.0.1:4", "0123456789abcdef"
	want.PeerToken = "peer-0123456789abcdef"
	want.Callers = []Caller{{"fedcba9876543210", "acme"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

// Guards against a fault that hides others, lacks its path or has a wrong line.
func TestAllFaultsAreReported(t *testing.T) {
	_, err := Parse([]byte(`{
  // a comment
  "instance": "",
  "zone": 7,
  "Region": "r1",
  "listen": {"callers": "localhost:80", "peers": "0.0.0.0:2", "operators": "0.0.0.0:2"},
  "platform": "127.0.0.1:0",
  "adminToken": "0123456789abcdef",
  "adminToken": "0123456789abcdef",
  "callers": [
    {"token": "0123456789abcdef", "tenant": "acme"},
    {"token": "short", "tenannt": "acme"},
  ],
  "limits": {"queries": 0, "deadlineMs": 2001, "hits": 1.5},
  "timeouts": {"idleMs": null},
  "logLevel": "loud",
}`))
	want := []string{
		"1 region missing",
		"1 peerAddress missing",
		"1 peerToken missing",
		"3 instance missing",
		"4 zone wrong type",
		"5 Region unknown field",
		"6 listen.callers invalid value",
		"6 listen.operators duplicate",
		"7 platform invalid value",
		"9 adminToken duplicate",
		"11 callers[0].token duplicate",
		"12 callers[1].tenannt unknown field",
		"12 callers[1].token invalid value",
		"12 callers[1].tenant missing",
		"14 limits.hits wrong type",
		"14 limits.queries invalid value",
		"14 limits.deadlineMs invalid value",
		"15 timeouts.idleMs wrong type",
		"16 logLevel invalid value",
	}
	var got []string
	var faults *FaultsError
	if !errors.As(err, &faults) {
		t.Fatalf("error %v, want a FaultsError", err)
	}
	for _, f := range faults.Faults {
		got = append(got, fmt.Sprintf("%d %s %s", f.Line, f.Path, f.Kind))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
	if strings.Contains(err.Error(), "0123456789abcdef") {
		t.Error("the error message contains a token")
	}
}

// Guards against a syntax error without its line, and against accepting files that are
// not an object.
func TestUnreadableFiles(t *testing.T) {
	for file, want := range map[string]Fault{
		"{\n\"instance\": }": {Line: 2, Kind: KindSyntax},
		"":                   {Line: 1, Kind: KindSyntax},
		"[]":                 {Line: 1, Kind: KindWrongType},
	} {
		_, err := Parse([]byte(file))
		var faults *FaultsError
		if !errors.As(err, &faults) || len(faults.Faults) != 1 {
			t.Errorf("%q: error %v, want one fault", file, err)
			continue
		}
		got := faults.Faults[0]
		got.Detail = ""
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%q: fault (-want +got):\n%s", file, diff)
		}
	}
}

// Guards against samples that are rejected or that omit a field.
func TestSamples(t *testing.T) {
	for _, name := range []string{"peachline", "berceuse"} {
		path := "samples/" + name + ".hujson"
		if _, err := Load(path); err != nil {
			t.Errorf("%s: %v", path, err)
		}
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, field := range allFields(reflect.TypeFor[Settings]()) {
			if !strings.Contains(string(data), `"`+field+`"`) {
				t.Errorf("%s does not contain the field %s", path, field)
			}
		}
	}
}

// Guards against defaults in the comments of a sample that differ from the actual
// defaults.
func TestSampleDefaults(t *testing.T) {
	data, err := os.ReadFile("samples/peachline.hujson")
	if err != nil {
		t.Fatal(err)
	}
	uncommented := strings.ReplaceAll(string(data), `// "`, `"`)
	got, err := Parse([]byte(uncommented))
	if err != nil {
		t.Fatal(err)
	}
	want, _ := Load("samples/peachline.hujson")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-sample +uncommented sample):\n%s", diff)
	}
}

// allFields returns the field names of t and of the structs in it.
func allFields(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		out = append(out, fieldNames(t)[i])
		ft := t.Field(i).Type
		if ft.Kind() == reflect.Slice {
			ft = ft.Elem()
		}
		if ft.Kind() == reflect.Struct {
			out = append(out, allFields(ft)...)
		}
	}
	return out
}

// Guards against tokens in formatted settings, which would reach logs.
func TestTokensAreHidden(t *testing.T) {
	s, err := Parse([]byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		if out := fmt.Sprintf(format, s); strings.Contains(out, "0123456789abcdef") || strings.Contains(out, "fedcba9876543210") {
			t.Errorf("%s shows a token: %s", format, out)
		}
	}
}

// Guards against panics on corrupted files, and against corrupted files that are
// accepted with required fields missing or too short a token.
func TestCorruptedFiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(minimal)
		for range rapid.IntRange(1, 4).Draw(t, "edits") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			data[at] = rapid.SampledFrom([]byte(`{}[]",:0a/ `)).Draw(t, "byte")
		}
		s, err := Parse(data)
		if err == nil && (s.Instance == "" || len(s.Callers) == 0 || len(s.AdminToken) < minTokenBytes) {
			t.Fatalf("invalid settings were accepted: %s", data)
		}
	})
}

package docs

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"knapweedstall/settings"
)

func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// sources returns the code without tests in a folder.
func sources(t *testing.T, folder string) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, path := range paths {
		if !strings.HasSuffix(path, "_test.go") {
			all.WriteString(read(t, path))
		}
	}
	return all.String()
}

// found returns the first groups of all matches. It fails the test when there
// are fewer than least, so that a changed form of the code is noticed.
func found(t *testing.T, text, pattern string, least int) []string {
	t.Helper()
	var out []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		out = append(out, m[1])
	}
	slices.Sort(out)
	out = slices.Compact(out)
	if len(out) < least {
		t.Fatalf("%d matches of %s, at least %d expected", len(out), pattern, least)
	}
	return out
}

// wantRows fails for each name without a row of its own in the page.
func wantRows(t *testing.T, page string, names []string) {
	t.Helper()
	text := read(t, page)
	for _, name := range names {
		if !strings.Contains(text, "\n| `"+name+"` |") {
			t.Errorf("%s has no row for %s", page, name)
		}
	}
}

func settingsPaths(prefix string, typ reflect.Type) []string {
	var out []string
	for field := range typ.Fields() {
		path, inner := prefix+field.Tag.Get("json"), field.Type
		out = append(out, path)
		if inner.Kind() == reflect.Slice {
			path, inner = path+"[]", inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			out = append(out, settingsPaths(path+".", inner)...)
		}
	}
	return out
}

// Guards against settings that no page explains.
func TestSettingsPage(t *testing.T) {
	wantRows(t, "settings.md", settingsPaths("", reflect.TypeFor[settings.Settings]()))
}

// Guards against metrics that no page explains.
func TestMetrics(t *testing.T) {
	code := read(t, "../instance/metrics.go")
	names := found(t, code, `\{"([a-z_]+)", `, 16)
	names = append(names, found(t, code, `(?:Gauge|Histogram)\("([a-z_]+)"`, 2)...)
	wantRows(t, "OPERATIONS.md", names)
}

// Guards against log codes that no page explains.
func TestLogCodes(t *testing.T) {
	names := found(t, sources(t, "../core/node"), `logf\([^,]+, "(\w+)"`, 9)
	names = append(names, found(t, sources(t, "../instance"), `"code", "(\w+)"`, 3)...)
	wantRows(t, "OPERATIONS.md", names)
}

// Guards against error codes and reasons that no page explains to callers.
func TestCallerCodes(t *testing.T) {
	wantRows(t, "callers.md", found(t, read(t, "../io/caller/wire.go"), `Code\w+ +Code = "(\w+)"`, 12))
	wantRows(t, "callers.md", found(t, read(t, "../io/caller/wire.go"), `Outcome\w+ +Outcome = "(\w+)"`, 3))
	wantRows(t, "callers.md", found(t, read(t, "../core/message/message.go"), `Reason\w+ +Reason = "(\w+)"`, 8))
}

// Guards against error codes, faults and scopes that no page explains to
// operators.
func TestTicketsPage(t *testing.T) {
	wantRows(t, "tickets.md", found(t, read(t, "../io/operator/server.go"), `Code\w+ +Code = "(\w+)"`, 8))
	page := read(t, "tickets.md")
	for _, fault := range found(t, read(t, "../core/ticket/fault.go"), `Fault\w+ +FaultCode = "(\w+)"`, 9) {
		if !strings.Contains(page, "`"+fault+"`") {
			t.Errorf("tickets.md does not name the fault %s", fault)
		}
	}
	for _, kind := range found(t, read(t, "../core/ticket/scope.go"), `Kind\w+ +Kind = "(\w+)"`, 5) {
		if !strings.Contains(page, "\n### `"+kind) {
			t.Errorf("tickets.md has no section for the scope %s", kind)
		}
	}
}

// Guards against choices that rest on a test or benchmark that is gone.
func TestNamedTestsExist(t *testing.T) {
	for _, page := range []string{"choices.md", "OPERATIONS.md", "install.md"} {
		text := read(t, page)
		for _, m := range regexp.MustCompile("`([a-z/0-9]+)\\.((?:Test|Benchmark|Fuzz)\\w+)`").FindAllStringSubmatch(text, -1) {
			paths, err := filepath.Glob(filepath.Join("..", m[1], "*_test.go"))
			if err != nil {
				t.Fatal(err)
			}
			declared := slices.ContainsFunc(paths, func(path string) bool { return strings.Contains(read(t, path), "func "+m[2]+"(") })
			if !declared {
				t.Errorf("%s names %s, which is not in %s", page, m[2], m[1])
			}
		}
	}
}

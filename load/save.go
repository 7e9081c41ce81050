package load

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Save writes result.json, result.txt, cdf.png and series.png into dir, which
// is created if needed. It fails with *NoSamplesError for a run without
// requests.
func (r *Result) Save(dir string) error {
	return saveAll(dir, map[string]func(io.Writer) error{
		"result.json": jsonWriter(r),
		"result.txt":  r.WriteTable,
		"cdf.png":     func(w io.Writer) error { return WriteCDF(w, r.Plan.Name, r) },
		"series.png":  func(w io.Writer) error { return WriteSeries(w, r.Plan.Name, r) },
	})
}

// Save writes comparison.json and comparison.txt into dir, which is created if
// needed.
func (c Comparison) Save(dir string) error {
	return saveAll(dir, map[string]func(io.Writer) error{
		"comparison.json": jsonWriter(c),
		"comparison.txt":  c.WriteTable,
	})
}

// jsonWriter returns a function that writes v as indented JSON.
func jsonWriter(v any) func(io.Writer) error {
	return func(w io.Writer) error {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return errors.WithStack(e.Encode(v))
	}
}

// saveAll writes files, given as functions by file name, into dir, which is created
// if needed.
func saveAll(dir string, files map[string]func(io.Writer) error) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.WithStack(err)
	}
	for name, write := range files {
		var b bytes.Buffer
		if err := write(&b); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name), b.Bytes(), 0o644); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

package load

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// WriteTable writes the result as a text table with one line for the total and one
// for each stream, followed by the numbers of refusals, failures and missing shards
// by code or reason.
func (r *Result) WriteTable(w io.Writer) error {
	rows := [][]string{
		{"", "offered", "answered", "good/s", "coverage", "wrong", "refused", "failed", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms"},
		summaryRow(r.Plan.Name, r.Total),
	}
	for _, g := range r.Streams {
		rows = append(rows, summaryRow(fmt.Sprintf("%s %s", g.Workspace, g.Collection), g.Summary))
	}
	if err := writeRows(w, rows); err != nil {
		return err
	}
	kinds := formatCounts("refusals", r.Total.Refusals) + formatCounts("failures", r.Total.Failures) + formatCounts("missing shards", r.Total.MissingShards)
	_, err := io.WriteString(w, kinds)
	return errors.WithStack(err)
}

// summaryRow returns the cells of one line of the table.
func summaryRow(name string, s Summary) []string {
	row := []string{
		name,
		strconv.Itoa(s.Offered),
		strconv.Itoa(s.Answered),
		formatNumber(s.GoodPerSec, true),
		formatNumber(s.MeanCoverage, s.Answered > 0),
		strconv.Itoa(s.Wrong),
		strconv.Itoa(s.Refused),
		strconv.Itoa(s.Failed),
	}
	l := s.LatencyMS
	for _, v := range []float64{l.P50, l.P90, l.P99, l.P999, l.Max} {
		row = append(row, formatNumber(v, l.Count > 0))
	}
	return row
}

// writeRows writes rows of cells in aligned columns.
func writeRows(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := io.WriteString(t, strings.Join(row, "\t")+"\n"); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.WithStack(t.Flush())
}

// formatNumber formats v with 4 significant digits, or returns "-" for a value
// without samples.
func formatNumber(v float64, known bool) string {
	if !known {
		return "-"
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}

// formatCounts formats one line with the counts by key, or "" without counts.
func formatCounts[K ~string](title string, m map[K]int) string {
	if len(m) == 0 {
		return ""
	}
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	line := title + ":"
	for _, k := range keys {
		line += fmt.Sprintf(" %s=%d", k, m[k])
	}
	return line + "\n"
}

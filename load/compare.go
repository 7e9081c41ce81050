package load

import "io"

// Comparison sets a result of this version against a baseline.
type Comparison struct {
	Name string `json:"name"`
	Rows []Row  `json:"rows"`
}

// Row compares one figure.
type Row struct {
	Metric   string   `json:"metric"`
	Unit     string   `json:"unit"`
	Baseline *float64 `json:"baseline"` // nil without samples
	Ours     *float64 `json:"ours"`     // nil without samples
	Ratio    *float64 `json:"ratio"`    // ours / baseline; nil without both or with a baseline of 0
}

// Compare returns the figures of both results side by side. The offered rates
// are among them, so that a comparison of different loads shows as such.
func Compare(name string, baseline, ours *Result) Comparison {
	c := Comparison{Name: name}
	for _, m := range metrics {
		row := Row{Metric: m.name, Unit: m.unit, Baseline: m.of(baseline), Ours: m.of(ours)}
		if row.Baseline != nil && row.Ours != nil && *row.Baseline != 0 {
			ratio := *row.Ours / *row.Baseline
			row.Ratio = &ratio
		}
		c.Rows = append(c.Rows, row)
	}
	return c
}

type metric struct {
	name, unit string
	of         func(*Result) *float64
}

var metrics = []metric{
	{"offered", "1/s", perSecond(func(s Summary) int { return s.Offered })},
	{"answered", "1/s", perSecond(func(s Summary) int { return s.Answered })},
	{"goodput", "1/s", perSecond(func(s Summary) int { return s.Good })},
	{"refused", "1/s", perSecond(func(s Summary) int { return s.Refused })},
	{"failed", "1/s", perSecond(func(s Summary) int { return s.Failed })},
	{"wrong", "answers", func(r *Result) *float64 { return known(float64(r.Total.Wrong), true) }},
	{"coverage of answers", "share", func(r *Result) *float64 { return known(r.Total.MeanCoverage, r.Total.Answered > 0) }},
	{"coverage of all requests", "share", func(r *Result) *float64 { return known(r.Total.OfferedCoverage, r.Total.Offered > 0) }},
	{"latency mean", "ms", latency(func(q Quantiles) float64 { return q.Mean })},
	{"latency p50", "ms", latency(func(q Quantiles) float64 { return q.P50 })},
	{"latency p90", "ms", latency(func(q Quantiles) float64 { return q.P90 })},
	{"latency p99", "ms", latency(func(q Quantiles) float64 { return q.P99 })},
	{"latency p99.9", "ms", latency(func(q Quantiles) float64 { return q.P999 })},
	{"refusal p99", "ms", func(r *Result) *float64 { return known(r.Total.RefusalMS.P99, r.Total.RefusalMS.Count > 0) }},
}

func perSecond(count func(Summary) int) func(*Result) *float64 {
	return func(r *Result) *float64 {
		return known(float64(count(r.Total))*1000/r.ElapsedMS, r.ElapsedMS > 0)
	}
}

func latency(of func(Quantiles) float64) func(*Result) *float64 {
	return func(r *Result) *float64 { return known(of(r.Total.LatencyMS), r.Total.LatencyMS.Count > 0) }
}

func known(v float64, ok bool) *float64 {
	if !ok {
		return nil
	}
	return &v
}

// WriteTable writes the comparison as a plain table.
func (c Comparison) WriteTable(w io.Writer) error {
	rows := [][]string{{c.Name, "unit", "baseline", "ours", "ratio"}}
	for _, r := range c.Rows {
		rows = append(rows, []string{r.Metric, r.Unit, cell(r.Baseline), cell(r.Ours), cell(r.Ratio)})
	}
	return writeRows(w, rows)
}

func cell(v *float64) string {
	if v == nil {
		return "-"
	}
	return number(*v, true)
}

package load

import "io"

// Comparison compares a result ("ours") with that of a baseline.
type Comparison struct {
	Name string `json:"name"`
	Rows []Row  `json:"rows"`
}

// Row compares one metric.
type Row struct {
	Metric   string   `json:"metric"`
	Unit     string   `json:"unit"`
	Baseline *float64 `json:"baseline"` // nil without samples
	Ours     *float64 `json:"ours"`     // nil without samples
	Ratio    *float64 `json:"ratio"`    // ours / baseline; nil without both or with a baseline of 0
}

// Compare returns the metrics of both results. They include the offered rates, which
// show when results of different loads are compared.
func Compare(name string, baseline, ours *Result) Comparison {
	c := Comparison{Name: name}
	for _, m := range metrics {
		row := Row{Metric: m.name, Unit: m.unit, Baseline: m.value(baseline), Ours: m.value(ours)}
		if row.Baseline != nil && row.Ours != nil && *row.Baseline != 0 {
			ratio := *row.Ours / *row.Baseline
			row.Ratio = &ratio
		}
		c.Rows = append(c.Rows, row)
	}
	return c
}

// metric is a figure of a result that Compare compares.
type metric struct {
	name, unit string
	value      func(*Result) *float64 // returns nil without samples
}

var metrics = []metric{
	{"offered", "1/s", perSecond(func(s Summary) int { return s.Offered })},
	{"answered", "1/s", perSecond(func(s Summary) int { return s.Answered })},
	{"goodput", "1/s", perSecond(func(s Summary) int { return s.Good })},
	{"refused", "1/s", perSecond(func(s Summary) int { return s.Refused })},
	{"failed", "1/s", perSecond(func(s Summary) int { return s.Failed })},
	{"wrong", "answers", func(r *Result) *float64 { return optional(float64(r.Total.Wrong), true) }},
	{"coverage of answers", "share", func(r *Result) *float64 { return optional(r.Total.MeanCoverage, r.Total.Answered > 0) }},
	{"coverage of all requests", "share", func(r *Result) *float64 { return optional(r.Total.OfferedCoverage, r.Total.Offered > 0) }},
	{"latency mean", "ms", latency(func(q Quantiles) float64 { return q.Mean })},
	{"latency p50", "ms", latency(func(q Quantiles) float64 { return q.P50 })},
	{"latency p90", "ms", latency(func(q Quantiles) float64 { return q.P90 })},
	{"latency p99", "ms", latency(func(q Quantiles) float64 { return q.P99 })},
	{"latency p99.9", "ms", latency(func(q Quantiles) float64 { return q.P999 })},
	{"refusal p99", "ms", func(r *Result) *float64 { return optional(r.Total.RefusalMS.P99, r.Total.RefusalMS.Count > 0) }},
}

// perSecond returns the rate of the counted requests over a run.
func perSecond(count func(Summary) int) func(*Result) *float64 {
	return func(r *Result) *float64 {
		return optional(float64(count(r.Total))*1000/r.ElapsedMS, r.ElapsedMS > 0)
	}
}

// latency returns a quantile of the latency of a run.
func latency(quantile func(Quantiles) float64) func(*Result) *float64 {
	return func(r *Result) *float64 { return optional(quantile(r.Total.LatencyMS), r.Total.LatencyMS.Count > 0) }
}

// optional returns a pointer to v, or nil unless ok.
func optional(v float64, ok bool) *float64 {
	if !ok {
		return nil
	}
	return &v
}

// WriteTable writes the comparison as a text table.
func (c Comparison) WriteTable(w io.Writer) error {
	rows := [][]string{{c.Name, "unit", "baseline", "ours", "ratio"}}
	for _, r := range c.Rows {
		rows = append(rows, []string{r.Metric, r.Unit, formatCell(r.Baseline), formatCell(r.Ours), formatCell(r.Ratio)})
	}
	return writeRows(w, rows)
}

// formatCell formats an optional number.
func formatCell(v *float64) string {
	if v == nil {
		return "-"
	}
	return formatNumber(*v, true)
}

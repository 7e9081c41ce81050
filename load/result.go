package load

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Result is the outcome of one run.
type Result struct {
	Plan          Plan            `json:"plan"` // without tokens
	StartedUnixMS int64           `json:"startedUnixMs"`
	ElapsedMS     float64         `json:"elapsedMs"` // duration of the recorded part of the run: the plan's duration unless the run was stopped
	Total         Summary         `json:"total"`
	Streams       []StreamSummary `json:"streams"` // in the order of the plan
	Series        []Bucket        `json:"series"`
	CDF           []float64       `json:"cdf"`   // latency in ms at the fractions 0/1000 to 1000/1000; empty without samples
	LagMS         Quantiles       `json:"lagMs"` // delay from the intended arrival until the generator acted; the other figures are unreliable when it is large
}

// Summary summarizes the requests of a run or of a part of it.
type Summary struct {
	Offered           int                    `json:"offered"`
	Answered          int                    `json:"answered"`
	Complete          int                    `json:"complete"` // answers that cover all shards
	Wrong             int                    `json:"wrong"`    // answers that the check rejected
	Good              int                    `json:"good"`     // complete and correct answers within the deadline
	GoodPerSec        float64                `json:"goodPerSec"`
	Refused           int                    `json:"refused"` // errors which guarantee that the request did not run
	Failed            int                    `json:"failed"`
	Refusals          map[string]int         `json:"refusals"`     // by code
	WithoutRetryAfter int                    `json:"withoutRetry"` // refusals without a time to retry after
	Failures          map[Failure]int        `json:"failures"`
	MissingShards     map[message.Reason]int `json:"missingShards"`   // number of missing shards, summed over answers
	MeanCoverage      float64                `json:"meanCoverage"`    // share of shards covered, mean over answers
	MinCoverage       float64                `json:"minCoverage"`     // lowest share of shards covered by an answer
	LatencyMS         Quantiles              `json:"latencyMs"`       // latency of answers and failures; a failure counts with at least Plan.TimeoutMS
	RefusalMS         Quantiles              `json:"refusalMs"`       // latency of refusals
	RetryAfterMS      Quantiles              `json:"retryAfterMs"`    // time to retry after that refusals state
	OfferedCoverage   float64                `json:"offeredCoverage"` // share of shards covered, mean over all requests; 0 for a request without an answer
}

// StreamSummary is the summary of one stream.
type StreamSummary struct {
	Workspace  topology.WorkspaceID  `json:"tenant"`
	Collection topology.CollectionID `json:"collection"`
	Summary    Summary               `json:"summary"`
}

// Bucket is the summary of the requests that arrived within one interval of the time
// series.
type Bucket struct {
	FromMS  float64 `json:"fromMs"` // after the start of the recorded part
	WidthMS float64 `json:"widthMs"`
	Summary Summary `json:"summary"`
}

// Quantiles summarizes a distribution in ms. All fields are 0 when Count is 0.
type Quantiles struct {
	Count int     `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// newResult summarizes the samples of a run.
func newResult(p Plan, start time.Time, elapsed time.Duration, samples []sample) *Result {
	r := &Result{
		Plan:          p.withoutTokens(),
		StartedUnixMS: start.UnixMilli(),
		ElapsedMS:     inMS(elapsed),
		Total:         summarize(p, elapsed, samples),
	}
	for i, s := range p.Streams {
		own := filter(samples, func(x sample) bool { return x.stream == i })
		r.Streams = append(r.Streams, StreamSummary{s.Workspace, s.Collection, summarize(p, elapsed, own)})
	}
	r.Series = series(p, elapsed, samples)
	latencies := sortedValues(samples, sample.hasLatency, func(s sample) float64 { return inMS(s.latency) })
	for i := 0; i <= 1000 && len(latencies) > 0; i++ {
		r.CDF = append(r.CDF, stat.Quantile(float64(i)/1000, stat.Empirical, latencies, nil))
	}
	r.LagMS = quantiles(sortedValues(samples, anySample, func(s sample) float64 { return inMS(s.lag) }))
	return r
}

// series splits the run into buckets. The last bucket also includes a remainder that
// is shorter than a bucket, because a bucket with few requests would show as a spike.
func series(p Plan, elapsed time.Duration, samples []sample) []Bucket {
	width := p.BucketMS.Std()
	buckets := make([][]sample, max(elapsed/width, 1))
	for _, s := range samples {
		i := min(int(s.at/width), len(buckets)-1)
		buckets[i] = append(buckets[i], s)
	}
	out := make([]Bucket, 0, len(buckets))
	for i, b := range buckets {
		from, to := time.Duration(i)*width, time.Duration(i+1)*width
		if i == len(buckets)-1 {
			to = elapsed
		}
		out = append(out, Bucket{FromMS: inMS(from), WidthMS: inMS(to - from), Summary: summarize(p, to-from, b)})
	}
	return out
}

// summarize returns the summary of samples that arrived within elapsed.
func summarize(p Plan, elapsed time.Duration, samples []sample) Summary {
	s := Summary{
		Offered:       len(samples),
		Refusals:      map[string]int{},
		Failures:      map[Failure]int{},
		MissingShards: map[message.Reason]int{},
		MinCoverage:   1,
	}
	coverage := 0.0
	for _, x := range samples {
		coverage += s.count(x)
		if x.good(p.DeadlineMS) {
			s.Good++
		}
	}
	if s.Answered > 0 {
		s.MeanCoverage = coverage / float64(s.Answered)
	} else {
		s.MinCoverage = 0
	}
	if s.Offered > 0 {
		s.OfferedCoverage = coverage / float64(s.Offered)
	}
	if elapsed > 0 {
		s.GoodPerSec = float64(s.Good) / elapsed.Seconds()
	}
	latency := func(x sample) float64 { return inMS(x.latency) }
	s.LatencyMS = quantiles(sortedValues(samples, sample.hasLatency, latency))
	s.RefusalMS = quantiles(sortedValues(samples, sample.refused, latency))
	s.RetryAfterMS = quantiles(sortedValues(samples, sample.refused, func(x sample) float64 {
		return float64(x.reply.refusal.RetryAfterMS)
	}))
	return s
}

// count adds one request and returns the share of the shards that its answer covers.
func (s *Summary) count(x sample) float64 {
	switch {
	case x.reply.refusal != nil:
		s.Refused++
		s.Refusals[x.reply.refusal.Code]++
		if x.reply.refusal.RetryAfterMS <= 0 {
			s.WithoutRetryAfter++
		}
		return 0
	case x.reply.answer == nil:
		s.Failed++
		s.Failures[x.reply.failure]++
		return 0
	}
	s.Answered++
	if x.wrong {
		s.Wrong++
	}
	c := x.reply.answer.Coverage
	for _, m := range c.Missing {
		s.MissingShards[m.Reason] += len(m.Shards)
	}
	if c.Answered == c.Total {
		s.Complete++
		return 1
	}
	share := float64(c.Answered) / float64(c.Total)
	s.MinCoverage = min(s.MinCoverage, share)
	return share
}

// hasLatency reports whether the sample belongs to the latency distribution. Refusals
// are excluded: they are fast and would hide slow answers.
func (s sample) hasLatency() bool { return s.reply.refusal == nil }

func (s sample) refused() bool { return s.reply.refusal != nil }

func anySample(sample) bool { return true }

func filter(samples []sample, keep func(sample) bool) []sample {
	var out []sample
	for _, s := range samples {
		if keep(s) {
			out = append(out, s)
		}
	}
	return out
}

// sortedValues returns the values of the samples that keep selects, in ascending
// order.
func sortedValues(samples []sample, keep func(sample) bool, value func(sample) float64) []float64 {
	out := make([]float64, 0, len(samples))
	for _, s := range samples {
		if keep(s) {
			out = append(out, value(s))
		}
	}
	slices.Sort(out)
	return out
}

// quantiles returns the quantiles of x, which is sorted in ascending order.
func quantiles(x []float64) Quantiles {
	if len(x) == 0 {
		return Quantiles{}
	}
	at := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, x, nil) }
	return Quantiles{
		Count: len(x),
		Mean:  stat.Mean(x, nil),
		P50:   at(0.5),
		P90:   at(0.9),
		P99:   at(0.99),
		P999:  at(0.999),
		Max:   x[len(x)-1],
	}
}

func inMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

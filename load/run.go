package load

import (
	"context"
	"sync"
	"time"

	"knapweedstall/core/clock"
)

// Check returns an error for a wrong answer, or nil. It is called from several
// goroutines.
type Check func(q Query, a Answer) error

// Option changes a run.
type Option func(*runner)

// WithCheck counts the answers that check rejects as wrong.
func WithCheck(check Check) Option { return func(r *runner) { r.check = check } }

// WithWrongAnswerFunc calls f for every wrong answer, from several goroutines.
func WithWrongAnswerFunc(f func(q Query, a Answer, err error)) Option {
	return func(r *runner) { r.onWrongAnswer = f }
}

// runner executes one plan.
type runner struct {
	plan          Plan
	client        *client
	check         Check
	onWrongAnswer func(Query, Answer, error)

	mu      sync.Mutex
	samples []sample
}

// sample is the record of one request.
type sample struct {
	at      time.Duration // intended arrival after the warm-up
	stream  int
	lag     time.Duration // from the intended arrival until the request was started
	latency time.Duration // from the intended arrival; at least Plan.TimeoutMS for failures
	reply   reply
	wrong   bool
}

// Run executes the plan and waits for the outcome of every request. When ctx ends,
// no further requests are sent and those in flight fail. It fails with
// *AddressError or *PlanError before anything is sent.
func Run(ctx context.Context, plan Plan, opts ...Option) (*Result, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	plan = plan.withDefaults()
	r := &runner{
		plan:          plan,
		client:        newClient(plan),
		check:         func(Query, Answer) error { return nil },
		onWrongAnswer: func(Query, Answer, error) {},
	}
	for _, o := range opts {
		o(r)
	}
	defer r.client.close()
	start := time.Now()
	elapsed := plan.DurationMS.Std()
	if !r.generate(ctx, start) {
		elapsed = max(min(time.Since(start)-plan.WarmupMS.Std(), elapsed), 0)
	}
	return newResult(plan, start, elapsed, r.samples), nil
}

// generate starts a request at each arrival, independent of the answers to earlier
// ones, and waits for the last outcome. It reports false when ctx ended
// before the last arrival.
func (r *runner) generate(ctx context.Context, start time.Time) bool {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, r.plan.MaxOutstanding)
	arrivals := newSchedule(r.plan)
	for {
		a, ok := arrivals.next()
		if !ok {
			return true
		}
		if !sleepUntil(ctx, start.Add(a.at)) {
			return false
		}
		intended := start.Add(a.at)
		lag := time.Since(intended)
		select {
		case slots <- struct{}{}:
			wg.Go(func() {
				defer func() { <-slots }()
				r.request(ctx, a, intended, lag)
			})
		default:
			r.record(a, lag, lag, reply{failure: FailureTooManyOutstanding}, false)
		}
	}
}

// request sends one request, checks its answer and records the outcome.
func (r *runner) request(ctx context.Context, a arrival, intended time.Time, lag time.Duration) {
	rep := r.client.query(ctx, a.query, intended.Add(r.plan.TimeoutMS.Std()))
	done := time.Now()
	wrong := false
	if rep.answer != nil {
		if err := r.check(a.query, *rep.answer); err != nil {
			wrong = true
			r.onWrongAnswer(a.query, *rep.answer, err)
		}
		rep.answer.Hits = nil // no longer needed; keeping the hits of all samples would take much memory
	}
	r.record(a, done.Sub(intended), lag, rep, wrong)
}

// record adds a sample, except during the warm-up. A failed request counts with a
// latency of at least Plan.TimeoutMS, so that fast failures do not improve a
// percentile.
func (r *runner) record(a arrival, latency, lag time.Duration, rep reply, wrong bool) {
	if a.at < r.plan.WarmupMS.Std() {
		return
	}
	if rep.failure != "" {
		latency = max(latency, r.plan.TimeoutMS.Std())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, sample{
		at:      a.at - r.plan.WarmupMS.Std(),
		stream:  a.query.Stream,
		lag:     lag,
		latency: latency,
		reply:   rep,
		wrong:   wrong,
	})
}

// good reports whether the request got a complete and correct answer within the
// deadline.
func (s sample) good(deadline clock.Duration) bool {
	a := s.reply.answer
	return a != nil && !s.wrong && a.Coverage.Answered == a.Coverage.Total && s.latency <= deadline.Std()
}

// sleepUntil waits until t and reports false if ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

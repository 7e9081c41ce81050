package admission

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// smoothing is the weight of the newest interval in the admitted rate. With a
// few queries in each interval, a larger weight follows their randomness.
const smoothing = 0.1

// minFactor bounds how much one interval lowers the rate.
const minFactor = 0.5

// minRate, in queries per ms, lets a query through now and then, without which
// no reply could show that the back end has recovered.
const minRate = 1.0 / 1000

// Option changes a default of a Controller.
type Option func(*options)

type options struct {
	weight        func(topology.WorkspaceID) float64
	interval      clock.Duration
	minReplies    int
	burst         clock.Duration
	maxRetryAfter clock.Duration
	goal          float64
	increase      float64
	decrease      float64
}

func defaults() options {
	return options{
		weight:        func(topology.WorkspaceID) float64 { return 1 },
		interval:      100 * clock.Millisecond,
		burst:         250 * clock.Millisecond,
		maxRetryAfter: 5 * clock.Second,
		goal:          0.1,
		minReplies:    10,
		increase:      0.02,
		decrease:      0.9,
	}
}

// WithWeights sets the workspaces' weights, which must be positive. The function is
// called when a workspace is first seen after a pause.
func WithWeights(w func(topology.WorkspaceID) float64) Option {
	return func(o *options) { o.weight = w }
}

// WithInterval sets how often the rate is adjusted.
func WithInterval(d clock.Duration) Option { return func(o *options) { o.interval = d } }

// WithBurst sets for how long unused rate is kept for each workspace.
func WithBurst(d clock.Duration) Option { return func(o *options) { o.burst = d } }

// WithMaxRetryAfter bounds what Admit returns.
func WithMaxRetryAfter(d clock.Duration) Option { return func(o *options) { o.maxRetryAfter = d } }

// WithGoal sets the goal of the queueing delay as a part of the deadline.
func WithDelayGoal(part float64) Option { return func(o *options) { o.goal = part } }

// WithIncrease sets the step that one interval adds, as a part of the rate at
// which queueing was first seen.
func WithIncrease(part float64) Option { return func(o *options) { o.increase = part } }

// WithDecrease sets the factor by which the rate is lowered for a queue as long
// as the goal; it is applied once more for each further such length.
func WithDecrease(factor float64) Option { return func(o *options) { o.decrease = factor } }

// WithMinReplies sets from how many replies a service is judged. A service with
// fewer in an interval is judged later. Fewer replies mistake random arrivals
// for a standing queue.
func WithMinReplies(n int) Option { return func(o *options) { o.minReplies = n } }

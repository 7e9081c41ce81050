package admission

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// smoothing is the weight of the newest interval in the smoothed rate of admitted
// queries. With only a few queries in each interval, a larger weight would make the
// smoothed rate follow their random variation.
const smoothing = 0.1

// minDecreaseFactor is the smallest factor by which the rate is multiplied in one
// interval.
const minDecreaseFactor = 0.5

// minRate, in queries per ms, keeps a few queries admitted, since otherwise no reply
// could show that the back end has recovered.
const minRate = 1.0 / 1000

// Option configures a Controller.
type Option func(*options)

type options struct {
	weight        func(topology.WorkspaceID) float64
	interval      clock.Duration
	minReplies    int
	burst         clock.Duration
	maxRetryAfter clock.Duration
	delayGoal     float64
	increase      float64
	decrease      float64
}

func defaults() options {
	return options{
		weight:        func(topology.WorkspaceID) float64 { return 1 },
		interval:      100 * clock.Millisecond,
		burst:         250 * clock.Millisecond,
		maxRetryAfter: 5 * clock.Second,
		delayGoal:     0.1,
		minReplies:    10,
		increase:      0.02,
		decrease:      0.9,
	}
}

// WithWeights sets the workspaces' weights, which must be positive. The function is
// called for the first query of a workspace, and for the first one after the workspace
// has been idle for 10 s.
func WithWeights(w func(topology.WorkspaceID) float64) Option {
	return func(o *options) { o.weight = w }
}

// WithInterval sets how often the rate is adjusted.
func WithInterval(d clock.Duration) Option { return func(o *options) { o.interval = d } }

// WithBurst sets the time for which each workspace can accumulate unused rate.
func WithBurst(d clock.Duration) Option { return func(o *options) { o.burst = d } }

// WithMaxRetryAfter sets the upper limit of the retryAfter that Admit returns.
func WithMaxRetryAfter(d clock.Duration) Option { return func(o *options) { o.maxRetryAfter = d } }

// WithDelayGoal sets the queueing delay above which a queue counts as too long, as a
// fraction of the time that a query has until its deadline.
func WithDelayGoal(fraction float64) Option { return func(o *options) { o.delayGoal = fraction } }

// WithIncrease sets the increase of the rate in one interval, as a fraction of the rate
// at which a standing queue was first detected.
func WithIncrease(fraction float64) Option { return func(o *options) { o.increase = fraction } }

// WithDecrease sets the factor by which the rate is multiplied for a queue as long as
// the delay goal. For a queue of n times that length, the factor is applied n times.
func WithDecrease(factor float64) Option { return func(o *options) { o.decrease = factor } }

// WithMinReplies sets the number of replies that are necessary to check a service for a
// standing queue. A service with fewer replies in an interval is checked in a later
// one. With too small a number, random arrivals are mistaken for a standing queue.
func WithMinReplies(n int) Option { return func(o *options) { o.minReplies = n } }

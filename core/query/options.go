package query

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Defaults of the options.
const (
	// DefaultAnswerMargin covers the way of the answer back to the caller.
	DefaultAnswerMargin = 5 * clock.Millisecond
	// DefaultMinAttempt is one hop to a holder, one to a target and a short run.
	DefaultMinAttemptTime = 5 * clock.Millisecond
	// DefaultRestartTime is the least time in which a whole query can complete.
	DefaultMinRestartTime = 10 * clock.Millisecond
	// DefaultRetryAfter is used when no refusal stated a time.
	DefaultRetryAfter = 100 * clock.Millisecond
)

// Router names the holder that a service's sub-request should go to, other than
// avoid unless that is zero. It reports false when there is none.
type Router interface {
	Route(now clock.Time, service topology.ServiceID, avoid topology.InstanceRef) (topology.InstanceRef, bool)
}

// KnownGood tells whether a fingerprint has recently completed on a snapshot,
// so that it needs no canary.
type KnownGood interface {
	KnownGood(now clock.Time, f message.Fingerprint, snapshot topology.SnapshotID) bool
}

// Delays learns how long holders take to reply, across queries. FailoverAfter
// reports false while too little is known of the service.
type Delays interface {
	Observe(service topology.ServiceID, d clock.Duration)
	FailoverAfter(service topology.ServiceID) (clock.Duration, bool)
}

// Option changes a default of a Query.
type Option func(*options)

type options struct {
	knownGood      KnownGood
	delays         Delays
	answerMargin   clock.Duration
	minAttemptTime clock.Duration
	minRestartTime clock.Duration
	retryAfter     clock.Duration
}

// WithKnownGood sets the record of safe fingerprints. Without it every query
// starts with a canary.
func WithKnownGood(k KnownGood) Option { return func(o *options) { o.knownGood = k } }

// WithDelays sets the observed reply delays. Without them the other holder is
// tried after half the time that is left when a sub-request is sent.
func WithDelays(d Delays) Option { return func(o *options) { o.delays = d } }

// WithAnswerMargin sets how long before the deadline the query finishes.
func WithAnswerMargin(d clock.Duration) Option { return func(o *options) { o.answerMargin = d } }

// WithMinAttempt sets the least time left for which the other holder is tried.
func WithMinAttemptTime(d clock.Duration) Option { return func(o *options) { o.minAttemptTime = d } }

// WithRestartTime sets the least time left for which the query restarts on
// another snapshot. The slowest reply seen so far raises it.
func WithMinRestartTime(d clock.Duration) Option { return func(o *options) { o.minRestartTime = d } }

// WithRetryAfter sets the retry-after of refusals for which no holder gave one.
func WithRetryAfter(d clock.Duration) Option { return func(o *options) { o.retryAfter = d } }

func defaults() options {
	return options{
		answerMargin:   DefaultAnswerMargin,
		minAttemptTime: DefaultMinAttemptTime,
		minRestartTime: DefaultMinRestartTime,
		retryAfter:     DefaultRetryAfter,
	}
}

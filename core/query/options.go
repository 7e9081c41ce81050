package query

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Defaults of the options.
const (
	// DefaultAnswerMargin is the time that is reserved for sending the answer to the
	// caller.
	DefaultAnswerMargin = 5 * clock.Millisecond
	// DefaultMinAttemptTime is enough for one hop to a holder, one to a target and a
	// short execution.
	DefaultMinAttemptTime = 5 * clock.Millisecond
	// DefaultMinRestartTime is the shortest time in which a whole query can complete.
	DefaultMinRestartTime = 10 * clock.Millisecond
	// DefaultRetryAfter is used when no refusal stated a retry-after.
	DefaultRetryAfter = 100 * clock.Millisecond
)

// Router selects the holder to which a service's sub-request is sent. A service has up
// to two holders, the instances that may send work to its targets. Route returns a
// holder other than avoid, which is zero if any will do, and false if there is none.
type Router interface {
	Route(now clock.Time, service topology.ServiceID, avoid topology.InstanceRef) (topology.InstanceRef, bool)
}

// KnownGood reports whether a query with the fingerprint recently completed on a
// snapshot, so that it needs no canary.
type KnownGood interface {
	KnownGood(now clock.Time, f message.Fingerprint, snapshot topology.SnapshotID) bool
}

// Delays collects the reply delays of holders across queries. FailoverAfter returns the
// delay after which the other holder is tried, and false while there are too few samples
// of the service.
type Delays interface {
	Observe(service topology.ServiceID, d clock.Duration)
	FailoverAfter(service topology.ServiceID) (clock.Duration, bool)
}

// Option configures a Query.
type Option func(*options)

type options struct {
	knownGood      KnownGood
	delays         Delays
	answerMargin   clock.Duration
	minAttemptTime clock.Duration
	minRestartTime clock.Duration
	retryAfter     clock.Duration
}

// WithKnownGood sets the source of known safe fingerprints. Without it, every query
// starts with a canary.
func WithKnownGood(k KnownGood) Option { return func(o *options) { o.knownGood = k } }

// WithDelays sets the source of reply delays. Without it, the other holder is tried when
// half of the time that was left when the sub-request was sent has passed.
func WithDelays(d Delays) Option { return func(o *options) { o.delays = d } }

// WithAnswerMargin sets how long before the deadline the query finishes.
func WithAnswerMargin(d clock.Duration) Option { return func(o *options) { o.answerMargin = d } }

// WithMinAttemptTime sets the shortest remaining time in which the other holder is
// tried.
func WithMinAttemptTime(d clock.Duration) Option { return func(o *options) { o.minAttemptTime = d } }

// WithMinRestartTime sets the shortest remaining time in which the query restarts on
// another snapshot. A slower reply since the last restart raises it.
func WithMinRestartTime(d clock.Duration) Option { return func(o *options) { o.minRestartTime = d } }

// WithRetryAfter sets the retry-after of a refused query for which no holder stated
// one.
func WithRetryAfter(d clock.Duration) Option { return func(o *options) { o.retryAfter = d } }

func defaults() options {
	return options{
		answerMargin:   DefaultAnswerMargin,
		minAttemptTime: DefaultMinAttemptTime,
		minRestartTime: DefaultMinRestartTime,
		retryAfter:     DefaultRetryAfter,
	}
}

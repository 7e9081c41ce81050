// Package quota divides the quota of a workspace among the instances of the tier. It
// serves workspaces of 0.5 to 500 requests per second at up to 685 instances. It does no
// I/O: times and messages are passed in.
//
// One coordinator of a workspace at a time, its holder, has the workspace's token bucket.
// It is the holder while it has a lease, which the store keeps. Other coordinators grant
// credit only from a reserve that the limits leave, so that all of them together keep the
// limits in any partition.
package quota

import (
	"knapweedstall/core/clock"
)

// CreditLifetime is the time after which credit that an entry asked for is no longer used,
// counted from when it asked. Credit that was granted before a window and is used in it
// counts against the overshoot, which is half a second of the rate on the deployments: 400
// ms would leave nothing of it for a change of the holder.
const CreditLifetime = 100 * clock.Millisecond

// reserveHolders is the number of coordinators that the reserve is divided among. An entry
// asks four at most, and instances whose lists differ by two coordinators ask six.
const reserveHolders = 6

// Shares of the headroom, which is what the limits allow in a window beyond the quota
// itself. The rest of it, 0.15, covers the time between the admission of a request and its
// sends.
const (
	extraShare   = 0.45 // the holder's extra bucket
	returnShare  = 0.1  // credit that entries return late
	reserveShare = 0.3  // the reserves, and credit that is used after its window
)

// Limits tell how exactly quotas are kept: in each window, a workspace may get its quota
// of the window times 1 + Overshoot, plus Slack.
type Limits struct {
	Window    clock.Duration
	Overshoot float64
	Slack     float64 // requests
}

// Quota is the quota of a workspace for all instances together.
type Quota struct {
	Rate  float64 // requests per second, more than 0
	Burst float64 // requests
}

// Allowed returns the number of requests that the limits allow in any window.
func (l Limits) Allowed(q Quota) float64 {
	return (q.Rate*seconds(l.Window)+q.Burst)*(1+l.Overshoot) + l.Slack
}

func seconds(d clock.Duration) float64 { return float64(d) / float64(clock.Second) }

// plan divides what a window allows among the buckets of the holder and the reserves of
// the coordinators.
type plan struct {
	strict  bucketSize // the quota itself
	extra   bucketSize // for requests that the strict bucket refuses for lack of precision
	returns float64    // credit that is returned to strict, in any span
	reserve float64    // credit of each coordinator, in any span
}

// span is a window and a CreditLifetime: credit that was granted in a span may be used in
// one window.
func (l Limits) span() clock.Duration { return l.Window + CreditLifetime }

// plan returns the division for a quota. What the buckets give in a window and a
// CreditLifetime is at most Allowed. If the headroom is too small for a CreditLifetime at
// the quota's rate, the rate is reduced.
func (l Limits) plan(q Quota) plan {
	span := seconds(l.span())
	headroom := l.Allowed(q) - q.Rate*seconds(l.Window) - q.Burst
	depth := max(q.Burst, 1)
	extra := max(extraShare*headroom-(depth-q.Burst), 0)
	rate := min(q.Rate, max(l.Allowed(q)-depth-extra-returnShare*headroom, 0)/span)
	reserve := max(reserveShare*headroom-(rate*span-q.Rate*seconds(l.Window)), 0) / reserveHolders
	return plan{
		strict:  bucketSize{depth: depth, rate: rate},
		extra:   sizeWithin(extra, span),
		returns: returnShare * headroom,
		reserve: min(reserve, l.Allowed(q)/reserveHolders),
	}
}

// bucketSize is the depth of a token bucket and the rate at which it fills, per second.
type bucketSize struct{ depth, rate float64 }

// sizeWithin returns a bucket that gives at most total in any span of seconds, and at
// least one whole request at once if total allows it.
func sizeWithin(total, span float64) bucketSize {
	depth := max(total/2, min(total, 1))
	return bucketSize{depth: depth, rate: (total - depth) / span}
}

// bucket is a token bucket.
type bucket struct {
	bucketSize
	level float64
	at    clock.Time // when level was computed
}

// fill adds what has come in until now. A bucket that is fuller than its depth is reduced.
func (b *bucket) fill(now clock.Time) {
	b.level = min(b.level+b.rate*seconds(max(now.Sub(b.at), 0)), b.depth)
	b.at = now
}

// add adds n, as far as there is room.
func (b *bucket) add(n int, now clock.Time) {
	b.fill(now)
	b.level = min(b.level+float64(n), b.depth)
}

// take takes up to n whole requests and returns how many.
func (b *bucket) take(n int, now clock.Time) int {
	b.fill(now)
	got := max(min(n, int(b.level+1e-9)), 0) // rounding errors must not cost a request
	b.level -= float64(got)
	return got
}

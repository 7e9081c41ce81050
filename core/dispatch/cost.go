package dispatch

import "knapweedstall/core/clock"

const (
	costWeight      = 0.05 // of the newest call
	minCostCalls    = 20   // calls before the estimate is used
	minSizeVariance = 0.02 // variance of the batch size below which nothing is learned
	probeInterval   = 64   // batchable calls between two trials of a batch of two
)

// batchCost estimates what a call costs as a base and a cost for each item, by
// a weighted linear regression over recent calls.
type batchCost struct {
	calls            int
	meanN, meanMS    float64
	varN, covariance float64
	base, item       float64 // ms; valid when known
	known            bool
	singleLimits     int
}

// observe notes that a call with n items took d.
func (b *batchCost) observe(n int, d clock.Duration) {
	b.calls++
	if b.calls == 1 {
		b.meanN, b.meanMS = float64(n), float64(d)
		return
	}
	dn, dms := float64(n)-b.meanN, float64(d)-b.meanMS
	b.meanN += costWeight * dn
	b.meanMS += costWeight * dms
	b.varN = (1 - costWeight) * (b.varN + costWeight*dn*dn)
	b.covariance = (1 - costWeight) * (b.covariance + costWeight*dn*dms)
	if b.calls < minCostCalls || b.varN < minSizeVariance {
		return
	}
	b.item = max(b.covariance/b.varN, 0)
	b.base = max(b.meanMS-b.item*b.meanN, 0)
	b.known = true
}

// limit returns how many items a call may carry. The items of a batch together
// may cost as much as the base of the call: more of them would hardly raise the
// throughput, and each would wait for all the others. Where the cost is not
// known, or may have changed, a batch of two is tried now and then.
func (b *batchCost) limit(most int) int {
	if most <= 1 {
		return 1
	}
	n := 1
	if b.known {
		n = most
		if b.item > 0 {
			n = max(1, min(most, int(1+b.base/b.item)))
		}
	}
	if n > 1 {
		return n
	}
	b.singleLimits++
	if b.singleLimits%probeInterval == 1 {
		return 2
	}
	return 1
}

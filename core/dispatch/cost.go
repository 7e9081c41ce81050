package dispatch

import "knapweedstall/core/clock"

const (
	costWeight      = 0.05 // weight of the newest call in the averages
	minCostCalls    = 20   // calls before the estimate is used
	minSizeVariance = 0.02 // variance of the batch size below which the estimate is not updated
	probeInterval   = 64   // batchable calls between two batches of two that are sent as a probe
)

// batchCost estimates the duration of a call as a base plus a duration for each item,
// by a linear regression over recent calls with exponential weights.
type batchCost struct {
	calls            int
	meanN, meanMS    float64
	varN, covariance float64
	base, item       float64 // ms; valid when known
	known            bool
	singleLimits     int // times that limit found no batch worthwhile
}

// observe records that a call with n items took d.
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

// limit returns how many items a call may carry, up to most. The items after the
// first may together take as long as the base of the call: more of them would hardly
// raise the throughput, and each item waits for all the others. While single items
// are best, or the cost is not known, a batch of two is sent once in probeInterval
// calls, so that a changed cost is noticed.
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

package quota

import "knapweedstall/core/clock"

// allowance gives at most a total in any span. Other than a bucket with the same bound, it
// has the whole total again after a span, which matters where the total is one request.
type allowance struct {
	span  clock.Duration
	total float64
	given []gift // in the latest span, in ascending order of the time
	sum   float64
}

type gift struct {
	at clock.Time
	n  float64
}

// newAllowance returns an allowance of a process that started at started, an earlier one of
// which may have given the total until then.
func newAllowance(span clock.Duration, total float64, started clock.Time) allowance {
	return allowance{span: span, total: total, given: []gift{{started, total}}, sum: total}
}

// take takes up to n whole requests and returns how many.
func (a *allowance) take(n int, now clock.Time) int {
	for len(a.given) > 0 && now.Sub(a.given[0].at) >= a.span {
		a.sum -= a.given[0].n
		a.given = a.given[1:]
	}
	if len(a.given) == 0 {
		a.sum = 0 // without what rounding has left
	}
	got := max(min(n, int(a.total-a.sum+1e-9)), 0)
	if got > 0 {
		a.given = append(a.given, gift{now, float64(got)})
		a.sum += float64(got)
	}
	return got
}

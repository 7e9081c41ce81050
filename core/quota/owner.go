package quota

import (
	"math"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// maxRetry bounds the time after which a refused caller is told to come back. Callers that
// come back sooner than told would push the times of all others further and further.
const maxRetry = 5 * clock.Second

// Term numbers the leases that a coordinator has had on a workspace. 0 stands for none.
type Term uint64

// Answer is a coordinator's answer to an entry that asked for credit.
type Answer struct {
	Granted int
	// Final tells that the coordinator has the workspace's bucket, so that no other one
	// has more credit.
	Final bool
	// RetryAfter is when the bucket has credit for the first request that got none, and
	// RetryStep the time between that and each one after it.
	RetryAfter, RetryStep clock.Duration
}

// Owner holds the buckets of the workspaces at one coordinator.
type Owner struct {
	limits   Limits
	started  clock.Time
	quotas   map[topology.WorkspaceID]Quota
	accounts map[topology.WorkspaceID]*account
}

// account holds the buckets of one workspace. Entries learn of requests in an order that
// differs from that of the callers by some ms, so a request that strict refuses takes from
// extra. What extra gives is not taken from strict, which thereby stays close to a bucket
// that the callers keep themselves.
type account struct {
	quota            Quota
	strict, extra    bucket
	returns, reserve allowance

	term Term // of the lease for which strict was filled
	// filled tells that strict has been full in this term. Until then, callers may have
	// more of their burst than strict has, and take from reserve too.
	filled   bool
	promised clock.Time // when strict has credit for the latest request that was refused
}

// NewOwner returns the Owner of a process that has started now. It has no quotas.
func NewOwner(limits Limits, now clock.Time) *Owner {
	return &Owner{limits: limits, started: now, accounts: map[topology.WorkspaceID]*account{}}
}

// SetQuotas sets the quotas of all workspaces that have one.
func (o *Owner) SetQuotas(quotas map[topology.WorkspaceID]Quota) {
	o.quotas = quotas
	for id := range o.accounts {
		if _, ok := quotas[id]; !ok {
			delete(o.accounts, id)
		}
	}
}

// Has reports whether the workspace has a quota.
func (o *Owner) Has(id topology.WorkspaceID) bool {
	_, ok := o.quotas[id]
	return ok
}

// Hold begins to fill the bucket of a workspace, of which the coordinator has a lease. It
// begins empty with each lease, so that a change of the holder gives no burst.
func (o *Owner) Hold(id topology.WorkspaceID, term Term, now clock.Time) {
	if a := o.account(id, now); a != nil && term != 0 {
		a.hold(term, now)
	}
}

func (a *account) hold(term Term, now clock.Time) {
	if a.term == term {
		return
	}
	a.term, a.filled, a.promised = term, false, now
	a.strict.level, a.strict.at = 0, now
	a.extra.level, a.extra.at = 0, now
}

// Grant grants up to n requests of a workspace, after it has taken back the credit that
// the entry returns. term is that of the coordinator's lease; without one, credit comes
// from the reserve alone.
func (o *Owner) Grant(id topology.WorkspaceID, n, returned int, term Term, now clock.Time) Answer {
	a := o.account(id, now)
	if a == nil {
		return Answer{}
	}
	if term == 0 {
		return Answer{Granted: a.reserve.take(n, now)}
	}
	a.hold(term, now)
	a.strict.add(a.returns.take(returned, now), now)
	granted := 0
	for granted < n && a.takeOne(now) {
		granted++
	}
	return a.answer(granted, n-granted, now)
}

// takeOne takes the credit for one request of a holder.
func (a *account) takeOne(now clock.Time) bool {
	a.strict.fill(now)
	a.filled = a.filled || a.strict.level >= a.strict.depth
	return a.strict.take(1, now) == 1 || a.extra.take(1, now) == 1 || !a.filled && a.reserve.take(1, now) == 1
}

// account returns the account of a workspace with the quota in force, or nil if it has no
// quota.
func (o *Owner) account(id topology.WorkspaceID, now clock.Time) *account {
	quota, ok := o.quotas[id]
	if !ok {
		return nil
	}
	a := o.accounts[id]
	if a == nil {
		a = &account{strict: bucket{at: now}, extra: bucket{at: now}}
		p := o.limits.plan(quota)
		a.returns = newAllowance(o.limits.span(), p.returns, now.Add(-o.limits.span()))
		a.reserve = newAllowance(o.limits.span(), p.reserve, o.started)
		o.accounts[id] = a
	}
	if a.quota == quota {
		return a
	}
	a.strict.fill(now) // what the earlier quota gave
	a.extra.fill(now)
	p := o.limits.plan(quota)
	a.quota, a.strict.bucketSize, a.extra.bucketSize = quota, p.strict, p.extra
	a.returns.total, a.reserve.total = p.returns, p.reserve
	return a
}

// answer returns the answer of a holder that has refused some requests.
func (a *account) answer(granted, refused int, now clock.Time) Answer {
	out := Answer{Granted: granted, Final: true}
	if refused == 0 {
		return out
	}
	if a.strict.rate <= 0 {
		out.RetryAfter, out.RetryStep = maxRetry, 0
		return out
	}
	step := float64(clock.Second) / a.strict.rate
	if first := now.Add(clock.Duration(math.Ceil((1 - a.strict.level) * step))); a.promised.Before(first) {
		a.promised = first
	} else {
		a.promised = a.promised.Add(clock.Duration(math.Ceil(step)))
	}
	out.RetryAfter = min(a.promised.Sub(now), maxRetry)
	out.RetryStep = clock.Duration(math.Ceil(step))
	a.promised = a.promised.Add(clock.Duration(step * float64(refused-1)))
	if limit := now.Add(maxRetry); limit.Before(a.promised) {
		a.promised = limit
	}
	return out
}

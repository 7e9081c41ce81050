package admission

import (
	"cmp"
	"math"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

const (
	// idleTerm is how long a tenant without requests is remembered, which bounds
	// the memory by the tenants of that time.
	idleTerm = 10 * clock.Second
	// minTokens lets a tenant send a few queries at once even at an entry that
	// admits only a few in a second.
	minTokens = 2.0
	// saving is for how long a tenant among many others saves unused tokens. It
	// bridges the times at which the rate was just lowered. A tenant that has the
	// rate for itself saves less, since its bursts would be those of the whole rate.
	saving = 3 * clock.Second
	// negligible is an amount of tokens that is not worth spreading.
	negligible = 1e-9
)

// tenants shares a rate by max-min fairness. Every tenant earns its weight's
// part of the rate as assured tokens. What a tenant with a full account cannot
// take becomes spare tokens of the tenants that have used up theirs. A tenant
// that asks for less than its part therefore finds tokens, and those that ask
// for more share the rest by weight, without any estimate of demand.
type tenants struct {
	weight   func(topology.TenantID) float64
	list     []*account // ascending by id, so that sums do not depend on map order
	weights  float64    // sum over list
	refilled clock.Time
}

// account is what one tenant may spend.
type account struct {
	id      topology.TenantID
	weight  float64
	assured float64 // tokens of its own share
	spare   float64 // tokens that others left
	promise float64 // ms; the last retry time that was given out
	asked   clock.Time
}

// take uses one token of the tenant if it has one.
func (t *tenants) take(now clock.Time, id topology.TenantID, rate float64, burst clock.Duration) (ok, assured bool) {
	a := t.find(now, id)
	a.asked = now
	if now > t.refilled {
		t.forgetIdle(now)
		t.refill(rate*float64(now.Sub(t.refilled)), rate, burst)
		t.refilled = now
	}
	switch {
	case a.assured >= 1:
		a.assured--
		return true, true
	case a.assured+a.spare >= 1:
		a.spare -= 1 - a.assured
		a.assured = 0
		return true, false
	}
	return false, false
}

// retryAfter promises the tenant its next token that is not promised yet. It
// counts on the tenant's weighted part of the rate alone, which the tenant earns
// whatever the others do.
func (t *tenants) retryAfter(now clock.Time, id topology.TenantID, rate float64, most clock.Duration) clock.Duration {
	a := t.find(now, id)
	perToken := t.weights / (rate * a.weight) // ms
	first := float64(now) + (1-a.assured-a.spare)*perToken
	a.promise = min(max(first, a.promise+perToken), float64(now.Add(most)))
	return max(clock.Duration(math.Ceil(a.promise))-clock.Duration(now), clock.Millisecond)
}

// find returns the tenant's account. A new one starts with a single token.
func (t *tenants) find(now clock.Time, id topology.TenantID) *account {
	i, found := slices.BinarySearchFunc(t.list, id, func(a *account, id topology.TenantID) int {
		return cmp.Compare(a.id, id)
	})
	if !found {
		t.list = slices.Insert(t.list, i, &account{id: id, weight: t.weight(id), assured: 1, asked: now})
		t.sum()
	}
	return t.list[i]
}

func (t *tenants) forgetIdle(now clock.Time) {
	n := len(t.list)
	t.list = slices.DeleteFunc(t.list, func(a *account) bool { return now.Sub(a.asked) > idleTerm })
	if len(t.list) != n {
		t.sum()
	}
}

func (t *tenants) sum() {
	t.weights = 0
	for _, a := range t.list {
		t.weights += a.weight
	}
}

// refill pays out earned tokens.
func (t *tenants) refill(earned, rate float64, burst clock.Duration) {
	rest := 0.0
	for _, a := range t.list {
		share := a.weight / t.weights
		a.assured += earned * share
		size := max(rate*share*(float64(burst)+float64(saving)*(1-share)), minTokens)
		rest += max(0, a.assured-size)
		a.assured = min(a.assured, size)
	}
	size := max(rate*float64(burst), minTokens)
	for rest > negligible {
		rest = t.spread(rest, size)
	}
}

// spread gives spare tokens by weight to the accounts that are not full and
// returns what is left over because an account became full.
func (t *tenants) spread(tokens, size float64) (left float64) {
	open := 0.0
	for _, a := range t.list {
		a.spare = min(a.spare, size)
		if a.spare < size {
			open += a.weight
		}
	}
	for _, a := range t.list {
		if a.spare < size {
			a.spare += tokens * a.weight / open
			left += max(0, a.spare-size)
			a.spare = min(a.spare, size)
		}
	}
	return left
}

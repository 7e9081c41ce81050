package admission

import (
	"cmp"
	"math"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

const (
	// idleTerm is how long a workspace without requests is remembered, which bounds
	// the memory by the workspaces of that time.
	idleTerm = 10 * clock.Second
	// minTokens lets a workspace send a few queries at once even at an entry that
	// admits only a few in a second.
	minTokens = 2.0
	// negligible is an amount of tokens that is not worth spreading.
	negligible = 1e-9
)

// workspaces shares a rate by max-min fairness. Every workspace's bucket earns its
// weight's part of the rate, and what a full bucket cannot take goes to the
// others. A workspace that asks for less than its part therefore finds tokens, and
// those that ask for more share the rest by weight, without any estimate of
// demand.
type workspaces struct {
	weight   func(topology.WorkspaceID) float64
	list     []*bucket // ascending by id, so that sums do not depend on map order
	weights  float64   // sum over list
	refilled clock.Time
}

// bucket is one workspace's account.
type bucket struct {
	id      topology.WorkspaceID
	weight  float64
	tokens  float64
	promise float64 // ms; the last retry time that was given out
	asked   clock.Time
}

// take uses one token of the workspace if it has one.
func (t *workspaces) take(now clock.Time, id topology.WorkspaceID, rate float64, burst clock.Duration) bool {
	b := t.find(now, id)
	b.asked = now
	if now > t.refilled {
		t.forgetIdle(now)
		t.refill(rate*float64(now.Sub(t.refilled)), max(rate*float64(burst), minTokens))
		t.refilled = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retryAfter promises the workspace its next token that is not promised yet. It
// counts on the workspace's weighted part of the rate alone, which the workspace earns
// whatever the others do.
func (t *workspaces) retryAfter(now clock.Time, id topology.WorkspaceID, rate float64, most clock.Duration) clock.Duration {
	b := t.find(now, id)
	perToken := t.weights / (rate * b.weight) // ms
	first := float64(now) + (1-b.tokens)*perToken
	b.promise = min(max(first, b.promise+perToken), float64(now.Add(most)))
	return max(clock.Duration(math.Ceil(b.promise))-clock.Duration(now), clock.Millisecond)
}

// find returns the workspace's bucket. A new one starts with a single token.
func (t *workspaces) find(now clock.Time, id topology.WorkspaceID) *bucket {
	i, found := slices.BinarySearchFunc(t.list, id, func(b *bucket, id topology.WorkspaceID) int {
		return cmp.Compare(b.id, id)
	})
	if !found {
		t.list = slices.Insert(t.list, i, &bucket{id: id, weight: t.weight(id), tokens: 1, asked: now})
		t.sum()
	}
	return t.list[i]
}

func (t *workspaces) forgetIdle(now clock.Time) {
	n := len(t.list)
	t.list = slices.DeleteFunc(t.list, func(b *bucket) bool { return now.Sub(b.asked) > idleTerm })
	if len(t.list) != n {
		t.sum()
	}
}

func (t *workspaces) sum() {
	t.weights = 0
	for _, b := range t.list {
		t.weights += b.weight
	}
}

// refill spreads earned tokens over the buckets, which hold size tokens each.
func (t *workspaces) refill(earned, size float64) {
	for earned > negligible {
		earned = t.spread(earned, size)
	}
}

// spread gives tokens by weight to the buckets that are not full and returns
// what is left over because a bucket became full.
func (t *workspaces) spread(tokens, size float64) (left float64) {
	open := 0.0
	for _, b := range t.list {
		b.tokens = min(b.tokens, size)
		if b.tokens < size {
			open += b.weight
		}
	}
	for _, b := range t.list {
		if b.tokens < size {
			b.tokens += tokens * b.weight / open
			left += max(0, b.tokens-size)
			b.tokens = min(b.tokens, size)
		}
	}
	return left
}

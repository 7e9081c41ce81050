package admission

import (
	"cmp"
	"math"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

const (
	// idleRetention is how long a workspace without queries is remembered. It
	// limits memory use to the workspaces that were active within that time.
	idleRetention = 10 * clock.Second
	// minTokens is the minimum size of a bucket. It lets a workspace send a few
	// queries at once even at an entry that admits only a few per second.
	minTokens = 2.0
	// minRefill is the amount of tokens below which they are no longer
	// distributed.
	minRefill = 1e-9
)

// workspaceBuckets shares a rate between workspaces by max-min fairness. Every
// workspace has a token bucket that receives a fraction of the rate according to its
// weight, and the tokens that do not fit into a full bucket go to the others. A
// workspace that uses less than its fraction therefore always has tokens, and those
// that use more share the rest by weight. No estimate of demand is needed.
type workspaceBuckets struct {
	weight      func(topology.WorkspaceID) float64
	buckets     []*tokenBucket // in ascending order of id, so that sums do not depend on map order
	totalWeight float64        // sum over buckets
	refilled    clock.Time
}

// tokenBucket is the token bucket of one workspace.
type tokenBucket struct {
	id          topology.WorkspaceID
	weight      float64
	tokens      float64
	lastRetryAt float64 // ms; the newest retry time returned to the workspace
	lastRequest clock.Time
}

// take uses one token of the workspace and reports whether there was one.
func (w *workspaceBuckets) take(now clock.Time, id topology.WorkspaceID, rate float64, burst clock.Duration) bool {
	b := w.bucket(now, id)
	b.lastRequest = now
	if now > w.refilled {
		w.removeIdle(now)
		w.refill(rate*float64(now.Sub(w.refilled)), max(rate*float64(burst), minTokens))
		w.refilled = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retryAfter returns the time until the workspace's next token, not counting those for
// which earlier refusals were already given a time. It takes into account only the
// workspace's weighted fraction of the rate, which the workspace receives whatever the
// others do.
func (w *workspaceBuckets) retryAfter(now clock.Time, id topology.WorkspaceID, rate float64, most clock.Duration) clock.Duration {
	b := w.bucket(now, id)
	perToken := w.totalWeight / (rate * b.weight) // ms
	first := float64(now) + (1-b.tokens)*perToken
	b.lastRetryAt = min(max(first, b.lastRetryAt+perToken), float64(now.Add(most)))
	return max(clock.Duration(math.Ceil(b.lastRetryAt))-clock.Duration(now), clock.Millisecond)
}

// bucket returns the workspace's bucket. A new one starts with a single token.
func (w *workspaceBuckets) bucket(now clock.Time, id topology.WorkspaceID) *tokenBucket {
	i, found := slices.BinarySearchFunc(w.buckets, id, func(b *tokenBucket, id topology.WorkspaceID) int {
		return cmp.Compare(b.id, id)
	})
	if !found {
		w.buckets = slices.Insert(w.buckets, i, &tokenBucket{id: id, weight: w.weight(id), tokens: 1, lastRequest: now})
		w.sumWeights()
	}
	return w.buckets[i]
}

func (w *workspaceBuckets) removeIdle(now clock.Time) {
	n := len(w.buckets)
	w.buckets = slices.DeleteFunc(w.buckets, func(b *tokenBucket) bool { return now.Sub(b.lastRequest) > idleRetention })
	if len(w.buckets) != n {
		w.sumWeights()
	}
}

func (w *workspaceBuckets) sumWeights() {
	w.totalWeight = 0
	for _, b := range w.buckets {
		w.totalWeight += b.weight
	}
}

// refill distributes new tokens to the buckets, which hold up to size tokens each.
func (w *workspaceBuckets) refill(tokens, size float64) {
	for tokens > minRefill {
		tokens = w.distribute(tokens, size)
	}
}

// distribute adds tokens by weight to the buckets that are not full and returns those
// that are left over because a bucket became full.
func (w *workspaceBuckets) distribute(tokens, size float64) (left float64) {
	openWeight := 0.0
	for _, b := range w.buckets {
		b.tokens = min(b.tokens, size)
		if b.tokens < size {
			openWeight += b.weight
		}
	}
	for _, b := range w.buckets {
		if b.tokens < size {
			b.tokens += tokens * b.weight / openWeight
			left += max(0, b.tokens-size)
			b.tokens = min(b.tokens, size)
		}
	}
	return left
}

package quarantine

import (
	"fmt"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// QuarantinedError reports that a request is refused because requests with the
// same fingerprint crashed targets.
type QuarantinedError struct {
	Fingerprint message.Fingerprint
	RetryAfter  clock.Duration
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request %x crashed targets and is refused for %d ms", e.Fingerprint, e.RetryAfter)
}

const (
	defaultPassTTL   = 10 * clock.Minute
	defaultMaxPasses = 100_000
)

// Cache holds the verdicts that an entry instance has received: which
// fingerprints passed a canary and which are quarantined.
type Cache struct {
	passTTL          clock.Duration
	maxPasses        int
	passedUntil      map[passKey]clock.Time
	order            []passKey // oldest first; the first evicted keys are no longer in passedUntil
	evicted          int
	quarantinedUntil map[message.Fingerprint]clock.Time
}

// passKey identifies a passed canary. It includes the snapshot because a query
// that is harmless on one index version can crash targets on a new one.
type passKey struct {
	fp       message.Fingerprint
	snapshot topology.SnapshotID
}

// CacheOption configures a Cache.
type CacheOption func(*Cache)

// WithPassTTL sets how long a passed canary counts; the default is 10 min.
func WithPassTTL(d clock.Duration) CacheOption { return func(c *Cache) { c.passTTL = d } }

// WithCacheSize sets how many passed canaries are remembered; the default is
// 100,000.
func WithCacheSize(n int) CacheOption { return func(c *Cache) { c.maxPasses = n } }

// NewCache returns an empty cache.
func NewCache(opts ...CacheOption) *Cache {
	c := &Cache{
		passTTL: defaultPassTTL, maxPasses: defaultMaxPasses,
		passedUntil: map[passKey]clock.Time{}, quarantinedUntil: map[message.Fingerprint]clock.Time{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Check reports whether a canary of the fingerprint passed on the snapshot
// within the TTL. It fails with *QuarantinedError when the fingerprint is
// quarantined.
func (c *Cache) Check(now clock.Time, fp message.Fingerprint, snapshot topology.SnapshotID) (bool, error) {
	if until := c.quarantinedUntil[fp]; now < until {
		return false, &QuarantinedError{Fingerprint: fp, RetryAfter: until.Sub(now)}
	}
	return now < c.passedUntil[passKey{fp, snapshot}], nil
}

// Observe records a coordinator's verdict.
func (c *Cache) Observe(now clock.Time, v message.CanaryVerdict) {
	switch {
	case v.Verdict == message.VerdictQuarantined:
		c.addQuarantine(now, v)
	case v.Verdict == message.VerdictPassed, v.Verdict == message.VerdictRan && v.Reply != nil && v.Reply.Status == message.StatusOK:
		c.addPass(now, passKey{v.Fingerprint, v.Snapshot})
	}
}

// Forget removes the passed canary of the fingerprint on the snapshot. It is used
// when a target crashed after the canary had passed.
func (c *Cache) Forget(fp message.Fingerprint, snapshot topology.SnapshotID) {
	key := passKey{fp, snapshot}
	if _, known := c.passedUntil[key]; known {
		c.passedUntil[key] = 0 // the key stays in order until it is evicted
	}
}

func (c *Cache) addQuarantine(now clock.Time, v message.CanaryVerdict) {
	for fp, until := range c.quarantinedUntil {
		if now >= until {
			delete(c.quarantinedUntil, fp)
		}
	}
	c.quarantinedUntil[v.Fingerprint] = max(c.quarantinedUntil[v.Fingerprint], now.Add(v.RetryAfterMS))
}

func (c *Cache) addPass(now clock.Time, key passKey) {
	if _, known := c.passedUntil[key]; !known {
		c.order = append(c.order, key)
	}
	c.passedUntil[key] = now.Add(c.passTTL)
	for len(c.order)-c.evicted > c.maxPasses {
		delete(c.passedUntil, c.order[c.evicted])
		c.evicted++
	}
	if c.evicted > c.maxPasses {
		c.order = append([]passKey(nil), c.order[c.evicted:]...)
		c.evicted = 0
	}
}

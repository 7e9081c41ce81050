package quarantine

import (
	"fmt"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// QuarantinedError says that exactly this request is refused because it crashed
// targets.
type QuarantinedError struct {
	Fingerprint message.Fingerprint
	RetryAfter  clock.Duration
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request %x crashed targets and is refused for %d ms", e.Fingerprint, e.RetryAfter)
}

const (
	defaultGoodFor   = 10 * clock.Minute
	defaultCacheSize = 100_000
)

// Cache remembers verdicts at an entry.
type Cache struct {
	goodFor     clock.Duration
	limit       int
	good        map[goodKey]clock.Time // until
	order       []goodKey              // oldest first; the first drop keys are evicted
	dropped     int
	quarantined map[message.Fingerprint]clock.Time // until
}

// goodKey includes the snapshot because a new index version can make a harmless
// query crash.
type goodKey struct {
	fp       message.Fingerprint
	snapshot topology.SnapshotID
}

// CacheOption changes a Cache.
type CacheOption func(*Cache)

// WithGoodFor sets how long a passed canary counts; the default is 10 min.
func WithPassTTL(d clock.Duration) CacheOption { return func(c *Cache) { c.goodFor = d } }

// WithCacheSize sets how many known-good fingerprints are remembered; the
// default is 100,000.
func WithCacheSize(n int) CacheOption { return func(c *Cache) { c.limit = n } }

// NewCache returns an empty cache.
func NewCache(opts ...CacheOption) *Cache {
	c := &Cache{
		goodFor: defaultGoodFor, limit: defaultCacheSize,
		good: map[goodKey]clock.Time{}, quarantined: map[message.Fingerprint]clock.Time{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Check reports whether a canary of the fingerprint passed on the snapshot
// recently. It fails with *QuarantinedError.
func (c *Cache) Check(now clock.Time, fp message.Fingerprint, snapshot topology.SnapshotID) (bool, error) {
	if until := c.quarantined[fp]; now < until {
		return false, &QuarantinedError{Fingerprint: fp, RetryAfter: until.Sub(now)}
	}
	return now < c.good[goodKey{fp, snapshot}], nil
}

// Observe takes a keeper's verdict.
func (c *Cache) Observe(now clock.Time, v message.CanaryVerdict) {
	switch {
	case v.Verdict == message.VerdictQuarantined:
		c.quarantine(now, v)
	case v.Verdict == message.VerdictPassed, v.Verdict == message.VerdictRan && v.Reply != nil && v.Reply.Status == message.StatusOK:
		c.pass(now, goodKey{v.Fingerprint, v.Snapshot})
	}
}

// Forget makes the fingerprint unknown on the snapshot again, because a target
// crashed after its canary had passed.
func (c *Cache) Forget(fp message.Fingerprint, snapshot topology.SnapshotID) {
	key := goodKey{fp, snapshot}
	if _, known := c.good[key]; known {
		c.good[key] = 0 // the key stays until it is evicted in its turn
	}
}

func (c *Cache) quarantine(now clock.Time, v message.CanaryVerdict) {
	for fp, until := range c.quarantined {
		if now >= until {
			delete(c.quarantined, fp)
		}
	}
	c.quarantined[v.Fingerprint] = max(c.quarantined[v.Fingerprint], now.Add(v.RetryAfterMS))
}

func (c *Cache) pass(now clock.Time, key goodKey) {
	if _, known := c.good[key]; !known {
		c.order = append(c.order, key)
	}
	c.good[key] = now.Add(c.goodFor)
	for len(c.order)-c.dropped > c.limit {
		delete(c.good, c.order[c.dropped])
		c.dropped++
	}
	if c.dropped > c.limit {
		c.order = append([]goodKey(nil), c.order[c.dropped:]...)
		c.dropped = 0
	}
}

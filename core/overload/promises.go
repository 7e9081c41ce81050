package overload

import (
	"math/rand/v2"

	"knapweedstall/core/clock"
)

const (
	// minRetryAfter is the shortest time after which a refused caller is asked to come
	// back: two adjustments of the limit.
	minRetryAfter = 500 * clock.Millisecond
	// maxRetryAfter is the longest. Bursts last 3 to 6 s, and callers wait no longer.
	maxRetryAfter = 5 * clock.Second
	// promiseGrace is how long after the promised time a caller may come back.
	promiseGrace = 300 * clock.Millisecond
	// maxPromises bounds the times that are remembered for one class.
	maxPromises = 32
	// promisedShare is the share of the admitted requests that is promised, so that
	// callers that come for the first time are admitted too.
	promisedShare = 0.5
	// intervalWeight is the weight of the newest request in the smoothed time between
	// admitted requests.
	intervalWeight = 0.1
)

// schedule sets the times at which refused callers of one level come back, as far apart
// as the admission of the level's requests at this instance allows.
type schedule struct {
	admittedAt clock.Time // when the latest request was admitted
	interval   float64    // smoothed time between two admitted requests, in ms; 0 when not known
	latest     clock.Time // the latest promised time
}

// admit notes that a request was admitted.
func (s *schedule) admit(now clock.Time) {
	if s.admittedAt != 0 {
		took := float64(now.Sub(s.admittedAt))
		if s.interval == 0 {
			s.interval = took
		}
		s.interval += intervalWeight * (took - s.interval)
	}
	s.admittedAt = now
}

// next returns after which time a refused caller should come back, and whether it will
// be admitted then. It is not if there are too many before it; the time is then random.
func (s *schedule) next(now clock.Time, random *rand.Rand) (after clock.Duration, promised bool) {
	gap := max(clock.Duration(s.interval/promisedShare), 1)
	earliest := now.Add(minRetryAfter + clock.Duration(random.Int64N(int64(min(gap, maxRetryAfter)))))
	at := max(earliest, s.latest.Add(gap))
	if s.interval == 0 || at.Sub(now) > maxRetryAfter {
		return minRetryAfter + clock.Duration(random.Int64N(int64(maxRetryAfter-minRetryAfter))), false
	}
	s.latest = at
	return at.Sub(now), true
}

// promises are the times at which refused callers of a class were asked to come back.
// Callers are not identified: a request at a promised time takes the place of the caller
// that was told to come then.
type promises struct {
	times []clock.Time // in ascending order
}

// add remembers a time, which is not before the latest one.
func (p *promises) add(at clock.Time) {
	if len(p.times) < maxPromises {
		p.times = append(p.times, at)
	}
}

// redeem reports whether a caller was told to come back about now, and uses up its
// promise.
func (p *promises) redeem(now clock.Time) bool {
	n := 0
	for n < len(p.times) && p.times[n].Add(promiseGrace).Before(now) {
		n++ // the caller has not come back
	}
	p.times = p.times[n:]
	if len(p.times) == 0 || now.Before(p.times[0]) {
		return false
	}
	p.times = p.times[1:]
	return true
}

// Package osclock provides the clock of the operating system.
package osclock

import (
	"time"

	"knapweedstall/core/clock"
)

// Clock is the operating system's clock. It implements clock.Clock.
type Clock struct {
	origin time.Time
}

// New returns a Clock whose Now starts at 1, so that the zero time can mean "never".
func New() *Clock {
	return &Clock{origin: time.Now().Add(-time.Millisecond)}
}

// Now implements clock.Clock.
func (c *Clock) Now() clock.Time { return clock.Time(time.Since(c.origin) / time.Millisecond) }

// UnixMillis implements clock.Clock.
func (c *Clock) UnixMillis() int64 { return time.Now().UnixMilli() }

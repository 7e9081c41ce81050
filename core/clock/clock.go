// Package clock defines the time types of the module. Both count milliseconds,
// so that recorded traces, settings and messages use the same unit.
package clock

import "time"

// Time is a point in time in milliseconds. The state machines in core treat it as
// monotonic; the code that calls them chooses the origin.
type Time int64

// Add returns t+d.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t. It is negative when t is before u.
func (t Time) Sub(u Time) Duration { return Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// Duration is a span of time in milliseconds.
type Duration int64

// Common durations.
const (
	Millisecond Duration = 1
	Second               = 1000 * Millisecond
	Minute               = 60 * Second
	Hour                 = 60 * Minute
)

// Std converts d to a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// FromStd converts a time.Duration to milliseconds, rounding towards zero.
func FromStd(d time.Duration) Duration { return Duration(d / time.Millisecond) }

// Clock tells the time.
type Clock interface {
	// Now returns monotonic milliseconds since an arbitrary origin.
	Now() Time
	// UnixMillis returns wall-clock milliseconds since the Unix epoch, for
	// values that are sent between machines, such as a start-by time.
	UnixMillis() int64
}

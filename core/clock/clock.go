// Package clock defines the project's time types. Both count milliseconds, so
// that recorded traces, settings and messages agree on one unit.
package clock

import "time"

// Time is a point in time in milliseconds. Decision logic treats it as
// monotonic; its origin is chosen by whoever drives the logic.
type Time int64

// Add returns t moved by d.
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

// Std converts d for use with the standard library.
func (d Duration) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// FromStd converts a standard duration, rounding towards zero.
func FromStd(d time.Duration) Duration { return Duration(d / time.Millisecond) }

// Clock tells the time.
type Clock interface {
	// Now returns monotonic milliseconds since an arbitrary origin.
	Now() Time
	// UnixMillis returns wall-clock milliseconds since the Unix epoch, for
	// values that cross machines, such as a start-by time.
	UnixMillis() int64
}

package gateway

import (
	"sync"

	"knapweedstall/core/clock"
)

// lineLimit bounds the log lines of one kind of decision, of which callers can cause any
// number.
type lineLimit struct {
	period clock.Duration // between two lines

	mu      sync.Mutex
	next    clock.Time
	skipped int // lines left out since the latest one
}

// admit reports whether a line may be written now, and how many were left out before it.
func (l *lineLimit) admit(now clock.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.next) {
		l.skipped++
		return 0, false
	}
	skipped, l.skipped = l.skipped, 0
	l.next = now.Add(l.period)
	return skipped, true
}

// Package logsink writes log lines without blocking the caller and limits their rate.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of a Sink.
const (
	maxQueuedLines = 512         // lines queued for a slow reader of the output
	linesPerSecond = 200         // on average; bursts of maxQueuedLines are allowed
	reportPeriod   = time.Second // minimum time between two lines that report the number of dropped lines
)

// Sink is an io.Writer for log lines that gets one line per call. It drops lines beyond
// its limits, counts them, and reports their number in a log line of its own.
type Sink struct {
	out   io.Writer
	now   func() time.Time
	lines chan []byte

	mu         sync.Mutex
	tokens     float64 // of the token bucket that limits the rate
	refilledAt time.Time
	dropped    int64 // since the last report
	total      int64 // dropped since the start
}

// New returns a Sink that writes to out, and starts it.
func New(out io.Writer) *Sink {
	s := newSink(out, time.Now)
	go s.run()
	return s
}

func newSink(out io.Writer, now func() time.Time) *Sink {
	return &Sink{out: out, now: now, lines: make(chan []byte, maxQueuedLines), tokens: maxQueuedLines, refilledAt: now()}
}

// Write implements io.Writer. It never fails and never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.admit() {
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.countDropped()
	}
	return len(line), nil
}

// admit takes a token and reports whether there was one. Otherwise it counts the line as
// dropped.
func (s *Sink) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.tokens = min(maxQueuedLines, s.tokens+linesPerSecond*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
	if s.tokens < 1 {
		s.dropped++
		s.total++
		return false
	}
	s.tokens--
	return true
}

func (s *Sink) countDropped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped++
	s.total++
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// run writes the queued lines. It ignores errors of the output because there is no other
// place to report them.
func (s *Sink) run() {
	var reported time.Time
	for line := range s.lines {
		_, _ = s.out.Write(line)
		now := s.now()
		if now.Sub(reported) < reportPeriod {
			continue
		}
		reported = now
		s.mu.Lock()
		dropped := s.dropped
		s.dropped = 0
		s.mu.Unlock()
		if dropped > 0 {
			_, _ = fmt.Fprintf(s.out, "time=%s level=warn msg=\"log lines left out\" lines=%d\n", now.Format(time.RFC3339Nano), dropped)
		}
	}
}

// Flush waits until the queue is empty, but at most for timeout.
func (s *Sink) Flush(timeout time.Duration) {
	for end := time.Now().Add(timeout); len(s.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

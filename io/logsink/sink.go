// Package logsink writes log lines without ever blocking their writer, and
// bounds their number.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of a Sink.
const (
	queueLines     = 512         // that wait for a slow reader
	linesPerSecond = 200         // on average; bursts of queueLines pass
	reportPeriod   = time.Second // between two lines that tell how many were left out
)

// Sink is an io.Writer for log lines, one a call. It drops lines beyond its
// bounds, counts them, and says so in a line of its own.
type Sink struct {
	out   io.Writer
	now   func() time.Time
	lines chan []byte

	mu      sync.Mutex
	tokens  float64
	at      time.Time
	dropped int64 // since the last report
	total   int64
}

// New returns a Sink that writes to out, and starts it.
func New(out io.Writer) *Sink {
	s := newSink(out, time.Now)
	go s.run()
	return s
}

func newSink(out io.Writer, now func() time.Time) *Sink {
	return &Sink{out: out, now: now, lines: make(chan []byte, queueLines), tokens: queueLines, at: now()}
}

// Write implements io.Writer. It never fails and never waits.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.admit() {
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.drop()
	}
	return len(line), nil
}

func (s *Sink) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.tokens = min(queueLines, s.tokens+linesPerSecond*now.Sub(s.at).Seconds())
	s.at = now
	if s.tokens < 1 {
		s.dropped++
		s.total++
		return false
	}
	s.tokens--
	return true
}

func (s *Sink) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped++
	s.total++
}

// Dropped returns how many lines were left out.
func (s *Sink) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// run writes the lines. An error of the output has no one to be told to.
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

// Flush waits until the lines written so far are out, or for timeout.
func (s *Sink) Flush(timeout time.Duration) {
	for end := time.Now().Add(timeout); len(s.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

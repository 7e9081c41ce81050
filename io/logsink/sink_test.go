package logsink_test

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/io/logsink"
)

// pausableWriter is an output that blocks while its mutex is held.
type pausableWriter struct {
	mu   sync.Mutex
	text strings.Builder
}

func (o *pausableWriter) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *pausableWriter) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// TestLinesArrive checks the order and the content of the lines written.
func TestLinesArrive(t *testing.T) {
	out := &pausableWriter{}
	s := logsink.New(out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = io.WriteString(s, line)
	}
	s.Flush(time.Second)
	time.Sleep(10 * time.Millisecond)
	if diff := cmp.Diff("a\nb\nc\n", out.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}

// TestFullPipe guards against a process that blocks because its log is not read: lines
// must be dropped and counted instead.
func TestFullPipe(t *testing.T) {
	out := &pausableWriter{}
	out.mu.Lock()
	s := logsink.New(out)
	done := make(chan struct{})
	go func() {
		for range 5000 {
			_, _ = io.WriteString(s, "line\n")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(2 * time.Second):
		t.Fatal("the writer was blocked")
	}
	if got := s.Dropped(); got < 4000 {
		t.Errorf("%d lines were dropped, want most of 5000", got)
	}
	out.mu.Unlock()
	s.Flush(time.Second)
	time.Sleep(20 * time.Millisecond)
	if !strings.Contains(out.String(), "log lines left out") {
		t.Error("no log line reports the dropped lines")
	}
}

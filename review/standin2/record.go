//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes one line for each event, with the seconds since its start.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// log writes an event with pairs of a name and a value.
func (r *record) log(event string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s", time.Since(r.started).Seconds(), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		_, _ = fmt.Fprintf(r.out, " %v=%v", pairs[i], pairs[i+1])
	}
	_, _ = r.out.WriteString("\n")
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

package instance

import (
	"bufio"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/node"
	"knapweedstall/core/trace"
)

const (
	// traceBufferSize is large enough that the loop rarely waits for the disk.
	traceBufferSize = 1 << 20
	// traceFileMode hides callers' queries from other users of the machine.
	traceFileMode = 0o600
)

// TraceError reports that the trace could not be written.
type TraceError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *TraceError) Error() string { return fmt.Sprintf("trace %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *TraceError) Unwrap() error { return e.Cause }

// tracer records the events and commands of a node in a file.
type tracer struct {
	file     *os.File
	buffer   *bufio.Writer
	recorder *trace.Recorder[node.Event, node.Command]
}

// startTrace starts to record the node if a trace is configured.
func (in *Instance) startTrace() error {
	if in.tracePath == "" {
		return nil
	}
	file, err := os.OpenFile(in.tracePath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, traceFileMode)
	if err != nil {
		return errors.WithStack(&TraceError{in.tracePath, err})
	}
	t := &tracer{file: file, buffer: bufio.NewWriterSize(file, traceBufferSize)}
	if t.recorder, err = node.Record(t.buffer, in.node); err != nil {
		_ = file.Close()
		return errors.WithStack(&TraceError{in.tracePath, err})
	}
	in.tracer = t
	return nil
}

// handleAndRecord passes an event to the node and, if a trace is configured, records
// it. An error in recording does not affect the node.
func (in *Instance) handleAndRecord(now clock.Time, e node.Event) []node.Command {
	if in.tracer == nil {
		return in.node.Handle(now, e)
	}
	return in.tracer.recorder.Handle(now, e)
}

// closeTrace completes the trace file. It is called after the loop has ended.
func (in *Instance) closeTrace() {
	if in.tracer == nil {
		return
	}
	err := in.tracer.recorder.Close()
	for _, f := range []func() error{in.tracer.buffer.Flush, in.tracer.file.Close} {
		if e := f(); err == nil {
			err = e
		}
	}
	if err != nil {
		in.log.Warn("trace is incomplete", "code", "traceIncomplete", "err", &TraceError{in.tracePath, err})
	}
}

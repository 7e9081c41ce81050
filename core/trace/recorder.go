package trace

import (
	"encoding/json"
	"io"

	"knapweedstall/core/clock"
)

// Recorder is a Machine that passes its inputs to another Machine and writes the
// inputs and the commands to a trace. An error in recording does not affect the
// other machine: it ends the recording, and Err and Close return it.
type Recorder[I, C any] struct {
	machine Machine[I, C]
	types   *Registry
	w       io.Writer
	limits  limits
	written int64
	steps   uint64
	ended   bool
	err     error
}

// NewRecorder writes the header and returns a Recorder. Each line is written with
// one call of Write. A writer that must not delay the machine must buffer the
// lines itself.
func NewRecorder[I, C any](w io.Writer, types *Registry, m Machine[I, C], h Header, opts ...Option) (*Recorder[I, C], error) {
	r := &Recorder[I, C]{machine: m, types: types, w: w, limits: newLimits(opts)}
	r.writeLine(headerLine{Format: Format, Version: Version, Machine: h.Machine, Setup: h.Setup}, true)
	if r.err != nil {
		return nil, r.err
	}
	return r, nil
}

// Handle passes the input on, records the step and returns the commands.
func (r *Recorder[I, C]) Handle(now clock.Time, input I) []C {
	// The input is encoded first, because the machine may change the data that it
	// refers to.
	var in typedValue
	if !r.ended {
		in, r.err = r.types.encode(input)
		r.ended = r.err != nil
	}
	commands := r.machine.Handle(now, input)
	if r.ended {
		return commands
	}
	data, err := encodeAll(r.types, commands)
	if err != nil {
		r.err, r.ended = err, true
		return commands
	}
	if r.writeLine(stepLine{Seq: r.steps + 1, At: now, Input: in, Commands: data}, false) {
		r.steps++
	}
	return commands
}

// Err returns the error that ended the recording, if any.
func (r *Recorder[I, C]) Err() error { return r.err }

// Steps returns the number of recorded steps.
func (r *Recorder[I, C]) Steps() uint64 { return r.steps }

// Close writes the end line unless the recording has already ended, and returns
// the result of Err. It does not close the writer.
func (r *Recorder[I, C]) Close() error {
	if !r.ended {
		r.ended = true
		r.writeLine(endLine{End: EndClosed, Steps: r.steps}, true)
	}
	return r.err
}

// writeLine writes a line and reports whether it was written. If the line would
// exceed a limit and force is not set, it writes an end line instead, which tells
// readers that steps are missing.
func (r *Recorder[I, C]) writeLine(line any, force bool) bool {
	data, err := json.Marshal(line)
	if err != nil {
		r.err, r.ended = &EncodeError{Type: "line", Err: err}, true
		return false
	}
	data = append(data, '\n')
	if !force && (len(data) > r.limits.maxLine || r.written+int64(len(data)) > r.limits.maxBytes) {
		r.ended = true
		r.writeLine(endLine{End: EndLimit, Steps: r.steps}, true)
		return false
	}
	n, err := r.w.Write(data)
	r.written += int64(n)
	if err != nil {
		r.err, r.ended = &WriteError{Err: err}, true
		return false
	}
	return true
}

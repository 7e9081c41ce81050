package trace

import (
	"bufio"
	"encoding/json"
	"io"

	"knapweedstall/core/clock"
)

// Reader reads the steps of a trace one at a time.
type Reader struct {
	scanner *bufio.Scanner
	types   *Registry
	header  Header
	line    uint64
	steps   uint64
	at      clock.Time
	end     *End
}

// NewReader reads the header and returns a Reader for the steps. It fails with
// *FormatError if the header is not valid, and with *TruncatedError if the trace
// is empty.
func NewReader(r io.Reader, types *Registry, opts ...Option) (*Reader, error) {
	l := newLimits(opts)
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, min(64<<10, l.maxLine)), l.maxLine)
	d := &Reader{scanner: s, types: types}
	var h headerLine
	if err := d.readLine(&h); err != nil {
		return nil, err
	}
	if h.Format != Format || h.Version != Version {
		return nil, &FormatError{Line: d.line, Field: "format or version"}
	}
	d.header = Header{Machine: h.Machine, Setup: h.Setup}
	return d, nil
}

// Header returns the header of the trace.
func (d *Reader) Header() Header { return d.header }

// End returns the content of the end line. It reports false until Next has
// returned io.EOF.
func (d *Reader) End() (End, bool) {
	if d.end == nil {
		return End{}, false
	}
	return *d.end, true
}

// Next returns the next step. It fails with io.EOF at the end line, with
// *TruncatedError if there is none, with *FormatError for an invalid line and
// with *TypeError for an input whose name is not registered.
func (d *Reader) Next() (Step, error) {
	if d.end != nil {
		return Step{}, io.EOF
	}
	var line struct {
		stepLine
		endLine
	}
	if err := d.readLine(&line); err != nil {
		return Step{}, err
	}
	if line.End != "" {
		return Step{}, d.checkEnd(line.endLine)
	}
	if line.Seq != d.steps+1 {
		return Step{}, &FormatError{Line: d.line, Field: "seq"}
	}
	if line.At < d.at {
		return Step{}, &FormatError{Line: d.line, Field: "at"}
	}
	input, err := d.types.decode(line.Input)
	if _, unknown := err.(*TypeError); unknown {
		return Step{}, err
	}
	if err != nil {
		return Step{}, &FormatError{Line: d.line, Field: "input", Err: err}
	}
	d.steps, d.at = line.Seq, line.At
	return Step{Seq: line.Seq, At: line.At, Input: input, Commands: line.Commands}, nil
}

// Commands decodes the commands of a step.
func (d *Reader) Commands(s Step) ([]any, error) {
	var all []typedValue
	if err := json.Unmarshal(s.Commands, &all); err != nil {
		return nil, &FormatError{Line: d.line, Field: "commands", Err: err}
	}
	commands := make([]any, len(all))
	for i, n := range all {
		c, err := d.types.decode(n)
		if err != nil {
			return nil, err
		}
		commands[i] = c
	}
	return commands, nil
}

// checkEnd checks the end line and returns io.EOF if it is valid.
func (d *Reader) checkEnd(e endLine) error {
	if e.End != EndClosed && e.End != EndLimit || e.Steps != d.steps {
		return &FormatError{Line: d.line, Field: "end"}
	}
	if d.scanner.Scan() {
		return &FormatError{Line: d.line + 1, Field: "line after the end"}
	}
	d.end = &End{Reason: e.End, Steps: e.Steps}
	return io.EOF
}

// readLine reads and decodes the next line.
func (d *Reader) readLine(into any) error {
	if !d.scanner.Scan() {
		if err := d.scanner.Err(); err != nil {
			return &FormatError{Line: d.line + 1, Field: "line", Err: err}
		}
		return &TruncatedError{Steps: d.steps}
	}
	d.line++
	if err := json.Unmarshal(d.scanner.Bytes(), into); err != nil {
		return &FormatError{Line: d.line, Field: "line", Err: err}
	}
	return nil
}

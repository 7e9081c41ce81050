package trace_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/trace"
)

// summer is a machine whose commands contain the sum of its inputs so far.
type summer struct {
	total uint64
	bias  uint64
}

type (
	add   struct{ N uint64 }
	note  struct{ Text string }
	total struct {
		N    uint64
		Tags []string
	}
)

func (s *summer) Handle(_ clock.Time, in any) []any {
	a, ok := in.(add)
	if !ok {
		return nil
	}
	s.total += a.N
	return []any{total{N: s.total + s.bias, Tags: []string{}}}
}

func registry(t *testing.T) *trace.Registry {
	r := trace.NewRegistry()
	if err := errors.Join(trace.Register[add](r, "add"), trace.Register[note](r, "note"), trace.Register[total](r, "total")); err != nil {
		t.Fatal(err)
	}
	return r
}

// record returns the trace of the inputs and the final error of the recorder.
func record(t *testing.T, inputs []any, opts ...trace.Option) (string, error) {
	var b bytes.Buffer
	r, err := trace.NewRecorder[any, any](&b, registry(t), &summer{}, trace.Header{Machine: "sum"}, opts...)
	if err != nil {
		t.Fatal(err)
	}
	for i, in := range inputs {
		r.Handle(clock.Time(i), in)
	}
	err = r.Close()
	return b.String(), err
}

func replay(t *testing.T, text string, m *summer, opts ...trace.Option) (uint64, trace.End, error) {
	r, err := trace.NewReader(strings.NewReader(text), registry(t), opts...)
	if err != nil {
		return 0, trace.End{}, err
	}
	steps, err := trace.Replay(r, trace.Machine[any, any](m))
	end, _ := r.End()
	return steps, end, err
}

// Guards against replays that differ from the recording or from each other, against
// numbers that lose digits, and against commands that are decoded incorrectly.
func TestReplayGivesTheSameCommands(t *testing.T) {
	text, err := record(t, []any{add{1 << 63}, add{1}, note{"déjà \\ufffd \ufffd"}})
	if err != nil {
		t.Fatal(err)
	}
	r, err := trace.NewReader(strings.NewReader(text), registry(t))
	if err != nil {
		t.Fatal(err)
	}
	step, _ := r.Next()
	commands, err := r.Commands(step)
	if diff := cmp.Diff([]any{total{N: 1 << 63, Tags: []string{}}}, commands); err != nil || diff != "" {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
	for range 2 {
		steps, end, err := replay(t, text, &summer{})
		if err != nil || steps != 3 || end.Reason != trace.EndClosed {
			t.Fatalf("replayed %d steps to %+v: %v", steps, end, err)
		}
	}
	var mismatch *trace.MismatchError
	if _, _, err := replay(t, text, &summer{bias: 1}); !errors.As(err, &mismatch) || mismatch.Seq != 1 {
		t.Errorf("replay on a machine that differs in the last digit returned %v", err)
	}
}

// Guards against traces that exceed the limits, or that do not show that steps are
// missing.
func TestRecorderEnforcesLimits(t *testing.T) {
	inputs := make([]any, 100)
	for i := range inputs {
		inputs[i] = note{strings.Repeat("x", i)}
	}
	for _, opt := range []trace.Option{trace.WithMaxBytes(2000), trace.WithMaxLine(120)} {
		text, err := record(t, inputs, opt)
		if err != nil || len(text) > 10000 {
			t.Fatalf("trace has %d bytes, want at most 10000: %v", len(text), err)
		}
		steps, end, err := replay(t, text, &summer{})
		if err != nil || end.Reason != trace.EndLimit || steps == 0 || end.Steps != steps {
			t.Errorf("replayed %d steps to %+v: %v", steps, end, err)
		}
	}
}

// Guards against recordings that cannot be replayed exactly.
func TestRecorderReportsEncodeErrors(t *testing.T) {
	var encoding *trace.EncodeError
	if _, err := record(t, []any{note{"\xff"}}); !errors.As(err, &encoding) {
		t.Errorf("recording text that is not valid UTF-8 returned %v", err)
	}
	var unknown *trace.TypeError
	if _, err := record(t, []any{42}); !errors.As(err, &unknown) {
		t.Errorf("recording an unregistered input returned %v", err)
	}
}

// Guards against damaged traces that are accepted as complete.
func TestReaderRejectsDamagedTraces(t *testing.T) {
	good, err := record(t, []any{add{1}, add{2}})
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(good, "\n")
	tests := []struct{ name, text, want string }{
		{"empty", "", "truncated after 0 steps"},
		{"version", strings.Replace(good, `"version":1`, `"version":2`, 1), "line 1: invalid format or version"},
		{"no end", lines[0] + lines[1], "truncated after 1 steps"},
		{"half a line", lines[0] + lines[1][:20], "line 2: invalid line"},
		{"lost step", lines[0] + lines[2] + lines[3], "line 2: invalid seq"},
		{"time", strings.Replace(good, `"at":1`, `"at":-1`, 1), "line 3: invalid at"},
		{"name", strings.Replace(good, `"add"`, `"sub"`, 1), "type sub is not registered"},
		{"count", strings.Replace(good, `"steps":2`, `"steps":3`, 1), "line 4: invalid end"},
		{"tail", good + lines[1], "line 5: invalid line after the end"},
		{"long line", lines[0] + strings.Repeat(" ", 300) + lines[1], "line 2: invalid line"},
	}
	for _, tt := range tests {
		if _, _, err := replay(t, tt.text, &summer{}, trace.WithMaxLine(200)); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got %v, want %q", tt.name, err, tt.want)
		}
	}
}

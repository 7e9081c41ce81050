package allowance_test

import (
	"testing"

	"knapweedstall/core/allowance"
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
)

const (
	cold     = message.TargetCold
	warm     = message.TargetWarm
	draining = message.TargetDraining
)

// Guards against two holders that together use more, or fewer, than the limit.
func TestSharesSumToLimit(t *testing.T) {
	for limit := range 6 {
		for index := range 3 {
			if s0, s1 := allowance.Slots(0, index, limit), allowance.Slots(1, index, limit); s0+s1 != limit {
				t.Errorf("target %d, limit %d: shares %d and %d", index, limit, s0, s1)
			}
		}
	}
}

// Guards against an allowance that outlives or ignores what the target said.
// The target has index 0, so its odd slot belongs to share 0.
func TestSlots(t *testing.T) {
	type step = func(a *allowance.Allowance)
	ok := func(now clock.Time, state message.TargetState, bears int) step {
		return func(a *allowance.Allowance) { a.Answered(now, a.Generation(), state, bears) }
	}
	shed := func(now clock.Time, bears int, retry clock.Duration) step {
		return func(a *allowance.Allowance) { a.Shed(now, a.Generation(), warm, bears, retry) }
	}
	lost := func(now clock.Time) step { return func(a *allowance.Allowance) { a.Failed(now) } }
	told := func(now clock.Time, state message.TargetState, bears int) step {
		return func(a *allowance.Allowance) { a.ReportReceived(now, state, bears) }
	}
	crossed := func(now clock.Time, sent allowance.Generation) step {
		return func(a *allowance.Allowance) { a.Answered(now, sent, warm, 4) }
	}
	tests := []struct {
		name  string
		steps []step
		now   clock.Time
		want  [2]int
	}{
		{"no answer yet counts as cold with one slot", nil, 1, [2]int{1, 0}},
		{"warm", []step{ok(10, warm, 4)}, 20, [2]int{2, 2}},
		{"more than the slots", []step{ok(10, warm, 9)}, 20, [2]int{2, 2}},
		{"cold reports three", []step{ok(10, cold, 3)}, 20, [2]int{2, 1}},
		{"answer too old", []step{ok(10, warm, 4)}, 10_010, [2]int{1, 0}},
		{"lost connection, before the delay", []step{ok(10, warm, 4), lost(20)}, 119, [2]int{0, 0}},
		{"lost connection, after the delay", []step{ok(10, warm, 4), lost(20)}, 120, [2]int{1, 0}},
		{"second loss doubles the delay", []step{lost(20), lost(200)}, 399, [2]int{0, 0}},
		{"shed, within the stated time", []step{ok(10, warm, 4), shed(20, 4, 70)}, 89, [2]int{0, 0}},
		{"shed, one slot less", []step{ok(10, warm, 4), shed(20, 4, 70)}, 90, [2]int{2, 1}},
		{"shed to zero is tried with one call", []step{ok(10, warm, 1), shed(20, 1, 0)}, 120, [2]int{1, 0}},
		{"cold with zero waits", []step{ok(10, cold, 0)}, 109, [2]int{0, 0}},
		{"other holder saw cold", []step{ok(10, warm, 4), told(20, cold, 1)}, 30, [2]int{1, 0}},
		{"other holder's report too old", []step{told(20, cold, 1), ok(9_000, warm, 4)}, 10_020, [2]int{2, 2}},
		{"report just after a loss may be older", []step{lost(20), told(1_519, warm, 4)}, 1_600, [2]int{1, 0}},
		{"later report allows one call", []step{lost(20), told(1_520, warm, 4)}, 1_600, [2]int{1, 1}},
		{"draining", []step{ok(10, draining, 4)}, 30_009, [2]int{0, 0}},
		{"other holder saw draining", []step{ok(10, warm, 4), told(20, draining, 4)}, 30, [2]int{0, 0}},
		{"answer of an earlier call crosses a cold one", []step{ok(10, cold, 1), crossed(11, 0)}, 20, [2]int{1, 0}},
		{"answer of an earlier call crosses a loss", []step{lost(10), crossed(11, 0)}, 120, [2]int{1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := allowance.New(0, 4)
			for _, s := range tt.steps {
				s(a)
			}
			if got := [2]int{a.Slots(tt.now, 0), a.Slots(tt.now, 1)}; got != tt.want {
				t.Errorf("slots of the shares %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a holder that keeps a change to itself or repeats itself on
// every answer.
func TestReport(t *testing.T) {
	a := allowance.New(0, 2)
	steps := []struct {
		now   clock.Time
		state message.TargetState
		due   bool
	}{{10, cold, true}, {20, cold, false}, {30, warm, true}, {1_029, warm, false}, {1_030, warm, true}, {1_040, cold, true}}
	for _, s := range steps {
		a.Answered(s.now, a.Generation(), s.state, 1)
		if state, _, due := a.Report(s.now); due != s.due || due && state != s.state {
			t.Errorf("at %d: report %q due %v, want %q %v", s.now, state, due, s.state, s.due)
		}
	}
}

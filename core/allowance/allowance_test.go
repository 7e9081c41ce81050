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

// Guards against two shares that together have more or fewer slots than the limit.
func TestSharesSumToLimit(t *testing.T) {
	for limit := range 6 {
		for index := range 3 {
			if s0, s1 := allowance.Slots(0, index, limit), allowance.Slots(1, index, limit); s0+s1 != limit {
				t.Errorf("target %d, limit %d: shares %d and %d", index, limit, s0, s1)
			}
		}
	}
}

// Guards against slots that ignore what the target or the other holder said, or
// rely on it for too long. The target has index 0, so its odd slot belongs to share 0.
func TestSlots(t *testing.T) {
	type step = func(a *allowance.Allowance)
	answered := func(now clock.Time, state message.TargetState, capacity int) step {
		return func(a *allowance.Allowance) { a.Answered(now, a.Generation(), state, capacity) }
	}
	shed := func(now clock.Time, capacity int, retry clock.Duration) step {
		return func(a *allowance.Allowance) { a.Shed(now, a.Generation(), warm, capacity, retry) }
	}
	failed := func(now clock.Time) step { return func(a *allowance.Allowance) { a.Failed(now) } }
	reported := func(now clock.Time, state message.TargetState, capacity int) step {
		return func(a *allowance.Allowance) { a.ReportReceived(now, state, capacity) }
	}
	late := func(now clock.Time, sent allowance.Generation) step {
		return func(a *allowance.Allowance) { a.Answered(now, sent, warm, 4) }
	}
	tests := []struct {
		name  string
		steps []step
		now   clock.Time
		want  [2]int
	}{
		{"without an answer, like a cold target with one slot", nil, 1, [2]int{1, 0}},
		{"warm", []step{answered(10, warm, 4)}, 20, [2]int{2, 2}},
		{"capacity above the slots", []step{answered(10, warm, 9)}, 20, [2]int{2, 2}},
		{"cold reports three", []step{answered(10, cold, 3)}, 20, [2]int{2, 1}},
		{"answer too old", []step{answered(10, warm, 4)}, 10_010, [2]int{1, 0}},
		{"failure, before the backoff ends", []step{answered(10, warm, 4), failed(20)}, 119, [2]int{0, 0}},
		{"failure, after the backoff", []step{answered(10, warm, 4), failed(20)}, 120, [2]int{1, 0}},
		{"second failure doubles the backoff", []step{failed(20), failed(200)}, 399, [2]int{0, 0}},
		{"shed, within the stated time", []step{answered(10, warm, 4), shed(20, 4, 70)}, 89, [2]int{0, 0}},
		{"shed, one slot less", []step{answered(10, warm, 4), shed(20, 4, 70)}, 90, [2]int{2, 1}},
		{"shed to zero is tried with one call", []step{answered(10, warm, 1), shed(20, 1, 0)}, 120, [2]int{1, 0}},
		{"cold with zero waits", []step{answered(10, cold, 0)}, 109, [2]int{0, 0}},
		{"other holder reported cold", []step{answered(10, warm, 4), reported(20, cold, 1)}, 30, [2]int{1, 0}},
		{"report too old", []step{reported(20, cold, 1), answered(9_000, warm, 4)}, 10_020, [2]int{2, 2}},
		{"report soon after a failure may have been sent before it", []step{failed(20), reported(1_519, warm, 4)}, 1_600, [2]int{1, 0}},
		{"later report allows one call", []step{failed(20), reported(1_520, warm, 4)}, 1_600, [2]int{1, 1}},
		{"draining", []step{answered(10, draining, 4)}, 30_009, [2]int{0, 0}},
		{"other holder reported draining", []step{answered(10, warm, 4), reported(20, draining, 4)}, 30, [2]int{0, 0}},
		{"answer to an earlier call after a cold answer", []step{answered(10, cold, 1), late(11, 0)}, 20, [2]int{1, 0}},
		{"answer to an earlier call after a failure", []step{failed(10), late(11, 0)}, 120, [2]int{1, 0}},
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

// Guards against a holder that does not report a change, or that reports an unchanged
// state after every answer.
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

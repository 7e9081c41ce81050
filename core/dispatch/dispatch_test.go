package dispatch_test

import (
	"fmt"
	"strings"
	"testing"

	"knapweedstall/core/clock"
	"knapweedstall/core/dispatch"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// rig drives one Service with two targets of one slot. Its log lists sends as
// call>target, cancels as -call, and replies as request=status/reason.
type rig struct {
	s     *dispatch.Dispatcher
	use   dispatch.Permission
	now   clock.Time
	log   []string
	sends map[dispatch.CallID]dispatch.Send
}

func (r *rig) do(cmds []dispatch.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case dispatch.Send:
			r.sends[c.Call] = c
			r.log = append(r.log, fmt.Sprint(c.Call, ">", c.Target))
		case dispatch.CancelCall:
			r.log = append(r.log, fmt.Sprint("-", c.Call))
		case dispatch.Reply:
			r.log = append(r.log, strings.TrimSuffix(fmt.Sprint(c.ID.Request.Seq, "=", c.Status, "/", c.Reason), "/"))
		}
	}
}

// submit sends a sub-request with 100 ms left.
func (r *rig) submit(id uint64, kind message.Kind, change ...func(*message.SubRequest)) {
	sub := search(id)
	sub.Kind, sub.RemainingMS = kind, 100
	for _, f := range change {
		f(&sub)
	}
	r.do(r.s.Submit(r.now, sub, r.now.Add(sub.RemainingMS)))
}

func (r *rig) answer(call dispatch.CallID, change ...func(*dispatch.Answer)) {
	a := warmAnswer(1, r.sends[call])
	for _, f := range change {
		f(&a)
	}
	r.do(r.s.Answered(r.now, call, a))
}

func (r *rig) cancel(id uint64) { r.do(r.s.CancelSub(r.now, search(id).ID)) }

func (r *rig) fail(call dispatch.CallID, f dispatch.Failure) { r.do(r.s.Failed(r.now, call, f)) }

// earn completes 50 searches of 10 ms, which earns 2 tokens.
func (r *rig) earn() {
	for i := range dispatch.CallID(50) {
		r.submit(uint64(1000+i), message.KindSearch)
		r.now += 10
		r.answer(i + 1)
	}
	r.log = nil
}

// Guards against single decisions that differ from the design.
func TestDecisions(t *testing.T) {
	const search, canary, run, lost = message.KindSearch, message.KindCanary, message.KindRun, dispatch.FailureLost
	shed := func(a *dispatch.Answer) { a.Status, a.Items = dispatch.AnswerShed, nil }
	item := func(workspace topology.WorkspaceID, status dispatch.ItemStatus) func(*dispatch.Answer) {
		return func(a *dispatch.Answer) { a.Items[0].Workspace, a.Items[0].Status = workspace, status }
	}
	rank := func(rank uint64) func(*message.SubRequest) {
		return func(s *message.SubRequest) { s.Rank, s.RemainingMS = rank, 33 }
	}
	out := map[topology.TargetID]bool{"t0": true, "t1": true}
	tests := []struct {
		name   string
		tokens bool
		steps  func(r *rig)
		want   string
	}{
		{"lost search without a token", false, func(r *rig) { r.submit(1, search); r.fail(1, lost) }, "1>t0 1=crashed/crashed"},
		{"lost search", true, func(r *rig) { r.submit(1, search); r.fail(51, lost); r.answer(52) }, "51>t0 52>t1 1=ok"},
		{"search lost twice", true, func(r *rig) { r.submit(1, search); r.fail(51, lost); r.fail(52, lost) }, "51>t0 52>t1 1=crashed/crashed"},
		{"lost run", true, func(r *rig) { r.submit(1, run); r.fail(51, lost) }, "51>t0 1=crashed/crashed"},
		{"run not sent", false, func(r *rig) { r.submit(1, run); r.fail(1, dispatch.FailureNotSent); r.answer(2) }, "1>t0 2>t1 1=ok"},
		{"shed run", true, func(r *rig) { r.submit(1, run); r.answer(51, shed); r.answer(52) }, "51>t0 52>t1 1=ok"},
		{"shed run without a token", false, func(r *rig) { r.submit(1, run); r.answer(1, shed) }, "1>t0 1=notRun/shed"},
		{"repeated run", false, func(r *rig) { r.submit(1, run); r.answer(1); r.submit(1, run) }, "1>t0 1=ok"},
		{"shed canary", true, func(r *rig) { r.submit(1, canary); r.answer(51, shed) }, "51>t0 1=notRun/shed"},
		{"lost canary", true, func(r *rig) { r.submit(1, canary); r.fail(51, lost) }, "51>t0 1=crashed/crashed"},
		{"overdue canary", true, func(r *rig) { r.submit(1, canary); r.now += 11; r.do(r.s.Tick(r.now)) }, "51>t0"},
		{"overdue search", true, func(r *rig) {
			r.submit(1, search)
			r.now += 11
			r.do(r.s.Tick(r.now))
			r.answer(52)
			r.submit(2, search)
			r.submit(3, search) // the cancelled call still holds its slot
			r.fail(51, dispatch.FailureEnded)
		}, "51>t0 52>t1 1=ok -51 53>t1 54>t0"},
		{"queue behind cancelled calls", true, func(r *rig) {
			r.submit(1, search)
			r.submit(2, search)
			r.submit(3, search) // waits for the end of a cancelled call, not for its deadline
			r.cancel(1)
			r.cancel(2)
			r.now += 5
			r.fail(51, dispatch.FailureEnded)
		}, "51>t0 52>t1 1=failed/deadline -51 2=failed/deadline -52 53>t0"},
		{"snapshot gone", false, func(r *rig) { r.submit(1, search); r.answer(1, item("studio", dispatch.ItemSnapshotGone)) }, "1>t0 1=snapshotGone/snapshotGone"},
		{"item not run", false, func(r *rig) { r.submit(1, search); r.answer(1, item("studio", dispatch.ItemNotRun)) }, "1>t0 1=notRun/shed"},
		{"answer for another workspace", false, func(r *rig) { r.submit(1, search); r.answer(1, item("rival", dispatch.ItemOK)) }, "1>t0 1=failed/noTarget"},
		{"all zones out", false, func(r *rig) { r.do(r.s.Configure(r.now, fleet(2, 1), out)); r.submit(1, search) }, "1=notRun/zoneOut"},
		{"leaving target", false, func(r *rig) {
			conf := fleet(2, 1)
			conf.Targets[0].Leaving = true
			r.do(r.s.Configure(r.now, conf, nil))
			r.submit(1, search)
		}, "1>t1"},
		{"no right", false, func(r *rig) { r.use = dispatch.Permission{}; r.submit(1, search) }, "1=notRun/noHolder"},
		{"repeated attempt without a token", false, func(r *rig) {
			r.submit(1, search, func(s *message.SubRequest) { s.ID.Attempt, s.Repeat = 1, true })
		}, "1=notRun/shed"},
		{"second attempt after proof that nothing ran", false, func(r *rig) {
			r.submit(1, search, func(s *message.SubRequest) { s.ID.Attempt = 1 })
		}, "1>t0"},
		{"shed while the right is not fresh", true, func(r *rig) {
			r.use.Cold = [2]bool{}
			r.submit(1, run)
			r.answer(51, func(a *dispatch.Answer) { shed(a); a.RetryAfter = 1 })
			r.answer(52)
			r.now += 50
			r.submit(2, search)
			r.submit(3, search) // waits, although t0 has a free slot
		}, "51>t0 52>t1 1=ok 53>t1"},
		{"earliest deadline first", false, func(r *rig) {
			r.submit(1, search)
			r.submit(2, search)
			r.submit(3, search, func(s *message.SubRequest) { s.RemainingMS = 200 })
			r.submit(4, search)
			r.answer(1)
			r.answer(3)
		}, "1>t0 2>t1 1=ok 3>t0 4=ok 4>t0"},
		{"lowest rank dropped", true, func(r *rig) {
			for i, n := range []uint64{9, 9, 5, 1, 7, 6, 8} {
				r.submit(uint64(i), search, rank(n))
			}
		}, "51>t0 52>t1 3=notRun/shed"},
		{"busiest workspace dropped", true, func(r *rig) {
			rival := func(s *message.SubRequest) { s.Workspace = "rival" }
			for i, n := range []uint64{9, 9, 1, 7, 6, 8, 5} {
				if i == 2 {
					r.submit(uint64(i), search, rank(n)) // the lowest rank of all
				} else {
					r.submit(uint64(i), search, rank(n), rival)
				}
			}
		}, "51>t0 52>t1 6=notRun/shed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &rig{now: 1, use: dispatch.Permission{Warm: [2]bool{true, true}, Cold: [2]bool{true, true}}, sends: map[dispatch.CallID]dispatch.Send{}}
			r.s = dispatch.New(fleet(2, 1), right(func() dispatch.Permission { return r.use }), dispatch.WithoutBudgetRecovery())
			if tt.tokens {
				r.earn()
			}
			tt.steps(r)
			if got := strings.Join(r.log, " "); got != tt.want {
				t.Errorf("got  %s\nwant %s", got, tt.want)
			}
		})
	}
}

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

// harness drives a Dispatcher with two targets that have one slot each. Its log lists
// sends as call>target, cancellations as -call, and replies as request=status/reason.
type harness struct {
	dispatcher *dispatch.Dispatcher
	permission dispatch.Permission
	now        clock.Time
	log        []string
	sends      map[dispatch.CallID]dispatch.Send
}

// record appends the commands to the log.
func (h *harness) record(cmds []dispatch.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case dispatch.Send:
			h.sends[c.Call] = c
			h.log = append(h.log, fmt.Sprint(c.Call, ">", c.Target))
		case dispatch.CancelCall:
			h.log = append(h.log, fmt.Sprint("-", c.Call))
		case dispatch.Reply:
			h.log = append(h.log, strings.TrimSuffix(fmt.Sprint(c.ID.Request.Seq, "=", c.Status, "/", c.Reason), "/"))
		}
	}
}

// submit submits a sub-request with 100 ms left to its deadline.
func (h *harness) submit(id uint64, kind message.Kind, change ...func(*message.SubRequest)) {
	sub := searchRequest(id)
	sub.Kind, sub.RemainingMS = kind, 100
	for _, f := range change {
		f(&sub)
	}
	h.record(h.dispatcher.Submit(h.now, sub, h.now.Add(sub.RemainingMS)))
}

// answer answers a call with success, or as changed.
func (h *harness) answer(call dispatch.CallID, change ...func(*dispatch.Answer)) {
	a := warmAnswer(1, h.sends[call])
	for _, f := range change {
		f(&a)
	}
	h.record(h.dispatcher.Answered(h.now, call, a))
}

func (h *harness) cancel(id uint64) { h.record(h.dispatcher.CancelSub(h.now, searchRequest(id).ID)) }

func (h *harness) fail(call dispatch.CallID, f dispatch.Failure) {
	h.record(h.dispatcher.Failed(h.now, call, f))
}

// earn completes 50 searches of 10 ms, which earns 2 tokens of the retry budget.
func (h *harness) earn() {
	for i := range dispatch.CallID(50) {
		h.submit(uint64(1000+i), message.KindSearch)
		h.now += 10
		h.answer(i + 1)
	}
	h.log = nil
}

// Guards against wrong decisions in single situations: each case gives the expected
// sends, cancellations and replies.
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
		steps  func(h *harness)
		want   string
	}{
		{"lost search without a token", false, func(h *harness) { h.submit(1, search); h.fail(1, lost) }, "1>t0 1=crashed/crashed"},
		{"lost search", true, func(h *harness) { h.submit(1, search); h.fail(51, lost); h.answer(52) }, "51>t0 52>t1 1=ok"},
		{"search lost twice", true, func(h *harness) { h.submit(1, search); h.fail(51, lost); h.fail(52, lost) }, "51>t0 52>t1 1=crashed/crashed"},
		{"lost run", true, func(h *harness) { h.submit(1, run); h.fail(51, lost) }, "51>t0 1=crashed/crashed"},
		{"run not sent", false, func(h *harness) { h.submit(1, run); h.fail(1, dispatch.FailureNotSent); h.answer(2) }, "1>t0 2>t1 1=ok"},
		{"shed run", true, func(h *harness) { h.submit(1, run); h.answer(51, shed); h.answer(52) }, "51>t0 52>t1 1=ok"},
		{"shed run without a token", false, func(h *harness) { h.submit(1, run); h.answer(1, shed) }, "1>t0 1=notRun/shed"},
		{"repeated run", false, func(h *harness) { h.submit(1, run); h.answer(1); h.submit(1, run) }, "1>t0 1=ok"},
		{"shed canary", true, func(h *harness) { h.submit(1, canary); h.answer(51, shed) }, "51>t0 1=notRun/shed"},
		{"lost canary", true, func(h *harness) { h.submit(1, canary); h.fail(51, lost) }, "51>t0 1=crashed/crashed"},
		{"overdue canary", true, func(h *harness) { h.submit(1, canary); h.now += 11; h.record(h.dispatcher.Tick(h.now)) }, "51>t0"},
		{"overdue search", true, func(h *harness) {
			h.submit(1, search)
			h.now += 11
			h.record(h.dispatcher.Tick(h.now))
			h.answer(52)
			h.submit(2, search)
			h.submit(3, search) // the cancelled call still occupies its slot
			h.fail(51, dispatch.FailureEnded)
		}, "51>t0 52>t1 1=ok -51 53>t1 54>t0"},
		{"queue behind cancelled calls", true, func(h *harness) {
			h.submit(1, search)
			h.submit(2, search)
			h.submit(3, search) // waits for the end of a cancelled call, not for its deadline
			h.cancel(1)
			h.cancel(2)
			h.now += 5
			h.fail(51, dispatch.FailureEnded)
		}, "51>t0 52>t1 1=failed/deadline -51 2=failed/deadline -52 53>t0"},
		{"snapshot gone", false, func(h *harness) { h.submit(1, search); h.answer(1, item("studio", dispatch.ItemSnapshotGone)) }, "1>t0 1=snapshotGone/snapshotGone"},
		{"item not run", false, func(h *harness) { h.submit(1, search); h.answer(1, item("studio", dispatch.ItemNotRun)) }, "1>t0 1=notRun/shed"},
		{"answer for another workspace", false, func(h *harness) { h.submit(1, search); h.answer(1, item("rival", dispatch.ItemOK)) }, "1>t0 1=failed/noTarget"},
		{"all zones out", false, func(h *harness) { h.record(h.dispatcher.Configure(h.now, newService(2, 1), out)); h.submit(1, search) }, "1=notRun/zoneOut"},
		{"leaving target", false, func(h *harness) {
			conf := newService(2, 1)
			conf.Targets[0].Leaving = true
			h.record(h.dispatcher.Configure(h.now, conf, nil))
			h.submit(1, search)
		}, "1>t1"},
		{"no lease", false, func(h *harness) { h.permission = dispatch.Permission{}; h.submit(1, search) }, "1=notRun/noHolder"},
		{"repeated attempt without a token", false, func(h *harness) {
			h.submit(1, search, func(s *message.SubRequest) { s.ID.Attempt, s.Repeat = 1, true })
		}, "1=notRun/shed"},
		{"second attempt after proof that nothing ran", false, func(h *harness) {
			h.submit(1, search, func(s *message.SubRequest) { s.ID.Attempt = 1 })
		}, "1>t0"},
		{"shed while the lease is not fresh", true, func(h *harness) {
			h.permission.Cold = [2]bool{}
			h.submit(1, run)
			h.answer(51, func(a *dispatch.Answer) { shed(a); a.RetryAfter = 1 })
			h.answer(52)
			h.now += 50
			h.submit(2, search)
			h.submit(3, search) // is queued, although t0 has a free slot
		}, "51>t0 52>t1 1=ok 53>t1"},
		{"earliest deadline first", false, func(h *harness) {
			h.submit(1, search)
			h.submit(2, search)
			h.submit(3, search, func(s *message.SubRequest) { s.RemainingMS = 200 })
			h.submit(4, search)
			h.answer(1)
			h.answer(3)
		}, "1>t0 2>t1 1=ok 3>t0 4=ok 4>t0"},
		{"lowest rank dropped", true, func(h *harness) {
			for i, n := range []uint64{9, 9, 5, 1, 7, 6, 8} {
				h.submit(uint64(i), search, rank(n))
			}
		}, "51>t0 52>t1 3=notRun/shed"},
		{"busiest workspace dropped", true, func(h *harness) {
			rival := func(s *message.SubRequest) { s.Workspace = "rival" }
			for i, n := range []uint64{9, 9, 1, 7, 6, 8, 5} {
				if i == 2 {
					h.submit(uint64(i), search, rank(n)) // the lowest rank of all
				} else {
					h.submit(uint64(i), search, rank(n), rival)
				}
			}
		}, "51>t0 52>t1 6=notRun/shed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &harness{now: 1, permission: dispatch.Permission{Warm: [2]bool{true, true}, Cold: [2]bool{true, true}}, sends: map[dispatch.CallID]dispatch.Send{}}
			h.dispatcher = dispatch.New(newService(2, 1), leaseFunc(func() dispatch.Permission { return h.permission }), dispatch.WithoutBudgetRecovery())
			if tt.tokens {
				h.earn()
			}
			tt.steps(h)
			if got := strings.Join(h.log, " "); got != tt.want {
				t.Errorf("got  %s\nwant %s", got, tt.want)
			}
		})
	}
}

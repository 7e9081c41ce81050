package dispatch_test

import (
	"fmt"
	"slices"
	"testing"

	"knapweedstall/core/clock"
	"knapweedstall/core/dispatch"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"

	"pgregory.net/rapid"
)

func (sim *simulation) arrive(c *fakeCall) {
	t := c.target
	switch {
	case sim.ended(c):
	case t.draining:
		sim.answer(c, dispatch.Answer{Status: dispatch.AnswerDraining})
	case sim.now > c.StartBy:
		sim.answer(c, dispatch.Answer{Status: dispatch.AnswerLate})
	case t.shedNext > 0 || len(sim.callsWhere(func(o *fakeCall) bool { return o.target == t && o.running })) >= t.capacity:
		t.shedNext = max(0, t.shedNext-1)
		sim.answer(c, dispatch.Answer{Status: dispatch.AnswerShed, RetryAfter: clock.Duration(sim.rnd.IntN(3) * 40)})
	default:
		sim.run(c)
	}
}

func (sim *simulation) run(c *fakeCall) {
	c.running = true
	for _, item := range c.Items {
		sub := sim.subs[sim.index[item.Query]]
		sim.executions[item.Query]++
		if slices.Contains(sim.replies[item.Query], message.StatusNotRun) {
			sim.t.Fatalf("%s runs after it was reported as not run", item.Query)
		}
		key := fmt.Sprint("run ", sub.ID.Request.Seq)
		if sim.executions[key]++; sim.executions[key] > 1 && sub.Kind == message.KindRun {
			sim.t.Fatalf("%s runs twice", key)
		}
	}
	sim.schedule(min(sim.callDuration(c.target), c.Deadline.Sub(sim.now)), func() {
		if !sim.ended(c) {
			sim.answer(c, dispatch.Answer{Status: dispatch.AnswerOK, Items: itemAnswers(c.Send)})
		}
	})
}

func itemAnswers(c dispatch.Send) []dispatch.ItemAnswer {
	var items []dispatch.ItemAnswer
	for _, item := range c.Items {
		hits := []message.ShardAnswer{{Hits: []message.Hit{{ID: item.Query}}}}
		items = append(items, dispatch.ItemAnswer{ID: item.ID, Workspace: item.Workspace, Snapshot: c.Snapshot, Status: dispatch.ItemOK, Shards: hits})
	}
	return items
}

// answer ends the call at the target. The answer may arrive late, twice, with the items
// of another call, or never.
func (sim *simulation) answer(c *fakeCall, a dispatch.Answer) {
	sim.calls = slices.DeleteFunc(sim.calls, func(o *fakeCall) bool { return o == c })
	t := c.target
	a.State, a.Capacity = t.state(), t.capacity
	sim.seq++
	i := targetInfo{seq: sim.seq, capacity: t.capacity, warm: a.State == message.TargetWarm}
	if t.silent {
		return
	}
	sim.deliver(func() {
		switch a.Status {
		case dispatch.AnswerShed:
			i.closedUntil = sim.now.Add(a.RetryAfter)
		case dispatch.AnswerDraining:
			i.closedUntil = sim.now.Add(30 * clock.Second)
		}
		if sim.now < c.freeAt() { // after that, the holder has released the call
			sim.updateKnowledge(c.holder, c.Target, i)
		}
		for range sim.upTo(2) {
			sim.apply(c.holder, sim.holders[c.holder].Answered(sim.now, c.Call, a))
		}
	})
}

// fail ends the call at the target and reports the failure to the holder.
func (sim *simulation) fail(c *fakeCall, f dispatch.Failure) {
	sim.calls = slices.DeleteFunc(sim.calls, func(o *fakeCall) bool { return o == c })
	if !c.target.silent {
		sim.deliver(func() { sim.deliverFailure(c, f) })
	}
}

// deliverFailure reports the failure of a call to its holder.
func (sim *simulation) deliverFailure(c *fakeCall, f dispatch.Failure) {
	if f != dispatch.FailureEnded && sim.now < c.freeAt() {
		sim.seq++
		sim.updateKnowledge(c.holder, c.Target, targetInfo{seq: sim.seq, capacity: 1})
	}
	sim.apply(c.holder, sim.holders[c.holder].Failed(sim.now, c.Call, f))
}

// cancel delivers a cancellation to the target, which ends the call or ignores it.
func (sim *simulation) cancel(holder int, id dispatch.CallID) {
	for _, c := range sim.callsWhere(func(c *fakeCall) bool { return c.holder == holder && c.Call == id && !sim.chance(2) }) {
		sim.deliver(func() {
			if !sim.ended(c) {
				sim.fail(c, dispatch.FailureEnded)
			}
		})
	}
}

func (sim *simulation) report(holder int, r message.TargetReport) {
	i, other := sim.knowledge[holder][r.Target], 1-holder
	if r.State == message.TargetWarm && r.Capacity > i.capacity {
		sim.t.Fatalf("at %d holder %d reports %+v, but the target stated capacity %d", sim.now, holder, r, i.capacity)
	}
	i.capacity = min(i.capacity, r.Capacity)
	i.closedUntil, i.warm = 0, i.warm && r.State == message.TargetWarm
	sim.reportsAt[other] = max(sim.reportsAt[other], sim.now.Add(sim.upTo(200)))
	sim.schedule(sim.reportsAt[other].Sub(sim.now), func() {
		sim.updateKnowledge(other, r.Target, i)
		sim.apply(other, sim.holders[other].Reported(sim.now, r))
	})
}

func (sim *simulation) reply(r message.SubReply) {
	key := queryKey(r.ID)
	sub := sim.subs[sim.index[key]]
	sim.replies[key] = append(sim.replies[key], r.Status)
	sim.times[key] = [2]clock.Time{sim.times[key][0], sim.now}
	switch {
	case len(sim.replies[key]) > 1:
		sim.t.Fatalf("%s gets replies %v", key, sim.replies[key])
	case r.Workspace != sub.Workspace || r.Snapshot != sub.Snapshot:
		sim.t.Fatalf("%s gets a reply with another workspace or snapshot", key)
	case r.Status == message.StatusOK && r.Shards[0].Hits[0].ID != key:
		sim.t.Fatalf("%s gets the answer to %s", key, r.Shards[0].Hits[0].ID)
	case r.Status == message.StatusNotRun && sim.executions[key] > 0:
		sim.t.Fatalf("%s is reported as not run, but ran", key)
	case r.Status == message.StatusNotRun && r.RetryAfterMS <= 0:
		sim.t.Fatalf("%s is refused without a retry-after", key)
	case r.Status == message.StatusNotRun && sub.Kind == message.KindRun && sub.ID.Attempt < 3:
		sub.ID.Attempt++
		sim.schedule(1, func() { sim.submit(sim.rnd.IntN(2), sub) })
	}
}

func queryKey(id message.SubID) string { return fmt.Sprint(id.Request.Seq, "/", id.Attempt) }

func (sim *simulation) submit(holder int, sub message.SubRequest) {
	sub.Query = queryKey(sub.ID)
	sim.index[sub.Query] = len(sim.subs)
	sim.subs = append(sim.subs, sub)
	sim.times[sub.Query] = [2]clock.Time{sim.now, 0}
	s := sim.holders[holder]
	sim.apply(holder, s.Submit(sim.now, sub, sim.now.Add(sub.RemainingMS)))
	if sim.chance(10) {
		sim.apply(holder, s.CancelSub(sim.now, sub.ID))
	}
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	some := func(t *rapid.T) *fakeTarget { return rapid.SampledFrom(sim.targets).Draw(t, "target") }
	submit := func(kind message.Kind) {
		sim.submit(sim.rnd.IntN(2), message.SubRequest{
			ID:   message.SubID{Request: message.RequestID{Seq: uint64(len(sim.subs)) + 1000}, Service: "s"},
			Kind: kind, Workspace: topology.WorkspaceID(fmt.Sprint(sim.rnd.IntN(2))), Snapshot: topology.SnapshotID(fmt.Sprint(sim.rnd.IntN(2))),
			Rank: sim.rnd.Uint64N(10), RemainingMS: clock.Duration(5 + sim.rnd.IntN(300))})
	}
	setZones := func(isOut func() bool) {
		out := map[topology.TargetID]bool{}
		for _, x := range sim.targets {
			x.zoneOut = isOut()
			out[x.conf.ID] = x.zoneOut
		}
		for k, s := range sim.holders {
			sim.apply(k, s.Configure(sim.now, sim.service, out))
		}
	}
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "count") {
				submit([]message.Kind{message.KindSearch, message.KindCanary, message.KindRun}[max(0, sim.rnd.IntN(5)-2)])
			}
		},
		"steadyLoad": func(t *rapid.T) { // provides the tokens and latency samples that hedges need
			for range rapid.IntRange(1, 80).Draw(t, "count") {
				submit([]message.Kind{message.KindSearch, message.KindRun}[sim.rnd.IntN(6)/5])
				sim.advance(8)
			}
		},
		"advance": func(t *rapid.T) { sim.advance(clock.Duration(rapid.IntRange(1, 60).Draw(t, "ms"))) },
		"idle": func(t *rapid.T) {
			sim.advance(clock.Duration(rapid.SampledFrom([]int{300, 2_000, 11_000}).Draw(t, "ms")))
		},
		"warm": func(t *rapid.T) { x := some(t); x.capacity = min(x.conf.Slots, x.capacity+2) },
		"heal": func(*rapid.T) {
			for _, x := range sim.targets {
				x.capacity, x.draining, x.silent, x.slow = x.conf.Slots, false, false, 0
				for k, s := range sim.holders {
					if len(sim.callsWhere(func(c *fakeCall) bool { return c.target == x && c.holder == k })) == 0 {
						sim.seq++
						sim.updateKnowledge(k, x.conf.ID, targetInfo{seq: sim.seq, capacity: 1})
						sim.apply(k, append(s.Disconnected(sim.now, x.conf.ID), s.Connected(sim.now, x.conf.ID)...))
					}
				}
			}
			setZones(func() bool { return false })
			for k := range sim.permissions {
				sim.permissions[k].Warm[k], sim.permissions[k].Cold[k] = true, true
			}
		},
		"restart": func(t *rapid.T) { // a holder without a call in flight does not notice it
			x := some(t)
			for _, c := range sim.callsWhere(func(c *fakeCall) bool { return c.target == x && c.running }) {
				sim.fail(c, dispatch.FailureLost)
			}
			x.capacity, x.draining = rapid.IntRange(0, 1).Draw(t, "capacity"), false
		},
		"connectionLost": func(*rapid.T) { // the calls continue at the target
			for _, c := range sim.callsWhere(func(*fakeCall) bool { return sim.chance(2) }) {
				sim.deliverFailure(c, dispatch.FailureLost)
			}
		},
		"shed":   func(t *rapid.T) { some(t).shedNext = rapid.IntRange(1, 3).Draw(t, "calls") },
		"slow":   func(t *rapid.T) { some(t).slow = clock.Duration(rapid.SampledFrom([]int{0, 50, 500}).Draw(t, "ms")) },
		"silent": func(t *rapid.T) { x := some(t); x.silent = !x.silent },
		"drain":  func(t *rapid.T) { some(t).draining = rapid.IntRange(0, 3).Draw(t, "drain") == 0 },
		"crossedAnswer": func(*rapid.T) {
			if len(sim.calls) < 2 {
				return
			}
			if a, b := sim.calls[0], sim.calls[len(sim.calls)-1]; b.running && a.holder == b.holder {
				sim.answer(b, dispatch.Answer{Status: dispatch.AnswerOK, Items: itemAnswers(a.Send)})
			}
		},
		"zone": func(t *rapid.T) { setZones(func() bool { return rapid.IntRange(0, 5).Draw(t, "out") == 0 }) },
		"revoke": func(t *rapid.T) {
			k := rapid.IntRange(0, 1).Draw(t, "holder")
			sim.permissions[k].Warm[k] = rapid.IntRange(0, 5).Draw(t, "warm") > 0
			sim.permissions[k].Cold[k] = sim.permissions[k].Warm[k] && rapid.IntRange(0, 3).Draw(t, "cold") > 0
		},
	}
}

// Guards against violations of the dispatcher's invariants under faults of targets,
// connections and reports: no more calls than the target's capacity and the lease
// permit, at most one execution of a run, no execution of a sub-request that is reported
// as not run, and exactly one reply to each sub-request.
func TestDispatcherUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := newService(rapid.IntRange(1, 3).Draw(t, "targets"), 0)
		for i := range service.Targets {
			service.Targets[i].Slots = rapid.IntRange(1, 5).Draw(t, "slots")
		}
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), service, dispatch.WithMaxBatch(rapid.IntRange(1, 3).Draw(t, "batch")))
		sim.faults = true
		sim.callDuration = func(t *fakeTarget) clock.Duration { return clock.Duration(1+sim.rnd.IntN(20)) + t.slow }
		t.Repeat(sim.actions())
		sim.advance(3 * clock.Second)
		for _, sub := range sim.subs {
			if r := sim.replies[sub.Query]; len(r) != 1 {
				t.Fatalf("%s gets replies %v", sub.Query, r)
			}
		}
		for k, s := range sim.holders {
			if l := s.Load(); l.Queued+l.InFlight > 0 || s.BusyUntil(sim.now, k) != 0 {
				t.Fatalf("holder %d has work left at the end: %+v", k, l)
			}
		}
	})
}

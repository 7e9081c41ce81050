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

func (w *world) arrive(c *fakeCall) {
	t := c.target
	switch {
	case w.ended(c):
	case t.draining:
		w.answer(c, dispatch.Answer{Status: dispatch.AnswerDraining})
	case w.now > c.StartBy:
		w.answer(c, dispatch.Answer{Status: dispatch.AnswerLate})
	case t.shed > 0 || len(w.some(func(o *fakeCall) bool { return o.target == t && o.running })) >= t.bears:
		t.shed = max(0, t.shed-1)
		w.answer(c, dispatch.Answer{Status: dispatch.AnswerShed, RetryAfter: clock.Duration(w.rnd.IntN(3) * 40)})
	default:
		w.run(c)
	}
}

func (w *world) run(c *fakeCall) {
	c.running = true
	for _, item := range c.Items {
		sub := w.subs[w.index[item.Query]]
		w.started[item.Query]++
		if slices.Contains(w.replies[item.Query], message.StatusNotRun) {
			w.t.Fatalf("%s runs after the reply not run", item.Query)
		}
		key := fmt.Sprint("run ", sub.ID.Request.Seq)
		if w.started[key]++; w.started[key] > 1 && sub.Kind == message.KindRun {
			w.t.Fatalf("%s runs twice", key)
		}
	}
	w.after(min(w.takes(c.target), c.Deadline.Sub(w.now)), func() {
		if !w.ended(c) {
			w.answer(c, dispatch.Answer{Status: dispatch.AnswerOK, Items: answers(c.Send)})
		}
	})
}

func answers(c dispatch.Send) []dispatch.ItemAnswer {
	var items []dispatch.ItemAnswer
	for _, item := range c.Items {
		hits := []message.ShardAnswer{{Hits: []message.Hit{{ID: item.Query}}}}
		items = append(items, dispatch.ItemAnswer{ID: item.ID, Workspace: item.Workspace, Snapshot: c.Snapshot, Status: dispatch.ItemOK, Shards: hits})
	}
	return items
}

// answer ends the call at the target. The answer may arrive late, twice, under
// the id of another call too, or never.
func (w *world) answer(c *fakeCall, a dispatch.Answer) {
	w.calls = slices.DeleteFunc(w.calls, func(o *fakeCall) bool { return o == c })
	t := c.target
	a.State, a.Capacity = t.state(), t.bears
	w.stamp++
	i := info{stamp: w.stamp, bears: t.bears, warm: a.State == message.TargetWarm}
	if t.silent {
		return
	}
	w.transit(func() {
		switch a.Status {
		case dispatch.AnswerShed:
			i.closedUntil = w.now.Add(a.RetryAfter)
		case dispatch.AnswerDraining:
			i.closedUntil = w.now.Add(30 * clock.Second)
		}
		if w.now < c.freeAt() { // later the call is unknown to the holder
			w.learn(c.holder, c.Target, i)
		}
		for range w.upTo(2) {
			w.apply(c.holder, w.holders[c.holder].Answered(w.now, c.Call, a))
		}
	})
}

// fail ends the call at the target and tells the holder.
func (w *world) fail(c *fakeCall, f dispatch.Failure) {
	w.calls = slices.DeleteFunc(w.calls, func(o *fakeCall) bool { return o == c })
	if !c.target.silent {
		w.transit(func() { w.notice(c, f) })
	}
}

func (w *world) notice(c *fakeCall, f dispatch.Failure) {
	if f != dispatch.FailureEnded && w.now < c.freeAt() {
		w.stamp++
		w.learn(c.holder, c.Target, info{stamp: w.stamp, bears: 1})
	}
	w.apply(c.holder, w.holders[c.holder].Failed(w.now, c.Call, f))
}

// cancel reaches the target later, which ends the call or goes on.
func (w *world) cancel(holder int, id dispatch.CallID) {
	for _, c := range w.some(func(c *fakeCall) bool { return c.holder == holder && c.Call == id && !w.oneIn(2) }) {
		w.transit(func() {
			if !w.ended(c) {
				w.fail(c, dispatch.FailureEnded)
			}
		})
	}
}

func (w *world) report(holder int, r message.TargetReport) {
	i, other := w.know[holder][r.Target], 1-holder
	if r.State == message.TargetWarm && r.Capacity > i.bears {
		w.t.Fatalf("at %d holder %d reports %+v, it was told %d", w.now, holder, r, i.bears)
	}
	i.bears = min(i.bears, r.Capacity)
	i.closedUntil, i.warm = 0, i.warm && r.State == message.TargetWarm
	w.reportsAt[other] = max(w.reportsAt[other], w.now.Add(w.upTo(200)))
	w.after(w.reportsAt[other].Sub(w.now), func() {
		w.learn(other, r.Target, i)
		w.apply(other, w.holders[other].Reported(w.now, r))
	})
}

func (w *world) reply(r message.SubReply) {
	key := query(r.ID)
	sub := w.subs[w.index[key]]
	w.replies[key] = append(w.replies[key], r.Status)
	w.span[key] = [2]clock.Time{w.span[key][0], w.now}
	switch {
	case len(w.replies[key]) > 1:
		w.t.Fatalf("%s gets replies %v", key, w.replies[key])
	case r.Workspace != sub.Workspace || r.Snapshot != sub.Snapshot:
		w.t.Fatalf("%s gets the stamps of another", key)
	case r.Status == message.StatusOK && r.Shards[0].Hits[0].ID != key:
		w.t.Fatalf("%s gets the answer to %s", key, r.Shards[0].Hits[0].ID)
	case r.Status == message.StatusNotRun && w.started[key] > 0:
		w.t.Fatalf("%s is replied to as not run, but ran", key)
	case r.Status == message.StatusNotRun && r.RetryAfterMS <= 0:
		w.t.Fatalf("%s is refused without a time to retry after", key)
	case r.Status == message.StatusNotRun && sub.Kind == message.KindRun && sub.ID.Attempt < 3:
		sub.ID.Attempt++
		w.after(1, func() { w.submit(w.rnd.IntN(2), sub) })
	}
}

func query(id message.SubID) string { return fmt.Sprint(id.Request.Seq, "/", id.Attempt) }

func (w *world) submit(holder int, sub message.SubRequest) {
	sub.Query = query(sub.ID)
	w.index[sub.Query] = len(w.subs)
	w.subs = append(w.subs, sub)
	w.span[sub.Query] = [2]clock.Time{w.now, 0}
	s := w.holders[holder]
	w.apply(holder, s.Submit(w.now, sub, w.now.Add(sub.RemainingMS)))
	if w.oneIn(10) {
		w.apply(holder, s.CancelSub(w.now, sub.ID))
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	some := func(t *rapid.T) *fakeTarget { return rapid.SampledFrom(w.targets).Draw(t, "target") }
	submit := func(kind message.Kind) {
		w.submit(w.rnd.IntN(2), message.SubRequest{
			ID:   message.SubID{Request: message.RequestID{Seq: uint64(len(w.subs)) + 1000}, Service: "s"},
			Kind: kind, Workspace: topology.WorkspaceID(fmt.Sprint(w.rnd.IntN(2))), Snapshot: topology.SnapshotID(fmt.Sprint(w.rnd.IntN(2))),
			Rank: w.rnd.Uint64N(10), RemainingMS: clock.Duration(5 + w.rnd.IntN(300))})
	}
	zones := func(share func() bool) {
		out := map[topology.TargetID]bool{}
		for _, x := range w.targets {
			x.out = share()
			out[x.conf.ID] = x.out
		}
		for k, s := range w.holders {
			w.apply(k, s.Configure(w.now, w.service, out))
		}
	}
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "count") {
				submit([]message.Kind{message.KindSearch, message.KindCanary, message.KindRun}[max(0, w.rnd.IntN(5)-2)])
			}
		},
		"steady": func(t *rapid.T) { // earns tokens and latencies for hedges
			for range rapid.IntRange(1, 80).Draw(t, "count") {
				submit([]message.Kind{message.KindSearch, message.KindRun}[w.rnd.IntN(6)/5])
				w.advance(8)
			}
		},
		"advance": func(t *rapid.T) { w.advance(clock.Duration(rapid.IntRange(1, 60).Draw(t, "ms"))) },
		"idle": func(t *rapid.T) {
			w.advance(clock.Duration(rapid.SampledFrom([]int{300, 2_000, 11_000}).Draw(t, "ms")))
		},
		"warm": func(t *rapid.T) { x := some(t); x.bears = min(x.conf.Slots, x.bears+2) },
		"heal": func(*rapid.T) {
			for _, x := range w.targets {
				x.bears, x.draining, x.silent, x.slow = x.conf.Slots, false, false, 0
				for k, s := range w.holders {
					if len(w.some(func(c *fakeCall) bool { return c.target == x && c.holder == k })) == 0 {
						w.stamp++
						w.learn(k, x.conf.ID, info{stamp: w.stamp, bears: 1})
						w.apply(k, append(s.Disconnected(w.now, x.conf.ID), s.Connected(w.now, x.conf.ID)...))
					}
				}
			}
			zones(func() bool { return false })
			for k := range w.rights {
				w.rights[k].Warm[k], w.rights[k].Cold[k] = true, true
			}
		},
		"restart": func(t *rapid.T) { // unnoticed by a holder without a call
			x := some(t)
			for _, c := range w.some(func(c *fakeCall) bool { return c.target == x && c.running }) {
				w.fail(c, dispatch.FailureLost)
			}
			x.bears, x.draining = rapid.IntRange(0, 1).Draw(t, "bears"), false
		},
		"connectionLost": func(*rapid.T) { // the calls go on at the target
			for _, c := range w.some(func(*fakeCall) bool { return w.oneIn(2) }) {
				w.notice(c, dispatch.FailureLost)
			}
		},
		"shed":   func(t *rapid.T) { some(t).shed = rapid.IntRange(1, 3).Draw(t, "calls") },
		"slow":   func(t *rapid.T) { some(t).slow = clock.Duration(rapid.SampledFrom([]int{0, 50, 500}).Draw(t, "ms")) },
		"silent": func(t *rapid.T) { x := some(t); x.silent = !x.silent },
		"drain":  func(t *rapid.T) { some(t).draining = rapid.IntRange(0, 3).Draw(t, "drain") == 0 },
		"crossed": func(*rapid.T) {
			if len(w.calls) < 2 {
				return
			}
			if a, b := w.calls[0], w.calls[len(w.calls)-1]; b.running && a.holder == b.holder {
				w.answer(b, dispatch.Answer{Status: dispatch.AnswerOK, Items: answers(a.Send)})
			}
		},
		"zone": func(t *rapid.T) { zones(func() bool { return rapid.IntRange(0, 5).Draw(t, "out") == 0 }) },
		"right": func(t *rapid.T) {
			k := rapid.IntRange(0, 1).Draw(t, "holder")
			w.rights[k].Warm[k] = rapid.IntRange(0, 5).Draw(t, "warm") > 0
			w.rights[k].Cold[k] = w.rights[k].Warm[k] && rapid.IntRange(0, 3).Draw(t, "cold") > 0
		},
	}
}

// Guards against every breach of the allowance, of the right, of at most one
// run, of a true "not run" and of exactly one reply, under faults of targets,
// connections and reports.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := fleet(rapid.IntRange(1, 3).Draw(t, "targets"), 0)
		for i := range service.Targets {
			service.Targets[i].Slots = rapid.IntRange(1, 5).Draw(t, "slots")
		}
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), service, dispatch.WithMaxBatch(rapid.IntRange(1, 3).Draw(t, "batch")))
		w.chaos = true
		w.takes = func(t *fakeTarget) clock.Duration { return clock.Duration(1+w.rnd.IntN(20)) + t.slow }
		t.Repeat(w.actions())
		w.advance(3 * clock.Second)
		for _, sub := range w.subs {
			if r := w.replies[sub.Query]; len(r) != 1 {
				t.Fatalf("%s gets replies %v", sub.Query, r)
			}
		}
		for k, s := range w.holders {
			if l := s.Load(); l.Queued+l.InFlight > 0 || s.BusyUntil(w.now, k) != 0 {
				t.Fatalf("holder %d ends with %+v", k, l)
			}
		}
	})
}

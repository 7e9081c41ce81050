package query_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/query"
	"knapweedstall/core/topology"
)

// The seed is fixed; -rapid.seed and -rapid.checks change it and the number of
// runs, for longer searches.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20260712", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// delivery is a reply or a verdict that has been delivered once.
type delivery struct {
	from    topology.InstanceRef
	reply   message.SubReply
	verdict *query.CanaryVerdict
}

// world runs several queries against holders that answer in any order.
type world struct {
	now       clock.Time
	router    holders
	snapshots []topology.Snapshot
	retired   map[topology.SnapshotID]bool
	models    []*model
	past      []delivery
}

func ref(i int) topology.InstanceRef {
	return topology.InstanceRef{ID: topology.InstanceID(fmt.Sprintf("i%d", i)), Incarnation: 1}
}

func newWorld(t *rapid.T) *world {
	w := &world{now: 1000, retired: make(map[topology.SnapshotID]bool)}
	w.router = holders{make(map[topology.ServiceID][2]topology.InstanceRef), make(map[topology.InstanceRef]bool)}
	n := rapid.IntRange(1, 4).Draw(t, "services")
	for s := range n {
		a := rapid.IntRange(0, 3).Draw(t, "holder")
		w.router.pairs[topology.ServiceID(fmt.Sprintf("s%d", s))] = [2]topology.InstanceRef{ref(a), ref((a + 1) % 4)}
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "snapshots") {
		snap := topology.Snapshot{ID: topology.SnapshotID(fmt.Sprintf("v%d", 9-i)), Shards: make(map[topology.ServiceID][]topology.ShardID)}
		for k := range rapid.IntRange(1, 8).Draw(t, "shards") {
			s := topology.ServiceID(fmt.Sprintf("s%d", rapid.IntRange(0, n-1).Draw(t, "of")))
			snap.Shards[s] = append(snap.Shards[s], topology.ShardID(fmt.Sprintf("p%d", k)))
		}
		w.snapshots = append(w.snapshots, snap)
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "queries") {
		m := &model{t: t, snapshots: w.snapshots, router: w.router, good: make(good), sends: make(map[message.SubID]*sent)}
		m.id = message.RequestID{Entry: ref(7), Seq: uint64(i)}
		m.req = query.Request{Workspace: topology.WorkspaceID(fmt.Sprintf("t%d", i%2)), Limit: rapid.IntRange(0, 5).Draw(t, "limit")}
		m.req.Deadline = w.now.Add(clock.Duration(rapid.IntRange(0, 80).Draw(t, "budget")))
		m.finishAt = m.req.Deadline.Add(-margin)
		for _, s := range w.snapshots {
			m.good[s.ID] = rapid.Bool().Draw(t, "good")
		}
		m.q = query.New(m.id, m.req, w.snapshots, w.router, query.WithKnownGood(m.good))
		m.begun(w.now)
		m.check(w.now, m.q.Start(w.now))
		w.models = append(w.models, m)
	}
	return w
}

func (w *world) pick(t *rapid.T) *model {
	return w.models[rapid.IntRange(0, len(w.models)-1).Draw(t, "query")]
}

// deliver hands a reply or verdict to a query and checks what it does.
func (w *world) deliver(m *model, d delivery) {
	before := m.q.Drops().Total()
	var cmds []query.Command
	ok := m.accepts(d.from, d.reply)
	if d.verdict == nil {
		cmds = m.q.Replied(w.now, d.from, d.reply)
	} else {
		ok = ok && m.canary
		cmds = m.q.CanaryDone(w.now, *d.verdict)
	}
	if dropped := m.q.Drops().Total() - before; !ok && (dropped != 1 || len(cmds) > 0) || ok && dropped != 0 {
		m.t.Fatalf("query %d: accepted should be %v, but %d dropped and %d commands for %+v", m.id.Seq, ok, dropped, len(cmds), d)
	}
	if ok && d.verdict != nil && d.verdict.Outcome == query.CanaryKnownGood {
		m.sends[d.reply.ID].replied, m.sends[d.reply.ID].waiting, m.sends[d.reply.ID].refused = true, false, true
		m.fannedOut()
	} else if ok {
		m.take(w.now, d.reply)
	}
	m.check(w.now, cmds)
}

// reply draws a true reply to a sub-request.
func (w *world) reply(t *rapid.T, sub message.SubRequest) message.SubReply {
	r := message.SubReply{ID: sub.ID, Workspace: sub.Workspace, Snapshot: sub.Snapshot, Status: message.StatusOK}
	if w.retired[sub.Snapshot] {
		r.Status, r.Reason = message.StatusSnapshotGone, message.ReasonSnapshotGone
		for _, s := range w.snapshots {
			if !w.retired[s.ID] {
				r.Snapshots = append(r.Snapshots, s.ID)
			}
		}
		r.Snapshots = append(r.Snapshots, "unknown")
		return r
	}
	switch rapid.IntRange(0, 9).Draw(t, "status") {
	case 0, 1:
		r.Status, r.RetryAfterMS = message.StatusNotRun, 7
		r.Reason = rapid.SampledFrom([]message.Reason{message.ReasonShed, message.ReasonZoneOut, message.ReasonQuarantined}).Draw(t, "reason")
		return r
	case 2:
		r.Status, r.Reason = message.StatusCrashed, message.ReasonCrashed
		return r
	case 3:
		r.Status, r.Reason = message.StatusFailed, message.ReasonNoTarget
		return r
	}
	for _, sh := range sub.Shards {
		a := message.ShardAnswer{Shard: sh}
		for k := range 3 {
			id := fmt.Sprintf("%s-%s-%s-%d", sub.Workspace, sub.Snapshot, sh, k)
			a.Hits = append(a.Hits, message.Hit{ID: id, Score: float64(topology.Hash64(id) % 4)})
		}
		r.Shards = append(r.Shards, a)
	}
	switch first := r.Shards[0]; rapid.IntRange(0, 6).Draw(t, "shape") {
	case 0:
		r.Shards = r.Shards[1:]
	case 1:
		r.Shards = append(r.Shards, first, message.ShardAnswer{Shard: "foreign", Hits: first.Hits})
	}
	return r
}

// answer delivers the reply to one outstanding or lost sub-request.
func (w *world) answer(t *rapid.T) {
	m := w.pick(t)
	var open []message.SubID
	for _, s := range m.snapshots[m.pinned].Services() {
		for _, id := range m.services[s].ids {
			if !m.sends[id].replied {
				open = append(open, id)
			}
		}
	}
	if len(open) == 0 {
		return
	}
	a := m.sends[rapid.SampledFrom(open).Draw(t, "sub")]
	d := delivery{from: a.to, reply: w.reply(t, a.sub)}
	if a.to.IsZero() {
		v := query.CanaryVerdict{ID: a.sub.ID, Outcome: query.CanaryReplied, Reply: d.reply}
		switch rapid.IntRange(0, 6).Draw(t, "verdict") {
		case 0:
			v.Outcome = query.CanaryKnownGood
		case 1:
			v.Outcome, v.RetryAfter = query.CanaryQuarantined, 9
			d.reply.Status, d.reply.Reason = message.StatusNotRun, message.ReasonQuarantined
		case 2:
			v.Outcome, v.Reason = query.CanaryLost, message.ReasonNoHolder
			d.reply.Status, d.reply.Reason = message.StatusFailed, message.ReasonNoHolder
		}
		d.verdict = &v
	}
	w.past = append(w.past, d)
	w.deliver(m, d)
}

// disturb delivers an earlier reply again, to any query, or one with a wrong stamp.
func (w *world) disturb(t *rapid.T) {
	m := w.pick(t)
	if len(w.past) == 0 {
		return
	}
	d := rapid.SampledFrom(w.past).Draw(t, "reply")
	fresh := rapid.Bool().Draw(t, "fresh")
	for _, id := range m.snapshots[m.pinned].Services() {
		for _, sub := range m.services[id].ids {
			if a := m.sends[sub]; fresh && a.waiting && !a.to.IsZero() && d.verdict == nil {
				d = delivery{from: a.to, reply: w.reply(t, a.sub)}
			}
		}
	}
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		d.reply.Workspace += "x"
	case 1:
		d.reply.Snapshot += "x"
	case 2:
		d.reply.ID.Request.Seq += 100
	case 3:
		d.from = ref(9)
	case 4:
		d.reply.ID.Attempt += 2
	}
	if d.verdict != nil {
		v := *d.verdict
		v.Reply = d.reply
		d = delivery{reply: d.reply, verdict: &v}
	}
	w.deliver(m, d)
}

// Guards against mixed or double-counted answers, untrue coverage or refusals,
// lost cancellations and answers that come late or twice, whatever the order of
// replies and faults.
func TestQueriesAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"answer":  w.answer,
			"answer2": w.answer,
			"disturb": w.disturb,
			"pass": func(t *rapid.T) {
				w.now = w.now.Add(clock.Duration(rapid.IntRange(0, 30).Draw(t, "ms")))
				for _, m := range w.models {
					if !m.done && m.q.NextWake() <= w.now {
						m.tick(w.now)
						m.check(w.now, m.q.Tick(w.now))
					}
				}
			},
			"lose": func(t *rapid.T) {
				lost := ref(rapid.IntRange(0, 3).Draw(t, "instance"))
				w.router.lost[lost] = true
				for _, m := range w.models {
					if !m.done {
						m.lost(w.now, lost)
					}
					m.check(w.now, m.q.HolderLost(w.now, lost))
				}
			},
			"retire": func(t *rapid.T) {
				w.retired[rapid.SampledFrom(w.snapshots).Draw(t, "snapshot").ID] = true
			},
			"abandon": func(t *rapid.T) {
				m := w.pick(t)
				if rapid.IntRange(0, 9).Draw(t, "really") == 0 && !m.done {
					m.gone = true
					m.check(w.now, m.q.Abandon(w.now))
				}
			},
		})
	})
}

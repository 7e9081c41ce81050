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

// init sets a fixed seed and number of runs. The flags -rapid.seed and -rapid.checks
// change them, for longer runs.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20260712", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// delivery is a reply, or a verdict if verdict is set, that can be delivered again.
type delivery struct {
	from    topology.InstanceRef
	reply   message.SubReply
	verdict *query.CanaryVerdict
}

// simulation runs several queries against holders that reply in any order.
type simulation struct {
	now       clock.Time
	router    holders
	snapshots []topology.Snapshot
	retired   map[topology.SnapshotID]bool
	models    []*model
	delivered []delivery
}

func ref(i int) topology.InstanceRef {
	return topology.InstanceRef{ID: topology.InstanceID(fmt.Sprintf("i%d", i)), Incarnation: 1}
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{now: 1000, retired: make(map[topology.SnapshotID]bool)}
	sim.router = holders{make(map[topology.ServiceID][2]topology.InstanceRef), make(map[topology.InstanceRef]bool)}
	n := rapid.IntRange(1, 4).Draw(t, "services")
	for s := range n {
		a := rapid.IntRange(0, 3).Draw(t, "holder")
		sim.router.pairs[topology.ServiceID(fmt.Sprintf("s%d", s))] = [2]topology.InstanceRef{ref(a), ref((a + 1) % 4)}
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "snapshots") {
		snap := topology.Snapshot{ID: topology.SnapshotID(fmt.Sprintf("v%d", 9-i)), Shards: make(map[topology.ServiceID][]topology.ShardID)}
		for k := range rapid.IntRange(1, 8).Draw(t, "shards") {
			s := topology.ServiceID(fmt.Sprintf("s%d", rapid.IntRange(0, n-1).Draw(t, "of")))
			snap.Shards[s] = append(snap.Shards[s], topology.ShardID(fmt.Sprintf("p%d", k)))
		}
		sim.snapshots = append(sim.snapshots, snap)
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "queries") {
		m := &model{t: t, snapshots: sim.snapshots, router: sim.router, knownGood: make(knownGood), attempts: make(map[message.SubID]*attempt)}
		m.id = message.RequestID{Entry: ref(7), Seq: uint64(i)}
		m.req = query.Request{Workspace: topology.WorkspaceID(fmt.Sprintf("t%d", i%2)), Limit: rapid.IntRange(0, 5).Draw(t, "limit")}
		m.req.Deadline = sim.now.Add(clock.Duration(rapid.IntRange(0, 80).Draw(t, "budget")))
		m.finishAt = m.req.Deadline.Add(-margin)
		for _, s := range sim.snapshots {
			m.knownGood[s.ID] = rapid.Bool().Draw(t, "good")
		}
		m.q = query.New(m.id, m.req, sim.snapshots, sim.router, query.WithKnownGood(m.knownGood))
		m.startSnapshot(sim.now)
		m.check(sim.now, m.q.Start(sim.now))
		sim.models = append(sim.models, m)
	}
	return sim
}

func (sim *simulation) drawQuery(t *rapid.T) *model {
	return sim.models[rapid.IntRange(0, len(sim.models)-1).Draw(t, "query")]
}

// deliver passes a reply or verdict to a query and checks the resulting commands.
func (sim *simulation) deliver(m *model, d delivery) {
	before := m.q.Drops().Total()
	var cmds []query.Command
	ok := m.accepts(d.from, d.reply)
	if d.verdict == nil {
		cmds = m.q.Replied(sim.now, d.from, d.reply)
	} else {
		ok = ok && m.canaryPhase
		cmds = m.q.CanaryDone(sim.now, *d.verdict)
	}
	if dropped := m.q.Drops().Total() - before; !ok && (dropped != 1 || len(cmds) > 0) || ok && dropped != 0 {
		m.t.Fatalf("query %d: accepted should be %v, but got %d drops and %d commands for %+v", m.id.Seq, ok, dropped, len(cmds), d)
	}
	if ok && d.verdict != nil && d.verdict.Outcome == query.CanaryKnownGood {
		m.attempts[d.reply.ID].answered, m.attempts[d.reply.ID].open, m.attempts[d.reply.ID].notRun = true, false, true
		m.fanOut()
	} else if ok {
		m.handleReply(sim.now, d.reply)
	}
	m.check(sim.now, cmds)
}

// reply draws a valid reply to a sub-request.
func (sim *simulation) reply(t *rapid.T, sub message.SubRequest) message.SubReply {
	r := message.SubReply{ID: sub.ID, Workspace: sub.Workspace, Snapshot: sub.Snapshot, Status: message.StatusOK}
	if sim.retired[sub.Snapshot] {
		r.Status, r.Reason = message.StatusSnapshotGone, message.ReasonSnapshotGone
		for _, s := range sim.snapshots {
			if !sim.retired[s.ID] {
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

// answerOne delivers the reply to one sub-request that is not answered, including those
// of lost holders.
func (sim *simulation) answerOne(t *rapid.T) {
	m := sim.drawQuery(t)
	var open []message.SubID
	for _, s := range m.snapshots[m.pinned].Services() {
		for _, id := range m.services[s].attempts {
			if !m.attempts[id].answered {
				open = append(open, id)
			}
		}
	}
	if len(open) == 0 {
		return
	}
	a := m.attempts[rapid.SampledFrom(open).Draw(t, "sub")]
	d := delivery{from: a.to, reply: sim.reply(t, a.sub)}
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
	sim.delivered = append(sim.delivered, d)
	sim.deliver(m, d)
}

// deliverFaulty delivers an earlier reply again, to any query, or a reply with a wrong id,
// workspace, snapshot or sender.
func (sim *simulation) deliverFaulty(t *rapid.T) {
	m := sim.drawQuery(t)
	if len(sim.delivered) == 0 {
		return
	}
	d := rapid.SampledFrom(sim.delivered).Draw(t, "reply")
	fresh := rapid.Bool().Draw(t, "fresh")
	for _, id := range m.snapshots[m.pinned].Services() {
		for _, sub := range m.services[id].attempts {
			if a := m.attempts[sub]; fresh && a.open && !a.to.IsZero() && d.verdict == nil {
				d = delivery{from: a.to, reply: sim.reply(t, a.sub)}
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
	sim.deliver(m, d)
}

// Guards against mixed or double-counted answers, wrong coverage, refusals of queries that
// may have run, missing cancellations, and answers that are late or sent twice, for any
// order of replies and faults.
func TestQueriesAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"answer":        sim.answerOne,
			"answer2":       sim.answerOne, // drawn twice as often as the other actions
			"deliverFaulty": sim.deliverFaulty,
			"passTime": func(t *rapid.T) {
				sim.now = sim.now.Add(clock.Duration(rapid.IntRange(0, 30).Draw(t, "ms")))
				for _, m := range sim.models {
					if !m.finished && m.q.NextWake() <= sim.now {
						m.tick(sim.now)
						m.check(sim.now, m.q.Tick(sim.now))
					}
				}
			},
			"loseHolder": func(t *rapid.T) {
				lost := ref(rapid.IntRange(0, 3).Draw(t, "instance"))
				sim.router.lost[lost] = true
				for _, m := range sim.models {
					if !m.finished {
						m.holderLost(sim.now, lost)
					}
					m.check(sim.now, m.q.HolderLost(sim.now, lost))
				}
			},
			"retireSnapshot": func(t *rapid.T) {
				sim.retired[rapid.SampledFrom(sim.snapshots).Draw(t, "snapshot").ID] = true
			},
			"abandon": func(t *rapid.T) {
				m := sim.drawQuery(t)
				if rapid.IntRange(0, 9).Draw(t, "really") == 0 && !m.finished {
					m.abandoned = true
					m.check(sim.now, m.q.Abandon(sim.now))
				}
			},
		})
	})
}

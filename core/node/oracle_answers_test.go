package node_test

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"knapweedstall/core/message"
	"knapweedstall/core/node"
	"knapweedstall/core/query"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
)

// endRequest records that a request was answered. It returns nil if the caller
// has disconnected or there is no such request.
func (o *oracle) endRequest(p *proc, call node.CallID) *request {
	r := o.requests[call]
	if r != nil && r.callerDisconnected {
		r.callerDisconnected = false
		return nil
	}
	if r == nil || r.p != p || r.done {
		o.sim.violated("P5: %s answered call %d, which has no waiting caller", p, call)
		return nil
	}
	r.done = true
	if late := o.sim.now.Sub(r.deadline); late > answerSlack && p.sim.now != p.resumedAt {
		o.sim.violated("P5: call %d (%s) was answered %d ms after its deadline", call, r.text, late)
	}
	return r
}

func (o *oracle) callRefused(p *proc, c node.RefuseCall) {
	r := o.endRequest(p, c.Call)
	if r == nil {
		return
	}
	o.counts["refused "+string(c.Refusal)]++
	if c.Refusal == node.RefusedStopping && p.up && !p.node.Status(o.sim.now).Stopping {
		o.sim.violated("P9: %s refused a call as stopping, but it is not stopping", p)
	}
	o.requestNotRun(r)
}

func (o *oracle) requestNotRun(r *request) {
	r.notRun = true
	started := o.startedSearches[r.key()]
	if r.once {
		started = o.runCount[r.key()] > 0
	}
	if started && r.text != poison && o.allNotRun(r.key(), r.once) {
		o.sim.violated("P6: %s was started, but its callers were told that it was not run", r.key())
	}
}

func (o *oracle) searchAnswered(p *proc, c node.AnswerSearch) {
	r, a := o.endRequest(p, c.Call), c.Answer
	if r == nil {
		return
	}
	if a.Workspace != r.workspace {
		o.sim.violated("P5: call %d of workspace %s got an answer of workspace %s", c.Call, r.workspace, a.Workspace)
	}
	if a.Outcome == query.OutcomeNotRun {
		o.counts["query not run"]++
		o.requestNotRun(r)
		return
	}
	i := slices.IndexFunc(o.snapshots[c.Config], func(s topology.Snapshot) bool { return s.ID == a.Snapshot })
	if i < 0 {
		o.sim.violated("P1: call %d was answered from snapshot %q, which is not in the configuration of ticket %d", c.Call, a.Snapshot, c.Config)
		return
	}
	if covered := o.coveredShards(r, o.snapshots[c.Config][i], a.Coverage); covered != nil {
		o.checkHits(r, a, covered)
	}
	if a.Coverage.Answered == a.Coverage.Total {
		o.completeAnswers++
		o.counts["complete answer"]++
	}
	for _, m := range a.Coverage.Missing {
		o.counts["missing "+string(m.Reason)]++
	}
}

// coveredShards checks the coverage and returns the shards that were answered
// according to it.
func (o *oracle) coveredShards(r *request, s topology.Snapshot, c query.Coverage) []topology.ShardID {
	left := map[topology.ShardID]bool{}
	for _, shards := range s.Shards {
		for _, shard := range shards {
			left[shard] = true
		}
	}
	total := len(left)
	for _, m := range c.Missing {
		for _, shard := range m.Shards {
			if !left[shard] {
				o.sim.violated("P2: %s: shard %s is listed as missing twice or is not part of %s", r.key(), shard, s.ID)
			}
			delete(left, shard)
		}
	}
	if c.Total != total || c.Answered != len(left) {
		o.sim.violated("P2: %s: coverage is given as %d of %d shards, but is %d of %d", r.key(), c.Answered, c.Total, len(left), total)
	}
	return slices.Sorted(maps.Keys(left))
}

func (o *oracle) checkHits(r *request, a query.Answer, covered []topology.ShardID) {
	want := []message.Hit{}
	for _, shard := range covered {
		want = append(want, hitsOf(r.workspace, a.Snapshot, shard, r.text)...)
	}
	slices.SortFunc(want, func(x, y message.Hit) int { return cmp.Or(cmp.Compare(y.Score, x.Score), cmp.Compare(x.ID, y.ID)) })
	want = want[:min(len(want), r.limit)]
	if !slices.Equal(want, append([]message.Hit{}, a.Hits...)) {
		o.sim.violated("P1/P2/P5: %s: got hits %v, want %v from snapshot %s, shards %v", r.key(), a.Hits, want, a.Snapshot, covered)
	}
}

func (o *oracle) runAnswered(p *proc, c node.AnswerRun) {
	r := o.endRequest(p, c.Call)
	if r == nil {
		return
	}
	o.counts["run "+string(c.Outcome)]++
	o.sim.logf("OUTCOME %s %s %s", r.key(), c.Outcome, p)
	switch c.Outcome {
	case node.RunNotRun:
		o.requestNotRun(r)
	case node.RunAnswered:
		if o.runCount[r.key()] != 1 {
			o.sim.violated("P7: %s was reported as answered but ran %d times", r.key(), o.runCount[r.key()])
		}
		if c.Receipt != receipt(r.workspace, r.text) {
			o.sim.violated("P5: %s got the receipt %q", r.key(), c.Receipt)
		}
	}
}

func (o *oracle) ticketAnswered(p *proc, c node.AnswerTicket) {
	r := o.endRequest(p, c.Call)
	if r == nil {
		return
	}
	n, accepted := o.ticketByFiling[r.filing]
	o.counts[fmt.Sprintf("ticket %T", c.Err)]++
	var unavailable *ticket.UnavailableError
	switch errors.As(c.Err, &unavailable); {
	case c.Err == nil && (!accepted || n != c.Ticket.Number):
		o.sim.violated("P10: %s reported filing %s as ticket %d, but the store has it as %d", p, r.filing, c.Ticket.Number, n)
	case c.Err != nil && accepted && (unavailable == nil || !unavailable.Unknown):
		o.sim.violated("P10: %s refused filing %s (%v), which is ticket %d", p, r.filing, c.Err, n)
	case c.Err != nil && (unavailable == nil || !unavailable.Unknown):
		o.refusedFilings[r.filing] = true
	}
}

// countOpenRequests returns the number of unanswered requests at a process.
func (o *oracle) countOpenRequests(p *proc) (n int) {
	for _, r := range o.requests {
		if r.p == p && !r.done {
			n++
		}
	}
	return n
}

// checkStopComplete checks that nothing is in flight and no share is usable when a
// node reports that its stop is complete, unless the stop took stopLimit.
func (o *oracle) checkStopComplete(p *proc) {
	for _, h := range p.node.Status(o.sim.now).Holdings {
		if h.Warm != [2]bool{} && o.sim.now.Sub(p.stopAt) < stopLimit {
			o.sim.violated("P9: %s stopped while it had a share of %s", p, h.Service)
		}
	}
	for _, c := range p.calls {
		if !c.reported && c.Deadline > o.sim.now && o.sim.now.Sub(p.stopAt) < stopLimit {
			o.sim.violated("P9: %s stopped with a call in flight", p)
		}
	}
}

// checkStopEnd checks that no request is open when a process ends after a
// graceful stop.
func (o *oracle) checkStopEnd(p *proc) {
	for _, call := range slices.Sorted(maps.Keys(o.requests)) {
		if r := o.requests[call]; r.p == p && !r.done {
			o.sim.violated("P9: the graceful stop of %s interrupted call %d (%s)", p, call, r.text)
		}
	}
}

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

// take ends a request. It returns nil when the caller has gone or there is none.
func (o *oracle) take(p *proc, call node.CallID) *request {
	r := o.requests[call]
	if r != nil && r.gone {
		r.gone = false
		return nil
	}
	if r == nil || r.p != p || r.done {
		o.w.breaks("P5: %s answers call %d, which nobody waits for", p, call)
		return nil
	}
	r.done = true
	if late := o.w.now.Sub(r.deadline); late > answerSlack && p.w.now != p.resumedAt {
		o.w.breaks("P5: call %d (%s) is answered %d ms after its deadline", call, r.text, late)
	}
	return r
}

func (o *oracle) refused(p *proc, c node.RefuseCall) {
	r := o.take(p, c.Call)
	if r == nil {
		return
	}
	o.seen["refused "+string(c.Refusal)]++
	if c.Refusal == node.RefusedStopping && p.up && !p.node.Status(o.w.now).Stopping {
		o.w.breaks("P9: %s refuses as stopping", p)
	}
	o.notRun(r)
}

func (o *oracle) notRun(r *request) {
	r.notRun = true
	started := o.searched[r.key()]
	if r.once {
		started = o.ran[r.key()] > 0
	}
	if started && r.text != poison && o.allNotRun(r.key(), r.once) {
		o.w.breaks("P6: %s was started, and its callers are told that it was not run", r.key())
	}
}

func (o *oracle) answeredSearch(p *proc, c node.AnswerSearch) {
	r, a := o.take(p, c.Call), c.Answer
	if r == nil {
		return
	}
	if a.Workspace != r.workspace {
		o.w.breaks("P5: call %d of workspace %s gets the answer of %s", c.Call, r.workspace, a.Workspace)
	}
	if a.Outcome == query.OutcomeNotRun {
		o.seen["query not run"]++
		o.notRun(r)
		return
	}
	i := slices.IndexFunc(o.usable[c.Config], func(s topology.Snapshot) bool { return s.ID == a.Snapshot })
	if i < 0 {
		o.w.breaks("P1: call %d is answered from snapshot %q, which ticket %d does not have", c.Call, a.Snapshot, c.Config)
		return
	}
	if covered := o.covered(r, o.usable[c.Config][i], a.Coverage); covered != nil {
		o.checkHits(r, a, covered)
	}
	if a.Coverage.Answered == a.Coverage.Total {
		o.complete++
		o.seen["complete answer"]++
	}
	for _, m := range a.Coverage.Missing {
		o.seen["missing "+string(m.Reason)]++
	}
}

// covered checks the coverage, and returns the shards that it claims.
func (o *oracle) covered(r *request, s topology.Snapshot, c query.Coverage) []topology.ShardID {
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
				o.w.breaks("P2: %s: shard %s is missing twice or not part of %s", r.key(), shard, s.ID)
			}
			delete(left, shard)
		}
	}
	if c.Total != total || c.Answered != len(left) {
		o.w.breaks("P2: %s: coverage says %d of %d, but it is %d of %d", r.key(), c.Answered, c.Total, len(left), total)
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
		o.w.breaks("P1/P2/P5: %s: hits %v, want %v of %s, shards %v", r.key(), a.Hits, want, a.Snapshot, covered)
	}
}

func (o *oracle) answeredRun(p *proc, c node.AnswerRun) {
	r := o.take(p, c.Call)
	if r == nil {
		return
	}
	o.seen["run "+string(c.Outcome)]++
	o.w.logf("OUTCOME %s %s %s", r.key(), c.Outcome, p)
	switch c.Outcome {
	case node.RunNotRun:
		o.notRun(r)
	case node.RunAnswered:
		if o.ran[r.key()] != 1 {
			o.w.breaks("P7: %s is answered after %d runs", r.key(), o.ran[r.key()])
		}
		if c.Receipt != receipt(r.workspace, r.text) {
			o.w.breaks("P5: %s gets %q", r.key(), c.Receipt)
		}
	}
}

func (o *oracle) answeredTicket(p *proc, c node.AnswerTicket) {
	r := o.take(p, c.Call)
	if r == nil {
		return
	}
	n, accepted := o.filed[r.ticket]
	o.seen[fmt.Sprintf("ticket %T", c.Err)]++
	var unavailable *ticket.UnavailableError
	switch errors.As(c.Err, &unavailable); {
	case c.Err == nil && (!accepted || n != c.Ticket.Number):
		o.w.breaks("P10: %s says that filing %s is ticket %d, the store has it as %d", p, r.ticket, c.Ticket.Number, n)
	case c.Err != nil && accepted && (unavailable == nil || !unavailable.Unknown):
		o.w.breaks("P10: %s refuses filing %s (%v), which is ticket %d", p, r.ticket, c.Err, n)
	case c.Err != nil && (unavailable == nil || !unavailable.Unknown):
		o.refusals[r.ticket] = true
	}
}

// waiting returns the number of open requests at a process.
func (o *oracle) waiting(p *proc) (n int) {
	for _, r := range o.requests {
		if r.p == p && !r.done {
			n++
		}
	}
	return n
}

// stops checks that nothing is in flight and no share is usable when a stop is
// called complete, unless it took stopLimit.
func (o *oracle) stops(p *proc) {
	for _, h := range p.node.Status(o.w.now).Holdings {
		if h.Warm != [2]bool{} && o.w.now.Sub(p.stopAt) < stopLimit {
			o.w.breaks("P9: %s stops with a share of %s", p, h.Service)
		}
	}
	for _, c := range p.calls {
		if !c.reported && c.Deadline > o.w.now && o.w.now.Sub(p.stopAt) < stopLimit {
			o.w.breaks("P9: %s stops with a call in flight", p)
		}
	}
}

// stopped checks the end of a graceful stop.
func (o *oracle) stopped(p *proc) {
	for _, call := range slices.Sorted(maps.Keys(o.requests)) {
		if r := o.requests[call]; r.p == p && !r.done {
			o.w.breaks("P9: the stop of %s cuts call %d (%s)", p, call, r.text)
		}
	}
}

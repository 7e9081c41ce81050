package query

import (
	"cmp"
	"maps"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// finish cancels the outstanding attempts and delivers the answer.
func (q *Query) finish(now clock.Time) {
	q.cancelAll()
	q.phase = phaseDone
	a := Answer{
		Request:   q.id,
		Workspace: q.req.Workspace,
		Outcome:   OutcomeAnswered,
		Coverage:  coverage(q.parts),
		Hits:      q.top.sorted(),
		Latency:   now.Sub(q.startedAt),
	}
	if len(q.snapshots) > 0 {
		a.Snapshot = q.snapshots[q.pinned].ID
	}
	if q.provenNotRun(a.Coverage) {
		a.Outcome = OutcomeNotRun
		a.RetryAfter = q.retryAfter
		if a.RetryAfter <= 0 {
			a.RetryAfter = q.opts.retryAfter
		}
	}
	q.commands = append(q.commands, Finish{Answer: a})
	q.parts, q.failoverTimers, q.top = nil, nil, topHits{}
}

// provenNotRun reports whether it is proven that no target started any attempt. An
// attempt without a reply, or whose holder was lost, may have run. An empty partition
// map gives a complete answer, not a refusal.
func (q *Query) provenNotRun(c Coverage) bool {
	return q.possibleRuns == 0 && c.Answered == 0 && (c.Total > 0 || len(q.snapshots) == 0)
}

// coverage returns the coverage of the parts, in which each shard counts once. Shards of
// parts that are still open are missing because of the deadline.
func coverage(parts []part) Coverage {
	var c Coverage
	missing := make(map[message.Reason][]topology.ShardID)
	for i := range parts {
		p := &parts[i]
		c.Total += len(p.shards)
		c.Answered += len(p.shards) - p.unmerged
		if p.unmerged == 0 {
			continue
		}
		reason := message.ReasonDeadline
		if p.settled {
			reason = p.reason
		}
		missing[reason] = append(missing[reason], p.missing()...)
	}
	for _, reason := range slices.SortedFunc(maps.Keys(missing), cmp.Compare[message.Reason]) {
		shards := missing[reason]
		slices.Sort(shards)
		c.Missing = append(c.Missing, Missing{Shards: shards, Reason: reason})
	}
	return c
}

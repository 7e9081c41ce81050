package query

import (
	"cmp"
	"maps"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// finish cancels what is outstanding and delivers the answer.
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

// nothingRan reports whether it is proved that no target started any attempt.
// An attempt without a reply, or one lost with its holder, may have run. An
// empty partition map is answered completely, not refused.
func (q *Query) provenNotRun(c Coverage) bool {
	return q.possibleRuns == 0 && c.Answered == 0 && (c.Total > 0 || len(q.snapshots) == 0)
}

// coverage counts each shard once. Parts that are still open are missing
// because of the deadline.
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

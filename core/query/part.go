package query

import (
	"cmp"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// AttemptsPerRestart is the number of attempts that one service can have before
// the query restarts: two canaries, a first attempt and one at the other holder.
// The attempts after restart n start at n*AttemptsPerRestart, so an attempt
// number that is a multiple of it marks a first attempt.
const AttemptsPerRestart = 4

// maxRestarts keeps attempt numbers within the uint8 of message.SubID.
const maxRestarts = 255/AttemptsPerRestart - 1

// attemptState says what is known of one attempt.
type attemptState uint8

const (
	attemptOpen attemptState = iota
	attemptLost              // its holder is lost; a reply is still accepted
	attemptDone              // replied
)

// attempt is one sub-request that was sent. The zero holder marks a canary.
type attempt struct {
	to     topology.InstanceRef
	at     clock.Time
	state  attemptState
	notRun bool // proved to have run nothing
}

// part is one service's part of the answer.
type part struct {
	service    topology.ServiceID
	shards     []topology.ShardID // of the pinned snapshot; never changed
	merged     []bool             // by index in shards: the answer is merged
	unmerged   int                // shards not merged
	attempts   []attempt          // by attempt number since the last restart
	failedOver bool               // the other holder has been tried
	crashed    bool               // an attempt crashed a target; outranks later reasons
	settled    bool               // nothing more will be merged
	reason     message.Reason     // why shards are missing, once settled
}

// newParts builds the parts of a snapshot in ascending order of service, with
// shared backing arrays, since a query has up to several hundred of them.
func newParts(s topology.Snapshot) []part {
	services := s.Services()
	parts := make([]part, len(services))
	got := make([]bool, s.ShardCount())
	sends := make([]attempt, len(services))
	for i, id := range services {
		shards := s.Shards[id]
		parts[i] = part{
			service:  id,
			shards:   shards,
			merged:   got[:len(shards):len(shards)],
			unmerged: len(shards),
			attempts: sends[i : i : i+1],
			settled:  len(shards) == 0,
		}
		got = got[len(shards):]
	}
	return parts
}

// repeats reports whether a further attempt repeats one that a target may have
// run. Only such an attempt is extra load.
func (p *part) mayRepeat() bool {
	return slices.ContainsFunc(p.attempts, func(a attempt) bool { return !a.notRun })
}

// findPart returns the index of the service's part.
func findPart(parts []part, service topology.ServiceID) (int, bool) {
	return slices.BinarySearchFunc(parts, service, func(p part, s topology.ServiceID) int {
		return cmp.Compare(p.service, s)
	})
}

// merge adds the shards that are still missing to top and returns how many of
// the answers were ignored.
func (p *part) merge(answers []message.ShardAnswer, top *topHits) (ignored int) {
	for i, a := range answers {
		k := p.shardIndex(a.Shard, i)
		if k < 0 || p.merged[k] {
			ignored++
			continue
		}
		p.merged[k] = true
		p.unmerged--
		top.add(a.Hits)
	}
	return ignored
}

// shardIndex looks at the guess first, since replies keep the request's order.
func (p *part) shardIndex(shard topology.ShardID, guess int) int {
	if guess < len(p.shards) && p.shards[guess] == shard {
		return guess
	}
	return slices.Index(p.shards, shard)
}

// missing returns a copy of the shards that are not merged.
func (p *part) missing() []topology.ShardID {
	shards := make([]topology.ShardID, 0, p.unmerged)
	for i, s := range p.shards {
		if !p.merged[i] {
			shards = append(shards, s)
		}
	}
	return shards
}

// waiting reports whether an attempt can still be answered.
func (p *part) hasOpenAttempt() bool {
	return slices.ContainsFunc(p.attempts, func(a attempt) bool { return a.state == attemptOpen })
}

// blame notes why shards may be missing.
func (p *part) setReason(r message.Reason) {
	if p.crashed {
		return
	}
	p.crashed = r == message.ReasonCrashed
	p.reason = r
}

// reasonOf returns the reply's reason if it is a known one, and otherwise the
// usual reason of its status.
func reasonOf(status message.Status, reason message.Reason) message.Reason {
	switch reason {
	case message.ReasonDeadline, message.ReasonNoHolder, message.ReasonNoTarget, message.ReasonShed,
		message.ReasonCrashed, message.ReasonQuarantined, message.ReasonSnapshotGone, message.ReasonZoneOut:
		return reason
	}
	switch status {
	case message.StatusNotRun:
		return message.ReasonShed
	case message.StatusSnapshotGone:
		return message.ReasonSnapshotGone
	case message.StatusCrashed:
		return message.ReasonCrashed
	}
	return message.ReasonNoTarget
}

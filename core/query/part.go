package query

import (
	"cmp"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// AttemptsPerRestart is the maximum number of attempts at one service before the query
// restarts on another snapshot: two canaries, a first attempt and one at the other
// holder. Attempt numbers after restart n start at n*AttemptsPerRestart, so a multiple
// of it is the number of a first attempt.
const AttemptsPerRestart = 4

// maxRestarts limits attempt numbers to the range of message.SubID.Attempt, a uint8.
const maxRestarts = 255/AttemptsPerRestart - 1

// attemptState is the state of one attempt.
type attemptState uint8

const (
	attemptOpen attemptState = iota // waiting for a reply
	attemptLost                     // its holder is lost; a reply is still accepted
	attemptDone                     // replied or cancelled
)

// attempt is one sub-request that was sent. For a canary, to is zero.
type attempt struct {
	to     topology.InstanceRef
	at     clock.Time
	state  attemptState
	notRun bool // it is proven that no target started it
}

// part is the part of the answer that one service contributes.
type part struct {
	service    topology.ServiceID
	shards     []topology.ShardID // of the pinned snapshot; must not be modified
	merged     []bool             // for each index in shards: its answer is merged
	unmerged   int                // number of shards that are not merged
	attempts   []attempt          // by attempt number since the last restart
	failedOver bool               // an attempt was sent to the other holder
	crashed    bool               // an attempt crashed a target; later reasons do not replace this one
	settled    bool               // no more answers are merged
	reason     message.Reason     // why shards are missing; final once settled
}

// newParts returns the parts of a snapshot in ascending order of service. They share
// backing arrays, since a query has up to several hundred parts.
func newParts(s topology.Snapshot) []part {
	services := s.Services()
	parts := make([]part, len(services))
	merged := make([]bool, s.ShardCount())
	attempts := make([]attempt, len(services))
	for i, id := range services {
		shards := s.Shards[id]
		parts[i] = part{
			service:  id,
			shards:   shards,
			merged:   merged[:len(shards):len(shards)],
			unmerged: len(shards),
			attempts: attempts[i : i : i+1],
			settled:  len(shards) == 0,
		}
		merged = merged[len(shards):]
	}
	return parts
}

// mayRepeat reports whether a further attempt repeats one that a target may have run.
// Only such an attempt is additional load.
func (p *part) mayRepeat() bool {
	return slices.ContainsFunc(p.attempts, func(a attempt) bool { return !a.notRun })
}

// findPart returns the index of the service's part and whether there is one.
func findPart(parts []part, service topology.ServiceID) (int, bool) {
	return slices.BinarySearchFunc(parts, service, func(p part, s topology.ServiceID) int {
		return cmp.Compare(p.service, s)
	})
}

// merge adds the hits of shards that are still missing to top, and returns how many of
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

// shardIndex returns the index of the shard in p.shards, or -1. It checks guess first,
// since replies keep the order of the request.
func (p *part) shardIndex(shard topology.ShardID, guess int) int {
	if guess < len(p.shards) && p.shards[guess] == shard {
		return guess
	}
	return slices.Index(p.shards, shard)
}

// missing returns a new slice of the shards that are not merged.
func (p *part) missing() []topology.ShardID {
	shards := make([]topology.ShardID, 0, p.unmerged)
	for i, s := range p.shards {
		if !p.merged[i] {
			shards = append(shards, s)
		}
	}
	return shards
}

// hasOpenAttempt reports whether an attempt is waiting for a reply.
func (p *part) hasOpenAttempt() bool {
	return slices.ContainsFunc(p.attempts, func(a attempt) bool { return a.state == attemptOpen })
}

// setReason records why shards may be missing.
func (p *part) setReason(r message.Reason) {
	if p.crashed {
		return
	}
	p.crashed = r == message.ReasonCrashed
	p.reason = r
}

// reasonOf returns the reply's reason if it is a known one, and otherwise the default
// reason for its status.
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

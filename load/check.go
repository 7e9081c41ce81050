package load

import (
	"fmt"
	"slices"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Expect returns the right hits of a query over the given shards of a snapshot,
// ordered by falling score, then by id.
type ExpectedHits func(q Query, snapshot topology.SnapshotID, shards []topology.ShardID) []message.Hit

// Shards returns all shards of a snapshot, or nil if it does not exist.
type SnapshotShards func(collection topology.CollectionID, snapshot topology.SnapshotID) []topology.ShardID

// WrongAnswerError says how an answer differs from the right one.
type WrongAnswerError struct{ Kind WrongAnswerKind }

// Error implements error.
func (e *WrongAnswerError) Error() string { return fmt.Sprintf("wrong answer: %s", e.Kind) }

// WrongAnswer is a way in which an answer is wrong.
type WrongAnswerKind string

// Ways in which an answer is wrong.
const (
	WrongSnapshot WrongAnswerKind = "unknown snapshot"
	WrongTotal    WrongAnswerKind = "coverage counts another number of shards than the snapshot has"
	WrongMissing  WrongAnswerKind = "missing shards do not match the coverage"
	WrongHits     WrongAnswerKind = "hits differ from those of the covered shards"
)

// NewCheck returns a check of the snapshot, the coverage and the hits. The hits
// must be the right ones for exactly the shards that are not named as missing.
func NewCheck(shards SnapshotShards, expect ExpectedHits) Check {
	return func(q Query, a Answer) error {
		all := shards(q.Collection, a.Snapshot)
		if all == nil {
			return &WrongAnswerError{WrongSnapshot}
		}
		if a.Coverage.Total != len(all) {
			return &WrongAnswerError{WrongTotal}
		}
		covered, ok := coveredShards(all, a.Coverage)
		if !ok {
			return &WrongAnswerError{WrongMissing}
		}
		if !slices.Equal(expect(q, a.Snapshot, covered), a.Hits) {
			return &WrongAnswerError{WrongHits}
		}
		return nil
	}
}

// coveredShards returns all without the missing shards. It reports false when a
// missing shard is unknown, named twice or has no reason, or when the rest is
// not as many as the coverage states.
func coveredShards(all []topology.ShardID, c Coverage) ([]topology.ShardID, bool) {
	left := make(map[topology.ShardID]bool, len(all))
	for _, s := range all {
		left[s] = true
	}
	for _, m := range c.Missing {
		for _, s := range m.Shards {
			if !left[s] || m.Reason == "" {
				return nil, false
			}
			left[s] = false
		}
	}
	covered := slices.DeleteFunc(slices.Clone(all), func(s topology.ShardID) bool { return !left[s] })
	return covered, len(covered) == c.Answered
}

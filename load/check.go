package load

import (
	"fmt"
	"slices"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// ExpectedHits computes the correct hits of a query over the given shards of a
// snapshot, ordered by descending score, then by id.
type ExpectedHits func(q Query, snapshot topology.SnapshotID, shards []topology.ShardID) []message.Hit

// SnapshotShards returns all shards of a snapshot, or nil if it does not exist.
type SnapshotShards func(collection topology.CollectionID, snapshot topology.SnapshotID) []topology.ShardID

// WrongAnswerError reports an answer that differs from the correct one.
type WrongAnswerError struct{ Kind WrongAnswerKind }

// Error implements error.
func (e *WrongAnswerError) Error() string { return fmt.Sprintf("wrong answer: %s", e.Kind) }

// WrongAnswerKind says in what an answer is wrong.
type WrongAnswerKind string

// Values of WrongAnswerKind.
const (
	WrongSnapshot WrongAnswerKind = "unknown snapshot"
	WrongTotal    WrongAnswerKind = "coverage total differs from the number of shards of the snapshot"
	WrongMissing  WrongAnswerKind = "missing shards are inconsistent with the coverage"
	WrongHits     WrongAnswerKind = "hits differ from those of the covered shards"
)

// NewCheck returns a Check of the snapshot, the coverage and the hits. The hits must
// be the correct ones for exactly the shards that are not named as missing.
func NewCheck(shards SnapshotShards, expectedHits ExpectedHits) Check {
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
		if !slices.Equal(expectedHits(q, a.Snapshot, covered), a.Hits) {
			return &WrongAnswerError{WrongHits}
		}
		return nil
	}
}

// coveredShards returns all without the missing shards. It reports false when a
// missing shard is unknown, is named twice or has no reason, or when the number of
// the others differs from the number that the coverage states as answered.
func coveredShards(all []topology.ShardID, c Coverage) ([]topology.ShardID, bool) {
	present := make(map[topology.ShardID]bool, len(all))
	for _, s := range all {
		present[s] = true
	}
	for _, m := range c.Missing {
		for _, s := range m.Shards {
			if !present[s] || m.Reason == "" {
				return nil, false
			}
			present[s] = false
		}
	}
	covered := slices.DeleteFunc(slices.Clone(all), func(s topology.ShardID) bool { return !present[s] })
	return covered, len(covered) == c.Answered
}

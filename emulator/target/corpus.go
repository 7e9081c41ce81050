package target

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// vocabulary holds the words of all documents, sorted. A query matches the documents
// that contain at least one of its words.
var vocabulary = [...]string{
	"amber", "barrel", "cedar", "delta", "ember", "fennel", "granite", "harbor",
	"indigo", "juniper", "kettle", "lantern", "meadow", "nickel", "orchard", "pepper",
}

const (
	wordsPerDocument         = 4
	defaultDocumentsPerShard = 24
)

// Corpus is a deterministic set of documents for each snapshot, shard and
// workspace. Two corpora with equal fields contain the same documents, so that a test
// can compute the correct answer to a query without sending it to a server.
type Corpus struct {
	Seed      uint64 `json:"seed"`
	Documents int    `json:"documents"` // for each shard and workspace; 0 means 24
}

// Words returns the words that occur in documents.
func Words() []string { return slices.Clone(vocabulary[:]) }

// Search returns the best hits of one shard for a workspace, ordered by descending
// score, then by id. A limit below 1 means no limit.
func (c Corpus) Search(snapshot topology.SnapshotID, shard topology.ShardID, workspace topology.WorkspaceID, query string, limit int) []message.Hit {
	queryMask := wordMask(query)
	documents := c.Documents
	if documents <= 0 {
		documents = defaultDocumentsPerShard
	}
	hits := []message.Hit{}
	for n := range documents {
		if hit, ok := c.match(snapshot, shard, workspace, n, queryMask); ok {
			hits = append(hits, hit)
		}
	}
	return bestHits(hits, limit)
}

// Answer returns the merged best hits of the given shards, ordered by descending
// score, then by id. A limit below 1 means no limit.
func (c Corpus) Answer(snapshot topology.SnapshotID, shards []topology.ShardID, workspace topology.WorkspaceID, query string, limit int) []message.Hit {
	hits := []message.Hit{}
	for _, shard := range shards {
		hits = append(hits, c.Search(snapshot, shard, workspace, query, limit)...)
	}
	return bestHits(hits, limit)
}

// match scores document n of a shard, or reports false when it contains none of the
// query's words. Its id is the same in all snapshots, while its words and score
// differ, as after an index is rebuilt.
func (c Corpus) match(snapshot topology.SnapshotID, shard topology.ShardID, workspace topology.WorkspaceID, n int, queryMask uint16) (message.Hit, bool) {
	h := topology.Hash64(strconv.FormatUint(c.Seed, 10), string(snapshot), string(shard), string(workspace), strconv.Itoa(n))
	words := make([]string, 0, wordsPerDocument)
	matched := 0
	for i := range wordsPerDocument {
		w := h >> (4 * i) & 0xf
		words = append(words, vocabulary[w])
		if queryMask&(1<<w) != 0 {
			matched++
		}
	}
	if matched == 0 {
		return message.Hit{}, false
	}
	return message.Hit{
		ID:    fmt.Sprintf("%s/%s/%d", workspace, shard, n),
		Score: float64(matched) + float64(h>>48)/(1<<16),
		Text:  strings.Join(words, " "),
	}, true
}

// wordMask returns a bit set of the vocabulary's words that the query contains.
func wordMask(query string) uint16 {
	var mask uint16
	for _, w := range strings.Fields(query) {
		if i, ok := slices.BinarySearch(vocabulary[:], w); ok {
			mask |= 1 << i
		}
	}
	return mask
}

// bestHits sorts hits by descending score, then by id, and returns the first limit
// of them. A limit below 1 means no limit.
func bestHits(hits []message.Hit, limit int) []message.Hit {
	slices.SortFunc(hits, func(a, b message.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	if limit > 0 && len(hits) > limit {
		hits = hits[:limit]
	}
	return hits
}

// Receipt returns the id of the hit with which POST /v1/run answers an item.
func Receipt(id, payload string) string {
	return fmt.Sprintf("receipt-%016x", topology.Hash64(id, payload))
}

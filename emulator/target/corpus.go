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

// vocabulary holds the words that documents are made of. A query matches the
// documents that contain at least one of its words.
var vocabulary = [...]string{
	"amber", "barrel", "cedar", "delta", "ember", "fennel", "granite", "harbor",
	"indigo", "juniper", "kettle", "lantern", "meadow", "nickel", "orchard", "pepper",
}

const (
	wordsPerDocument       = 4
	defaultDocumentsPerKey = 24
)

// Corpus is a deterministic set of documents for each snapshot, shard and
// workspace. Two corpora with equal fields hold the same documents, so a test can
// compute the right answer of a query without asking a server.
type Corpus struct {
	Seed      uint64 `json:"seed"`
	Documents int    `json:"documents"` // for each shard and workspace; 0 means 24
}

// Words returns the words that documents are made of.
func Words() []string { return slices.Clone(vocabulary[:]) }

// Search returns the best matches of one shard for a workspace, ordered by
// falling score, then by id. A limit below 1 means no limit.
func (c Corpus) Search(snapshot topology.SnapshotID, shard topology.ShardID, workspace topology.WorkspaceID, query string, limit int) []message.Hit {
	wanted := wantedWords(query)
	documents := c.Documents
	if documents <= 0 {
		documents = defaultDocumentsPerKey
	}
	hits := []message.Hit{}
	for n := range documents {
		if hit, ok := c.match(snapshot, shard, workspace, n, wanted); ok {
			hits = append(hits, hit)
		}
	}
	return best(hits, limit)
}

// Answer returns the merged answer of all shards, ordered by falling score,
// then by id. A limit below 1 means no limit.
func (c Corpus) Answer(snapshot topology.SnapshotID, shards []topology.ShardID, workspace topology.WorkspaceID, query string, limit int) []message.Hit {
	hits := []message.Hit{}
	for _, shard := range shards {
		hits = append(hits, c.Search(snapshot, shard, workspace, query, limit)...)
	}
	return best(hits, limit)
}

// match scores document n of a shard. Ids are the same in all snapshots, while
// words and scores differ, as when an index is rebuilt.
func (c Corpus) match(snapshot topology.SnapshotID, shard topology.ShardID, workspace topology.WorkspaceID, n int, wanted uint16) (message.Hit, bool) {
	h := topology.Hash64(strconv.FormatUint(c.Seed, 10), string(snapshot), string(shard), string(workspace), strconv.Itoa(n))
	words := make([]string, 0, wordsPerDocument)
	matched := 0
	for i := range wordsPerDocument {
		w := h >> (4 * i) & 0xf
		words = append(words, vocabulary[w])
		if wanted&(1<<w) != 0 {
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

func wantedWords(query string) uint16 {
	var wanted uint16
	for _, w := range strings.Fields(query) {
		if i, ok := slices.BinarySearch(vocabulary[:], w); ok {
			wanted |= 1 << i
		}
	}
	return wanted
}

func best(hits []message.Hit, limit int) []message.Hit {
	slices.SortFunc(hits, func(a, b message.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	if limit > 0 && len(hits) > limit {
		hits = hits[:limit]
	}
	return hits
}

// Receipt returns the id of the hit that POST /v1/run answers for an item.
func Receipt(id, payload string) string {
	return fmt.Sprintf("receipt-%016x", topology.Hash64(id, payload))
}

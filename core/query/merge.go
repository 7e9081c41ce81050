package query

import (
	"cmp"
	"slices"

	"knapweedstall/core/message"
)

// compareHits orders hits by descending score, then by id, then by text, so that the
// order does not depend on which shard answered first.
func compareHits(a, b message.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	if c := cmp.Compare(a.ID, b.ID); c != 0 {
		return c
	}
	return cmp.Compare(a.Text, b.Text)
}

// topHits keeps the best hits that were added, at most limit. The hits form a binary
// heap with the worst one at index 0. container/heap is not used because it allocates
// for each hit that is pushed.
type topHits struct {
	limit int
	hits  []message.Hit
}

// add adds hits, which may be in any order.
func (t *topHits) add(hits []message.Hit) {
	for _, h := range hits {
		switch {
		case len(t.hits) < t.limit:
			t.hits = append(t.hits, h)
			t.siftUp(len(t.hits) - 1)
		case t.limit > 0 && compareHits(h, t.hits[0]) < 0:
			t.hits[0] = h
			t.siftDown()
		}
	}
}

// sorted returns a copy of the hits, best first.
func (t *topHits) sorted() []message.Hit {
	hits := slices.Clone(t.hits)
	slices.SortFunc(hits, compareHits)
	return hits
}

func (t *topHits) worse(i, j int) bool { return compareHits(t.hits[i], t.hits[j]) > 0 }

func (t *topHits) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !t.worse(i, parent) {
			return
		}
		t.hits[i], t.hits[parent] = t.hits[parent], t.hits[i]
		i = parent
	}
}

func (t *topHits) siftDown() {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(t.hits) {
			return
		}
		if child+1 < len(t.hits) && t.worse(child+1, child) {
			child++
		}
		if !t.worse(child, i) {
			return
		}
		t.hits[i], t.hits[child] = t.hits[child], t.hits[i]
		i = child
	}
}

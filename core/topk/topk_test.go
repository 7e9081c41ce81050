package topk_test

import (
	"bytes"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedstall/core/topk"
)

// TestCollectorMatchesSorting compares the collected records with sorting all
// records: they must be the greatest ones, greatest first, with equal ones
// included.
func TestCollectorMatchesSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		collector := topk.New(limit)
		var all [][]byte
		for range rapid.IntRange(0, 5).Draw(t, "answers") {
			// Few distinct bytes make equal records and common prefixes likely.
			answer := rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 200).Draw(t, "answer")
			collector.Add(answer)
			for ; len(answer) >= topk.RecordBytes; answer = answer[topk.RecordBytes:] {
				all = append(all, answer[:topk.RecordBytes])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := slices.Concat(all[:min(limit, len(all))]...)
		if diff := cmp.Diff(append([]byte{}, want...), collector.Bytes()); diff != "" {
			t.Fatalf("records (-want +got):\n%s", diff)
		}
	})
}

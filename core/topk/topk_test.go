package topk_test

import (
	"bytes"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedstall/core/topk"
)

// TestBestEqualsSorting compares with sorting all records: a search must
// return the greatest ones, greatest first, equal ones included.
func TestBestEqualsSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		best := topk.New(limit)
		var all [][]byte
		for range rapid.IntRange(0, 5).Draw(t, "parts") {
			// Few distinct bytes make equal records and common prefixes likely.
			part := rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 200).Draw(t, "part")
			best.Add(part)
			for ; len(part) >= topk.RecordBytes; part = part[topk.RecordBytes:] {
				all = append(all, part[:topk.RecordBytes])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := slices.Concat(all[:min(limit, len(all))]...)
		if diff := cmp.Diff(append([]byte{}, want...), best.Bytes()); diff != "" {
			t.Fatalf("records (-want +got):\n%s", diff)
		}
	})
}

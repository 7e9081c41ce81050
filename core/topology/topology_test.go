package topology_test

import (
	"fmt"
	"testing"

	"knapweedstall/core/topology"
)

// Guards against a placement hash that maps most similar names to one bucket.
func TestHash64SpreadsSimilarNames(t *testing.T) {
	const buckets, names = 16, 1600
	var count [buckets]int
	for i := range names {
		count[topology.Hash64(fmt.Sprintf("dockdesk-%02d", i))%buckets]++
	}
	for b, n := range count {
		if n < names/buckets/2 || n > names/buckets*2 {
			t.Errorf("bucket %d got %d of %d names", b, n, names)
		}
	}
}

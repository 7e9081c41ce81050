// Package quarantine keeps a request that crashes targets from reaching more
// than two of them: unknown requests run as a canary on one target first, and
// crashes are counted for each exact request. Requests that must not be repeated
// always run as a canary. The entry of a query is the instance that received it; it
// asks the coordinator of the query's fingerprint to run the canary.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Fingerprint identifies a request by workspace, collection, kind and query text
// or payload. A canary has the fingerprint of its search.
func Fingerprint(workspace topology.WorkspaceID, collection topology.CollectionID, kind message.Kind, query string) message.Fingerprint {
	if kind == message.KindCanary {
		kind = message.KindSearch
	}
	var buf []byte
	for _, part := range []string{string(workspace), string(collection), query} {
		buf = binary.AppendUvarint(buf, uint64(len(part)))
		buf = append(buf, part...)
	}
	sum := sha256.Sum256(append(buf, byte(kind)))
	return message.Fingerprint(sum[:len(message.Fingerprint{})])
}

// ranked is an instance with its hash for one fingerprint. Instances are ordered
// by this hash, as in rendezvous hashing.
type ranked struct {
	hash uint64
	ref  topology.InstanceRef
}

// rank combines the hash of a fingerprint with that of an instance, so that the
// fingerprint is hashed once for all instances.
func rank(fp uint64, ref topology.InstanceRef) ranked {
	h := fp ^ topology.Hash64(string(ref.ID))
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9 // multiplier of the splitmix64 generator
	return ranked{h ^ h>>27, ref}
}

func hash(fp message.Fingerprint) uint64 { return topology.Hash64(string(fp[:])) }

func compareRanks(a, b ranked) int {
	if a.hash != b.hash {
		return cmp.Compare(b.hash, a.hash)
	}
	return cmp.Or(cmp.Compare(a.ref.ID, b.ref.ID), cmp.Compare(a.ref.Incarnation, b.ref.Incarnation))
}

// Rank orders instances by their hash with the fingerprint, highest first. The
// first one is the coordinator of the fingerprint, the second its backup.
func Rank(fp message.Fingerprint, members []topology.InstanceRef) []topology.InstanceRef {
	h := hash(fp)
	list := make([]ranked, 0, len(members))
	for _, ref := range members {
		list = append(list, rank(h, ref))
	}
	slices.SortFunc(list, compareRanks)
	out := make([]topology.InstanceRef, 0, len(list))
	for _, r := range list {
		out = append(out, r.ref)
	}
	return out
}

// TopRanked returns the first instance of Rank, or false when there is none.
func TopRanked(fp message.Fingerprint, members []topology.InstanceRef) (topology.InstanceRef, bool) {
	h := hash(fp)
	var first ranked
	for i, ref := range members {
		if r := rank(h, ref); i == 0 || compareRanks(r, first) < 0 {
			first = r
		}
	}
	return first.ref, len(members) > 0
}

// Package quarantine keeps a request that crashes targets from reaching more
// than two of them: unknown requests run as a canary on one target first, and
// crashes are counted for each exact request.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Fingerprint identifies a request by tenant, collection, kind and query text
// or payload. A canary has the fingerprint of its search.
func Fingerprint(tenant topology.TenantID, collection topology.CollectionID, kind message.Kind, query string) message.Fingerprint {
	if kind == message.KindCanary {
		kind = message.KindSearch
	}
	var buf []byte
	for _, part := range []string{string(tenant), string(collection), query} {
		buf = binary.AppendUvarint(buf, uint64(len(part)))
		buf = append(buf, part...)
	}
	sum := sha256.Sum256(append(buf, byte(kind)))
	return message.Fingerprint(sum[:len(message.Fingerprint{})])
}

// Rank orders instances by their hash with the fingerprint. The first one is
// the keeper, the second its backup.
func Rank(fp message.Fingerprint, members []topology.InstanceRef) []topology.InstanceRef {
	type ranked struct {
		hash uint64
		ref  topology.InstanceRef
	}
	list := make([]ranked, 0, len(members))
	for _, ref := range members {
		list = append(list, ranked{topology.Hash64(string(fp[:]), string(ref.ID)), ref})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.ref.ID, b.ref.ID), cmp.Compare(a.ref.Incarnation, b.ref.Incarnation))
	})
	out := make([]topology.InstanceRef, 0, len(list))
	for _, r := range list {
		out = append(out, r.ref)
	}
	return out
}

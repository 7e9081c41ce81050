// Package holding assigns the capacity of each service's targets to instances.
// The capacity is split into two shares. The holder table in the store has one entry
// for each service, which names the holder of each share: the instance that may send
// work to the targets with it. The epoch of an entry is a number that increases
// whenever a holder changes. A holder may use its share while it has a valid lease,
// which its partner, the holder of the other share, or a read of the store renews.
// The package contains the table, the planner that assigns vacant shares and
// balances the load, and the leases of one instance. docs/design.md sections 3.1 and
// 3.2 describe them.
package holding

import (
	"encoding/json"
	"fmt"
	"strconv"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Entry is the value of one service in the holder table.
type Entry = message.HoldingEntry

// Bucket is one object of the holder table.
type Bucket struct {
	Key     string
	Version int64 // the object's version in the store; 0 when it is absent
	Entries map[topology.ServiceID]Entry
}

// DecodeError reports that a stored bucket cannot be decoded.
type DecodeError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("bucket %q cannot be decoded: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

type bucketJSON struct {
	Entries map[topology.ServiceID]Entry `json:"entries"`
}

// DecodeBucket returns the bucket stored under key. It fails with *DecodeError.
func DecodeBucket(key string, version int64, value []byte) (Bucket, error) {
	var v bucketJSON
	if err := json.Unmarshal(value, &v); err != nil {
		return Bucket{}, &DecodeError{Key: key, Cause: err}
	}
	return Bucket{Key: key, Version: version, Entries: v.Entries}, nil
}

// encode returns the bucket's stored value. Equal buckets give equal bytes.
func (b Bucket) encode() []byte {
	value, err := json.Marshal(bucketJSON{Entries: b.Entries})
	if err != nil {
		panic(err) // Entry contains only types that always encode
	}
	return value
}

// BucketKey returns the key of the object that holds the service's entry when
// the region's table has the given number of buckets.
func BucketKey(region topology.RegionID, service topology.ServiceID, buckets int) string {
	n := topology.Hash64(string(service)) % uint64(buckets)
	return "holdings/" + string(region) + "." + strconv.FormatUint(n, 10)
}

// replaceHolder returns the entry at its next epoch with ref as the holder of
// share k. The earlier holder is added to the former holders.
func replaceHolder(e Entry, k int, ref topology.InstanceRef) Entry {
	old := e.Holders[k]
	next := e
	next.Epoch++
	next.Since[k] = next.Epoch
	next.Holders[k] = ref
	if !old.IsZero() {
		next.Former[k] = addFormer(e.Former[k], message.FormerHolder{Ref: old, Partners: renewers(e, k)})
	}
	return next
}

// renewers returns the instances that may renew the lease of the holder of share
// k. They include a former holder of the other share until its lease is known to
// have ended, because both may still work under an earlier epoch.
func renewers(e Entry, k int) []topology.InstanceRef {
	refs := []topology.InstanceRef{e.Holders[1-k]}
	for _, f := range e.Former[1-k] {
		refs = addRef(refs, f.Ref)
	}
	return refs
}

// addFormer returns the list with f added at its end. If the list names the same
// instance already, f replaces it and takes over its partners.
func addFormer(list []message.FormerHolder, f message.FormerHolder) []message.FormerHolder {
	out := make([]message.FormerHolder, 0, len(list)+1)
	for _, g := range list {
		if g.Ref != f.Ref {
			out = append(out, g)
			continue
		}
		for _, r := range g.Partners {
			f.Partners = addRef(f.Partners, r)
		}
	}
	return append(out, f)
}

func addRef(refs []topology.InstanceRef, ref topology.InstanceRef) []topology.InstanceRef {
	for _, r := range refs {
		if r == ref {
			return refs
		}
	}
	return append(refs, ref)
}

// Package topology defines the identifiers and the structure of a deployment:
// regions, availability zones, instances, collections, services, targets and
// snapshots.
package topology

import (
	"slices"
	"strconv"
)

// Identifiers. All are opaque, non-empty and compared byte by byte.
type (
	// RegionID identifies a region.
	RegionID string
	// ZoneID identifies an availability zone; it is unique across regions.
	ZoneID string
	// InstanceID identifies a machine that runs the query tier.
	InstanceID string
	// CollectionID identifies a searchable data set, such as "dockdesk".
	CollectionID string
	// ServiceID identifies a group of replica targets that hold the same shards.
	ServiceID string
	// TargetID identifies one back-end server.
	TargetID string
	// ShardID identifies one shard of a collection.
	ShardID string
	// SnapshotID identifies one version of a collection's index together with
	// its partition map, which assigns shards to services.
	SnapshotID string
	// WorkspaceID identifies a customer's workspace, whose data and quotas are kept
	// apart from others. Encoded keys, settings and scopes call it tenant.
	WorkspaceID string
)

// Incarnation distinguishes runs of processes with the same InstanceID. It
// consists of the start time and random low bits, so a later run has a higher
// one. It is never zero.
type Incarnation uint64

const incarnationRandomBits = 20

// NewIncarnation returns the incarnation of a process that started at the
// wall-clock time unixMS. The low bits are taken from random.
func NewIncarnation(unixMS int64, random uint64) Incarnation {
	return Incarnation(uint64(unixMS)<<incarnationRandomBits | random&(1<<incarnationRandomBits-1))
}

// InstanceRef identifies one run of one instance.
type InstanceRef struct {
	ID          InstanceID  `json:"id" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"2,keyasint"`
}

// IsZero reports whether r identifies no instance.
func (r InstanceRef) IsZero() bool { return r == InstanceRef{} }

// String returns "id#incarnation" with the incarnation in hexadecimal.
func (r InstanceRef) String() string {
	return string(r.ID) + "#" + strconv.FormatUint(uint64(r.Incarnation), 16)
}

// MemberState is the state of an instance in the platform's list of instances.
type MemberState string

// Member states.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// Member is one instance as described by the platform's list or by a peer.
type Member struct {
	Ref     InstanceRef `json:"ref" cbor:"1,keyasint"`
	Address string      `json:"address" cbor:"2,keyasint"` // host:port of the peer endpoint
	Zone    ZoneID      `json:"zone" cbor:"3,keyasint"`
	Region  RegionID    `json:"region" cbor:"4,keyasint"`
	State   MemberState `json:"state" cbor:"5,keyasint"`
}

// Target is one back-end server of a service.
type Target struct {
	ID          TargetID `json:"id"`
	Address     string   `json:"address"` // host:port
	Zone        ZoneID   `json:"zone"`
	Slots       int      `json:"slots"`             // concurrent calls when warm; at least 1
	Connections int      `json:"connections"`       // open connections that it accepts; at least Slots
	Leaving     bool     `json:"leaving,omitempty"` // operators are removing the target: it gets no new work
}

// Service is a group of targets that hold the same shards.
type Service struct {
	ID      ServiceID `json:"id"`
	Region  RegionID  `json:"region"`
	Targets []Target  `json:"targets"` // at least 1; the index of a target determines which share gets the extra slot when Slots is odd
}

// Collection is a searchable data set spread over services.
type Collection struct {
	ID       CollectionID `json:"id"`
	Services []Service    `json:"services"` // ids are unique across all collections
}

// Snapshot is one index version with its partition map.
type Snapshot struct {
	ID     SnapshotID              `json:"id"`
	Shards map[ServiceID][]ShardID `json:"shards"` // every shard appears exactly once
}

// ShardCount returns the number of shards in the partition map.
func (s Snapshot) ShardCount() int {
	n := 0
	for _, shards := range s.Shards {
		n += len(shards)
	}
	return n
}

// Services returns the services of the partition map in ascending order.
func (s Snapshot) Services() []ServiceID {
	ids := make([]ServiceID, 0, len(s.Shards))
	for id := range s.Shards {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Hash64 returns the FNV-1a hash of the parts, each terminated by a zero byte,
// with a final mixing step. All placement by hash uses it, and all instances must
// compute the same value.
func Hash64(parts ...string) uint64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	h := uint64(offset)
	for _, p := range parts {
		for i := 0; i < len(p); i++ {
			h = (h ^ uint64(p[i])) * prime
		}
		h *= prime
	}
	return mix(h)
}

// mix distributes the entropy of an FNV hash over all bits. Plain FNV-1a leaves
// the high bits of the hashes of short, similar strings correlated, which skews
// placement.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

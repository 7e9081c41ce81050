// Package topology defines the ids and the shape of a deployment: regions,
// availability zones, instances, collections, services, targets and snapshots.
package topology

import (
	"slices"
	"strconv"
)

// Ids. All are opaque, non-empty and compared byte by byte.
type (
	// RegionID names a region.
	RegionID string
	// ZoneID names an availability zone; it is unique across regions.
	ZoneID string
	// InstanceID names a machine that runs the query tier.
	InstanceID string
	// CollectionID names a searchable data set, such as "dockdesk".
	CollectionID string
	// ServiceID names a group of replica targets that hold the same shards.
	ServiceID string
	// TargetID names one back-end server.
	TargetID string
	// ShardID names one shard of a collection.
	ShardID string
	// SnapshotID names one version of a collection's index together with its
	// partition map.
	SnapshotID string
	// WorkspaceID names a customer's workspace, whose data and quotas are kept
	// apart from others. Encoded keys, settings and scopes call it tenant.
	WorkspaceID string
)

// Incarnation tells two runs of a process with the same InstanceID apart. A
// later run has a higher one: it holds the start time, and random low bits. It
// is never zero.
type Incarnation uint64

const incarnationRandomBits = 20

// NewIncarnation returns the incarnation of a process that started at the wall
// clock time unixMS; random fills the low bits.
func NewIncarnation(unixMS int64, random uint64) Incarnation {
	return Incarnation(uint64(unixMS)<<incarnationRandomBits | random&(1<<incarnationRandomBits-1))
}

// InstanceRef names one run of one instance.
type InstanceRef struct {
	ID          InstanceID  `json:"id" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"2,keyasint"`
}

// IsZero reports whether r names no instance.
func (r InstanceRef) IsZero() bool { return r == InstanceRef{} }

// String returns "id#incarnation" with the incarnation in hexadecimal.
func (r InstanceRef) String() string {
	return string(r.ID) + "#" + strconv.FormatUint(uint64(r.Incarnation), 16)
}

// MemberState is what the platform's list says of an instance.
type MemberState string

// Member states.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// Member is one instance as the platform's list or a peer describes it.
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
	Leaving     bool     `json:"leaving,omitempty"` // operators are removing it: it gets no new work
}

// Service is a group of targets that hold the same shards.
type Service struct {
	ID      ServiceID `json:"id"`
	Region  RegionID  `json:"region"`
	Targets []Target  `json:"targets"` // at least 1; the index of a target decides the split of odd slots
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

// Hash64 returns the FNV-1a hash of the parts, each closed by a zero byte. It
// is the placement hash of the whole project: instances must agree on it.
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

// mix spreads the entropy of an FNV hash over all bits; plain FNV-1a leaves the
// high bits of short, similar strings correlated, which skews placement.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

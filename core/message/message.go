// Package message defines the messages between instances and the types that
// they share. Every message is a plain struct; io/peer encodes them as CBOR.
//
// A JSON attribute that differs from the name of its Go field, such as Bears or
// Charges, keeps the name that recorded traces use, so that old traces stay
// readable.
package message

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// MaxTargetCallDuration is the longest time that a target may work on a call. A
// new holder of a share waits until calls of the earlier holder must have ended,
// so the deadlines of requests may not exceed it.
const MaxTargetCallDuration = 2000 * clock.Millisecond

// RequestID identifies one caller request across the tier. Entry is the instance
// that received the request from the caller.
type RequestID struct {
	Entry topology.InstanceRef `cbor:"1,keyasint" json:"entry"`
	Seq   uint64               `cbor:"2,keyasint" json:"seq"` // increases by one for each request received by Entry
}

// SubID identifies one attempt of a sub-request. Attempts of the same sub-request
// differ only in Attempt.
type SubID struct {
	Request RequestID          `cbor:"1,keyasint" json:"request"`
	Service topology.ServiceID `cbor:"2,keyasint" json:"service"`
	Attempt uint8              `cbor:"3,keyasint" json:"attempt"` // 0 for the first attempt
}

// Kind determines how a sub-request may be executed.
type Kind uint8

// Kinds of sub-requests.
const (
	// KindSearch is idempotent: it may be hedged, retried and batched.
	KindSearch Kind = iota + 1
	// KindCanary is a search that is not known to be safe: it may crash the target
	// that runs it. It is idempotent, but is sent to one target at a time, in a
	// call of its own, and is neither hedged nor retried.
	KindCanary
	// KindRun is a request that must not be repeated: it is sent at most once and
	// never hedged.
	KindRun
)

// Fingerprint identifies the exact content of a request; see core/quarantine.
type Fingerprint [16]byte

// SubRequest asks a holder of a service for the service's part of an answer.
type SubRequest struct {
	ID          SubID                 `cbor:"1,keyasint" json:"id"`
	Kind        Kind                  `cbor:"2,keyasint" json:"kind"`
	Workspace   topology.WorkspaceID  `cbor:"3,keyasint" json:"tenant"`
	Collection  topology.CollectionID `cbor:"4,keyasint" json:"collection"`
	Snapshot    topology.SnapshotID   `cbor:"5,keyasint" json:"snapshot"`
	Shards      []topology.ShardID    `cbor:"6,keyasint" json:"shards"`
	Query       string                `cbor:"7,keyasint" json:"query"`
	Limit       int                   `cbor:"8,keyasint" json:"limit"` // maximum number of hits from each shard
	Fingerprint Fingerprint           `cbor:"9,keyasint" json:"fingerprint"`
	Rank        uint64                `cbor:"10,keyasint" json:"rank"`                       // priority, a hash that is equal at every holder; the lowest is dropped first
	Repeat      bool                  `cbor:"12,keyasint,omitempty" json:"repeat,omitempty"` // an earlier attempt may have been sent to a target, so this one counts against the budget for repeated sends
	RemainingMS clock.Duration        `cbor:"11,keyasint" json:"remainingMs"`                // time left to the deadline when the message was sent
}

// Status is the outcome of a sub-request.
type Status string

// Outcomes of a sub-request. StatusNotRun guarantees that no target started it;
// StatusFailed and StatusCrashed mean that a target may have run it.
const (
	StatusOK           Status = "ok"
	StatusNotRun       Status = "notRun"
	StatusSnapshotGone Status = "snapshotGone"
	StatusFailed       Status = "failed"
	StatusCrashed      Status = "crashed"
)

// Reason is the reason why a sub-request or a shard has no answer.
type Reason string

// Reasons of missing answers. They appear in the coverage of a caller's answer.
const (
	ReasonDeadline     Reason = "deadline"
	ReasonNoHolder     Reason = "noHolder"
	ReasonNoTarget     Reason = "noTarget"
	ReasonShed         Reason = "shed"
	ReasonCrashed      Reason = "crashed"
	ReasonQuarantined  Reason = "quarantined"
	ReasonSnapshotGone Reason = "snapshotGone"
	ReasonZoneOut      Reason = "zoneOut"
)

// Hit is one search result.
type Hit struct {
	ID    string  `cbor:"1,keyasint" json:"id"`
	Score float64 `cbor:"2,keyasint" json:"score"`
	Text  string  `cbor:"3,keyasint" json:"text"`
}

// ShardAnswer is the answer of one shard.
type ShardAnswer struct {
	Shard topology.ShardID `cbor:"1,keyasint" json:"shard"`
	Hits  []Hit            `cbor:"2,keyasint" json:"hits"` // in descending order of Score, then by ID
}

// SubReply answers a SubRequest. ID, Workspace and Snapshot repeat those of the
// request; the requesting instance drops a reply in which they differ.
type SubReply struct {
	ID           SubID                 `cbor:"1,keyasint" json:"id"`
	Workspace    topology.WorkspaceID  `cbor:"2,keyasint" json:"tenant"`
	Snapshot     topology.SnapshotID   `cbor:"3,keyasint" json:"snapshot"`
	Status       Status                `cbor:"4,keyasint" json:"status"`
	Reason       Reason                `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`       // set unless Status is StatusOK
	Shards       []ShardAnswer         `cbor:"6,keyasint,omitempty" json:"shards,omitempty"`       // set when Status is StatusOK
	Snapshots    []topology.SnapshotID `cbor:"7,keyasint,omitempty" json:"snapshots,omitempty"`    // set when Status is StatusSnapshotGone: the snapshots that the target has
	QueueDelayMS clock.Duration        `cbor:"8,keyasint,omitempty" json:"queueDelayMs,omitempty"` // time that the sub-request, or the most recently started one, waited for a slot
	RetryAfterMS clock.Duration        `cbor:"9,keyasint,omitempty" json:"retryAfterMs,omitempty"` // set when Status is StatusNotRun
}

// CancelSub tells a holder that the result of a sub-request is no longer needed.
type CancelSub struct {
	ID SubID `cbor:"1,keyasint"`
}

// TargetState is the state that a target reports in its answers.
type TargetState string

// Target states.
const (
	TargetCold     TargetState = "cold"
	TargetWarm     TargetState = "warm"
	TargetDraining TargetState = "draining"
	TargetUnknown  TargetState = "unknown" // no recent answer; treated as cold
)

// TargetReport forwards the state in a target's answer to the other holder of the
// service.
type TargetReport struct {
	Service  topology.ServiceID `cbor:"1,keyasint"`
	Target   topology.TargetID  `cbor:"2,keyasint"`
	State    TargetState        `cbor:"3,keyasint"`
	Capacity int                `cbor:"4,keyasint" json:"Bears"` // total number of concurrent calls that the target accepts
}

// Body is a message between instances. The types that implement it are plain
// structs in this package, in one file for each group of related messages.
type Body interface {
	// PeerMessage marks the type as a message between instances.
	PeerMessage()
}

// PeerMessage implements Body.
func (SubRequest) PeerMessage() {}

// PeerMessage implements Body.
func (SubReply) PeerMessage() {}

// PeerMessage implements Body.
func (CancelSub) PeerMessage() {}

// PeerMessage implements Body.
func (TargetReport) PeerMessage() {}

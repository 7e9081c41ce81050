// Package message defines the messages between instances and the parts that
// they share. Every message is a plain struct; io/peer encodes them as CBOR.
package message

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// MaxTargetWork is the longest time that a call may be at work at a target. Shares
// change hands only after it, so the deadlines of requests may not exceed it.
const MaxTargetCallDuration = 2000 * clock.Millisecond

// RequestID names one caller request across the tier.
type RequestID struct {
	Entry topology.InstanceRef `cbor:"1,keyasint" json:"entry"`
	Seq   uint64               `cbor:"2,keyasint" json:"seq"` // grows by one for each request of the entry
}

// SubID names one sub-request. Two attempts of one sub-request differ only in
// Attempt.
type SubID struct {
	Request RequestID          `cbor:"1,keyasint" json:"request"`
	Service topology.ServiceID `cbor:"2,keyasint" json:"service"`
	Attempt uint8              `cbor:"3,keyasint" json:"attempt"` // 0 for the first attempt
}

// Kind says how a sub-request may be executed.
type Kind uint8

// Kinds of sub-requests.
const (
	// KindSearch is idempotent: it may be hedged, retried and batched.
	KindSearch Kind = iota + 1
	// KindCanary is a search that is not known to be safe: it is idempotent but
	// goes to one target at a time, alone, and is neither hedged nor retried.
	KindCanary
	// KindRun must not be repeated: it is sent at most once and never hedged.
	KindRun
)

// Fingerprint identifies a request's exact content; see core/quarantine.
type Fingerprint [16]byte

// SubRequest asks the holder of a service for its part of an answer.
type SubRequest struct {
	ID          SubID                 `cbor:"1,keyasint" json:"id"`
	Kind        Kind                  `cbor:"2,keyasint" json:"kind"`
	Workspace   topology.WorkspaceID  `cbor:"3,keyasint" json:"tenant"`
	Collection  topology.CollectionID `cbor:"4,keyasint" json:"collection"`
	Snapshot    topology.SnapshotID   `cbor:"5,keyasint" json:"snapshot"`
	Shards      []topology.ShardID    `cbor:"6,keyasint" json:"shards"`
	Query       string                `cbor:"7,keyasint" json:"query"`
	Limit       int                   `cbor:"8,keyasint" json:"limit"` // hits wanted from each shard
	Fingerprint Fingerprint           `cbor:"9,keyasint" json:"fingerprint"`
	Rank        uint64                `cbor:"10,keyasint" json:"rank"`                       // hashed priority, equal at every holder; the lowest is dropped first
	Repeat      bool                  `cbor:"12,keyasint,omitempty" json:"repeat,omitempty"` // an earlier attempt may have been sent to a target, so this one draws on the budget
	RemainingMS clock.Duration        `cbor:"11,keyasint" json:"remainingMs"`                // time left to the deadline when the message was sent
}

// Status is the outcome of a sub-request.
type Status string

// Outcomes of a sub-request. StatusNotRun is a promise that no target started
// it; StatusFailed and StatusCrashed mean that a target may have run it.
const (
	StatusOK           Status = "ok"
	StatusNotRun       Status = "notRun"
	StatusSnapshotGone Status = "snapshotGone"
	StatusFailed       Status = "failed"
	StatusCrashed      Status = "crashed"
)

// Reason says why a sub-request or a shard has no answer.
type Reason string

// Reasons, which appear in the coverage of answers.
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
	Hits  []Hit            `cbor:"2,keyasint" json:"hits"` // ordered by falling score, then by id
}

// SubReply answers a SubRequest. ID, Workspace and Snapshot repeat the request's;
// an entry drops a reply whose stamps differ.
type SubReply struct {
	ID           SubID                 `cbor:"1,keyasint" json:"id"`
	Workspace    topology.WorkspaceID  `cbor:"2,keyasint" json:"tenant"`
	Snapshot     topology.SnapshotID   `cbor:"3,keyasint" json:"snapshot"`
	Status       Status                `cbor:"4,keyasint" json:"status"`
	Reason       Reason                `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`       // set unless Status is StatusOK
	Shards       []ShardAnswer         `cbor:"6,keyasint,omitempty" json:"shards,omitempty"`       // set when Status is StatusOK
	Snapshots    []topology.SnapshotID `cbor:"7,keyasint,omitempty" json:"snapshots,omitempty"`    // set when Status is StatusSnapshotGone: what the target has
	QueueDelayMS clock.Duration        `cbor:"8,keyasint,omitempty" json:"queueDelayMs,omitempty"` // how long the sub-request, or the newest started one, waited for a slot
	RetryAfterMS clock.Duration        `cbor:"9,keyasint,omitempty" json:"retryAfterMs,omitempty"` // set when Status is StatusNotRun
}

// CancelSub tells a holder that nobody waits for the sub-request any more.
type CancelSub struct {
	ID SubID `cbor:"1,keyasint"`
}

// TargetState is what a target says of itself in its answers.
type TargetState string

// Target states.
const (
	TargetCold     TargetState = "cold"
	TargetWarm     TargetState = "warm"
	TargetDraining TargetState = "draining"
	TargetUnknown  TargetState = "unknown" // no recent answer; treated as cold
)

// TargetReport tells the other holder of a service what a target's answer said.
type TargetReport struct {
	Service  topology.ServiceID `cbor:"1,keyasint"`
	Target   topology.TargetID  `cbor:"2,keyasint"`
	State    TargetState        `cbor:"3,keyasint"`
	Capacity int                `cbor:"4,keyasint" json:"Bears"` // concurrent calls that the target bears in all
}

// Body is a message between instances. The types that implement it are plain
// structs in this package, one file for each package that exchanges them.
type Body interface {
	// PeerMessage marks the type.
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

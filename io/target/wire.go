// Package target is the client of the targets' HTTP protocol, as
// docs/design.md section 15.1 describes it.
package target

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Headers of a call.
const (
	HeaderCall     = "X-Call-Id" // names a call for POST /v1/cancel
	HeaderStartBy  = "X-Start-By-Unix-Ms"
	HeaderDeadline = "X-Deadline-Unix-Ms"
)

// Item is one sub-request of a call.
type Item struct {
	ID        string               `json:"id"` // unique within the call
	Workspace topology.WorkspaceID `json:"tenant"`
	Shards    []topology.ShardID   `json:"shards"`
	Query     string               `json:"query"`
	Limit     int                  `json:"limit"`
}

// Call is one request to a target.
type Call struct {
	Address        string // host:port
	ID             string // unique; names the call for Cancel
	Run            bool   // the item may not be repeated: POST /v1/run
	Snapshot       topology.SnapshotID
	Items          []Item // exactly one when Run is set
	StartByUnixMS  int64
	DeadlineUnixMS int64
}

type callJSON struct {
	Snapshot topology.SnapshotID `json:"snapshot"`
	Items    []Item              `json:"items"`
}

// CallStatus is the target's verdict on a whole call.
type CallStatus string

// Verdicts. CallShed, CallLate and CallDraining promise that nothing was run;
// CallCancelled and CallDeadline only say that the call has ended.
const (
	CallOK       CallStatus = "ok"
	CallShed     CallStatus = "shed"
	CallLate     CallStatus = "late"
	CallDraining CallStatus = "draining"

	CallCancelled CallStatus = "cancelled"
	CallDeadline  CallStatus = "deadline"
)

// ItemAnswer is the answer to one Item.
type ItemAnswer struct {
	ID        string                `json:"id"`
	Workspace topology.WorkspaceID  `json:"tenant"`
	Snapshot  topology.SnapshotID   `json:"snapshot"`
	Status    message.Status        `json:"status"`
	Snapshots []topology.SnapshotID `json:"snapshots,omitempty"`
	Shards    []message.ShardAnswer `json:"shards,omitempty"`
}

// Answer is what a target replied to a call.
type Answer struct {
	State        message.TargetState `json:"state"`
	Capacity     int                 `json:"bears"` // concurrent calls that the target bears
	Status       CallStatus          `json:"status,omitempty"`
	RetryAfterMS clock.Duration      `json:"retryAfterMs,omitempty"`
	Items        []ItemAnswer        `json:"items,omitempty"`
}

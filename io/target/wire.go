// Package target implements the client of the targets' HTTP protocol, as
// docs/design.md section 15.1 describes it.
package target

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Headers of a call.
const (
	HeaderCall     = "X-Call-Id" // id of a call, for POST /v1/cancel; its answer states it too
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
	ID             string // unique; identifies the call for Cancel
	Run            bool   // the item must not be repeated; the call is POST /v1/run, otherwise POST /v1/search
	Snapshot       topology.SnapshotID
	Items          []Item // exactly one when Run is set
	StartByUnixMS  int64  // the target must not start the call later
	DeadlineUnixMS int64
}

type callJSON struct {
	Snapshot topology.SnapshotID `json:"snapshot"`
	Items    []Item              `json:"items"`
}

// CallStatus is the result of a whole call as the target reports it.
type CallStatus string

// Values of CallStatus. CallShed, CallLate and CallDraining guarantee that nothing was
// run. CallCancelled and CallDeadline only mean that the call has ended.
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

// Answer is a target's answer to a call.
type Answer struct {
	State        message.TargetState `json:"state"`
	Capacity     int                 `json:"bears"` // number of calls that the target can run concurrently
	Status       CallStatus          `json:"status,omitempty"`
	RetryAfterMS clock.Duration      `json:"retryAfterMs,omitempty"`
	Items        []ItemAnswer        `json:"items,omitempty"`
}

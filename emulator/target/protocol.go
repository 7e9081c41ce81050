// Package target is a stand-in for the back-end servers, for tests, the demo
// and measurements. A Server speaks the target protocol of docs/design.md
// section 15.1, becomes cold, sheds, drains, crashes and goes silent on
// demand, and keeps a ledger of every call.
package target

import (
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Headers of the target protocol. The times are absolute, in Unix ms.
const (
	HeaderCall     = "X-Call-Id" // names a call for POST /v1/cancel
	HeaderStartBy  = "X-Start-By-Unix-Ms"
	HeaderDeadline = "X-Deadline-Unix-Ms"
)

// Request is the body of POST /v1/search and POST /v1/run.
type Request struct {
	Snapshot topology.SnapshotID `json:"snapshot"`
	Items    []Item              `json:"items"` // at least 1; exactly 1 for /v1/run
}

// Item is one sub-request of a batch.
type Item struct {
	ID        string               `json:"id"`
	Workspace topology.WorkspaceID `json:"tenant"`
	Shards    []topology.ShardID   `json:"shards"`
	Query     string               `json:"query"` // the payload for /v1/run
	Limit     int                  `json:"limit"` // hits wanted from each shard
}

// Reply is the body of an answer with status 200.
type Reply struct {
	State    message.TargetState `json:"state"`
	Capacity int                 `json:"bears"` // concurrent calls that the target bears now
	Items    []ItemReply         `json:"items"` // in the order of the request
}

// ItemReply is the outcome of one Item. Status is StatusOK, StatusSnapshotGone
// or StatusNotRun; the last two promise that nothing ran.
type ItemReply struct {
	ID        string                `json:"id"`
	Workspace topology.WorkspaceID  `json:"tenant"`
	Snapshot  topology.SnapshotID   `json:"snapshot"`
	Status    message.Status        `json:"status"`
	Snapshots []topology.SnapshotID `json:"snapshots,omitempty"` // with StatusSnapshotGone: what the target has, newest first
	Shards    []message.ShardAnswer `json:"shards,omitempty"`    // with StatusOK, in the order of the request
}

// RefusalStatus says why a call was not run.
type RefusalStatus string

// Refusals. StatusDeadline and StatusCancelled are no promises that nothing
// ran: the call had started and has ended at its deadline, with HTTP status 504,
// or because it was cancelled.
const (
	StatusShed     RefusalStatus = "shed"
	StatusLate     RefusalStatus = "late"
	StatusDraining RefusalStatus = "draining"
	StatusDeadline RefusalStatus = "deadline"

	StatusCancelled RefusalStatus = "cancelled"
)

// Refusal is the body of an answer with status 503 (nothing was run) or 504.
type Refusal struct {
	State        message.TargetState `json:"state"`
	Capacity     int                 `json:"bears"`
	Status       RefusalStatus       `json:"status"`
	RetryAfterMS int64               `json:"retryAfterMs"`
}

// Health is the body of GET /v1/health.
type Health struct {
	State    message.TargetState `json:"state"`
	Capacity int                 `json:"bears"`
}

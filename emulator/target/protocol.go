// Package target emulates the back-end servers (targets) for tests, the demo and
// measurements. A Server implements the target protocol of docs/design.md section
// 15.1. It sheds calls over its capacity, has a reduced capacity for a while after a
// start (it is cold), drains, crashes and stops answering on request, and records its
// calls.
package target

import (
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Headers of the target protocol. The times are absolute, in Unix ms.
const (
	HeaderCall     = "X-Call-Id" // id of a call, for POST /v1/cancel; its answer states it too
	HeaderStartBy  = "X-Start-By-Unix-Ms"
	HeaderDeadline = "X-Deadline-Unix-Ms"
)

// Request is the body of POST /v1/search and POST /v1/run.
type Request struct {
	Snapshot topology.SnapshotID `json:"snapshot"`
	Items    []Item              `json:"items"` // at least 1; exactly 1 for /v1/run
}

// Item is one sub-request of a batch: the query of one workspace for some shards.
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
	Capacity int                 `json:"bears"` // concurrent calls that the target can handle now
	Items    []ItemReply         `json:"items"` // in the order of the request
}

// ItemReply is the outcome of one Item. Status is StatusOK, StatusSnapshotGone or
// StatusNotRun; the last two guarantee that the item did not run.
type ItemReply struct {
	ID        string                `json:"id"`
	Workspace topology.WorkspaceID  `json:"tenant"`
	Snapshot  topology.SnapshotID   `json:"snapshot"`
	Status    message.Status        `json:"status"`
	Snapshots []topology.SnapshotID `json:"snapshots,omitempty"` // with StatusSnapshotGone: the snapshots of the target, newest first
	Shards    []message.ShardAnswer `json:"shards,omitempty"`    // with StatusOK, in the order of the request
}

// RefusalStatus is the reason why a call was not answered with status 200.
type RefusalStatus string

// Values of RefusalStatus. StatusDeadline and StatusCancelled do not guarantee that
// the call did not run: it had started and was ended at its deadline, with HTTP
// status 504, or by a cancellation. The others guarantee it.
const (
	StatusShed     RefusalStatus = "shed"
	StatusLate     RefusalStatus = "late"
	StatusDraining RefusalStatus = "draining"
	StatusDeadline RefusalStatus = "deadline"

	StatusCancelled RefusalStatus = "cancelled"
)

// Refusal is the body of an answer with status 503 or 504.
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

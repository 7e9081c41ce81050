package dispatch

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// CallID names one call to a target. It is unique within a Service.
type CallID uint64

// ItemID names one sub-request in calls. It is unique within a Service, so an
// answer that reaches the wrong call is detected.
type ItemID uint64

// Command is an instruction from a Service to its driver.
type Command interface {
	dispatchCommand()
}

// Item is one sub-request of a call.
type Item struct {
	ID        ItemID
	Workspace topology.WorkspaceID `json:"Tenant"` // equal for all items of a call
	Shards    []topology.ShardID
	Query     string
	Limit     int
}

// Send starts a call to a target. The driver reports its end with Answered or
// Failed.
type Send struct {
	Call     CallID
	Target   topology.TargetID
	Snapshot topology.SnapshotID
	Items    []Item     // at least 1
	Once     bool       // the single item must not be repeated
	StartBy  clock.Time // the target refuses the call when it arrives later
	Deadline clock.Time // the target has ended the call by then
}

// CancelCall asks the driver to cancel a call. Its slot stays in use until
// Answered, FailureEnded or the deadline.
type CancelCall struct {
	Call CallID
}

// Reply answers a sub-request. Every accepted sub-request gets exactly one.
type Reply struct {
	message.SubReply
}

// ReportTarget is to be sent to the other holder of the service, in order.
type ReportTarget struct {
	message.TargetReport
}

func (Send) dispatchCommand()         {}
func (CancelCall) dispatchCommand()   {}
func (Reply) dispatchCommand()        {}
func (ReportTarget) dispatchCommand() {}

// AnswerStatus is what a target's answer says of the call as a whole.
type AnswerStatus string

// Answer statuses. With every status but AnswerOK the target ran nothing.
const (
	AnswerOK       AnswerStatus = "ok"
	AnswerShed     AnswerStatus = "shed"
	AnswerLate     AnswerStatus = "late"
	AnswerDraining AnswerStatus = "draining"
)

// ItemStatus is what a target's answer says of one item.
type ItemStatus string

// Item statuses.
const (
	ItemOK           ItemStatus = "ok"
	ItemSnapshotGone ItemStatus = "snapshotGone"
	ItemNotRun       ItemStatus = "notRun"
)

// ItemAnswer is the answer to one item. An answer whose stamps differ from the
// item's is dropped.
type ItemAnswer struct {
	ID        ItemID
	Workspace topology.WorkspaceID `json:"Tenant"`
	Snapshot  topology.SnapshotID
	Status    ItemStatus
	Snapshots []topology.SnapshotID // what the target has, with ItemSnapshotGone
	Shards    []message.ShardAnswer // with ItemOK
}

// Answer is a target's answer to a call.
type Answer struct {
	State      message.TargetState
	Capacity   int `json:"Bears"` // concurrent calls that the target bears in all
	Status     AnswerStatus
	RetryAfter clock.Duration // 0 when the target stated none
	Items      []ItemAnswer   // with AnswerOK
}

// Failure says how a call ended without an answer.
type Failure uint8

// Failures.
const (
	// FailureNotSent means that the connection could not be opened, or broke
	// before a byte of the call was sent.
	FailureNotSent Failure = iota + 1
	// FailureLost means that the connection broke, other than by the driver's
	// own closing: the target crashed or may still be running the call.
	FailureLost
	// FailureTimeout means that the deadline passed.
	FailureTimeout
	// FailureEnded means that the target has ended the call without an answer,
	// because it was cancelled or at its deadline. A connection that the driver
	// itself closed is no proof.
	FailureEnded
)

// Use says, by share index, to which targets calls may be sent.
type Permission struct {
	Warm, Cold [2]bool
}

// Right tells whether this instance may use the shares of a service.
type Leases interface {
	// Use is asked immediately before each send.
	Use(now clock.Time, service topology.ServiceID) Permission
}

// Load is a summary of a Service for routing and metrics.
type Load struct {
	Queued         int            // sub-requests waiting for a slot
	InFlight       int            // calls whose end is not known
	QueueDelay     clock.Duration // how long the newest started sub-request waited
	FirstSends     uint64         // sub-requests sent for the first time
	RepeatedSends  uint64         // sub-requests sent again: hedges and retries
	DroppedAnswers uint64         // answers dropped for unknown calls or wrong stamps
}

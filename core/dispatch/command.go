package dispatch

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// CallID identifies one call to a target. It is unique within a Dispatcher.
type CallID uint64

// ItemID identifies one sub-request in calls. It is unique within a Dispatcher, so
// that an answer that is attributed to the wrong call is detected.
type ItemID uint64

// Command is an instruction from a Dispatcher to its driver, the code that owns the
// connections and the timers.
type Command interface {
	dispatchCommand()
}

// Item is one sub-request of a call.
type Item struct {
	ID        ItemID
	Workspace topology.WorkspaceID `json:"Tenant"` // the same for all items of a call
	Shards    []topology.ShardID
	Query     string
	Limit     int
}

// Send starts a call to a target. The driver reports how it ended through Answered
// or Failed.
type Send struct {
	Call     CallID
	Target   topology.TargetID
	Snapshot topology.SnapshotID
	Items    []Item     // at least 1
	Once     bool       // the call has a single item, which must not be run twice
	StartBy  clock.Time // the target refuses a call that arrives later
	Deadline clock.Time // the target ends the call by this time
}

// CancelCall cancels a call. Its slot stays occupied until Answered is called, Failed
// is called with FailureEnded, or the deadline passes.
type CancelCall struct {
	Call CallID
}

// Reply answers a sub-request. Every accepted sub-request gets exactly one Reply.
type Reply struct {
	message.SubReply
}

// ReportTarget sends a report on a target to the other holder of the service. Reports
// must be sent in the order of the commands.
type ReportTarget struct {
	message.TargetReport
}

func (Send) dispatchCommand()         {}
func (CancelCall) dispatchCommand()   {}
func (Reply) dispatchCommand()        {}
func (ReportTarget) dispatchCommand() {}

// AnswerStatus is the result of a call as a whole, as stated by the target.
type AnswerStatus string

// Answer statuses. With every status other than AnswerOK, the target has run none of
// the items.
const (
	AnswerOK       AnswerStatus = "ok"
	AnswerShed     AnswerStatus = "shed"     // refused for lack of capacity
	AnswerLate     AnswerStatus = "late"     // arrived after Send.StartBy
	AnswerDraining AnswerStatus = "draining" // the target accepts no new calls
)

// ItemStatus is the result of one item, as stated by the target.
type ItemStatus string

// Item statuses.
const (
	ItemOK           ItemStatus = "ok"
	ItemSnapshotGone ItemStatus = "snapshotGone"
	ItemNotRun       ItemStatus = "notRun"
)

// ItemAnswer is the answer to one item. ID, Workspace and Snapshot repeat those of the
// item; an answer in which they differ is dropped.
type ItemAnswer struct {
	ID        ItemID
	Workspace topology.WorkspaceID `json:"Tenant"`
	Snapshot  topology.SnapshotID
	Status    ItemStatus
	Snapshots []topology.SnapshotID // set when Status is ItemSnapshotGone: the snapshots that the target has
	Shards    []message.ShardAnswer // set when Status is ItemOK
}

// Answer is a target's answer to a call.
type Answer struct {
	State      message.TargetState
	Capacity   int `json:"Bears"` // total number of concurrent calls that the target accepts
	Status     AnswerStatus
	RetryAfter clock.Duration // 0 if the target stated none
	Items      []ItemAnswer   // set when Status is AnswerOK
}

// Failure is the way in which a call ended without an answer.
type Failure uint8

// Failures.
const (
	// FailureNotSent means that the connection could not be opened, or was lost
	// before a byte of the call was sent.
	FailureNotSent Failure = iota + 1
	// FailureLost means that the connection was lost and was not closed by the
	// driver: the target crashed, or may still be running the call.
	FailureLost
	// FailureTimeout means that the deadline passed.
	FailureTimeout
	// FailureEnded means that the target has provably ended the call without an
	// answer, because it was cancelled or its deadline passed. A connection that
	// the driver itself closed is no proof of it.
	FailureEnded
)

// Permission states, for each share of a service, whether calls may be sent to warm
// and to cold targets. The capacity of a service's targets is split into two shares,
// each of which is leased to one holder. An index in the arrays is that of a share.
type Permission struct {
	Warm, Cold [2]bool
}

// Leases is a view of which shares of a service this instance may use now. It does not
// grant or renew leases.
type Leases interface {
	// Use returns what is permitted at now. It is called immediately before each
	// send.
	Use(now clock.Time, service topology.ServiceID) Permission
}

// Load is a summary of a Dispatcher for routing and metrics.
type Load struct {
	Queued         int            // sub-requests waiting for a slot
	InFlight       int            // calls that are not known to have ended
	QueueDelay     clock.Duration // how long the most recently started sub-request waited
	FirstSends     uint64         // sub-requests sent for the first time
	RepeatedSends  uint64         // sub-requests sent again: hedges and retries
	DroppedAnswers uint64         // answers and failures of unknown calls, and item answers with a wrong id, workspace or snapshot
}

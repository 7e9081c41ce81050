// Package node combines the state machines of one instance into a single
// deterministic state machine. Its input is an event with the time of the event;
// its output is a list of commands. It uses no sockets, goroutines, wall clock
// or global randomness, so the same events and the same seed give the same
// commands. A driver feeds events to a Node and executes the commands. Package
// instance is the driver with real sockets; tests, replay and other programs
// can drive a Node in the same way.
//
// JSON attributes and registered type names that differ from the Go names, such as
// Tenant for Workspace and vouch for LeaseRenewal, keep the names that recorded
// traces use, so that old traces stay readable.
package node

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/dispatch"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
)

// CallID identifies a caller's or operator's request at the instance that
// received it. The driver chooses it and must not reuse it.
type CallID uint64

// TargetCallID identifies one call to a target.
type TargetCallID uint64

// OpID identifies one operation on the store.
type OpID uint64

// Event is an input of a Node.
type Event interface{ event() }

// SearchArrived is a caller's query.
type SearchArrived struct {
	Call       CallID
	Workspace  topology.WorkspaceID `json:"Tenant"`
	Collection topology.CollectionID
	Query      string
	Limit      int
	Deadline   clock.Time
}

// RunArrived is a caller's run request, which must not be repeated. Key is its
// idempotency key.
type RunArrived struct {
	Call       CallID
	Workspace  topology.WorkspaceID `json:"Tenant"`
	Collection topology.CollectionID
	Key        string
	Payload    string
	Deadline   clock.Time
}

// CallerDisconnected reports that the caller no longer waits for the answer to
// the call.
type CallerDisconnected struct{ Call CallID }

// TicketFiled is a ticket that an operator files. Number 0 stands for the next
// free number.
type TicketFiled struct {
	Call   CallID
	Ticket ticket.Ticket
}

// PeerReceived is a frame received from another instance.
type PeerReceived struct {
	From   topology.InstanceRef
	Header message.Header
	Bodies []message.Body
}

// PeerConnected reports that a connection to another instance was opened.
type PeerConnected struct{ Member topology.Member }

// PeerLost reports that the last connection to another instance was closed, or
// that none could be opened.
type PeerLost struct {
	Ref        topology.InstanceRef
	Terminated bool // the incarnation is proven to have ended
}

// TargetAnswered is the answer to a CallTarget.
type TargetAnswered struct {
	Call   TargetCallID
	Answer dispatch.Answer
}

// TargetFailed reports that a CallTarget ended without an answer.
type TargetFailed struct {
	Call    TargetCallID
	Failure dispatch.Failure
}

// TargetConnected reports that the first connection to a target's address was
// opened.
type TargetConnected struct{ Address string }

// TargetDisconnected reports that the last connection to a target's address was
// closed.
type TargetDisconnected struct{ Address string }

// ObjectRead is the result of a ReadObject.
type ObjectRead struct {
	Op     OpID
	Result object.ReadResult
}

// ObjectWritten is the result of a WriteObject.
type ObjectWritten struct {
	Op     OpID
	Result object.WriteResult
}

// ObjectsReceived delivers objects from a WatchStore or a ListObjects, in the
// order of their versions. Without objects it still shows that the store
// replied.
type ObjectsReceived struct {
	Revision int64 // of the store when it replied
	Objects  []message.StoredObject
}

// StoreFailed reports that a call to the store had no usable reply.
type StoreFailed struct{}

// MembersListed delivers the platform's instance list.
type MembersListed struct{ Members []topology.Member }

// StopRequested starts a graceful stop.
type StopRequested struct{}

// Tick advances the time without any other event. UnixMS is the wall clock, or 0
// if the driver does not supply it.
type Tick struct{ UnixMS int64 }

func (SearchArrived) event()      {}
func (RunArrived) event()         {}
func (CallerDisconnected) event() {}
func (TicketFiled) event()        {}
func (PeerReceived) event()       {}
func (PeerConnected) event()      {}
func (PeerLost) event()           {}
func (TargetAnswered) event()     {}
func (TargetFailed) event()       {}
func (TargetConnected) event()    {}
func (TargetDisconnected) event() {}
func (ObjectRead) event()         {}
func (ObjectWritten) event()      {}
func (ObjectsReceived) event()    {}
func (StoreFailed) event()        {}
func (MembersListed) event()      {}
func (StopRequested) event()      {}
func (Tick) event()               {}

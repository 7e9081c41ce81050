// Package node joins the decision machines of one instance into one. An event
// with its time goes in, commands come out; the node itself has no sockets,
// goroutines, wall clock or global randomness, so the same events and seed give
// the same commands. Package instance runs a Node on real sockets; tests,
// replay and outside programs can drive it in the same way.
package node

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/dispatch"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
)

// CallID names a caller's or operator's request at the instance that received
// it. The driver chooses it and never reuses it.
type CallID uint64

// TargetCallID names one call to a target.
type TargetCallID uint64

// OpID names one operation on the store.
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

// RunArrived is a caller's request that may not be repeated.
type RunArrived struct {
	Call       CallID
	Workspace  topology.WorkspaceID `json:"Tenant"`
	Collection topology.CollectionID
	Key        string
	Payload    string
	Deadline   clock.Time
}

// CallerGone says that nobody waits for the call's answer any more.
type CallerDisconnected struct{ Call CallID }

// TicketFiled is an operator's ticket. Number 0 stands for the next one.
type TicketFiled struct {
	Call   CallID
	Ticket ticket.Ticket
}

// PeerReceived is one frame from a peer.
type PeerReceived struct {
	From   topology.InstanceRef
	Header message.Header
	Bodies []message.Body
}

// PeerConnected says that a connection to a peer is open.
type PeerConnected struct{ Member topology.Member }

// PeerLost says that no connection to a peer is left or could be opened.
type PeerLost struct {
	Ref        topology.InstanceRef
	Terminated bool // the incarnation has provably ended
}

// TargetAnswered is the answer to a CallTarget.
type TargetAnswered struct {
	Call   TargetCallID
	Answer dispatch.Answer
}

// TargetFailed says that a CallTarget has no answer.
type TargetFailed struct {
	Call    TargetCallID
	Failure dispatch.Failure
}

// TargetConnected says that the first connection to a target's address opened.
type TargetConnected struct{ Address string }

// TargetDisconnected says that the last connection to a target's address closed.
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

// ObjectsWatched delivers objects from the watch, or from the first listing, in
// the order of their versions. Without objects it still shows that the store
// answered.
type ObjectsReceived struct {
	Revision int64 // of the store when it replied
	Objects  []message.StoredObject
}

// StoreFailed says that a call to the store had no usable reply.
type StoreFailed struct{}

// MembersListed delivers the platform's instance list.
type MembersListed struct{ Members []topology.Member }

// StopRequested begins a graceful stop.
type StopRequested struct{}

// Tick lets time pass.
type Tick struct{ UnixMS int64 } // wall clock; 0 when the driver does not tell it

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

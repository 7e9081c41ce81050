// Package node joins the decision machines of one instance into one. An event
// with its time goes in, commands come out; the node itself has no sockets,
// goroutines, wall clock or global randomness, so the same events and seed give
// the same commands. Package instance runs a Node on real sockets; tests,
// replay and outside programs can drive it in the same way.
package node

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// CallID names a caller's request at its entry instance.
type CallID uint64

// TargetCallID names one call to a target.
type TargetCallID uint64

// Event is an input of a Node.
type Event interface{ event() }

// SearchArrived is a caller's query.
type SearchArrived struct {
	Call       CallID
	Tenant     topology.TenantID
	Collection topology.CollectionID
	Query      string
	Limit      int
	Deadline   clock.Time
}

// CallerGone says that nobody waits for the call's answer any more.
type CallerGone struct{ Call CallID }

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

// ItemAnswer is a target's answer to one sub-request of a call.
type ItemAnswer struct {
	Tenant    topology.TenantID
	Snapshot  topology.SnapshotID
	Status    message.Status
	Snapshots []topology.SnapshotID
	Shards    []message.ShardAnswer
}

// TargetAnswered is the answer to a CallTarget.
type TargetAnswered struct {
	Call  TargetCallID
	Items []ItemAnswer // in the order of the call's items
}

// TargetFailed says that a CallTarget has no answer.
type TargetFailed struct {
	Call    TargetCallID
	NotSent bool // no byte reached the target
}

// ObjectsRead delivers objects from the store, in the order of their versions.
type ObjectsRead struct {
	Objects []Object
}

// Object is one stored value.
type Object struct {
	Key     string
	Version int64
	Value   []byte
}

// MembersListed delivers the platform's instance list.
type MembersListed struct{ Members []topology.Member }

// Tick lets time pass.
type Tick struct{}

func (SearchArrived) event()  {}
func (CallerGone) event()     {}
func (PeerReceived) event()   {}
func (PeerConnected) event()  {}
func (PeerLost) event()       {}
func (TargetAnswered) event() {}
func (TargetFailed) event()   {}
func (ObjectsRead) event()    {}
func (MembersListed) event()  {}
func (Tick) event()           {}

// Command is an output of a Node.
type Command interface{ command() }

// AnswerSearch ends a caller's query.
type AnswerSearch struct {
	Call   CallID
	Answer SearchAnswer
}

// SearchAnswer is the result of a query.
type SearchAnswer struct {
	Snapshot topology.SnapshotID
	Config   uint64
	Total    int
	Answered int
	Missing  map[topology.ShardID]message.Reason
	Hits     []message.Hit
}

// SendPeer sends a message to another instance.
type SendPeer struct {
	To   topology.Member
	Body message.Body
}

// CallTarget calls a target; TargetAnswered or TargetFailed follows.
type CallTarget struct {
	Call     TargetCallID
	Address  string
	Snapshot topology.SnapshotID
	Items    []message.SubRequest
	Deadline clock.Time
}

func (AnswerSearch) command() {}
func (SendPeer) command()     {}
func (CallTarget) command()   {}

package instance

import (
	"context"
	"errors"
	"strconv"

	"knapweedstall/core/clock"
	"knapweedstall/core/dispatch"
	"knapweedstall/core/message"
	"knapweedstall/core/node"
	"knapweedstall/core/topology"
	"knapweedstall/io/target"
)

// replyMargin is how long after the deadline of a call its answer is still accepted.
const replyMargin = 100 * clock.Millisecond

// targetCall is a call to a target that is in flight.
type targetCall struct {
	address string
	id      string // identifies the call at the target
	cancel  context.CancelFunc
}

// callTarget starts a call to a target and queues its outcome as an event.
func (in *Instance) callTarget(ctx context.Context, c node.CallTarget) {
	left := c.Deadline.Sub(in.clock.Now())
	// The target ends the call at its deadline and reports that, so the client waits
	// for replyMargin longer.
	ctx, cancel := context.WithTimeout(ctx, (left + replyMargin).Std())
	call := &targetCall{address: c.Address, id: in.callIDAtTarget(c.Call), cancel: cancel}
	in.mu.Lock()
	in.targetCalls[c.Call] = call
	in.mu.Unlock()
	go func() {
		defer cancel()
		e := in.sendTargetCall(ctx, call, c)
		in.mu.Lock()
		delete(in.targetCalls, c.Call)
		in.mu.Unlock()
		in.events <- e
	}()
}

// callIDAtTarget returns the id of a call that is unique across instances.
func (in *Instance) callIDAtTarget(c node.TargetCallID) string {
	return in.self.Ref.String() + "/" + strconv.FormatUint(uint64(c), 10)
}

// sendTargetCall sends a call, waits for its answer and returns the event for the
// node.
func (in *Instance) sendTargetCall(ctx context.Context, t *targetCall, c node.CallTarget) node.Event {
	if t.address == "" {
		return node.TargetFailed{Call: c.Call, Failure: dispatch.FailureNotSent}
	}
	wall, now := in.clock.UnixMillis(), in.clock.Now()
	call := target.Call{
		Address: t.address, ID: t.id, Run: c.Once, Snapshot: c.Snapshot,
		StartByUnixMS:  wall + int64(c.StartBy.Sub(now)),
		DeadlineUnixMS: wall + int64(c.Deadline.Sub(now)),
	}
	for _, item := range c.Items {
		call.Items = append(call.Items, target.Item{
			ID: strconv.FormatUint(uint64(item.ID), 10), Workspace: item.Workspace, Shards: item.Shards, Query: item.Query, Limit: item.Limit,
		})
	}
	a, err := in.targets.Do(ctx, call)
	if err != nil {
		return node.TargetFailed{Call: c.Call, Failure: failureOf(err)}
	}
	if a.Status == target.CallCancelled || a.Status == target.CallDeadline {
		return node.TargetFailed{Call: c.Call, Failure: dispatch.FailureEnded}
	}
	return node.TargetAnswered{Call: c.Call, Answer: toDispatchAnswer(a)}
}

func failureOf(err error) dispatch.Failure {
	var notSent *target.NotSentError
	var lost *target.LostError
	switch {
	case errors.As(err, &notSent):
		return dispatch.FailureNotSent
	case errors.As(err, &lost) && lost.Timeout:
		return dispatch.FailureTimeout
	default:
		return dispatch.FailureLost
	}
}

func toDispatchAnswer(a target.Answer) dispatch.Answer {
	out := dispatch.Answer{State: a.State, Capacity: a.Capacity, Status: dispatch.AnswerStatus(a.Status), RetryAfter: a.RetryAfterMS}
	for _, item := range a.Items {
		id, err := strconv.ParseUint(item.ID, 10, 64)
		if err != nil {
			continue // the id is not from this instance; the item counts as unanswered
		}
		out.Items = append(out.Items, dispatch.ItemAnswer{
			ID: dispatch.ItemID(id), Workspace: item.Workspace, Snapshot: item.Snapshot,
			Status: dispatch.ItemStatus(item.Status), Snapshots: item.Snapshots, Shards: item.Shards,
		})
	}
	return out
}

// targetConnection is called when a connection to a target is opened or closed.
func (in *Instance) targetConnection(address string, connected bool) {
	if connected {
		in.events <- node.TargetConnected{Address: address}
		return
	}
	in.events <- node.TargetDisconnected{Address: address}
}

// cancelTarget asks the target to cancel a call. Only the reply to the call itself
// shows that the target has ended it; closing the connection would not.
func (in *Instance) cancelTarget(ctx context.Context, c node.CancelTarget) {
	in.mu.Lock()
	call := in.targetCalls[c.Call]
	in.mu.Unlock()
	if call != nil {
		go func() { _ = in.targets.Cancel(ctx, call.address, call.id) }() // if this fails, the call runs until its deadline
	}
}

// PeerConnected implements peer.Handler.
func (in *Instance) PeerConnected(m topology.Member) { in.events <- node.PeerConnected{Member: m} }

// PeerReceived implements peer.Handler.
func (in *Instance) PeerReceived(from topology.InstanceRef, h message.Header, bodies []message.Body) {
	in.events <- node.PeerReceived{From: from, Header: h, Bodies: bodies}
}

// PeerLost implements peer.Handler.
func (in *Instance) PeerLost(ref topology.InstanceRef, terminated bool) {
	in.events <- node.PeerLost{Ref: ref, Terminated: terminated}
}

// PeerFault implements peer.Handler.
func (in *Instance) PeerFault(ref topology.InstanceRef, err error) {
	in.log.Warn("peer sent a malformed frame", "code", "peerFault", "peer", ref.String(), "err", err)
}

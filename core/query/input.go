package query

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Input is one input method call as a value, for recording and replay.
type Input interface {
	input()
}

// Inputs, each named for the method that it stands for.
type (
	// StartInput stands for Start.
	StartInput struct{}
	// RepliedInput stands for Replied.
	RepliedInput struct {
		From  topology.InstanceRef
		Reply message.SubReply
	}
	// CanaryDoneInput stands for CanaryDone.
	CanaryDoneInput struct{ Verdict CanaryVerdict }
	// HolderLostInput stands for HolderLost.
	HolderLostInput struct{ Ref topology.InstanceRef }
	// AbandonInput stands for Abandon.
	AbandonInput struct{}
	// TickInput stands for Tick.
	TickInput struct{}
)

func (StartInput) input()      {}
func (RepliedInput) input()    {}
func (CanaryDoneInput) input() {}
func (HolderLostInput) input() {}
func (AbandonInput) input()    {}
func (TickInput) input()       {}

// Handle calls the input method that in stands for.
func (q *Query) Handle(now clock.Time, in Input) []Command {
	switch in := in.(type) {
	case StartInput:
		return q.Start(now)
	case RepliedInput:
		return q.Replied(now, in.From, in.Reply)
	case CanaryDoneInput:
		return q.CanaryDone(now, in.Verdict)
	case HolderLostInput:
		return q.HolderLost(now, in.Ref)
	case AbandonInput:
		return q.Abandon(now)
	case TickInput:
		return q.Tick(now)
	}
	return nil
}

package query

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
	"knapweedstall/core/trace"
)

// Input is the call of one input method as a value, for recording and replay.
type Input interface {
	input()
}

// Inputs, named after the methods that they represent.
type (
	// StartInput represents Start.
	StartInput struct{}
	// RepliedInput represents Replied.
	RepliedInput struct {
		From  topology.InstanceRef `json:"from"`
		Reply message.SubReply     `json:"reply"`
	}
	// CanaryDoneInput represents CanaryDone.
	CanaryDoneInput struct {
		Verdict CanaryVerdict `json:"verdict"`
	}
	// HolderLostInput represents HolderLost.
	HolderLostInput struct {
		Ref topology.InstanceRef `json:"ref"`
	}
	// AbandonInput represents Abandon.
	AbandonInput struct{}
	// TickInput represents Tick.
	TickInput struct{}
)

func (StartInput) input()      {}
func (RepliedInput) input()    {}
func (CanaryDoneInput) input() {}
func (HolderLostInput) input() {}
func (AbandonInput) input()    {}
func (TickInput) input()       {}

// Handle calls the input method that in represents.
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

// Register registers the input and command types under their names in traces.
func Register(r *trace.Registry) error {
	for _, register := range []func() error{
		func() error { return trace.Register[StartInput](r, "query.start") },
		func() error { return trace.Register[RepliedInput](r, "query.replied") },
		func() error { return trace.Register[CanaryDoneInput](r, "query.canaryDone") },
		func() error { return trace.Register[HolderLostInput](r, "query.holderLost") },
		func() error { return trace.Register[AbandonInput](r, "query.abandon") },
		func() error { return trace.Register[TickInput](r, "query.tick") },
		func() error { return trace.Register[SendSub](r, "query.sendSub") },
		func() error { return trace.Register[CancelSub](r, "query.cancelSub") },
		func() error { return trace.Register[RunCanary](r, "query.runCanary") },
		func() error { return trace.Register[CancelCanary](r, "query.cancelCanary") },
		func() error { return trace.Register[Finish](r, "query.finish") },
	} {
		if err := register(); err != nil {
			return err
		}
	}
	return nil
}

package rollout

import (
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// Purpose is what a send is for.
type Purpose int

// Purposes of sends.
const (
	// First: the service gets the request for the first time.
	First Purpose = iota
	// Repeat: the service may have received the request before (retry or hedge).
	Repeat
)

// Send is one send to a target.
type Send struct {
	Service routing.ServiceName
	Route   routing.RouteName
	Target  topology.TargetID
	Version Version // of the target
	Purpose Purpose
	Cold    bool // the target was cold when the send began
}

// Outcome is how a send ended.
type Outcome int

// Outcomes of sends.
const (
	// Unknown: no answer that tells about the version: the request was shed, or the
	// connection was lost.
	Unknown Outcome = iota
	// Answered: a complete, valid answer.
	Answered
	// Failed: the target ran the request and reported a failure.
	Failed
	// Abandoned: the instance gave up waiting, because another answer came first or
	// the time was over. It counts as slow if the wait was long enough.
	Abandoned
	// NotSent: nothing of the request reached the target.
	NotSent
)

// Result describes the end of a send.
type Result struct {
	Outcome Outcome
	// Slowness is the latency relative to the route's median; for an abandoned send it
	// is a lower bound. 0 means that it is unknown. While an order has not moved, the
	// median must not include answers of the new version.
	Slowness float64
}

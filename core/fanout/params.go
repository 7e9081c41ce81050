package fanout

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
)

// State is the state of a call. All states but Open are final.
type State string

// States of a call.
const (
	Open      State = "open"      // waits for outcomes of sends or for a timer
	Complete  State = "complete"  // every service answered
	Partial   State = "partial"   // enough services answered, and the answer is due
	Failure   State = "failure"   // no answer is possible; the request may have run
	Refused   State = "refused"   // the request has not run and will not run
	TimedOut  State = "timedOut"  // the deadline has passed; the request may have run
	Expired   State = "expired"   // the deadline has passed; the request has not run
	Abandoned State = "abandoned" // the caller has disconnected
)

// Params are the services, limits and deadlines of a call.
type Params struct {
	Kind        routing.Kind
	Services    []routing.ServiceName // the request is sent to one target of each
	MaxAttempts int                   // maximum number of targets that may run the request, for each service
	MinCoverage float64               // minimum share of the services in an answer, 0 to 1
	AlreadySent bool                  // targets may have received the request before, so every send is a repeat
	// EarlierSends is the number of targets of each service that may have run the request
	// before; they count towards MaxAttempts.
	EarlierSends int

	// Untimed reports whether the latency of a target's answers is not observed, because
	// it may differ from that of the route; nil for none.
	Untimed func(*replica.Target) bool

	// PartialAt is when a partial answer is returned if MinCoverage is reached; 0
	// means never.
	PartialAt clock.Time
	// SelectBy is when the call stops waiting for a target that accepts the
	// request.
	SelectBy clock.Time
	// Deadline is when the call ends without further answers.
	Deadline clock.Time
}

// Parameters of PartialAnswerDelay.
const (
	// partialAnswerShare is the maximum share of the latency objective that a
	// search waits for shards.
	partialAnswerShare = 0.85
	// callerOverhead is the time spent outside of the call: two round trips to a
	// caller 3 ms away that opens a connection, and 3 ms to merge and write the
	// answer.
	callerOverhead = 15 * clock.Millisecond
	// minPartialAnswerShare is the minimum share that a search waits when the
	// objective is very short.
	minPartialAnswerShare = 0.5
)

// PartialAnswerDelay returns how long after its arrival a search that has enough
// shards is answered although others are missing, so that the answer reaches the
// caller within the latency objective.
func PartialAnswerDelay(objective clock.Duration) clock.Duration {
	delay := min(clock.Duration(partialAnswerShare*float64(objective)), objective-callerOverhead)
	return max(delay, clock.Duration(minPartialAnswerShare*float64(objective)))
}

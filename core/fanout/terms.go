package fanout

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
)

// State says what a call needs.
type State string

// States of a call.
const (
	Open      State = "open"      // waits for outcomes or for time
	Complete  State = "complete"  // every service answered
	Partial   State = "partial"   // enough services answered to answer now
	Failure   State = "failure"   // the request may have run, and there is no answer
	Refused   State = "refused"   // the request has not run and will not
	TimedOut  State = "timedOut"  // out of time; it may have run
	Expired   State = "expired"   // out of time; it has not run
	Abandoned State = "abandoned" // the caller has left
)

// Terms are what a call keeps to.
type Params struct {
	Kind        routing.Kind
	Services    []routing.ServiceName // asked one target each
	MaxAttempts int                   // targets that may run the request, for each service
	MinCoverage float64               // least share of the services in an answer
	AlreadySent bool                  // targets may have got the request before

	// Early is when an answer goes out although services are missing, if
	// MinCoverage is reached; 0 for never.
	PartialAt clock.Time
	// RefuseBy is until when the call waits for a target that can take it.
	SelectBy clock.Time
	// End is when the call is given up.
	Deadline clock.Time
}

// Figures of EarlyAnswer.
const (
	// earlyShare is the most of the objective that a search waits for shards.
	earlyShare = 0.85
	// callerWay is what passes outside of an instance: two round trips to a
	// caller 3 ms away that opens a connection, and 3 ms to merge and write.
	callerWay = 15 * clock.Millisecond
	// minEarlyShare is the least of a very short objective that a search waits.
	minEarlyShare = 0.5
)

// EarlyAnswer returns how long after its arrival a search that has enough shards
// is answered although others are missing, so that the answer reaches the caller
// within the objective.
func PartialAnswerDelay(objective clock.Duration) clock.Duration {
	early := min(clock.Duration(earlyShare*float64(objective)), objective-callerWay)
	return max(early, clock.Duration(minEarlyShare*float64(objective)))
}

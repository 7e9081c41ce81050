package fanout

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// OutOfBudget is the reason of a repeat that was not sent because the budget of
// repeats to the service is used up.
const OutOfBudget replica.Reason = "budget"

// OutOfAttempts is the reason of a service that gets no send, because as many targets as the
// route allows may have run the request before.
const OutOfAttempts replica.Reason = "attempts"

// shard is the state of one service of a call.
type shard struct {
	service   routing.ServiceName
	answered  bool
	exhausted bool // no send is in flight and none is planned; sendToPaced may still clear it and send
	ran       int  // sends whose request may have run, including those in flight
	reached   int  // sends that may have reached a target, including those in flight
	sends     int  // sends so far
	inFlight  int
	tried     []topology.TargetID // targets that may not get the request again
	shed      []topology.TargetID // the subset of tried that shed the request
	hedgeAt   clock.Time          // when the send in flight is overdue; 0 when no hedge is due
	blockedAt clock.Time          // when to select a target again; 0 when the shard does not wait for one
	reason    replica.Reason      // why the last attempt selected no target; replica.Selected if it did
	retryAt   clock.Time          // when a target may accept the request; 0 when not known
}

// attempt is one send.
type attempt struct {
	shard   int
	target  *replica.Target
	started clock.Time
	overdue bool // Targets.MarkOverdue was called for it
	ended   bool
	repeat  bool // the budget counts it as a repeat
	outcome replica.Outcome
	took    clock.Duration
}

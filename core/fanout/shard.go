package fanout

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// OutOfBudget says that a send was not made because the repeats that the service
// bears are used up.
const OutOfBudget replica.Reason = "budget"

// shard is the state of one service of a call.
type shard struct {
	service   routing.ServiceName
	answered  bool
	hopeless  bool // no send is under way and none will follow
	ran       int  // sends that may have run, including those under way
	reached   int  // sends that may have reached a target, including those under way
	sends     int
	underWay  int
	tried     []topology.TargetID // targets that may not get it again
	shed      []topology.TargetID // of these, the ones that only shed it
	hedgeAt   clock.Time          // when the send under way is overdue; 0 when it no longer matters
	blockedAt clock.Time          // when to look for a target again; 0 when not blocked
	reason    replica.Reason      // why the last send was not made
	retry     clock.Time
}

// attempt is one send.
type attempt struct {
	shard   int
	target  *replica.Target
	started clock.Time
	stalled bool
	ended   bool
	repeat  bool // counted by the budget
	outcome replica.Outcome
	took    clock.Duration
}

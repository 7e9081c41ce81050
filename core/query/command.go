package query

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Command is an instruction from a Query to its driver, the code that sends its
// messages.
type Command interface {
	command()
}

// SendSub sends a sub-request to a holder.
type SendSub struct {
	To  topology.InstanceRef `json:"to"`
	Sub message.SubRequest   `json:"sub"`
}

// CancelSub tells a holder that the query no longer needs the sub-request.
type CancelSub struct {
	To topology.InstanceRef `json:"to"`
	ID message.SubID        `json:"id"`
}

// RunCanary sends the sub-request as a canary to the coordinator, the instance chosen
// by a hash of the fingerprint, which has it run alone. The driver reports the outcome
// through CanaryDone.
type RunCanary struct {
	Sub message.SubRequest `json:"sub"`
}

// CancelCanary cancels a canary whose verdict the query no longer needs.
type CancelCanary struct {
	ID message.SubID `json:"id"`
}

// Finish delivers the final answer. It is emitted at most once, and no command
// follows it.
type Finish struct {
	Answer Answer `json:"answer"`
}

func (SendSub) command()      {}
func (CancelSub) command()    {}
func (RunCanary) command()    {}
func (CancelCanary) command() {}
func (Finish) command()       {}

// Outcome is the outcome of a whole query.
type Outcome string

// Outcomes. OutcomeNotRun guarantees that no target started any part of the query.
// OutcomeAnswered covers everything else, including an answer that contains no shard;
// the coverage distinguishes these cases.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "notRun"
)

// Answer is the final answer to a query.
type Answer struct {
	Request    message.RequestID    `json:"requestId"`
	Workspace  topology.WorkspaceID `json:"tenant"`
	Outcome    Outcome              `json:"outcome"`
	Snapshot   topology.SnapshotID  `json:"snapshot"` // all hits are from this snapshot; empty if no snapshot is usable
	Coverage   Coverage             `json:"coverage"`
	Hits       []message.Hit        `json:"hits"`         // in descending order of score, then by id; at most the request's limit
	RetryAfter clock.Duration       `json:"retryAfterMs"` // set when Outcome is OutcomeNotRun
	Latency    clock.Duration       `json:"latencyMs"`
}

// Coverage states which shards of the answer's snapshot the answer contains. Total is
// the sum of Answered and the number of shards in Missing.
type Coverage struct {
	Total    int       `json:"total"`
	Answered int       `json:"answered"`
	Missing  []Missing `json:"missing"` // one item for each reason, in order of Reason
}

// Missing lists the shards that are missing for one reason.
type Missing struct {
	Shards []topology.ShardID `json:"shards"` // in ascending order
	Reason message.Reason     `json:"reason"`
}

// Drops counts the replies and verdicts that a query ignored, by the first check that
// failed.
type Drops struct {
	Request   int // the request id is that of another query
	Workspace int // for another workspace
	Restarted int // for an attempt before the query restarted on another snapshot
	Snapshot  int // for another snapshot
	Unknown   int // for a sub-request that was not sent to that instance
	Duplicate int // the attempt or the whole service already has its result
	Late      int // the query has finished
	Shards    int // shards in accepted replies that were not requested or were already answered
}

// Total returns the number of ignored replies and verdicts. Shards is not included.
func (d Drops) Total() int {
	return d.Request + d.Workspace + d.Restarted + d.Snapshot + d.Unknown + d.Duplicate + d.Late
}

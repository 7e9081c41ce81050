package query

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Command is something that the driver of a Query must do.
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

// RunCanary has the instance that the fingerprint's hash names run the
// sub-request alone. The driver reports the outcome through CanaryDone.
type RunCanary struct {
	Sub message.SubRequest `json:"sub"`
}

// CancelCanary withdraws a canary whose verdict the query no longer needs.
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

// Outcome says what became of a whole query.
type Outcome string

// Outcomes. OutcomeNotRun is a promise that no target started any part of the
// query. OutcomeAnswered covers everything else, an answer with no shard
// included; the coverage tells them apart.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "notRun"
)

// Answer is the final answer to a query.
type Answer struct {
	Request    message.RequestID    `json:"requestId"`
	Workspace  topology.WorkspaceID `json:"tenant"`
	Outcome    Outcome              `json:"outcome"`
	Snapshot   topology.SnapshotID  `json:"snapshot"` // every hit comes from it; empty if no snapshot is usable
	Coverage   Coverage             `json:"coverage"`
	Hits       []message.Hit        `json:"hits"`         // ordered by falling score, then by id; at most the request's limit
	RetryAfter clock.Duration       `json:"retryAfterMs"` // set when Outcome is OutcomeNotRun
	Latency    clock.Duration       `json:"latencyMs"`
}

// Coverage states which shards of the pinned snapshot the answer contains.
// Total is Answered plus the number of shards in Missing.
type Coverage struct {
	Total    int       `json:"total"`
	Answered int       `json:"answered"`
	Missing  []Missing `json:"missing"` // one entry for each reason, ordered by reason
}

// Missing names shards that are missing for one reason.
type Missing struct {
	Shards []topology.ShardID `json:"shards"` // in ascending order
	Reason message.Reason     `json:"reason"`
}

// Drops counts input that a query ignored, by the first check that failed.
type Drops struct {
	Request   int // request id of another query
	Workspace int // stamped for another workspace
	Restarted int // sent before the query restarted on another snapshot
	Snapshot  int // stamped for another snapshot
	Unknown   int // no such sub-request was sent to that instance
	Duplicate int // the attempt or its whole service is already settled
	Late      int // the query is already finished
	Shards    int // shards inside an accepted reply that were not asked for or were already answered
}

// Total returns the number of ignored replies and verdicts.
func (d Drops) Total() int {
	return d.Request + d.Workspace + d.Restarted + d.Snapshot + d.Unknown + d.Duplicate + d.Late
}

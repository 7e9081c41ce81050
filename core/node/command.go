package node

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/dispatch"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
	"knapweedstall/core/query"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
)

// Command is an output of a Node, to be executed by its driver.
type Command interface{ command() }

// Refusal is the reason why a request was refused before anything was run.
type Refusal string

// Refusals.
const (
	RefusedUnknownCollection Refusal = "unknownCollection"
	RefusedForbidden         Refusal = "forbidden"   // the workspace has no access to the collection
	RefusedOverloaded        Refusal = "overloaded"  // the admitted rate is exceeded
	RefusedQuarantined       Refusal = "quarantined" // an identical request has crashed targets
	RefusedKeyReused         Refusal = "keyReused"   // the idempotency key belongs to another request
	RefusedIsolated          Refusal = "isolated"    // the instance cannot know the current configuration
	RefusedUnavailable       Refusal = "unavailable" // no configuration or no snapshot at present
	RefusedStopping          Refusal = "stopping"
)

// AnswerSearch answers a caller's query.
type AnswerSearch struct {
	Call   CallID
	Config ticket.Number // configuration that the query uses: the current one when it arrived
	Answer query.Answer
}

// RefuseCall refuses a caller's request. Nothing of the request was run.
type RefuseCall struct {
	Call       CallID
	Refusal    Refusal
	RetryAfter clock.Duration // 0 if sending the request again cannot succeed
}

// RunOutcome is the outcome of a request that must not be repeated.
type RunOutcome string

// Outcomes of a run request.
const (
	RunAnswered RunOutcome = "answered"
	RunNotRun   RunOutcome = "notRun"
	RunUnknown  RunOutcome = "unknown" // it may have run
)

// AnswerRun answers a caller's run request.
type AnswerRun struct {
	Call       CallID
	Outcome    RunOutcome
	Receipt    string // set when Outcome is RunAnswered
	Recorded   bool   // the outcome belongs to an earlier request with the same key
	Refusal    Refusal
	RetryAfter clock.Duration // set when Outcome is RunNotRun
}

// AnswerTicket answers an operator who filed a ticket. Err is nil if the ticket
// was accepted; otherwise it is an error type of package ticket.
type AnswerTicket struct {
	Call   CallID
	Ticket ticket.Ticket
	Err    error
}

// SendPeer sends a message to another instance.
type SendPeer struct {
	To   topology.Member
	Body message.Body
}

// CallTarget calls a target. TargetAnswered or TargetFailed follows.
type CallTarget struct {
	Call     TargetCallID
	Address  string
	Snapshot topology.SnapshotID
	Items    []dispatch.Item
	Once     bool       // the item must not be repeated
	StartBy  clock.Time // the target must not start the call after this time
	Deadline clock.Time
}

// CancelTarget asks the target to cancel a call. TargetAnswered or TargetFailed
// still follows.
type CancelTarget struct{ Call TargetCallID }

// ReadObject reads an object from the store. ObjectRead follows.
type ReadObject struct {
	Op  OpID
	Key object.Key
}

// WriteObject writes an object if its stored version is Expect. ObjectWritten
// follows.
type WriteObject struct {
	Op     OpID
	Key    object.Key
	Expect object.Version // 0 if the object must not exist
	Value  []byte
}

// WatchStore starts or stops a watch on the objects under Prefixes that are
// written after revision Since. ObjectsReceived follows for each reply of the
// store, and StoreFailed for each failed call.
type WatchStore struct {
	On       bool
	Prefixes []string
	Since    int64
}

// ListObjects lists once the objects under Prefixes that were written after
// revision Since. ObjectsReceived or StoreFailed follows.
type ListObjects struct {
	Prefixes []string
	Since    int64
}

// LogRecord is one structured log line. Traces record its texts, and an older trace
// must replay with the same texts, so they must not change.
type LogRecord struct {
	Level Level
	Code  string // stable; docs/OPERATIONS.md describes each code and what to do
	Attrs []Attr
}

// Level is the severity of a LogRecord.
type Level uint8

// Levels.
const (
	LevelInfo Level = iota + 1
	LevelWarn
	LevelError
)

// Attr is a key and value of a LogRecord.
type Attr struct{ Key, Value string }

// Stopped reports that a graceful stop is complete: nothing is in progress and no
// share is held, or the time limit of the stop has passed.
type Stopped struct{}

func (AnswerSearch) command() {}
func (RefuseCall) command()   {}
func (AnswerRun) command()    {}
func (AnswerTicket) command() {}
func (SendPeer) command()     {}
func (CallTarget) command()   {}
func (CancelTarget) command() {}
func (ReadObject) command()   {}
func (WriteObject) command()  {}
func (WatchStore) command()   {}
func (ListObjects) command()  {}
func (LogRecord) command()    {}
func (Stopped) command()      {}

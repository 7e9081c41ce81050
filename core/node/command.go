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

// Command is an output of a Node.
type Command interface{ command() }

// Refusal says why a request was refused before anything was run.
type Refusal string

// Refusals.
const (
	RefusedUnknownCollection Refusal = "unknownCollection"
	RefusedForbidden         Refusal = "forbidden"   // the workspace may not use the collection
	RefusedOverloaded        Refusal = "overloaded"  // over the admitted rate
	RefusedQuarantined       Refusal = "quarantined" // the exact request has crashed targets
	RefusedKeyReused         Refusal = "keyReused"   // the idempotency key belongs to another request
	RefusedIsolated          Refusal = "isolated"    // the instance can't know which configuration is in force
	RefusedUnavailable       Refusal = "unavailable" // no holder or no store at present
	RefusedStopping          Refusal = "stopping"
)

// AnswerSearch ends a caller's query.
type AnswerSearch struct {
	Call   CallID
	Config ticket.Number // in force when the query was pinned
	Answer query.Answer
}

// RefuseCall ends a caller's request of which nothing was run.
type RefuseCall struct {
	Call       CallID
	Refusal    Refusal
	RetryAfter clock.Duration // 0 when a repetition can't succeed
}

// RunOutcome says what became of a request that may not be repeated.
type RunOutcome string

// Outcomes of a run request.
const (
	RunAnswered RunOutcome = "answered"
	RunNotRun   RunOutcome = "notRun"
	RunUnknown  RunOutcome = "unknown"
)

// AnswerRun ends a caller's run request.
type AnswerRun struct {
	Call       CallID
	Outcome    RunOutcome
	Receipt    string // with RunAnswered
	Recorded   bool   // the outcome is that of an earlier request with the key
	Refusal    Refusal
	RetryAfter clock.Duration // with RunNotRun
}

// AnswerTicket ends an operator's filing. Err is nil when the ticket was
// accepted, otherwise an error type of package ticket.
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

// CallTarget calls a target; TargetAnswered or TargetFailed follows.
type CallTarget struct {
	Call     TargetCallID
	Address  string
	Snapshot topology.SnapshotID
	Items    []dispatch.Item
	Once     bool // the item must not be repeated
	StartBy  clock.Time
	Deadline clock.Time
}

// CancelTarget asks the target to give up a call; its TargetAnswered or
// TargetFailed still follows.
type CancelTarget struct{ Call TargetCallID }

// ReadObject reads an object from the store; ObjectRead follows.
type ReadObject struct {
	Op  OpID
	Key object.Key
}

// WriteObject writes an object conditionally; ObjectWritten follows.
type WriteObject struct {
	Op     OpID
	Key    object.Key
	Expect object.Version // 0 for absent
	Value  []byte
}

// WatchStore starts or stops a watch on the objects under Prefixes that were
// written after revision Since; ObjectsWatched follows each time.
type WatchStore struct {
	On       bool
	Prefixes []string
	Since    int64
}

// ListObjects asks once for the objects under Prefixes that were written after
// revision Since; ObjectsWatched or StoreFailed follows.
type ListObjects struct {
	Prefixes []string
	Since    int64
}

// LogRecord is one structured log line.
type LogRecord struct {
	Level Level
	Code  string // stable; docs/OPERATIONS.md says what to do
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

// Attr is one attribute of a LogRecord.
type Attr struct{ Key, Value string }

// Stopped says that a graceful stop is complete: nothing is in flight and no
// share is held.
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

package claim

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
	"knapweedstall/core/topology"
)

// Command is an instruction from a JournalWriter to its driver, which performs the
// I/O and reports the results back.
type Command interface {
	command()
}

// ReadObject asks for one read; its result goes to ReadDone.
type ReadObject struct{ object.Read }

func (ReadObject) command() {}

// WriteObject asks for one conditional write; its result goes to WriteDone.
type WriteObject struct{ object.Write }

func (WriteObject) command() {}

// Run asks the driver to run a request whose claim is durable. The driver sends it
// at most once and reports exactly one RunResult, with outcome unknown when it
// cannot determine the outcome.
type Run struct {
	ID         ID
	Attempt    uint32
	Collection topology.CollectionID
	Payload    string
	Deadline   clock.Time
}

func (Run) command() {}

// Reply answers one submission.
type Reply struct {
	message.RunReply
}

func (Reply) command() {}

// Request is one submission.
type Request struct {
	message.RunRequest
	Deadline clock.Time
	UnixMS   int64 // wall clock of this instance at submission, for times that other instances read
}

// RunResult is the result of a Run.
type RunResult struct {
	ID      ID
	Attempt uint32
	Outcome message.Outcome // notRun only when it is proven that no target started it
	Answer  []byte
	Reason  message.Reason
	// RetryAfter is passed on to the caller when Outcome is notRun.
	RetryAfter clock.Duration
}

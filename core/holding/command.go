package holding

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Command is something that the code that drives a Holder must do: Send,
// ReadObject or WriteObject.
type Command interface{ command() }

// Send sends Body to the incarnation To and to no other. The message may be lost
// or delayed.
type Send struct {
	To   topology.InstanceRef
	Body message.Body
}

// ReadID identifies one read of the store.
type ReadID uint64

// ReadObject reads an object from the store, not from a cache. The read must start
// after the command was returned. The driver always answers with ReadDone.
type ReadObject struct {
	ID  ReadID
	Key string
}

// WriteObject writes Value under Key if the object's version is Expect; 0 means
// that the object does not exist. The driver always answers with WriteDone.
type WriteObject struct {
	Key    string
	Expect int64
	Value  []byte
}

func (Send) command()        {}
func (ReadObject) command()  {}
func (WriteObject) command() {}

// ReadOutcome is the outcome of a read.
type ReadOutcome uint8

// Outcomes of a read.
const (
	ReadFound  ReadOutcome = iota + 1
	ReadAbsent             // the object does not exist
	ReadFailed             // no usable reply
)

// ReadResult is the result of a ReadObject.
type ReadResult struct {
	ID      ReadID
	Outcome ReadOutcome
	Bucket  Bucket // set when Outcome is ReadFound
}

// WriteOutcome is the outcome of a write.
type WriteOutcome uint8

// Outcomes of a write.
const (
	WriteSucceeded WriteOutcome = iota + 1
	WriteConflict               // another version is stored; the write had no effect
	WriteUnknown                // the reply was lost; the write may take effect
)

// WriteResult is the result of a WriteObject.
type WriteResult struct {
	Key     string
	Outcome WriteOutcome
	Version int64 // set when Outcome is WriteSucceeded
}

// WorkTracker tells when work in flight ends.
type WorkTracker interface {
	// BusyUntil returns the time by which the instance's work in flight on the
	// share has ended, according to the deadlines of the calls to the targets.
	BusyUntil(now clock.Time, service topology.ServiceID, share int) clock.Time
}

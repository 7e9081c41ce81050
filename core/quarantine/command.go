package quarantine

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
	"knapweedstall/core/topology"
)

// Command is an instruction from a Coordinator to its driver, which performs the
// I/O and reports the results back.
type Command interface {
	command()
}

// Send sends a message to an instance, which may be the coordinator's own.
type Send struct {
	To   topology.InstanceRef
	Body message.Body
}

func (Send) command() {}

// RunCanary runs a sub-request on one target. The driver sends it at most once
// and reports the result to CanaryDone, with StatusCrashed also when the driver
// cannot tell whether the target crashed.
type RunCanary struct {
	Seq      uint64
	Sub      message.SubRequest // Kind is KindCanary or KindRun
	Deadline clock.Time
}

func (RunCanary) command() {}

// ReadObject asks for one read; its result goes to ReadDone.
type ReadObject struct{ object.Read }

func (ReadObject) command() {}

// WriteObject asks for one conditional write; its result goes to WriteDone.
type WriteObject struct{ object.Write }

func (WriteObject) command() {}

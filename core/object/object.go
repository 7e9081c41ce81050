// Package object defines how the state machines in core represent an object in
// the platform's store: its key and version, and the instructions and results of one
// read or one conditional write.
package object

// Key identifies an object.
type Key string

// Version is the number of writes of an object; 0 means that the object does not
// exist.
type Version int64

// Read is an instruction to read an object.
type Read struct {
	Key Key
}

// Write is an instruction to write an object if its stored version is Expect.
type Write struct {
	Key    Key
	Expect Version // 0: create only if absent
	Value  []byte
}

// ReadResult is the result of one read.
type ReadResult struct {
	Key     Key
	Known   bool    // false when the store returned no usable reply
	Version Version // 0 when the object does not exist
	Value   []byte
}

// WriteStatus is the outcome of one conditional write.
type WriteStatus uint8

// Outcomes of a conditional write.
const (
	// Written means that the write took effect.
	Written WriteStatus = iota + 1
	// Conflict means that the object had another version. The write had no
	// effect and will never have one.
	Conflict
	// NotSent means that no byte of the write reached the store.
	NotSent
	// Unknown means that the reply was lost. The write may have taken effect,
	// and it may still do so until the object's version changes.
	Unknown
)

// WriteResult is the result of one conditional write.
type WriteResult struct {
	Key     Key
	Status  WriteStatus
	Version Version // new version when Status is Written
}

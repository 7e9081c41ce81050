// Package object defines what a decision machine knows of one object in the
// platform's store: its key and version, and the results of one read or one
// conditional write.
package object

// Key names an object.
type Key string

// Version counts the writes of an object; 0 stands for an absent object.
type Version int64

// ReadResult is the result of one read.
type ReadResult struct {
	Key     Key
	Known   bool    // false when the store gave no usable reply
	Version Version // 0 when the object does not exist
	Value   []byte
}

// WriteStatus is the result of one conditional write.
type WriteStatus uint8

// Results of a conditional write.
const (
	// Written means that the write took effect.
	Written WriteStatus = iota + 1
	// Conflict means that the object had another version; the write had no
	// effect and can never have one.
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

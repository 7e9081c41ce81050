// Package objecttest provides a fake of the platform's store for the tests of the
// state machines in core. A test chooses the fault of each call, so that runs are
// deterministic.
package objecttest

import (
	"flag"
	"strconv"

	"knapweedstall/core/object"
)

// Fault is the fault that affects one call.
type Fault string

// Faults of a call. Reads treat all but FaultNone as an unusable reply.
const (
	FaultNone      Fault = "none"
	FaultNotSent   Fault = "notSent"  // the connection could not be opened
	FaultDropped   Fault = "dropped"  // the request is lost, and the writer cannot detect it
	FaultReplyLost Fault = "reply"    // a write takes effect and its reply is lost
	FaultDelayed   Fault = "delayed"  // as FaultDropped, but the write arrives later, when Deliver is called
	FaultConflict  Fault = "conflict" // another writer first writes the same value again
)

// Faults lists all faults. FaultNone appears several times so that test runs make
// progress.
var Faults = []Fault{FaultNone, FaultNone, FaultNone, FaultNone, FaultNotSent, FaultDropped, FaultReplyLost, FaultDelayed, FaultConflict}

// Object is a stored object.
type Object struct {
	Version object.Version
	Value   []byte
}

type write struct {
	key    object.Key
	expect object.Version
	value  []byte
}

// Store holds objects and delayed writes.
type Store struct {
	Down    bool // calls fail as if they were not sent, except writes that are dropped or delayed
	objects map[object.Key]Object
	delayed []write
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{objects: map[object.Key]Object{}} }

// Get returns an object without faults, so that a test can compare it with the
// expected one.
func (s *Store) Get(key object.Key) Object { return s.objects[key] }

// Read performs one read.
func (s *Store) Read(key object.Key, f Fault) object.ReadResult {
	if s.Down || f != FaultNone {
		return object.ReadResult{Key: key}
	}
	o := s.objects[key]
	return object.ReadResult{Key: key, Known: true, Version: o.Version, Value: o.Value}
}

// Write performs one conditional write. It creates the object when expect is 0.
func (s *Store) Write(key object.Key, expect object.Version, value []byte, f Fault) object.WriteResult {
	r := object.WriteResult{Key: key, Status: object.Unknown}
	w := write{key, expect, value}
	if s.Down && f != FaultDelayed && f != FaultDropped {
		f = FaultNotSent
	}
	switch f {
	case FaultNotSent:
		r.Status = object.NotSent
	case FaultDropped:
	case FaultDelayed:
		s.delayed = append(s.delayed, w)
	case FaultReplyLost:
		s.put(w)
	default:
		if o := s.objects[key]; f == FaultConflict && o.Version > 0 {
			s.put(write{key, o.Version, o.Value})
		}
		r.Status = object.Conflict
		if s.put(w) {
			r.Status = object.Written
			r.Version = s.objects[key].Version
		}
	}
	return r
}

// Delayed returns the number of delayed writes.
func (s *Store) Delayed() int { return len(s.delayed) }

// Deliver applies the i-th delayed write if its condition holds.
func (s *Store) Deliver(i int) {
	w := s.delayed[i]
	s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
	s.put(w)
}

func (s *Store) put(w write) bool {
	o := s.objects[w.key]
	if o.Version != w.expect {
		return false
	}
	s.objects[w.key] = Object{Version: o.Version + 1, Value: w.value}
	return true
}

// Main runs a package's tests with a fixed seed and the given number of checks
// of 60 steps each. The flags -rapid.seed, -rapid.checks and -rapid.steps
// override them, for longer runs.
func Main(m interface{ Run() int }, checks int) int {
	flag.Parse()
	defaults := map[string]string{
		"rapid.seed":       "20261204",
		"rapid.checks":     strconv.Itoa(checks),
		"rapid.steps":      "60",
		"rapid.nofailfile": "true",
	}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		_ = flag.Set(name, value) // fails only in a package without rapid tests
	}
	return m.Run()
}

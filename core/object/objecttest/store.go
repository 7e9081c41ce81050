// Package objecttest is a stand-in of the platform's store for the tests of
// decision machines. A test chooses the fault of each call, so that runs are
// deterministic.
package objecttest

import (
	"flag"
	"strconv"

	"knapweedstall/core/object"
)

// Fault says what happens to one call.
type Fault string

// Faults of a call. Reads treat all but FaultNone as an unusable reply.
const (
	FaultNone      Fault = "none"
	FaultNotSent   Fault = "notSent"  // the connection could not be opened
	FaultDropped   Fault = "dropped"  // the request is lost, and the writer cannot tell
	FaultReplyLost Fault = "reply"    // a write takes effect and its reply is lost
	FaultDelayed   Fault = "delayed"  // as FaultDropped, but the write arrives later, at Land
	FaultConflict  Fault = "conflict" // another writer rewrites the same value first
)

// Faults lists all faults, FaultNone several times so that runs make progress.
var Faults = []Fault{FaultNone, FaultNone, FaultNone, FaultNone, FaultNotSent, FaultDropped, FaultReplyLost, FaultDelayed, FaultConflict}

// Object is one stored value.
type Object struct {
	Version object.Version
	Value   []byte
}

type write struct {
	key    object.Key
	expect object.Version
	value  []byte
}

// Store holds objects and the writes that are still under way.
type Store struct {
	Down    bool // every call fails as not sent
	objects map[object.Key]Object
	late    []write
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{objects: map[object.Key]Object{}} }

// Get returns an object without faults, for oracles.
func (s *Store) Get(key object.Key) Object { return s.objects[key] }

// Read makes one read.
func (s *Store) Read(key object.Key, f Fault) object.ReadResult {
	if s.Down || f != FaultNone {
		return object.ReadResult{Key: key}
	}
	o := s.objects[key]
	return object.ReadResult{Key: key, Known: true, Version: o.Version, Value: o.Value}
}

// Write makes one conditional write, where expect 0 creates.
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
		s.late = append(s.late, w)
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

// Late returns the number of delayed writes.
func (s *Store) Delayed() int { return len(s.late) }

// Land lets the i-th delayed write arrive.
func (s *Store) Deliver(i int) {
	w := s.late[i]
	s.late = append(s.late[:i], s.late[i+1:]...)
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

// Package platform emulates the platform's object API and instance list for tests,
// the demo and measurements. It keeps all data in memory. On request it delays
// calls, fails them, or loses the replies of writes that took effect.
package platform

import (
	"sort"
	"strings"
	"sync"
)

// Object is one stored value with its key and version.
type Object struct {
	Key     string `json:"key"`
	Version int64  `json:"version"` // increases with every write; never reused, also after a delete
	Value   []byte `json:"value"`
}

// store holds versioned objects. The revision counts all writes, and an
// object's version is the revision of its last write.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]Object
	changed  chan struct{} // closed and replaced at every write
}

func newStore() *store {
	return &store{objects: map[string]Object{}, changed: make(chan struct{})}
}

// get returns the object under key.
func (s *store) get(key string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o, ok
}

// put writes value if the current version equals expect, where 0 stands for an
// absent object. It returns the object that is then stored and whether the write
// was made.
func (s *store) put(key string, expect int64, value []byte) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key]
	if current.Version != expect {
		return current, false
	}
	s.revision++
	o := Object{Key: key, Version: s.revision, Value: value}
	s.objects[key] = o
	close(s.changed)
	s.changed = make(chan struct{})
	return o, true
}

// changedSince returns the objects under any of the prefixes that were written after
// revision, ordered by version, with the current revision and a channel that is
// closed at the next write.
func (s *store) changedSince(prefixes []string, revision int64) ([]Object, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Object
	for key, o := range s.objects {
		if o.Version > revision && hasAnyPrefix(key, prefixes) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out, s.revision, s.changed
}

func hasAnyPrefix(key string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

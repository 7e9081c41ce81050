package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is an object of the platform's store.
type storeObject struct {
	Meta   storeMeta       `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type storeMeta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"createRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deletePending"`
}

type storeEvent struct {
	kind    string
	rev     int64
	Object  storeObject `json:"object"`
	Deleted bool        `json:"deleted"`
}

// store is the platform's store as its page describes it.
type store struct {
	*httptest.Server

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]storeObject
	events   []storeEvent
	changed  chan struct{}
	away     bool // all calls get status 503, and nobody else can write
}

func newStore() *store {
	s := &store{revision: 1, objects: map[string]map[string]storeObject{}, changed: make(chan struct{})}
	s.Server = httptest.NewServer(s)
	return s
}

// address returns the IP address and the port of the store.
func (s *store) address() string { return strings.TrimPrefix(s.URL, "http://") }

// put writes an object as the operator or a server does, and reports whether the store is
// there. A write that changes nothing has no effect.
func (s *store) put(kind, name string, spec any) bool {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a mistake in the stand-in
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.putLocked(kind, name, data)
	return true
}

// setAway makes the store answer all calls with status 503, or serve them again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	close(s.changed) // watches that wait are cut off
	s.changed = make(chan struct{})
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) storeObject {
	o, exists := s.objects[kind][name]
	if exists && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, spec
	if !exists {
		o.Meta.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	s.objects[kind][name] = o
	s.notify(storeEvent{kind: kind, rev: s.revision, Object: o})
	return o
}

// remove removes an object.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	s.revision++
	delete(s.objects[kind], name)
	s.notify(storeEvent{kind: kind, rev: s.revision, Object: o, Deleted: true})
	return true
}

func (s *store) notify(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// names returns the names of the objects of a kind, in ascending order.
func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	switch {
	case s.isAway():
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodDelete:
		if !s.remove(kind, name) {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		s.write(w, r, kind)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(o)
}

// pageSize is the number of objects in one answer.
const pageSize = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	names := s.names(kind)
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := []storeObject{}, false
	for _, name := range names {
		o, ok := s.objects[kind][name]
		if name <= after || !ok {
			continue
		}
		if more = len(items) == pageSize; more {
			break
		}
		items = append(items, o)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "currentRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		events, revision, changed := []storeEvent{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.rev > since {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) == 0 && waiting {
			select {
			case <-changed:
			case <-end:
				waiting = false
			case <-r.Context().Done():
				return
			}
			continue
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "currentRev": revision})
		return
	}
}

// write handles a POST of a new object and a PUT of an existing one.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind string) {
	var in storeObject
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][in.Meta.Name]
	switch {
	case r.Method == http.MethodPost && exists, r.Method == http.MethodPut && in.Meta.Revision != 0 && in.Meta.Revision != o.Meta.Revision:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(o)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		_ = json.NewEncoder(w).Encode(s.putLocked(kind, in.Meta.Name, in.Spec))
	}
}

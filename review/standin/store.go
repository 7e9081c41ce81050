package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type objectMeta struct {
	Name          string   `json:"name"`
	Revision      int64    `json:"revision"`
	Created       int64    `json:"createRev"`
	Finalizers    []string `json:"finalizers"`
	DeletePending bool     `json:"deletePending"`
}

type storeEvent struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	oldest   int64 // watches from an earlier revision get 410
	era      int
	objects  map[string]map[string]object // by kind and name
	events   []storeEvent
	changed  chan struct{}
	away     bool // calls get 503

	// onWrite is called after each write over HTTP that was accepted.
	onWrite func(kind string, o object)
}

// startStore starts a store on a free loopback port.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 100, oldest: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// wake wakes the waiting watches. mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object's spec. mu must be held.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	o, exists := s.objects[kind][name]
	if exists && string(o.Spec) == string(spec) {
		return o // a write that changes nothing does not raise the revision
	}
	s.revision++
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, spec
	if !exists {
		o.Meta.Created = s.revision
	}
	o.Meta.Finalizers = []string{}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.events = append(s.events, storeEvent{kind: kind, revision: s.revision, Object: o})
	s.wake()
	return o
}

// write writes an object as the operator or a server does.
func (s *store) write(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

// remove removes an object. mu must be held.
func (s *store) remove(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	s.revision++
	delete(s.objects[kind], name)
	s.events = append(s.events, storeEvent{kind: kind, revision: s.revision, Object: o, Deleted: true})
	s.wake()
	return true
}

// names returns the names of the objects of a kind.
func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// copyOfStore is a copy of the store's state.
type copyOfStore struct {
	revision int64
	objects  map[string]map[string]object
}

// copy returns a copy of the store's state.
func (s *store) copy() copyOfStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copyOfStore{s.revision, cloneKinds(s.objects)}
}

func cloneKinds(in map[string]map[string]object) map[string]map[string]object {
	out := map[string]map[string]object{}
	for kind, list := range in {
		out[kind] = maps.Clone(list)
	}
	return out
}

// setAway makes the store answer every call with 503, or serve calls again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// restore replaces the state by a copy. Revisions go back, the era rises by one.
func (s *store) restore(c copyOfStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.oldest, s.objects, s.events = c.revision, c.revision, cloneKinds(c.objects), nil
	s.era++
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	s.mu.Lock()
	away := s.away
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	switch {
	case away:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodDelete:
		s.delete(w, r, kind, name)
	default:
		s.replace(w, r, kind, name)
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

const pageSize = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := struct {
		Items    []object `json:"items"`
		More     bool     `json:"more"`
		Revision int64    `json:"currentRev"`
	}{Items: []object{}, Revision: s.revision}
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name <= after {
			continue
		}
		if len(page.Items) == pageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.objects[kind][name])
	}
	_ = json.NewEncoder(w).Encode(page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for expired := false; ; {
		s.mu.Lock()
		if s.away || s.era != era { // a waiting watch is cut off
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if since < s.oldest || since > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := r.URL.Query().Get("revision"); at != "" && at != strconv.FormatInt(s.objects[kind][name].Meta.Revision, 10) {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(s.objects[kind][name])
		return
	}
	if !s.remove(kind, name) {
		w.WriteHeader(http.StatusNotFound)
	}
}

// replace serves POST, which creates an object, and PUT, which replaces its spec or its
// status.
func (s *store) replace(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, toStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = in.Meta.Name
	}
	s.mu.Lock()
	current, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPut && !exists:
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodPost && exists,
		in.Meta.Revision != 0 && in.Meta.Revision != current.Meta.Revision:
		s.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(current)
		return
	}
	var o object
	if toStatus {
		s.revision++
		current.Status, current.Meta.Revision = in.Status, s.revision
		s.objects[kind][name] = current
		s.events = append(s.events, storeEvent{kind: kind, revision: s.revision, Object: current})
		s.wake()
		o = current
	} else {
		o = s.put(kind, name, in.Spec)
	}
	onWrite := s.onWrite
	s.mu.Unlock()
	if onWrite != nil {
		onWrite(kind, o)
	}
	_ = json.NewEncoder(w).Encode(o)
}

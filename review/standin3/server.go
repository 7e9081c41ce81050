package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatPeriod is the time between two writes of a server's entry in the store
// (heartbeatMs).
const heartbeatPeriod = 1200 * time.Millisecond

// server is a server of one service. It runs up to slots requests at the same time and
// queues a few more.
type server struct {
	id, service, zone string
	address           string
	store             *store
	rec               *record
	born              int64
	slots             int
	work              time.Duration
	http              *http.Server
	listener          net.Listener
	running           chan struct{} // holds an item for each request that runs
	stop              chan struct{} // closed when the process ends
	onArrival         func(s *server, r *http.Request, at time.Time)
	// onRun is called when the server begins to run a request. It returns whether the server
	// runs it until it ends itself.
	onRun func(s *server, r *http.Request) bool

	mu        sync.Mutex
	coldUntil time.Time
	crashed   bool
	sequence  int
	queued    int
}

// serverQueue is the number of requests that wait for a slot.
const serverQueue = 12

// newServer starts a server on an address, "" for a free one.
func newServer(st *store, rec *record, id, service, zone, address string, work time.Duration) (*server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, address: l.Addr().String(), store: st, rec: rec, born: time.Now().UnixMilli(),
		slots: 2, work: work, listener: l, running: make(chan struct{}, 2), stop: make(chan struct{}),
		onArrival: func(*server, *http.Request, time.Time) {}, onRun: func(*server, *http.Request) bool { return false },
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// register writes the entry now and at each heartbeat, the first of them after phase.
func (s *server) register(phase time.Duration) {
	s.beat()
	go func() {
		timer := time.NewTimer(phase)
		for {
			select {
			case <-s.stop:
				return
			case <-timer.C:
				s.beat()
				timer.Reset(heartbeatPeriod)
			}
		}
	}()
}

// beat writes the server's entry. The store takes a write in which more than sequence has
// changed.
func (s *server) beat() {
	s.mu.Lock()
	s.sequence++
	cold := max(time.Until(s.coldUntil), 0).Milliseconds()
	entry := map[string]any{
		"backend": s.service, "address": s.address, "zone": s.zone, "version": "v1", "concurrency": s.slots,
		"state": "ready", "coldMs": cold, "sequence": 0, "born": s.born,
	}
	s.mu.Unlock()
	s.store.put("servers", s.id, entry)
}

// becomeCold makes the server cold for a time.
func (s *server) becomeCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
}

func (s *server) cold(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return at.Before(s.coldUntil)
}

// crash ends the server at once: open connections are closed, and new ones refused. It
// reports false if the server has crashed before.
func (s *server) crash() bool {
	s.mu.Lock()
	if s.crashed {
		s.mu.Unlock()
		return false
	}
	s.crashed = true
	s.mu.Unlock()
	close(s.stop)
	_ = s.http.Close()
	return true
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=20")
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		if s.cold(arrived) {
			s.mu.Lock()
			w.Header().Set("X-Warmup-Ms", strconv.FormatInt(time.Until(s.coldUntil).Milliseconds(), 10))
			s.mu.Unlock()
		}
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.rec.addAt(arrived, "server %s (%s) got %s, cold %t", s.id, s.zone, id, s.cold(arrived))
	s.onArrival(s, r, arrived)
	body, _ := io.ReadAll(r.Body)
	limit, _ := strconv.Atoi(r.Header.Get("X-Request-Deadline"))
	deadline := arrived.Add(time.Duration(limit) * time.Millisecond)
	s.mu.Lock()
	if s.queued >= s.slots+serverQueue {
		s.mu.Unlock()
		s.shed(w)
		return
	}
	s.queued++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	select {
	case s.running <- struct{}{}:
	case <-time.After(time.Until(deadline)):
		s.shed(w)
		return
	case <-s.stop:
		panic(http.ErrAbortHandler)
	}
	defer func() { <-s.running }()
	s.rec.add("server %s runs %s", s.id, id)
	if s.onRun(s, r) {
		<-s.stop
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.work):
	case <-s.stop:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%s", s.id, id))
	_, _ = fmt.Fprintf(w, "%s %s by %s: %d bytes\n", r.Method, r.RequestURI, s.id, len(body))
}

// shed rejects a request that has not run.
func (s *server) shed(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

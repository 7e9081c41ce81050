//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"knapweedstall/platform/platformtest"
)

// Times of a server's entry in the store.
const (
	beatPeriod = 1200 * time.Millisecond
	silentTime = 3 * beatPeriod // after which the entry of a crashed server is removed
)

// serverSpec describes a server.
type serverSpec struct {
	service, zone string
	slots, queue  int
	work          time.Duration
	longPath      string        // path of requests that take longWork instead; "" for none
	longWork      time.Duration // of these
	// A server pauses for pauseFor in each pauseEvery, at its own time; 0 for never.
	pauseFor, pauseEvery time.Duration
	// crashes tells whether the server crashes when it begins to run a request; nil for never.
	crashes func(r *http.Request) bool
	// pauses returns the seconds for which the server wants nothing from the sender of a
	// request, which it rejects then; "" for none, nil for never.
	pauses func(r *http.Request) string
	// keepsID tells that the server has the same id and address after a crash.
	keepsID bool
}

// arrival is a request that a server began to run, or rejected.
type arrival struct {
	at        time.Time
	server    string // id
	requestID string
	path      string
	sender    string // address of the instance's end of the connection, without the port
	rejected  bool
}

// server is a server of a service. A crash ends its process; it may start again.
type server struct {
	w     *world
	spec  serverSpec
	phase time.Duration // of its pauses

	mu     sync.Mutex
	id     string
	born   int64
	listen net.Listener
	conns  map[net.Conn]bool
	runs   []arrival
	place  chan struct{} // holds a value for each free slot
	queued atomic.Int64
}

var (
	lastServer atomic.Int64 // number of the latest server
	lastStamp  atomic.Int64 // number of the latest answer
)

// startServer starts a server and writes its entry.
func (w *world) startServer(spec serverSpec) (*server, error) {
	s := &server{w: w, spec: spec, phase: rand.N(time.Hour)}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return s, s.boot()
}

// boot starts the process of the server.
func (s *server) boot() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := "127.0.0.1:0"
	if s.spec.keepsID && s.listen != nil {
		address = s.listen.Addr().String()
	} else {
		s.id = fmt.Sprintf("i-%08x", 0x1f3a0000+lastServer.Add(1))
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listen, s.born, s.conns = l, time.Now().UnixMilli(), map[net.Conn]bool{}
	s.place = make(chan struct{}, s.spec.slots)
	for range s.spec.slots {
		s.place <- struct{}{}
	}
	id, place, conns := s.id, s.place, s.conns
	hs := &http.Server{ //nolint:gosec // its callers are the instances alone
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, id, place) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch state {
			case http.StateNew:
				conns[c] = true
			case http.StateClosed, http.StateHijacked:
				delete(conns, c)
			case http.StateActive, http.StateIdle:
			}
		},
	}
	go func() { _ = hs.Serve(l) }() // ends with the listener
	s.putEntry()
	s.w.rec.log("server starts", "server", s.id, "service", s.spec.service, "address", l.Addr())
	return nil
}

// putEntry writes the entry. mu must be held.
func (s *server) putEntry() {
	s.w.store.Put("servers", s.id, map[string]any{
		"backend": s.spec.service, "address": s.listen.Addr().String(), "zone": s.spec.zone, "version": "v1",
		"concurrency": s.spec.slots, "state": "ready", "coldMs": 0, "sequence": 1, "born": s.born,
	})
}

// crash ends the process: its connections are reset and new ones refused.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listen.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // resets the connection
		}
		_ = c.Close()
	}
	s.w.rec.log("server crashes", "server", s.id)
}

// crashFor crashes the server and starts it again after d, or never if d is 0. Its entry is
// removed when it has been silent for too long.
func (s *server) crashFor(d time.Duration) {
	s.mu.Lock()
	id, born := s.id, s.born
	s.mu.Unlock()
	s.crash()
	time.AfterFunc(silentTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.id != id || s.born == born {
			s.w.store.Delete("servers", id)
			s.w.rec.log("entry removed", "server", id)
		}
	})
	if d > 0 {
		time.AfterFunc(d, func() {
			if s.w.isClosed() {
				return
			}
			if err := s.boot(); err != nil {
				s.w.rec.log("server start failed", "server", id, "err", err)
			}
		})
	}
}

func (w *world) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// serve handles a request as PROTOCOL.md describes it.
func (s *server) serve(w http.ResponseWriter, r *http.Request, id string, place chan struct{}) {
	requestID := r.Header.Get(platformtest.HeaderRequestID)
	_, _ = io.Copy(io.Discard, r.Body) // the callers send small bodies
	w.Header().Set("X-Request-Id", requestID)
	if expected := r.Header.Get(platformtest.HeaderExpect); expected != "" && expected != id {
		w.Header().Set(platformtest.HeaderTarget, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if requestID == "" {
		w.Header().Set(platformtest.HeaderNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.spec.pauses != nil {
		if seconds := s.spec.pauses(r); seconds != "" {
			s.note(id, r, true)
			w.Header().Set(platformtest.HeaderRetryAfter, seconds)
			reject(w)
			return
		}
	}
	left := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get(platformtest.HeaderDeadline)); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	if s.queued.Add(1) > int64(s.spec.slots+s.spec.queue) {
		s.queued.Add(-1)
		reject(w)
		return
	}
	defer s.queued.Add(-1)
	select {
	case <-place:
	case <-deadline.C:
		reject(w)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { place <- struct{}{} }()
	s.note(id, r, false)
	if s.spec.crashes != nil && s.spec.crashes(r) {
		s.crashFor(poisonDownTime)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.workTime(r.URL.Path)):
	case <-deadline.C:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	n := lastStamp.Add(1)
	w.Header().Set(platformtest.HeaderDigest, fmt.Sprintf("%s.%x", strings.TrimPrefix(id, "i-"), n))
	_, _ = fmt.Fprintf(w, "%016x", n) // one record
}

// workTime returns how long a request takes that begins now, with the pause that falls into
// its work.
func (s *server) workTime(path string) time.Duration {
	switch {
	case path == s.spec.longPath:
		return s.spec.longWork
	case s.spec.pauseEvery == 0:
		return s.spec.work
	}
	at := time.Since(s.w.rec.started) + s.phase
	into := at % s.spec.pauseEvery // the pause is at the start of each period
	switch {
	case into < s.spec.pauseFor:
		return s.spec.pauseFor - into + s.spec.work
	case into+s.spec.work > s.spec.pauseEvery:
		return s.spec.work + s.spec.pauseFor
	}
	return s.spec.work
}

// poisonDownTime is the time until a server is back that a request has crashed.
const poisonDownTime = 2 * time.Second

func reject(w http.ResponseWriter) {
	w.Header().Set(platformtest.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// note records a request that has arrived.
func (s *server) note(id string, r *http.Request, rejected bool) {
	one := arrival{time.Now(), id, r.Header.Get(platformtest.HeaderRequestID), r.URL.Path, r.RemoteAddr, rejected}
	s.mu.Lock()
	s.runs = append(s.runs, one)
	s.mu.Unlock()
	s.w.rec.log("arrives", "server", id, "request", one.requestID, "path", one.path, "tenant", r.Header.Get(platformtest.HeaderWorkspace), "rejected", rejected)
}

// allRuns returns what has arrived at the servers of a service, without what they rejected.
func (w *world) allRuns(service string) []arrival {
	w.mu.Lock()
	servers := w.servers
	w.mu.Unlock()
	var runs []arrival
	for _, s := range servers {
		s.mu.Lock()
		for _, one := range s.runs {
			if s.spec.service == service && !one.rejected {
				runs = append(runs, one)
			}
		}
		s.mu.Unlock()
	}
	return runs
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runOfServer is a request that a server began to run.
type runOfServer struct {
	at                    time.Time
	server, id, path, key string
}

// server is a stand-in for a server of a service. It answers one request at a time on a
// connection, runs up to slots requests at the same time and queues some more, and turns
// others away with 503 and X-Not-Executed.
type server struct {
	id, service, zone string
	work              time.Duration
	queue             int
	slots             chan struct{}
	born              int64
	listener          net.Listener
	store             *store
	rec               *record

	mu     sync.Mutex
	conns  map[net.Conn]bool
	taken  int     // requests that run or wait
	extra  float64 // share of the answers of which another copy comes late
	runs   []runOfServer
	sheds  int
	extras int
}

func startServer(st *store, rec *record, id, service, zone string, slots, queue int, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, work: work, queue: queue, slots: make(chan struct{}, slots),
		born: time.Now().UnixMilli(), listener: l, store: st, rec: rec, conns: map[net.Conn]bool{},
	}
	s.register()
	go s.accept(l)
	return s, nil
}

// accept serves the connections of a listener until it is closed.
func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// register writes the server's entry to the store.
func (s *server) register() {
	s.store.write("servers", s.id, map[string]any{
		"backend": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "concurrency": cap(s.slots),
		"state": "ready", "coldMs": 0, "sequence": 1, "born": s.born,
	})
}

// setExtra sets the share of the answers of which another copy comes late, at the point
// where the next answer on the connection is expected.
func (s *server) setExtra(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra = share
}

// end ends the server's process: it accepts no connections any more and closes all.
func (s *server) end() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	late := "" // a second copy of the previous answer
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != "" {
			s.rec.add("server %s sends a second copy of its previous answer before it answers %s", s.id, r.Header.Get("X-Request-Id"))
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
		}
		answer := s.answer(r, body)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		late = ""
		s.mu.Lock()
		if s.extra > 0 && rand.Float64() < s.extra {
			late = answer
			s.extras++
		}
		s.mu.Unlock()
	}
}

// answer runs a request, or turns it away, and returns the answer.
func (s *server) answer(r *http.Request, body []byte) string {
	id := r.Header.Get("X-Request-Id")
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != s.id {
		return formatAnswer(421, id, "X-Instance-Id: "+s.id+"\r\n", "")
	}
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get("X-Request-Deadline")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if !s.enter() {
		return formatAnswer(503, id, "X-Not-Executed: 1\r\n", "")
	}
	defer s.leave()
	select {
	case s.slots <- struct{}{}:
	case <-time.After(time.Until(deadline)):
		return formatAnswer(503, id, "X-Not-Executed: 1\r\n", "")
	}
	defer func() { <-s.slots }()
	key := r.Header.Get("X-Tenant-Id")
	if len(body) > 0 {
		key = string(body)
	}
	s.mu.Lock()
	s.runs = append(s.runs, runOfServer{time.Now(), s.id, id, r.RequestURI, key})
	n := len(s.runs)
	s.mu.Unlock()
	s.rec.add("server %s runs %s %s %s", s.id, id, r.RequestURI, key)
	time.Sleep(time.Duration(float64(s.work) * (0.65 + 0.7*rand.Float64())))
	return formatAnswer(200, id, fmt.Sprintf("X-Server-Stamp: %s.%d\r\n", s.id, n), "done "+id)
}

// enter counts a request that runs or waits, and returns false if the server is full.
func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.taken >= cap(s.slots)+s.queue {
		s.sheds++
		return false
	}
	s.taken++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken--
}

func formatAnswer(status int, id, headers, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "X-Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(&b, "%sContent-Length: %d\r\n\r\n%s", headers, len(body), body)
	return b.String()
}

// allRuns returns the runs of all servers.
func allRuns(servers []*server) []runOfServer {
	var out []runOfServer
	for _, s := range servers {
		s.mu.Lock()
		out = append(out, s.runs...)
		s.mu.Unlock()
	}
	return out
}

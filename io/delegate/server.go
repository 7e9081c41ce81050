package delegate

import (
	"context"
	"net/http"
	"sync"

	"github.com/coder/websocket"

	"knapweedstall/core/clock"
)

// writeTimeout is how long a message may take to leave; a peer that does not
// read for longer is dropped.
const writeTimeout = clock.Second

// Run runs a search until ctx is done.
type RunFunc func(ctx context.Context, s Search) Answer

// Server takes searches from other instances.
type Server struct {
	run RunFunc

	mu      sync.Mutex
	links   map[*websocket.Conn]bool
	leaving bool
}

// NewServer returns a Server that runs searches by run.
func NewServer(run RunFunc) *Server {
	return &Server{run: run, links: map[*websocket.Conn]bool{}}
}

// Leave tells all instances to send no more searches. Those that are running
// go on.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	links := make([]*websocket.Conn, 0, len(s.links))
	for c := range s.links {
		links = append(links, c)
	}
	s.mu.Unlock()
	for _, c := range links {
		_ = send(ctx, c, message{Leave: true}) // an instance that is gone needs no word
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered the request
	}
	c.SetReadLimit(maxFrameBytes)
	defer func() { _ = c.CloseNow() }() // the other instance is gone or faulty
	s.mu.Lock()
	s.links[c] = true
	leaving := s.leaving
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.links, c)
		s.mu.Unlock()
	}()
	if leaving && send(r.Context(), c, message{Leave: true}) != nil {
		return
	}
	s.serve(r.Context(), c)
}

// serve runs the searches of one link until it ends.
func (s *Server) serve(ctx context.Context, c *websocket.Conn) {
	ctx, cancelAll := context.WithCancel(ctx)
	defer cancelAll()
	var mu sync.Mutex
	running := map[uint64]context.CancelFunc{}
	for {
		_, data, err := c.Read(ctx)
		if err != nil {
			return
		}
		m, err := decode(data)
		if err != nil {
			return // not one of our instances
		}
		mu.Lock()
		if cancel := running[m.Number]; m.Cancel && cancel != nil {
			cancel()
		}
		if m.Search == nil {
			mu.Unlock()
			continue
		}
		one, cancel := context.WithCancel(ctx)
		running[m.Number] = cancel
		mu.Unlock()
		go func() {
			answer := s.run(one, *m.Search)
			mu.Lock()
			delete(running, m.Number)
			mu.Unlock()
			cancel()
			if send(ctx, c, message{Number: m.Number, Answer: &answer}) != nil {
				_ = c.CloseNow() // the other instance runs the search again
			}
		}()
	}
}

func send(ctx context.Context, c *websocket.Conn, m message) error {
	data, err := encode(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Std())
	defer cancel()
	return c.Write(ctx, websocket.MessageBinary, data)
}

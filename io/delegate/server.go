package delegate

import (
	"context"
	"net/http"
	"sync"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
)

// writeTimeout bounds sending a message. An instance that does not read for longer is
// disconnected.
const writeTimeout = clock.Second

// RunFunc runs a request until ctx is done.
type RunFunc func(ctx context.Context, r Request) Answer

// Server accepts requests from other instances.
type Server struct {
	run RunFunc

	mu       sync.Mutex
	links    map[*websocket.Conn]bool
	draining bool
}

// NewServer returns a Server that runs requests with run.
func NewServer(run RunFunc) *Server {
	return &Server{run: run, links: map[*websocket.Conn]bool{}}
}

// Drain tells all connected instances, and those that connect later, to send no more
// requests. Running requests continue.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	links := make([]*websocket.Conn, 0, len(s.links))
	for c := range s.links {
		links = append(links, c)
	}
	s.mu.Unlock()
	for _, c := range links {
		_ = send(ctx, c, message{Drain: true}) // fails only when the instance has disconnected or does not read
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered the request
	}
	c.SetReadLimit(maxFrameBytes)
	defer func() { _ = c.CloseNow() }() // the other instance has disconnected or is faulty
	s.mu.Lock()
	s.links[c] = true
	draining := s.draining
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.links, c)
		s.mu.Unlock()
	}()
	if draining && send(r.Context(), c, message{Drain: true}) != nil {
		return
	}
	s.serve(r.Context(), c)
}

// serve runs the requests of one link until the link ends.
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
			return // the other side is not an instance of the tier
		}
		mu.Lock()
		if cancel := running[m.Number]; m.Cancel && cancel != nil {
			cancel()
		}
		if m.Request == nil {
			mu.Unlock()
			continue
		}
		requestCtx, cancel := context.WithCancel(ctx)
		running[m.Number] = cancel
		mu.Unlock()
		go func() {
			answer := s.run(requestCtx, *m.Request)
			mu.Lock()
			delete(running, m.Number)
			mu.Unlock()
			cancel()
			if send(ctx, c, message{Number: m.Number, Answer: &answer}) != nil {
				_ = c.CloseNow() // the other instance runs the request again
			}
		}()
	}
}

func send(ctx context.Context, c *websocket.Conn, m message) error {
	data, err := encode(m)
	if err != nil {
		return err
	}
	if len(data) > maxFrameBytes {
		return errors.WithStack(&TooLargeError{len(data)})
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Std())
	defer cancel()
	return c.Write(ctx, websocket.MessageBinary, data)
}

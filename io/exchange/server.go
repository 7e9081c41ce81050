package exchange

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"knapweedstall/core/topology"
)

// maxConcurrentCalls bounds the calls of one link that are handled at the same time.
const maxConcurrentCalls = 64

// HandleFunc handles a call of the instance from and returns the answer's payload.
type HandleFunc func(ctx context.Context, from topology.InstanceID, payload []byte) ([]byte, error)

// Server handles calls of other instances.
type Server struct {
	mu       sync.Mutex
	handlers map[string]HandleFunc
}

// NewServer returns a Server without topics.
func NewServer() *Server { return &Server{handlers: map[string]HandleFunc{}} }

// Handle sets the function that handles the calls of a topic.
func (s *Server) Handle(topic string, f HandleFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[topic] = f
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered the request
	}
	c.SetReadLimit(maxFrameBytes)
	defer func() { _ = c.CloseNow() }() // the other instance has disconnected or is faulty
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	slots := make(chan struct{}, maxConcurrentCalls)
	for {
		_, data, err := c.Read(ctx)
		if err != nil {
			return
		}
		m, err := decode(data)
		if err != nil {
			return // the other side is not an instance of the tier
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			if send(ctx, c, s.answer(ctx, m)) != nil {
				_ = c.CloseNow() // the caller sees that the link has ended
			}
		}()
	}
}

// answer handles a call. A panic fails only this call.
func (s *Server) answer(ctx context.Context, call message) (out message) {
	out.Number = call.Number
	s.mu.Lock()
	handle := s.handlers[call.Topic]
	s.mu.Unlock()
	if handle == nil {
		out.Unsupported = true
		return out
	}
	payload, err := s.run(ctx, handle, call)
	if err != nil {
		out.Error = err.Error()
		return out
	}
	out.Payload = payload
	return out
}

// Local handles a call of the instance itself.
func (s *Server) Local(ctx context.Context, from topology.InstanceID, topic string, payload []byte) ([]byte, error) {
	return s.answer(ctx, message{Topic: topic, From: from, Payload: payload}).result(string(from), topic)
}

func (s *Server) run(ctx context.Context, handle HandleFunc, call message) (payload []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.WithStack(&PanicError{Topic: call.Topic, Cause: fmt.Sprint(cause), Stack: string(debug.Stack())})
		}
	}()
	return handle(ctx, call.From, call.Payload)
}

// PanicError reports that the handling of a call panicked.
type PanicError struct{ Topic, Cause, Stack string }

// Error implements error.
func (e *PanicError) Error() string { return e.Topic + " panicked: " + e.Cause + "\n" + e.Stack }

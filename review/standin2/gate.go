//go:build review

package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
)

// gate is the way of one machine to the store. While it is shut, the store does not answer
// that machine, and does nothing for it.
type gate struct {
	address string
	store   http.Handler

	mu   sync.Mutex
	shut bool
}

// openGate starts a gate to the store.
func (w *world) openGate() (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{address: l.Addr().String(), store: w.store}
	go func() { _ = http.Serve(l, g) }() //nolint:gosec // its callers are the instances alone; ends with the process
	return g, nil
}

func (g *gate) setShut(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
}

func (g *gate) isShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut
}

// ServeHTTP implements http.Handler. A call that has come while the gate was shut, or a watch
// that would be answered then, gets no answer until the caller leaves.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.isShut() {
		<-r.Context().Done()
		return
	}
	answer := httptest.NewRecorder()
	g.store.ServeHTTP(answer, r)
	if g.isShut() {
		<-r.Context().Done()
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // fails only when the caller has left
}

package e2e

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// forwarder passes bytes between its own address and another one. Its
// connections can be made half-open: they stay established and pass nothing.
type forwarder struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	pairs   []*pair // opened since the last silence
	retired []*pair // silent
}

// pair is one forwarded connection and its continuation.
type pair struct {
	in, out net.Conn
	silent  atomic.Bool
	// swallowed counts the bytes that arrived after the connection went silent.
	swallowed atomic.Int64
}

// newForwarder returns a running forwarder to an address.
func newForwarder(t *testing.T, to string) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{listener: l, to: to}
	go f.accept()
	t.Cleanup(f.close)
	return f
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

func (f *forwarder) accept() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", f.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		p := &pair{in: in, out: out}
		f.mu.Lock()
		f.pairs = append(f.pairs, p)
		f.mu.Unlock()
		go p.pass(in, out)
		go p.pass(out, in)
	}
}

// pass copies until the connection ends, and discards while it is silent. The
// end of a silent connection is not passed on either.
func (p *pair) pass(from io.Reader, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() {
			p.swallowed.Add(int64(n))
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// silence makes the present connections half-open and returns them; new ones
// work.
func (f *forwarder) silence() []*pair {
	f.mu.Lock()
	defer f.mu.Unlock()
	silenced := f.pairs
	f.pairs = nil
	f.retired = append(f.retired, silenced...)
	for _, p := range silenced {
		p.silent.Store(true)
	}
	return silenced
}

// opened returns how many connections were opened since the last silence.
func (f *forwarder) opened() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pairs)
}

func (f *forwarder) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range append(f.pairs, f.retired...) {
		_ = p.in.Close()
		_ = p.out.Close()
	}
}

// swallowed returns the bytes that the connections kept to themselves.
func swallowed(pairs []*pair) int64 {
	var n int64
	for _, p := range pairs {
		n += p.swallowed.Load()
	}
	return n
}

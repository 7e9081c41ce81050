package e2e

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// forwarder is a TCP proxy for one destination. Its connections can be made
// silent (half-open): they stay established, and it discards the bytes that arrive
// on them.
type forwarder struct {
	listener    net.Listener
	destination string

	mu          sync.Mutex
	conns       []*forwardedConn // opened since the last call of silence
	silentConns []*forwardedConn // made silent by silence
}

// forwardedConn is a client connection and its connection to the destination.
type forwardedConn struct {
	in, out net.Conn
	silent  atomic.Bool
	// discarded counts the bytes that arrived after the connection became silent.
	discarded atomic.Int64
}

// newForwarder starts a forwarder to a destination address.
func newForwarder(t *testing.T, destination string) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{listener: l, destination: destination}
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
		out, err := net.Dial("tcp", f.destination)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &forwardedConn{in: in, out: out}
		f.mu.Lock()
		f.conns = append(f.conns, c)
		f.mu.Unlock()
		go c.relay(in, out)
		go c.relay(out, in)
	}
}

// relay copies in one direction until the connection ends. While the connection is
// silent, relay discards the bytes and does not forward a close either.
func (c *forwardedConn) relay(from io.Reader, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if c.silent.Load() {
			c.discarded.Add(int64(n))
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

// silence makes the open connections silent and returns them. Later connections
// forward as usual.
func (f *forwarder) silence() []*forwardedConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	silenced := f.conns
	f.conns = nil
	f.silentConns = append(f.silentConns, silenced...)
	for _, c := range silenced {
		c.silent.Store(true)
	}
	return silenced
}

// opened returns how many connections were opened since the last call of silence.
func (f *forwarder) opened() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

func (f *forwarder) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range append(f.conns, f.silentConns...) {
		_ = c.in.Close()
		_ = c.out.Close()
	}
}

// discardedBytes returns how many bytes the connections discarded in total.
func discardedBytes(conns []*forwardedConn) int64 {
	var n int64
	for _, c := range conns {
		n += c.discarded.Load()
	}
	return n
}

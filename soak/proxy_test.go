package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// direction is the direction in which bytes pass through a proxy.
type direction int

const (
	upstream   direction = iota // from the client to the destination
	downstream                  // from the destination to the client
)

// proxy is a TCP proxy for one destination that can inject faults: it can delay or
// discard bytes and close its connections.
type proxy struct {
	listener    net.Listener
	destination string

	mu     sync.Mutex
	conns  map[net.Conn]bool
	silent [2]bool // whether bytes are discarded, by direction
	delay  time.Duration
}

// newProxy starts a proxy for a destination address.
func newProxy(t *testing.T, destination string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, destination: destination, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = l.Close(); p.closeConns() })
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.destination)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.relay(in, out, downstream)
		go p.relay(out, in, upstream)
	}
}

// relay copies bytes in one direction, with the faults in force, until the connection
// ends.
func (p *proxy) relay(to, from net.Conn, dir direction) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		silent, delay := p.silent[dir], p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		if silent {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// silence makes the proxy discard the bytes of the given directions from now on. The
// other directions work again.
func (p *proxy) silence(dirs ...direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = [2]bool{}
	for _, dir := range dirs {
		p.silent[dir] = true
	}
}

// setDelay delays the bytes that pass from now on.
func (p *proxy) setDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// clearFaults stops discarding and delaying bytes.
func (p *proxy) clearFaults() {
	p.silence()
	p.setDelay(0)
}

// closeConns closes all connections.
func (p *proxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// direction is a way through a proxy.
type direction int

const (
	there direction = iota // to the address
	back
)

// proxy passes bytes to an address, and can delay, silence or reset them.
type proxy struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	conns  map[net.Conn]bool
	silent [2]bool // by direction
	delay  time.Duration
}

func newProxy(t *testing.T, to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, to: to, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = l.Close(); p.reset() })
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
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.pass(in, out, back)
		go p.pass(out, in, there)
	}
}

func (p *proxy) pass(to, from net.Conn, way direction) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		silent, delay := p.silent[way], p.delay
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

// silence drops what passes in the given directions from now on, and nothing
// else.
func (p *proxy) silence(ways ...direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = [2]bool{}
	for _, way := range ways {
		p.silent[way] = true
	}
}

// slow delays what passes from now on.
func (p *proxy) slow(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// heal ends silence and delay.
func (p *proxy) heal() {
	p.silence()
	p.slow(0)
}

// reset closes all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// network lets one machine be cut off from the others and from the store. Each machine
// reaches the store at an address of its own, and each other machine through a proxy of its
// own, whose address takes the place of the machine's own one in what the store answers.
type network struct {
	st *store

	mu      sync.Mutex
	proxies map[[2]*machine]*proxy // by the machine that connects and the one that it connects to
	views   map[*machine]*storeView
}

func newNetwork(st *store) *network {
	return &network{st: st, proxies: map[[2]*machine]*proxy{}, views: map[*machine]*storeView{}}
}

// connect opens the addresses of new machines.
func (n *network) connect(machines []*machine) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, from := range machines {
		v, err := newStoreView(n.st)
		if err != nil {
			return err
		}
		n.views[from] = v
		for _, to := range machines {
			if from == to {
				continue
			}
			p, err := newProxy(to.peers)
			if err != nil {
				return err
			}
			n.proxies[[2]*machine{from, to}] = p
			v.rewrites[to.peers] = p.address
		}
	}
	return nil
}

// address returns the address at which a machine reaches another one.
func (n *network) address(from, to *machine) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.proxies[[2]*machine{from, to}]; p != nil {
		return p.address
	}
	return to.peers
}

// storeAddress returns the address at which a machine reaches the store.
func (n *network) storeAddress(m *machine) string { return n.views[m].address }

// cut cuts a machine off from the store and from all other machines, silently and in both
// directions, or ends that.
func (n *network) cut(m *machine, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.views[m].silent.Store(on)
	for pair, p := range n.proxies {
		if pair[0] == m || pair[1] == m {
			p.silent.Store(on)
		}
	}
}

// proxy forwards connections to one address. While it is silent, it discards all bytes.
type proxy struct {
	address, target string
	silent          atomic.Bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

func (p *proxy) forward(in net.Conn) {
	defer func() { _ = in.Close() }()
	if p.silent.Load() {
		_, _ = io.Copy(io.Discard, in)
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if err != nil {
				break
			}
			if p.silent.Load() {
				continue // lost in the cut
			}
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pass(out, in)
	go pass(in, out)
	<-done
}

// storeView is the store as one machine sees it.
type storeView struct {
	st       *store
	address  string
	rewrites map[string]string // addresses of other machines, by their own ones
	silent   atomic.Bool
}

func newStoreView(st *store) (*storeView, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &storeView{st: st, address: l.Addr().String(), rewrites: map[string]string{}}
	go func() { _ = http.Serve(l, v) }()
	return v, nil
}

// ServeHTTP implements http.Handler.
func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if v.silent.Load() {
		<-r.Context().Done()
		return
	}
	answer := &heldAnswer{header: http.Header{}, status: http.StatusOK}
	v.st.ServeHTTP(answer, r)
	if v.silent.Load() {
		<-r.Context().Done()
		return
	}
	body := answer.body.Bytes()
	for own, proxied := range v.rewrites {
		body = bytes.ReplaceAll(body, fmt.Appendf(nil, "%q", own), fmt.Appendf(nil, "%q", proxied))
	}
	for name, values := range answer.header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(body)
}

// heldAnswer holds an answer until it is complete.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *heldAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *heldAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case limits.
const (
	limitsBefore   = 16384 // maxHeaderBytes of the first desired state
	limitsAfter    = 65536 // maxHeaderBytes of the next one
	largeHeader    = 30000 // bytes of a header that only the next one allows
	keptConns      = 20    // kept connections of requesters to each instance
	configDeadline = 3 * time.Second
	deniedSlack    = 5.0 // requests that may be denied, and one in deniedRatio of all
	deniedRatio    = 500
)

// limitsCase raises the limit of the headers in a new desired state. It counts the proper
// requests that are denied on connections that requesters have kept.
func limitsCase(w *world) bool {
	first := limitsBefore
	if !w.trouble {
		first = limitsAfter
	}
	w.putOrders(1, first)
	for n := range 4 {
		s, err := newServer(w.store, w.rec, fmt.Sprintf("i-%d", n+1), "orders", []string{"east", "west"}[n%2], "", 5*time.Millisecond)
		check(err)
		s.register(heartbeatPeriod * time.Duration(n) / 4)
	}
	w.startInstances("east", "west")
	time.Sleep(time.Second)
	var kept []*keptConn
	for _, in := range w.instances {
		for range keptConns {
			kept = append(kept, newKeptConn(w, in.callers))
		}
	}
	sends := &results{}
	round := func(header int) {
		var wait sync.WaitGroup
		for _, c := range kept {
			wait.Go(func() {
				r := c.send(header)
				sends.mu.Lock()
				defer sends.mu.Unlock()
				sends.all = append(sends.all, r)
			})
		}
		wait.Wait()
	}
	round(0)
	time.Sleep(time.Second)
	w.rec.add("the operator sends version 2 with maxHeaderBytes %d; version 1 has %d", limitsAfter, first)
	w.putOrders(2, limitsAfter)
	for end := time.Now().Add(configDeadline + 2*time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		round(0)
	}
	w.rec.add("version 2 has been due for 2 s; each requester sends a request with a header of %d bytes", largeHeader)
	round(largeHeader)
	round(0)
	denied := 0
	for status, n := range sends.byStatus() {
		if status >= 300 && status < 500 {
			denied += n
		}
	}
	allowed := deniedSlack + float64(len(sends.all))/deniedRatio
	w.say("answers by status: %v", sends.byStatus())
	w.say("%d of %d proper requests were denied with a status of the system's own, %.1f allowed", denied, len(sends.all), allowed)
	return float64(denied) <= allowed
}

// keptConn is a connection that a requester keeps for many requests. It opens another one
// when the instance has closed it.
type keptConn struct {
	w       *world
	address string
	conn    net.Conn
	answers *bufio.Reader
}

func newKeptConn(w *world, address string) *keptConn { return &keptConn{w: w, address: address} }

// send sends an order with a header of about extra more bytes, and reads the answer.
func (c *keptConn) send(extra int) result {
	out := result{id: fmt.Sprintf("%016x", requestNumber.Add(1)), sent: time.Now()}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		check(err)
		c.conn, c.answers = conn, bufio.NewReader(conn)
	}
	header := ""
	if extra > 0 {
		header = "X-Ticket: " + strings.Repeat("t", extra) + "\r\n"
	}
	c.w.rec.add("sent %s on the kept connection %s: POST /orders/new, header of %d bytes", out.id, c.conn.LocalAddr(), 150+len(header))
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err := fmt.Fprintf(c.conn, "POST /orders/new HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: 2000\r\n%sContent-Length: 5\r\n\r\norder", out.id, header)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.answers, nil)
	}
	if err == nil {
		out.status, out.stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
		body := bufio.NewReader(resp.Body)
		_, err = body.WriteTo(discard{})
	}
	out.err = err
	c.w.rec.add("answer to %s: status %d, stamp %q, error %v", out.id, out.status, out.stamp, err)
	if err != nil || resp.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
	return out
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

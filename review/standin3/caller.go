package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// requester sends requests to one instance and keeps its connections.
type requester struct {
	address string
	host    string
	rec     *record
	client  *http.Client
}

func newRequester(rec *record, address, host string) *requester {
	return &requester{address: address, host: host, rec: rec, client: &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		},
	}}
}

// result is the answer to a request. status is 0 for none.
type result struct {
	id     string
	status int
	stamp  string
	sent   time.Time
	took   time.Duration
	err    error
}

var requestNumber atomic.Int64

// send sends a request with a time budget and waits for its answer.
func (c *requester) send(method, path, body string, budget time.Duration, headers ...string) result {
	return c.sendFor(budget+time.Second, method, path, body, budget, headers...)
}

// sendAndLeave sends a request and closes its connection after a time.
func (c *requester) sendAndLeave(method, path string, budget, leave time.Duration) result {
	return c.sendFor(leave, method, path, "", budget)
}

// sendFor sends a request and waits for its answer for a time. Then it closes the connection.
func (c *requester) sendFor(limit time.Duration, method, path, body string, budget time.Duration, headers ...string) result {
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	out := result{id: id, sent: time.Now()}
	r, err := http.NewRequest(method, "http://"+c.address+path, strings.NewReader(body))
	if err != nil {
		panic(err) // a mistake in the stand-in
	}
	r.Host = c.host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Request-Deadline", fmt.Sprint(budget.Milliseconds()))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	c.rec.add("sent %s to %s: %s %s, %d bytes of body, time budget %d ms", id, c.address, method, path, len(body), budget.Milliseconds())
	client := *c.client
	client.Timeout = limit
	resp, err := client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		out.status, out.stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
	}
	out.took, out.err = time.Since(out.sent), err
	c.rec.add("answer to %s: status %d, stamp %q, error %v", id, out.status, out.stamp, err)
	return out
}

// results collects the results of requests that are in progress at the same time.
type results struct {
	wait sync.WaitGroup
	mu   sync.Mutex
	all  []result
}

// start sends a request without waiting for its answer.
func (rs *results) start(send func() result) {
	rs.wait.Go(func() {
		r := send()
		rs.mu.Lock()
		defer rs.mu.Unlock()
		rs.all = append(rs.all, r)
	})
}

// byStatus returns the number of results by status, 0 for no answer.
func (rs *results) byStatus() map[int]int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	n := map[int]int{}
	for _, r := range rs.all {
		n[r.status]++
	}
	return n
}

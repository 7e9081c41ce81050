package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer is what a requester got for one attempt. status is 0 if the connection ended
// without a complete answer.
type answer struct {
	status     int
	header     http.Header
	body       string
	retryAfter time.Duration
}

// requester sends requests to one machine on kept connections.
type requester struct {
	address string
	mu      sync.Mutex
	idle    []*keptConn
}

// maxIdle is less than four fifths of the idle time-out in the desired state, which is 15 s.
const maxIdle = 12500 * time.Millisecond

type keptConn struct {
	net.Conn
	reader *bufio.Reader
	idleAt time.Time // since when it is idle
}

// send sends one request and waits for its answer. fresh asks for a new connection.
func (q *requester) send(method, path, host, id string, headers map[string]string, body string, budget time.Duration, fresh bool) answer {
	var c *keptConn
	if !fresh {
		q.mu.Lock()
		for c == nil && len(q.idle) > 0 {
			last := q.idle[len(q.idle)-1]
			q.idle = q.idle[:len(q.idle)-1]
			if time.Since(last.idleAt) < maxIdle {
				c = last
			} else {
				_ = last.Close()
			}
		}
		q.mu.Unlock()
	}
	if c == nil {
		nc, err := net.DialTimeout("tcp", q.address, time.Second)
		if err != nil {
			return answer{}
		}
		c = &keptConn{Conn: nc, reader: bufio.NewReader(nc)}
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n", method, path, host, id, budget.Milliseconds())
	for name, value := range headers {
		text += name + ": " + value + "\r\n"
	}
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.SetDeadline(time.Now().Add(budget + time.Second))
	if _, err := io.WriteString(c, text+"\r\n"+body); err != nil {
		_ = c.Close()
		return answer{}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		_ = c.Close()
		return answer{}
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		_ = c.Close()
		return answer{}
	}
	out := answer{status: resp.StatusCode, header: resp.Header, body: string(data)}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.Close {
		_ = c.Close()
	} else {
		c.idleAt = time.Now()
		q.mu.Lock()
		q.idle = append(q.idle, c)
		q.mu.Unlock()
	}
	return out
}

// close closes the idle connections.
func (q *requester) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.idle {
		_ = c.Close()
	}
	q.idle = nil
}

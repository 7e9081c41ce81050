package ingress

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
)

// Limits of the tests.
var (
	lowLimits  = routing.Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 20, HeaderTimeout: 200, IdleTimeout: 300}
	highLimits = routing.Limits{HeaderBytes: 64 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5000, IdleTimeout: 5000}
)

// head returns a request whose header has about n bytes.
func head(n int) string {
	return "GET / HTTP/1.1\r\nHost: h\r\nX-Fill: " + strings.Repeat("h", n) + "\r\n\r\n"
}

// status sends text in two parts with a pause between them and returns the status of the
// answer, 0 for none.
func (c *keptConn) status(t *testing.T, text string, pause time.Duration) int {
	t.Helper()
	part := len(text)
	if pause > 0 {
		part = 10
	}
	_, _ = io.WriteString(c, text[:part])
	time.Sleep(pause)
	_, _ = io.WriteString(c, text[part:])
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("status %d, and the answer breaks off: %v", resp.StatusCode, err)
	}
	return resp.StatusCode
}

// TestLimitsApplyToKeptConnections guards against connections that keep the limits of the
// time at which they were opened: callers got no answer, or a rejection, for requests that
// the limits in force allowed.
func TestLimitsApplyToKeptConnections(t *testing.T) {
	large := head(30_000)
	for name, c := range map[string]struct {
		before, after routing.Limits
		idle          time.Duration // from the change to the request
		text          string
		pause         time.Duration // in the middle of the head
		want          int           // 0: the connection is closed
	}{
		"larger head":                   {lowLimits, highLimits, 0, large, 0, 204},
		"head that got too large":       {highLimits, lowLimits, 0, large, 0, 431},
		"slower head":                   {lowLimits, highLimits, 0, head(10), 500 * time.Millisecond, 204},
		"head that got too slow":        {highLimits, lowLimits, 0, head(10), 500 * time.Millisecond, 408},
		"longer idle":                   {lowLimits, highLimits, 500 * time.Millisecond, head(10), 0, 204},
		"idle since before a lowering":  {highLimits, lowLimits, 500 * time.Millisecond, head(10), 0, 204},
		"within limits that got lower":  {highLimits, lowLimits, 0, head(7000), 50 * time.Millisecond, 204},
		"within limits that got higher": {lowLimits, highLimits, 0, head(7000), 50 * time.Millisecond, 204},
	} {
		for _, used := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, connection in use %v", name, used), func(t *testing.T) {
				t.Parallel()
				s, _ := startServer(t, noContent)
				go func() { _ = s.Serve() }() // ends with the test
				s.SetLimits(c.before)
				conn := dial(t, s)
				if used && !conn.ask() {
					t.Fatal("the first request is not answered")
				}
				time.Sleep(50 * time.Millisecond) // the connection is accepted, or idle
				s.SetLimits(c.after)
				time.Sleep(c.idle)
				if got := conn.status(t, c.text, c.pause); got != c.want {
					t.Errorf("status %d, want %d", got, c.want)
				}
			})
		}
	}
}

// TestLoweredIdleTimeoutApplies guards against connections that stay open for the idle
// timeout of earlier limits after requests that were sent since.
func TestLoweredIdleTimeoutApplies(t *testing.T) {
	s, _ := startServer(t, noContent)
	go func() { _ = s.Serve() }() // ends with the test
	s.SetLimits(highLimits)
	conn := dial(t, s)
	conn.ask()
	s.SetLimits(lowLimits)
	conn.ask()
	asked := time.Now()
	_ = conn.SetReadDeadline(asked.Add(2 * time.Second))
	_, err := conn.answers.ReadByte()
	if took := time.Since(asked); err != io.EOF || took < lowLimits.IdleTimeout.Std() {
		t.Errorf("%v after %v, want the end of the connection after %v", err, took, lowLimits.IdleTimeout.Std())
	}
}

// TestRejectionReachesCaller guards against callers that get no answer because their
// connection is reset with bytes of the request unread: they send all of it before they
// read the answer.
func TestRejectionReachesCaller(t *testing.T) {
	body := func(n int) string { return strings.Repeat("b", n) }
	post := func(header string, n int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", header, n, body(n))
	}
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"large head":                  {head(30_000), http.StatusRequestHeaderFieldsTooLarge},
		"huge head":                   {head(900_000), http.StatusRequestHeaderFieldsTooLarge},
		"large head and a large body": {post("X-Fill: "+body(30_000)+"\r\n", 1_000_000), http.StatusRequestHeaderFieldsTooLarge},
		"large body":                  {post("", 2_000_000), http.StatusRequestEntityTooLarge},
		"malformed head, large body":  {post("bad header\r\n", 1_000_000), http.StatusBadRequest},
		"unknown coding, large body":  {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: odd\r\n\r\n" + body(1_000_000), http.StatusNotImplemented},
		"unknown expectation":         {post("Expect: more\r\n", 1_000_000), http.StatusExpectationFailed},
		"refused before the body":     {post("X-Refuse: 1\r\n", 1_000_000), http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X-Refuse") != "" {
					w.Header().Set("Connection", "close")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, lowLimits.BodyBytes)); err != nil {
					w.Header().Set("Connection", "close")
					w.WriteHeader(http.StatusRequestEntityTooLarge)
					return
				}
				noContent(w, r)
			})
			go func() { _ = s.Serve() }() // ends with the test
			s.SetLimits(lowLimits)
			conn := dial(t, s)
			// The caller is slower than the server.
			time.Sleep(50 * time.Millisecond)
			for sent := 0; sent < len(c.text); {
				n, err := io.WriteString(conn, c.text[sent:min(sent+100_000, len(c.text))])
				sent += n
				if err != nil {
					t.Fatalf("the connection ended after %d of %d bytes: %v", sent, len(c.text), err)
				}
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(600 * time.Millisecond)
			if got := conn.status(t, "", 0); got != c.want {
				t.Errorf("status %d, want %d", got, c.want)
			}
		})
	}
}

// TestManyChangesOfLimits guards against memory and goroutines that grow with the number of
// changes, and against requests that end without an answer beside changes: each is either
// within all limits or above all of them.
func TestManyChangesOfLimits(t *testing.T) {
	const callers, changes = 20, 400
	s, _ := startServer(t, noContent)
	go func() { _ = s.Serve() }() // ends with the test
	s.SetLimits(highLimits)
	before := runtime.NumGoroutine()
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			conn := dial(t, s)
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.IntN(20)) * time.Millisecond):
				}
				text, want := head(7000), http.StatusNoContent
				if rand.IntN(4) == 0 {
					text, want = head(100_000), http.StatusRequestHeaderFieldsTooLarge
				}
				if got := conn.status(t, text, 0); got != want {
					t.Errorf("status %d of a head of %d bytes, want %d", got, len(text), want)
				}
				if want != http.StatusNoContent {
					_ = conn.Close()
					conn = dial(t, s)
				}
			}
		})
	}
	for n := range changes {
		l := highLimits
		if n%2 == 0 {
			l.HeaderBytes = lowLimits.HeaderBytes
		}
		l.IdleTimeout += clock.Duration(n)
		s.SetLimits(l)
		time.Sleep(5 * time.Millisecond)
	}
	close(stop)
	wait.Wait()
	got := runtime.NumGoroutine()
	for end := time.Now().Add(3 * time.Second); got > before+2*callers && time.Now().Before(end); got = runtime.NumGoroutine() {
		time.Sleep(10 * time.Millisecond)
	}
	if got > before+2*callers {
		t.Errorf("%d goroutines after %d changes with %d connections, %d before", got, changes, callers, before)
	}
}

// TestPipelinedRequestIsNotIdle guards against a request that was read together with the one
// before it and is given up when a planned stop ends idle connections.
func TestPipelinedRequestIsNotIdle(t *testing.T) {
	started := make(chan struct{}, 2)
	s, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		if work(300*time.Millisecond, r) {
			noContent(w, r)
		}
	})
	go func() { _ = s.Serve() }() // ends with the test
	c := dial(t, s)
	if _, err := io.WriteString(c, request+request); err != nil {
		t.Fatal(err)
	}
	<-started
	<-started
	shutdown(t, s, 2*time.Second)
	for n := range 2 {
		if !c.answered() {
			t.Errorf("request %d got no answer", n+1)
		}
	}
}

// suspendedListener accepts connections that are read by a process which is suspended for
// some time: bytes arrive, and the deadline passes, before it reads them.
type suspendedListener struct {
	*net.TCPListener
	suspended atomic.Bool
	duration  time.Duration
}

// Accept implements net.Listener.
func (l *suspendedListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	return &suspendedConn{c, l}, err
}

type suspendedConn struct {
	net.Conn
	listener *suspendedListener
}

// Read implements net.Conn.
func (c *suspendedConn) Read(p []byte) (int, error) {
	if c.listener.suspended.Swap(false) {
		time.Sleep(c.listener.duration)
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

// TestSuspendedProcessReadsWhatArrived guards against requests that are rejected as too slow,
// or whose connection is closed as idle, because the process was suspended.
func TestSuspendedProcessReadsWhatArrived(t *testing.T) {
	for name, inHead := range map[string]bool{"in a head": true, "idle": false} {
		t.Run(name, func(t *testing.T) {
			tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			l := &suspendedListener{TCPListener: tcp, duration: 2 * lowLimits.IdleTimeout.Std()}
			handled := 0
			s := newServer(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				handled++
				time.Sleep(20 * time.Millisecond)          // the server reads on meanwhile
				l.suspended.Store(handled == 1 && !inHead) // from the next read on
				noContent(w, r)
			}))
			defer shutdown(t, s, time.Second)
			go func() { _ = s.Serve() }() // ends with the test
			s.SetLimits(lowLimits)
			c := dial(t, s)
			if !c.ask() {
				t.Fatal("the first request is not answered")
			}
			text := head(7000)
			if inHead {
				l.suspended.Store(true)
				_, _ = io.WriteString(c, text[:10])
				time.Sleep(20 * time.Millisecond) // until it is read
				text = text[10:]
			}
			if got := c.status(t, text, 0); got != http.StatusNoContent {
				t.Errorf("status %d, want 204", got)
			}
		})
	}
}

// deadlineConn notes the latest deadline of reads.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

// SetReadDeadline implements net.Conn.
func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// TestRaisedLimitsLeaveInterrupt guards against a connection that is not reused or closed
// after an answer, since limits were raised while the http.Server was interrupting a read.
func TestRaisedLimitsLeaveInterrupt(t *testing.T) {
	d := &deadlineConn{}
	c := newCallerConn(d, func() routing.Limits { return lowLimits }, func(int) {})
	c.begin(active)
	if err := c.SetReadDeadline(past); err != nil {
		t.Fatal(err)
	}
	c.raise(highLimits)
	if !d.deadline.Equal(past) {
		t.Errorf("deadline %v, want %v", d.deadline, past)
	}
}

package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/io/osclock"
	"knapweedstall/io/upstream"
	"knapweedstall/platform"
	"knapweedstall/platform/platformtest"
)

// scriptedTarget is a fake target that serves each connection with a script.
type scriptedTarget struct {
	listener net.Listener
	requests chan *http.Request
}

// connScript serves one connection. next reads the next request and returns it, or nil
// when there is none.
type connScript func(c net.Conn, next func() *http.Request)

func newScriptedTarget(t *testing.T, scripts ...connScript) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedTarget{listener: l, requests: make(chan *http.Request, 100)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, script := range scripts {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, script)
		}
		_ = l.Close()
	}()
	return s
}

func (s *scriptedTarget) serve(c net.Conn, script connScript) {
	defer c.Close()
	reader := bufio.NewReader(c)
	script(c, func() *http.Request {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return nil
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.requests <- r
		return r
	})
}

// answerEach answers each request with the next text and then keeps the connection
// open.
func answerEach(texts ...string) connScript {
	return func(c net.Conn, next func() *http.Request) {
		for _, text := range texts {
			if next() == nil {
				return
			}
			_, _ = io.WriteString(c, text)
		}
		_, _ = io.Copy(io.Discard, c) // returns when the other side closes the connection
	}
}

// answerOnceAndClose answers one request and closes the connection.
func answerOnceAndClose(text string) connScript {
	return func(c net.Conn, next func() *http.Request) {
		if next() != nil {
			_, _ = io.WriteString(c, text)
		}
	}
}

// answer returns a successful answer to the request id.
func answer(id, body string, headers ...string) string {
	return "HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ": " + id + "\r\n" + platformtest.HeaderDigest + ": st-" + id + "\r\n" + strings.Join(append(headers, ""), "\r\n") +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func request(id string) *upstream.Request {
	return &upstream.Request{ID: id, Method: "GET", Head: platform.Head("GET", "/p/"+id, "h.example", http.Header{platformtest.HeaderRequestID: {id}}, 0)}
}

type sendResult struct {
	Outcome replica.Outcome
	Body    string
	Digest  string
}

func send(ctx context.Context, p *upstream.Pool, s *scriptedTarget, r *upstream.Request) sendResult {
	res := p.Send(ctx, r, "t1", s.listener.Addr().String(), clock.Second)
	return sendResult{res.Outcome, string(res.Answer.Body), res.Answer.Digest}
}

// TestAnswers checks that only a complete answer to the request itself counts as
// answered, whatever else the target sends.
func TestAnswers(t *testing.T) {
	ok := sendResult{replica.Answered, "yes", "st-1"}
	lost := sendResult{Outcome: replica.Lost}
	for name, c := range map[string]struct {
		script connScript
		want   sendResult
	}{
		"plain":                     {answerEach(answer("1", "yes")), ok},
		"without a length":          {answerOnceAndClose("HTTP/1.1 200 OK\r\n" + platformtest.HeaderDigest + ": st-1\r\n\r\nyes"), ok},
		"chunked":                   {answerEach("HTTP/1.1 200 OK\r\n" + platformtest.HeaderDigest + ": st-1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n"), ok},
		"after an interim answer":   {answerEach("HTTP/1.1 103 Early Hints\r\n\r\n" + answer("1", "yes")), ok},
		"after an earlier answer":   {answerEach(answer("0", "no") + answer("1", "yes")), ok},
		"truncated body":            {answerOnceAndClose("HTTP/1.1 200 OK\r\n" + platformtest.HeaderDigest + ": st-1\r\nContent-Length: 9\r\n\r\nyes"), lost},
		"truncated chunks":          {answerOnceAndClose("HTTP/1.1 200 OK\r\n" + platformtest.HeaderDigest + ": st-1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n"), lost},
		"garbage":                   {answerOnceAndClose("\x00\x01 what?\r\n\r\n"), lost},
		"no digest":                 {answerEach("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"), lost},
		"encoded":                   {answerEach(answer("1", "yes", "Content-Encoding: gzip")), lost},
		"only to another request":   {answerOnceAndClose(answer("0", "no")), lost},
		"closed without an answer":  {answerOnceAndClose(""), lost},
		"failure":                   {answerEach("HTTP/1.1 500 Oops\r\n" + platformtest.HeaderDigest + ": st-1\r\nContent-Length: 0\r\n\r\n"), sendResult{replica.Failed, "", "st-1"}},
		"shed":                      {answerEach("HTTP/1.1 503 Full\r\n" + platformtest.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"), sendResult{Outcome: replica.Shed}},
		"unavailable, may have run": {answerEach("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"), sendResult{Outcome: replica.Failed}},
		"another target":            {answerEach("HTTP/1.1 421 Misdirected\r\n" + platformtest.HeaderTarget + ": t2\r\nContent-Length: 0\r\n\r\n"), sendResult{Outcome: replica.Replaced}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedTarget(t, c.script)
			if diff := cmp.Diff(c.want, send(t.Context(), upstream.NewPool(osclock.New()), s, request("1"))); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNoStatus guards against bytes that are taken for an answer although their status is
// that of none: callers got bytes from within their body as a success, or waited for an
// answer that does not come. The connection must end, and the next request get its answer.
func TestNoStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "799", "999"} {
		for name, body := range map[string]string{
			"no body":           "\r\n",
			"body":              "Content-Length: 4\r\n\r\nxxxx",
			"answer within":     "Content-Length: 400\r\n\r\n" + answer("1", "no"),
			"chunked, answered": "Transfer-Encoding: chunked\r\n\r\n" + answer("1", "no"),
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				head := "HTTP/1.1 " + status + " Odd\r\n" + platformtest.HeaderRequestID + ": 1\r\n" + platformtest.HeaderDigest + ": st-1\r\n"
				s := newScriptedTarget(t, answerEach(head+body, answer("2", "no")), answerEach(answer("2", "yes")))
				p := upstream.NewPool(osclock.New())
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				if diff := cmp.Diff(sendResult{Outcome: replica.Lost}, send(ctx, p, s, request("1"))); diff != "" {
					t.Errorf("result (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(sendResult{replica.Answered, "yes", "st-2"}, send(ctx, p, s, request("2"))); diff != "" {
					t.Errorf("next request (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestInterimAnswerWithBody guards against the body of an interim answer, which has none,
// that is taken for the answer.
func TestInterimAnswerWithBody(t *testing.T) {
	for _, framing := range []string{"Content-Length: 400", "Transfer-Encoding: chunked"} {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		s := newScriptedTarget(t, answerEach("HTTP/1.1 103 Early Hints\r\n"+framing+"\r\n\r\n"+answer("1", "no")))
		if diff := cmp.Diff(sendResult{Outcome: replica.Lost}, send(ctx, upstream.NewPool(osclock.New()), s, request("1"))); diff != "" {
			t.Errorf("%s (-want +got):\n%s", framing, diff)
		}
	}
}

// TestReuse guards against reusing a connection that may carry bytes of another answer
// or that the target is closing, and against opening a connection for each request.
func TestReuse(t *testing.T) {
	for name, c := range map[string]struct {
		scripts []connScript
		pause   time.Duration
		opened  int64
	}{
		"reused":                 {[]connScript{answerEach(answer("1", "yes"), answer("2", "yes"))}, 0, 1},
		"close requested":        {[]connScript{answerEach(answer("1", "yes", "Connection: close"), answer("2", "no")), answerEach(answer("2", "yes"))}, 0, 2},
		"bytes after the answer": {[]connScript{answerEach(answer("1", "yes") + answer("1", "no")), answerEach(answer("2", "yes"))}, 0, 2},
		"closed while idle":      {[]connScript{answerOnceAndClose(answer("1", "yes")), answerEach(answer("2", "yes"))}, 50 * time.Millisecond, 2},
		"idle for too long":      {[]connScript{answerEach(answer("1", "yes", "Keep-Alive: timeout=1"), answer("2", "no")), answerEach(answer("2", "yes"))}, 900 * time.Millisecond, 2},
		"earlier answer skipped": {[]connScript{answerEach(answer("0", "no")+answer("1", "yes"), answer("2", "no")), answerEach(answer("2", "yes"))}, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedTarget(t, c.scripts...)
			p := upstream.NewPool(osclock.New())
			for _, id := range []string{"1", "2"} {
				want := sendResult{replica.Answered, "yes", "st-" + id}
				if diff := cmp.Diff(want, send(t.Context(), p, s, request(id))); diff != "" {
					t.Errorf("request %s (-want +got):\n%s", id, diff)
				}
				time.Sleep(c.pause)
			}
			if got := p.Opened(); got != c.opened {
				t.Errorf("%d connections opened, want %d", got, c.opened)
			}
		})
	}
}

// TestNoConnection checks that a request counts as not sent when its target refuses
// connections.
func TestNoConnection(t *testing.T) {
	s := newScriptedTarget(t)
	time.Sleep(20 * time.Millisecond)
	if diff := cmp.Diff(sendResult{Outcome: replica.Unsent}, send(t.Context(), upstream.NewPool(osclock.New()), s, request("1"))); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

// TestCancel guards against targets that continue to work after the caller has
// disconnected: a canceled send must close its connection at once.
func TestCancel(t *testing.T) {
	closed := make(chan error, 1)
	s := newScriptedTarget(t, func(c net.Conn, next func() *http.Request) {
		next()
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := c.Read(make([]byte, 1))
		closed <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	if diff := cmp.Diff(sendResult{Outcome: replica.Canceled}, send(ctx, upstream.NewPool(osclock.New()), s, request("1"))); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
	if err := <-closed; !errors.Is(err, io.EOF) {
		t.Errorf("the target saw %v, want the end of the connection", err)
	}
}

// TestSentRequest checks that a target gets the headers with which it can refuse a
// request that is meant for another target or is out of time, and that hop-by-hop
// headers are not forwarded.
func TestSentRequest(t *testing.T) {
	s := newScriptedTarget(t, answerEach(answer("1", "yes")))
	h := http.Header{
		platformtest.HeaderRequestID: {"1"}, platformtest.HeaderDeadline: {"9000"}, platformtest.HeaderExpect: {"forged"}, "Connection": {"close, X-Hop"},
		"X-Hop": {"1"}, "X-Own": {"a", "b"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"},
	}
	r := &upstream.Request{ID: "1", Method: "POST", Head: platform.Head("POST", "/p/a%2Fb?x=1", "h.example", h, 4), Body: []byte("body")}
	send(t.Context(), upstream.NewPool(osclock.New()), s, r)
	sent := <-s.requests
	left := sent.Header.Get(platformtest.HeaderDeadline)
	sent.Header.Del(platformtest.HeaderDeadline)
	want := http.Header{platformtest.HeaderRequestID: {"1"}, platformtest.HeaderExpect: {"t1"}, "X-Own": {"a", "b"}, "Content-Length": {"4"}}
	if diff := cmp.Diff(want, sent.Header); diff != "" {
		t.Errorf("header (-want +got):\n%s", diff)
	}
	if sent.RequestURI != "/p/a%2Fb?x=1" || sent.Host != "h.example" || len(left) > 4 || left == "" {
		t.Errorf("sent %s to %s with %s ms left", sent.RequestURI, sent.Host, left)
	}
}

// endless writes text again and again until the connection is closed, and counts the
// bytes.
func endless(before, text string, written *atomic.Int64) connScript {
	return func(c net.Conn, next func() *http.Request) {
		if next() == nil {
			return
		}
		_, _ = io.WriteString(c, before)
		chunk := []byte(strings.Repeat(text, 1+4096/len(text)))
		for {
			n, err := c.Write(chunk)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
}

// TestEndlessAnswers guards against a target that sends bytes without end: the send
// must fail soon, and the bytes that are read must be bounded.
func TestEndlessAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		before, text string
		limit        int64 // bytes that the target may have written, buffers of the system included
	}{
		"status line":       {"", "x", 12 << 20},
		"header line":       {"HTTP/1.1 200 OK\r\nX-Long: ", "x", 12 << 20},
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-Many: x\r\n", 12 << 20},
		"interim answers":   {"", "HTTP/1.1 100 Continue\r\n\r\n", 12 << 20},
		"body without size": {"HTTP/1.1 200 OK\r\n\r\n", "x", 20 << 20},
		"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 20 << 20},
		"chunk extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", 20 << 20},
		"trailers":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Many: x\r\n", 20 << 20},
		"stated size":       {"HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n", "x", 12 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			pool := upstream.NewPool(osclock.New())
			target := newScriptedTarget(t, endless(c.before, c.text, &written), answerEach(answer("2", "yes")))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if got := send(ctx, pool, target, request("1")); got.Outcome != replica.Lost {
				t.Errorf("outcome %q, want %q", got.Outcome, replica.Lost)
			}
			if got := written.Load(); got > c.limit {
				t.Errorf("the target wrote %d bytes, want at most %d", got, c.limit)
			}
			if got := send(t.Context(), pool, target, request("2")); got.Outcome != replica.Answered {
				t.Errorf("the next request ended as %q, want %q", got.Outcome, replica.Answered)
			}
		})
	}
}

// TestStatedSizesTakeNoMemory guards against targets that state a large body and send
// little of it: many of them must not use up the memory of the process.
func TestStatedSizesTakeNoMemory(t *testing.T) {
	const sends = 100
	script := func(c net.Conn, next func() *http.Request) {
		if next() != nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\nx")
			_, _ = io.Copy(io.Discard, c)
		}
	}
	scripts := make([]connScript, sends)
	for i := range scripts {
		scripts[i] = script
	}
	target := newScriptedTarget(t, scripts...)
	pool := upstream.NewPool(osclock.New())
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	for range sends {
		wait.Go(func() { send(ctx, pool, target, request("1")) })
	}
	time.Sleep(300 * time.Millisecond)
	var used runtime.MemStats
	runtime.ReadMemStats(&used)
	cancel()
	wait.Wait()
	if limit := uint64(64 << 20); used.HeapAlloc > limit {
		t.Errorf("%d bytes of memory in use for %d answers of which one byte has arrived, want at most %d", used.HeapAlloc, sends, limit)
	}
}

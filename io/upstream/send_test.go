package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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

// standIn is a target that answers each connection by a script.
type standIn struct {
	listener net.Listener
	requests chan *http.Request
}

// connScript serves one connection.
type connScript func(c net.Conn, next func() *http.Request)

func newStandIn(t *testing.T, scripts ...connScript) *standIn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{listener: l, requests: make(chan *http.Request, 100)}
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

func (s *standIn) serve(c net.Conn, script connScript) {
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

// say answers each request with the next text.
func say(texts ...string) connScript {
	return func(c net.Conn, next func() *http.Request) {
		for _, text := range texts {
			if next() == nil {
				return
			}
			_, _ = io.WriteString(c, text)
		}
		_, _ = io.Copy(io.Discard, c) // keeps the connection open
	}
}

// sayAndClose answers one request and closes the connection.
func sayAndClose(text string) connScript {
	return func(c net.Conn, next func() *http.Request) {
		if next() != nil {
			_, _ = io.WriteString(c, text)
		}
	}
}

// answer is a success to the request id.
func answer(id, body string, headers ...string) string {
	return "HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ": " + id + "\r\n" + platformtest.HeaderDigest + ": st-" + id + "\r\n" + strings.Join(append(headers, ""), "\r\n") +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func request(id string) *upstream.Request {
	return &upstream.Request{ID: id, Method: "GET", Head: platform.Head("GET", "/p/"+id, "h.example", http.Header{platformtest.HeaderRequestID: {id}}, 0)}
}

type got struct {
	Outcome replica.Outcome
	Body    string
	Digest  string
}

func send(ctx context.Context, p *upstream.Pool, s *standIn, r *upstream.Request) got {
	res := p.Send(ctx, r, "t1", s.listener.Addr().String(), clock.Second)
	return got{res.Outcome, string(res.Answer.Body), res.Answer.Digest}
}

// TestAnswers guards the promise that a caller gets the whole answer to its own
// request: what targets may send in its place must not be taken for it.
func TestAnswers(t *testing.T) {
	ok := got{replica.Answered, "yes", "st-1"}
	lost := got{Outcome: replica.Lost}
	for name, c := range map[string]struct {
		script connScript
		want   got
	}{
		"plain":                     {say(answer("1", "yes")), ok},
		"without a length":          {sayAndClose("HTTP/1.1 200 OK\r\n" + platformtest.HeaderDigest + ": st-1\r\n\r\nyes"), ok},
		"chunked":                   {say("HTTP/1.1 200 OK\r\n" + platformtest.HeaderDigest + ": st-1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n"), ok},
		"after an interim answer":   {say("HTTP/1.1 103 Early Hints\r\n\r\n" + answer("1", "yes")), ok},
		"after an earlier one":      {say(answer("0", "no") + answer("1", "yes")), ok},
		"cut short":                 {sayAndClose("HTTP/1.1 200 OK\r\n" + platformtest.HeaderDigest + ": st-1\r\nContent-Length: 9\r\n\r\nyes"), lost},
		"chunks cut short":          {sayAndClose("HTTP/1.1 200 OK\r\n" + platformtest.HeaderDigest + ": st-1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n"), lost},
		"garbage":                   {sayAndClose("\x00\x01 what?\r\n\r\n"), lost},
		"no digest":                 {say("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"), lost},
		"encoded":                   {say(answer("1", "yes", "Content-Encoding: gzip")), lost},
		"only to another request":   {sayAndClose(answer("0", "no")), lost},
		"closed without an answer":  {sayAndClose(""), lost},
		"failure":                   {say("HTTP/1.1 500 Oops\r\n" + platformtest.HeaderDigest + ": st-1\r\nContent-Length: 0\r\n\r\n"), got{replica.Failed, "", "st-1"}},
		"shed":                      {say("HTTP/1.1 503 Full\r\n" + platformtest.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"), got{Outcome: replica.Shed}},
		"unavailable, may have run": {say("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"), got{Outcome: replica.Failed}},
		"another target there":      {say("HTTP/1.1 421 Misdirected\r\n" + platformtest.HeaderTarget + ": t2\r\nContent-Length: 0\r\n\r\n"), got{Outcome: replica.Replaced}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStandIn(t, c.script)
			if diff := cmp.Diff(c.want, send(t.Context(), upstream.NewPool(osclock.New()), s, request("1"))); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReuse guards against a request on a connection that may carry bytes of
// another answer or that the target is closing, and against a new connection
// for each request.
func TestReuse(t *testing.T) {
	for name, c := range map[string]struct {
		scripts []connScript
		pause   time.Duration
		opened  int64
	}{
		"kept":                     {[]connScript{say(answer("1", "yes"), answer("2", "yes"))}, 0, 1},
		"close asked for":          {[]connScript{say(answer("1", "yes", "Connection: close"), answer("2", "no")), say(answer("2", "yes"))}, 0, 2},
		"bytes after the answer":   {[]connScript{say(answer("1", "yes") + answer("1", "no")), say(answer("2", "yes"))}, 0, 2},
		"closed while idle":        {[]connScript{sayAndClose(answer("1", "yes")), say(answer("2", "yes"))}, 50 * time.Millisecond, 2},
		"idle for too long":        {[]connScript{say(answer("1", "yes", "Keep-Alive: timeout=1"), answer("2", "no")), say(answer("2", "yes"))}, 900 * time.Millisecond, 2},
		"earlier answer read past": {[]connScript{say(answer("0", "no")+answer("1", "yes"), answer("2", "no")), say(answer("2", "yes"))}, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStandIn(t, c.scripts...)
			p := upstream.NewPool(osclock.New())
			for _, id := range []string{"1", "2"} {
				want := got{replica.Answered, "yes", "st-" + id}
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

// TestNoConnection guards the statement that a request has not run when its
// target refuses connections.
func TestNoConnection(t *testing.T) {
	s := newStandIn(t)
	time.Sleep(20 * time.Millisecond)
	if diff := cmp.Diff(got{Outcome: replica.Unsent}, send(t.Context(), upstream.NewPool(osclock.New()), s, request("1"))); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

// TestCancel guards against targets that work on after the caller has left: a
// canceled send must close its connection at once.
func TestCancel(t *testing.T) {
	closed := make(chan error, 1)
	s := newStandIn(t, func(c net.Conn, next func() *http.Request) {
		next()
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := c.Read(make([]byte, 1))
		closed <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	if diff := cmp.Diff(got{Outcome: replica.Canceled}, send(ctx, upstream.NewPool(osclock.New()), s, request("1"))); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
	if err := <-closed; !errors.Is(err, io.EOF) {
		t.Errorf("the target saw %v, want the end of the connection", err)
	}
}

// TestWhatIsSent guards what a target needs to refuse a request that is not for
// it or is out of time, and headers that concern one connection only.
func TestWhatIsSent(t *testing.T) {
	s := newStandIn(t, say(answer("1", "yes")))
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

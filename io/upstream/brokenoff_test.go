package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/io/osclock"
	"knapweedstall/io/upstream"
	"knapweedstall/platform"
	"knapweedstall/platform/platformtest"
)

func startEarlyTarget(t *testing.T, text string, end func(c *net.TCPConn)) *platformtest.EarlyTarget {
	t.Helper()
	target, err := platformtest.StartEarlyTarget(text, end)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	return target
}

// longRequest returns a request with as many bytes of header and body as stated.
func longRequest(headerBytes, bodyBytes int) *upstream.Request {
	header := http.Header{platformtest.HeaderRequestID: {"1"}, "X-Fill": {strings.Repeat("h", headerBytes)}}
	return &upstream.Request{
		ID: "1", Method: "POST", Head: platform.Head("POST", "/p/1", "h.example", header, bodyBytes), Body: []byte(strings.Repeat("b", bodyBytes)),
	}
}

// TestAnswerBesideUnfinishedWrite guards against an answer without a length that was broken
// off while the request was being written and counted as whole: the write got the error of
// the reset, and the read an end of file. Whole answers still count.
func TestAnswerBesideUnfinishedWrite(t *testing.T) {
	const attempts = 10 // either the write or the read may get the error
	head := "HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ": 1\r\n" + platformtest.HeaderDigest + ": st-1\r\n"
	half := strings.Repeat("half ", 600)
	reset := func(*net.TCPConn) {} // closing it with unread bytes resets it
	readOn := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	for name, c := range map[string]struct {
		answer string
		end    func(*net.TCPConn)
		want   replica.Outcome
	}{
		"half a body without a length": {head + "\r\n" + half, reset, replica.Lost},
		"no byte of a body":            {head + "\r\n", reset, replica.Lost},
		"half a failure":               {strings.Replace(head, "200 OK", "500 Oops", 1) + "\r\n" + half, reset, replica.Lost},
		"half a refusal":               {"HTTP/1.1 503 Full\r\n" + platformtest.HeaderNotRun + ": 1\r\n\r\n" + half, reset, replica.Lost},
		"half of a stated length":      {head + "Content-Length: 6000\r\n\r\n" + half, reset, replica.Lost},
		"half of the chunks":           {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", reset, replica.Lost},
		"half a head":                  {head, reset, replica.Lost},
		"whole, stated length":         {head + "Content-Length: 3000\r\n\r\n" + half, reset, replica.Answered},
		"whole, chunks":                {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n", reset, replica.Answered},
		"whole, orderly end":           {head + "\r\n" + half, readOn, replica.Answered},
	} {
		for size, request := range map[string]*upstream.Request{"large body": longRequest(0, 250_000), "small body": longRequest(0, 16_000)} {
			t.Run(name+", "+size, func(t *testing.T) {
				t.Parallel()
				target := startEarlyTarget(t, c.answer, c.end)
				pool := upstream.NewPool(osclock.New(), upstream.WithDial(platformtest.DialSmall))
				for range attempts {
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					got := pool.Send(ctx, request, "t1", target.Address(), 2*clock.Second)
					cancel()
					if got.Outcome != c.want {
						t.Errorf("outcome %q with %d bytes of body, want %q; error %v", got.Outcome, len(got.Answer.Body), c.want, got.Err)
					}
				}
			})
		}
	}
}

// TestAnswerBesideBlockedWrite guards against a whole answer that is lost, or waited for,
// because its target does not read the rest of a request with a large body or a large head.
func TestAnswerBesideBlockedWrite(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ": 1\r\n" + platformtest.HeaderDigest + ": st-1\r\n"
	for framing, answer := range map[string]string{"no length": head + "\r\nyes", "length": head + "Content-Length: 3\r\n\r\nyes"} {
		for size, request := range map[string]*upstream.Request{"body": longRequest(0, 250_000), "head": longRequest(60_000, 16_000)} {
			t.Run(framing+", large "+size, func(t *testing.T) {
				t.Parallel()
				released := make(chan struct{})
				target := startEarlyTarget(t, answer, func(c *net.TCPConn) {
					_ = c.CloseWrite()
					<-released
				})
				defer close(released)
				pool := upstream.NewPool(osclock.New(), upstream.WithDial(platformtest.DialSmall))
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				got := pool.Send(ctx, request, "t1", target.Address(), 2*clock.Second)
				if got.Outcome != replica.Answered || string(got.Answer.Body) != "yes" {
					t.Errorf("outcome %q with the body %q, want the answer; error %v", got.Outcome, got.Answer.Body, got.Err)
				}
			})
		}
	}
}

package upstream_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"knapweedstall/core/replica"
	"knapweedstall/io/osclock"
	"knapweedstall/io/upstream"
	"knapweedstall/platform/platformtest"
)

// TestCutAnswers guards against an answer that the target has left off, in its head or in
// its body, counting as a whole one or as a proof that the request has not run. Each
// answer is cut after each of its bytes, on a new connection and on one in use.
func TestCutAnswers(t *testing.T) {
	head := func(status string, headers ...string) string {
		return "HTTP/1.1 " + status + "\r\n" + platformtest.HeaderRequestID + ": 1\r\n" + strings.Join(append(headers, "", ""), "\r\n")
	}
	digest, notRun := platformtest.HeaderDigest+": st-1", platformtest.HeaderNotRun+": 1"
	for name, c := range map[string]struct {
		text  string
		whole int // number of bytes from which on the answer may count
	}{
		"length":           {head("200 OK", digest, "Content-Length: 12") + "twelve bytes", -1},
		"length first":     {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + digest + "\r\n\r\ntwelve bytes", -1},
		"empty body":       {head("200 OK", digest, "Content-Length: 0"), -1},
		"chunks":           {head("200 OK", digest, "Transfer-Encoding: chunked") + "5\r\ntwelv\r\n7\r\ne bytes\r\n0\r\n\r\n", -1},
		"chunks, trailer":  {head("200 OK", digest, "Transfer-Encoding: chunked") + "5\r\ntwelv\r\n0\r\nX-Sum: 1\r\n\r\n", -1},
		"no length":        {head("200 OK", digest) + "twelve bytes", len(head("200 OK", digest))}, // ends with its connection
		"after an interim": {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head("200 OK", digest, "Content-Length: 3") + "yes", -1},
		"after another":    {answer("0", "no") + head("200 OK", digest, "Content-Length: 3") + "yes", -1},
		"refusal":          {head("503 Full", notRun, "Content-Length: 0"), -1},
		"refusal, body":    {head("503 Full", notRun, "Content-Length: 4") + "full", -1},
		"another target":   {head("421 Misdirected", "Content-Length: 0"), -1},
		"failure":          {head("500 Oops", digest, "Content-Length: 4") + "oops", -1},
	} {
		t.Run(name, func(t *testing.T) {
			whole := c.whole
			if whole < 0 {
				whole = len(c.text)
			}
			for cut := range whole {
				for _, used := range []bool{false, true} {
					s := newScriptedTarget(t, func(conn net.Conn, next func() *http.Request) {
						if used && next() != nil {
							_, _ = io.WriteString(conn, answer("9", "first"))
						}
						if next() != nil {
							_, _ = io.WriteString(conn, c.text[:cut])
						}
					})
					p := upstream.NewPool(osclock.New())
					if used {
						send(t.Context(), p, s, request("9"))
					}
					if got := send(t.Context(), p, s, request("1")); got.Outcome != replica.Lost {
						t.Errorf("cut after %d of %d bytes, connection in use %v: outcome %q, want %q", cut, whole, used, got.Outcome, replica.Lost)
					}
				}
			}
		})
	}
}

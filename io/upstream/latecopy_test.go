package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/replica"
	"knapweedstall/io/osclock"
	"knapweedstall/io/upstream"
	"knapweedstall/platform/platformtest"
)

// copyFirstLate answers the requests on a connection with the texts in turn. Before it
// answers the last one, it sends another copy of its first answer.
func copyFirstLate(texts ...string) connScript {
	return func(c net.Conn, next func() *http.Request) {
		for i, text := range texts {
			if next() == nil {
				return
			}
			if i == len(texts)-1 {
				text = texts[0] + text
			}
			_, _ = io.WriteString(c, text)
		}
		_, _ = io.Copy(io.Discard, c)
	}
}

// failedAnswer returns an answer without success to the request id; "" states no id.
func failedAnswer(status int, id, header string) string {
	if id != "" {
		header += platformtest.HeaderRequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Failed\r\n%sContent-Length: 0\r\n\r\n", status, header)
}

// TestLateCopyIsNotAnswerToSecondSend guards against a request that is said not to have
// run although it runs: a late copy of the answer to its first send must not count as the
// answer to its second send, however many other requests are sent in between.
func TestLateCopyIsNotAnswerToSecondSend(t *testing.T) {
	const notRun = platformtest.HeaderNotRun + ": 1\r\n"
	for name, c := range map[string]struct {
		first  string // answer to the first send
		want   replica.Outcome
		others int // requests that are sent between the two sends
	}{
		"refusal":                  {failedAnswer(503, "1", notRun), replica.Shed, 0},
		"refusal, 50 others since": {failedAnswer(503, "1", notRun), replica.Shed, 50},
		"refusal without an id":    {failedAnswer(503, "", notRun), replica.Shed, 0},
		"another target":           {failedAnswer(421, "1", ""), replica.Replaced, 0},
		"failure":                  {failedAnswer(500, "1", ""), replica.Failed, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			texts := []string{c.first}
			for i := range c.others {
				texts = append(texts, answer(fmt.Sprintf("other-%d", i), "yes"))
			}
			s := newScriptedTarget(t, copyFirstLate(append(texts, answer("1", "late"))...), answerEach(answer("1", "yes")))
			p := upstream.NewPool(osclock.New())
			if got := send(t.Context(), p, s, request("1")).Outcome; got != c.want {
				t.Fatalf("first send ended as %q, want %q", got, c.want)
			}
			for i := range c.others {
				if got := send(t.Context(), p, s, request(fmt.Sprintf("other-%d", i))).Outcome; got != replica.Answered {
					t.Fatalf("another request ended as %q, want %q", got, replica.Answered)
				}
			}
			if diff := cmp.Diff(sendResult{replica.Answered, "yes", "st-1"}, send(t.Context(), p, s, request("1"))); diff != "" {
				t.Errorf("second send (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLateCopyWithoutIDIsNoAnswer guards against a request that gets a late copy of
// another one's answer, which states no id.
func TestLateCopyWithoutIDIsNoAnswer(t *testing.T) {
	refusal := failedAnswer(503, "", platformtest.HeaderNotRun+": 1\r\n")
	s := newScriptedTarget(t, copyFirstLate(refusal, answer("2", "late")), answerEach(answer("2", "yes")))
	p := upstream.NewPool(osclock.New())
	send(t.Context(), p, s, request("1"))
	if diff := cmp.Diff(sendResult{replica.Answered, "yes", "st-2"}, send(t.Context(), p, s, request("2"))); diff != "" {
		t.Errorf("second request (-want +got):\n%s", diff)
	}
}

// TestRefusedRequestKeepsConnection guards against a new connection for each refusal:
// other requests are sent on the connection that carried a refused one.
func TestRefusedRequestKeepsConnection(t *testing.T) {
	refusal := failedAnswer(503, "1", platformtest.HeaderNotRun+": 1\r\n")
	s := newScriptedTarget(t, answerEach(refusal, answer("2", "yes"), answer("3", "yes")))
	p := upstream.NewPool(osclock.New())
	for _, id := range []string{"1", "2", "3"} {
		send(t.Context(), p, s, request(id))
	}
	if got := p.Opened(); got != 1 {
		t.Errorf("%d connections opened, want 1", got)
	}
}

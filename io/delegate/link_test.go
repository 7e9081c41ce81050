package delegate

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// TestAnswerAfterLinkIsClosed guards against an answer that was read just before its
// link was closed: it was sent to a closed channel, which ended the process.
func TestAnswerAfterLinkIsClosed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, err := websocket.Accept(w, r, nil); err == nil {
			_, _, _ = c.Read(r.Context())
		}
	}))
	t.Cleanup(server.Close)
	conn, _, err := websocket.Dial(t.Context(), strings.Replace(server.URL, "http", "ws", 1), nil) //nolint:bodyclose // Dial closes it
	if err != nil {
		t.Fatal(err)
	}
	l := &link{conn: conn, waiting: map[uint64]chan Answer{}}
	number, answers, err := l.addRequest()
	if err != nil {
		t.Fatal(err)
	}
	NewClient().closeLink(l, errors.New("the ping was not answered"))
	l.handle(message{Number: number, Answer: &Answer{}})
	if a, ok := <-answers; ok {
		t.Errorf("answer %+v on a closed link, want none", a)
	}
}

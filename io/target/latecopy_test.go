package target_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/io/target"
)

// formatReply returns the reply of a target to a call; an empty id is not stated.
func formatReply(status int, id, body string) string {
	if id != "" {
		id = target.HeaderCall + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, len(body), body)
}

// serveCopies starts a target that sheds its first call and answers all others, and that
// sends another copy of its first reply before its second one on the same connection.
func serveCopies(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn, first bool) {
		defer c.Close()
		reader, late := bufio.NewReader(c), ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get(target.HeaderCall)
			reply := formatReply(http.StatusOK, id, `{"state":"warm","bears":2,"items":[]}`)
			if first {
				reply = formatReply(http.StatusServiceUnavailable, id, `{"state":"warm","bears":2,"status":"shed","retryAfterMs":5}`)
			}
			_, _ = io.WriteString(c, late+reply)
			if first {
				late = reply
			}
			first = false
		}
	}
	go func() {
		for first := true; ; first = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, first)
		}
	}()
	return l.Addr().String()
}

// TestLateCopyIsNoRefusal guards against a call that is said not to have run although it
// runs: a late copy of the refusal of an earlier call must not count as its answer.
func TestLateCopyIsNoRefusal(t *testing.T) {
	address := serveCopies(t)
	c := target.NewClient(4, clock.Second)
	status := func(id string) (target.CallStatus, string) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		a, err := c.Do(ctx, target.Call{Address: address, ID: id, Run: true})
		var lost *target.LostError
		switch {
		case errors.As(err, &lost):
			return "", "lost"
		case err != nil:
			return "", err.Error()
		}
		return a.Status, ""
	}
	type outcome struct {
		Status target.CallStatus
		Err    string
	}
	want := []outcome{{target.CallShed, ""}, {"", "lost"}, {target.CallOK, ""}, {target.CallOK, ""}}
	var got []outcome
	for i := range want {
		s, err := status(fmt.Sprint("call-", i))
		got = append(got, outcome{s, err})
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

package ingress

import (
	"fmt"
	"net/http"
	"testing"
)

// TestHandlerAnswersOptions guards against a success for OPTIONS * that comes from
// http.Server and from no target.
func TestHandlerAnswersOptions(t *testing.T) {
	s, _ := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	go func() { _ = s.Serve() }() // ends with the test
	c := dial(t, s)
	if _, err := fmt.Fprint(c, "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("status %d, want that of the handler", resp.StatusCode)
	}
}

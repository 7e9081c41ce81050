package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"knapweedstall/io/body"
)

// TestBodiesOfCallersAreBounded guards against callers whose bodies, all of them within the
// limit for one, together take the memory of the process.
func TestBodiesOfCallersAreBounded(t *testing.T) {
	const size, most = 8 << 10, 64 << 10
	g := newFaultyGateway()
	g.bodies = body.NewReader(body.Limits{Most: 1 << 20, Small: 1 << 10, Total: most})
	read := func() (status int, retryAfter string, release func()) {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "http://h/plain/x", strings.NewReader(strings.Repeat("x", size)))
		_, release, ok := g.readBody(w, r, 1<<20)
		if ok {
			return 0, "", release
		}
		return w.Code, w.Header().Get("Retry-After"), release
	}
	held := 0
	for ; held < most/size+1; held++ {
		status, retryAfter, release := read()
		defer release()
		if status != 0 {
			if status != http.StatusServiceUnavailable || retryAfter == "" {
				t.Errorf("status %d, Retry-After %q; want 503 and a time", status, retryAfter)
			}
			break
		}
	}
	if held < 2 || held > most/size {
		t.Errorf("%d bodies of %d bytes were read, want up to %d", held, size, most/size)
	}
}

package relay_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/view"
	"knapweedstall/io/relay"
)

// source is a relay.Source with one kind of objects.
type source struct {
	mu      sync.Mutex
	kind    view.Copy
	age     clock.Duration
	changed chan struct{}
}

func (s *source) Since(have map[string]view.Revision) (relay.Frame, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := relay.Frame{Age: s.age, Deltas: map[string]view.Delta{}}
	if s.kind.Revision > have["k"] {
		f.Deltas["k"] = s.kind.Since(have["k"])
	}
	return f, s.changed
}

func (s *source) set(k view.Copy, age clock.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kind, s.age = k, age
	close(s.changed)
	s.changed = make(chan struct{})
}

func startSource(t *testing.T, heartbeat clock.Duration) (*source, string) {
	objects := map[string]view.Object{"a": {Revision: 3, Spec: []byte("x")}}
	s := &source{kind: view.NewCopy(objects, 5), changed: make(chan struct{})}
	h := httptest.NewServer(relay.NewServer(s, heartbeat))
	t.Cleanup(h.CloseClientConnections)
	return s, strings.TrimPrefix(h.URL, "http://")
}

// TestFollow checks that a follower first gets the changes that it lacks, then new
// changes at once, and the information that its source is no longer up to date.
func TestFollow(t *testing.T) {
	s, address := startSource(t, 50*clock.Millisecond)
	var deltas []view.Delta
	err := relay.Follow(t.Context(), address, map[string]view.Revision{"k": 2}, clock.Second, func(f relay.Frame) bool {
		if d, ok := f.Deltas["k"]; ok {
			deltas = append(deltas, d)
			if len(deltas) == 1 {
				s.set(s.kind.Apply([]view.Event{{Name: "a", Deleted: true}}, 7), 0)
			} else {
				s.set(s.kind, 900)
			}
		}
		return f.Age < 900
	})
	if err != nil {
		t.Fatal(err)
	}
	want := []view.Delta{
		{Revision: 5, Full: true, Objects: map[string]view.Object{"a": {Revision: 3, Spec: []byte("x")}}},
		{Revision: 7, Objects: map[string]view.Object{}, Removed: []string{"a"}},
	}
	if diff := cmp.Diff(want, deltas); diff != "" {
		t.Errorf("deltas (-want +got):\n%s", diff)
	}
}

// TestSilentSource guards against a follower that keeps waiting for a source that has
// stopped sending without closing the connection.
func TestSilentSource(t *testing.T) {
	_, address := startSource(t, clock.Minute)
	started := time.Now()
	if err := relay.Follow(t.Context(), address, nil, 100*clock.Millisecond, func(relay.Frame) bool { return true }); err == nil {
		t.Error("following a silent source did not fail")
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("the silent source was detected after %v, want at most 1s", took)
	}
}

// TestMalformedFrames guards against a source that sends a frame that is too large, has
// no end or can't be decoded: following it must fail, and the memory must be bounded.
func TestMalformedFrames(t *testing.T) {
	for name, send := range map[string]func(ctx context.Context, c *websocket.Conn) error{
		"not CBOR": func(ctx context.Context, c *websocket.Conn) error {
			return c.Write(ctx, websocket.MessageBinary, []byte("{}"))
		},
		"deep": func(ctx context.Context, c *websocket.Conn) error {
			return c.Write(ctx, websocket.MessageBinary, bytes.Repeat([]byte{0x81}, 1<<20))
		},
		"false size": func(ctx context.Context, c *websocket.Conn) error {
			return c.Write(ctx, websocket.MessageBinary, []byte{0xa1, 2, 0xbb, 0, 0, 0, 0x7f, 0xff, 0xff, 0xff, 0xff})
		},
		"endless": func(ctx context.Context, c *websocket.Conn) error {
			w, err := c.Writer(ctx, websocket.MessageBinary)
			for chunk := make([]byte, 1<<16); err == nil; {
				_, err = w.Write(chunk)
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c, err := websocket.Accept(w, r, nil)
				if err != nil {
					return
				}
				defer func() { _ = c.CloseNow() }()
				if _, _, err := c.Read(r.Context()); err == nil {
					_ = send(r.Context(), c)
				}
				_, _, _ = c.Read(r.Context()) // until the follower disconnects
			}))
			t.Cleanup(server.CloseClientConnections)
			address := strings.TrimPrefix(server.URL, "http://")
			if err := relay.Follow(t.Context(), address, nil, 5*clock.Second, func(relay.Frame) bool { return true }); err == nil {
				t.Error("the frame was accepted")
			}
			var used runtime.MemStats
			runtime.ReadMemStats(&used)
			if limit := uint64(128 << 20); used.HeapAlloc > limit {
				t.Errorf("%d bytes of memory in use, want at most %d", used.HeapAlloc, limit)
			}
		})
	}
}

package relay_test

import (
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

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

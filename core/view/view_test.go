package view_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedstall/core/view"
)

// store is a model of the platform's store that keeps each change.
type store struct {
	at      view.Revision
	objects map[string]view.Object
	log     []view.Event // changes of revision 1, 2, …
}

func (s *store) change(name string, deleted bool) {
	if _, ok := s.objects[name]; deleted && !ok {
		return
	}
	s.at++
	e := view.Event{Name: name, Deleted: deleted, Object: view.Object{Revision: s.at, Spec: fmt.Append(nil, s.at)}}
	s.log = append(s.log, e)
	if deleted {
		delete(s.objects, name)
		return
	}
	s.objects[name] = e.Object
}

func (s *store) list() view.Copy {
	objects := map[string]view.Object{}
	for name, o := range s.objects {
		objects[name] = o
	}
	return view.NewCopy(objects, s.at)
}

// TestCopiesConverge checks that a copy neither loses an object nor keeps a removed
// one. Three copies read the store by lists and watches, or merge deltas from each
// other, in any order. A copy at the store's revision must equal the store.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{objects: map[string]view.Object{}}
		copies := make([]view.Copy, 3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i, j := rapid.IntRange(0, 2).Draw(t, "i"), rapid.IntRange(0, 2).Draw(t, "j")
			before := copies[i].Revision
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				s.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "deleted"))
			case 3:
				if c := s.list(); c.Revision >= copies[i].Revision && c.Revision > 0 {
					copies[i] = c
				}
			case 4:
				if before > 0 {
					copies[i] = copies[i].Apply(s.log[before:], s.at)
				}
			case 5:
				copies[i] = copies[i].Merge(copies[j].Since(before))
			}
			if copies[i].Revision < before {
				t.Fatalf("revision of a copy fell from %d to %d", before, copies[i].Revision)
			}
			if copies[i].Revision != s.at || s.at == 0 {
				continue
			}
			if diff := cmp.Diff(s.objects, copies[i].Objects); diff != "" {
				t.Fatalf("copy at revision %d (-store +copy):\n%s", s.at, diff)
			}
		}
	})
}

// TestDeltaWithoutChanges checks that a delta is empty when nothing has changed,
// since it is sent with each heartbeat.
func TestDeltaWithoutChanges(t *testing.T) {
	s := &store{objects: map[string]view.Object{}}
	s.change("a", false)
	c := s.list()
	s.change("b", false)
	c = c.Apply(s.log[1:], s.at)
	want := view.Delta{Revision: 2, Objects: map[string]view.Object{}}
	if diff := cmp.Diff(want, c.Since(2)); diff != "" {
		t.Errorf("delta (-want +got):\n%s", diff)
	}
	if got := c.Since(1).Full; got {
		t.Error("the delta since the listed revision holds all objects")
	}
}

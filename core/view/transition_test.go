package view_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/view"
)

// TestRevisionsOfErasAreOrdered guards against a copy of a restored store that counts as
// older than one that was made before, since revisions are given out again. Without eras,
// a revision must have the number that older builds send.
func TestRevisionsOfErasAreOrdered(t *testing.T) {
	if got := view.NewRevision(0, 530); got != 530 {
		t.Errorf("revision %d of era 0, want 530", got)
	}
	before, after := view.NewRevision(2, 900), view.NewRevision(3, 17)
	if before >= after {
		t.Errorf("revision %v is not before %v", before, after)
	}
	if after.Era() != 3 || after.Number() != 17 || after.String() != "3/17" {
		t.Errorf("revision %v has era %d and number %d", after, after.Era(), after.Number())
	}
	c := view.NewCopy(map[string]view.Object{"a": {Revision: after}}, after)
	if d := c.Since(before); !d.Full {
		t.Error("an instance with a copy of the earlier era does not get all objects")
	}
}

// TestTransition plays a store that has lost its latest changes. It guards against
// objects that are gone until their writer writes them again, removed ones that are used
// again, and against keeping an old version after the writer has written a new one.
func TestTransition(t *testing.T) {
	at := view.NewRevision
	object := func(r view.Revision, spec string) view.Object { return view.Object{Revision: r, Spec: []byte(spec)} }
	last := view.NewCopy(map[string]view.Object{
		"same": object(at(1, 1), "x"), "changed": object(at(1, 2), "old"), "left": object(at(1, 3), "x"), "gone": object(at(1, 4), "x"),
	}, at(1, 10)).Apply([]view.Event{
		{Name: "changed", Object: object(at(1, 11), "new")},
		{Name: "added", Object: object(at(1, 12), "x")},
		{Name: "left", Deleted: true},
		{Name: "gone", Deleted: true},
	}, at(1, 14))
	first := view.NewCopy(map[string]view.Object{
		"same": object(at(2, 1), "x"), "changed": object(at(2, 2), "old"), "left": object(at(2, 3), "x"), "gone": object(at(2, 4), "x"),
	}, at(2, 10))
	transition := view.NewTransition(last, first)
	keepLast := func(last, _ view.Object) view.Object { return last }
	check := func(name string, current view.Copy, want map[string]string) {
		got := map[string]string{}
		for name, o := range transition.Objects(current, keepLast) {
			got[name] = string(o.Spec)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("objects %s (-want +got):\n%s", name, diff)
		}
	}
	check("at first", first, map[string]string{"same": "x", "changed": "new", "added": "x"})
	later := first.Apply([]view.Event{
		{Name: "changed", Object: object(at(2, 11), "newest")},
		{Name: "left", Object: object(at(2, 12), "back")},
		{Name: "added", Object: object(at(2, 13), "x")},
		{Name: "added", Deleted: true},
	}, at(2, 14))
	check("after they are written again", later, map[string]string{"same": "x", "changed": "newest", "left": "back"})
}

// TestSecondTransition plays a store that is restored twice in short time. It guards against
// objects that the first transition has kept, and that are gone with the second one, and
// against removed ones that are used again.
func TestSecondTransition(t *testing.T) {
	at := view.NewRevision
	object := func(r view.Revision, spec string) view.Object { return view.Object{Revision: r, Spec: []byte(spec)} }
	old := func(era view.Era) view.Copy {
		return view.NewCopy(map[string]view.Object{"same": object(at(era, 1), "x"), "left": object(at(era, 2), "x"), "changed": object(at(era, 3), "old")}, at(era, 10))
	}
	last := old(1).Apply([]view.Event{
		{Name: "added", Object: object(at(1, 11), "x")},
		{Name: "changed", Object: object(at(1, 12), "new")},
		{Name: "left", Deleted: true},
	}, at(1, 12))
	keepLast := func(last, _ view.Object) view.Object { return last }
	first := view.NewTransition(last, old(2))
	current := old(2).Apply([]view.Event{{Name: "written", Object: object(at(2, 11), "x")}}, at(2, 11))
	second := view.NewTransition(first.Joined(current, keepLast), old(3))
	got := map[string]string{}
	for name, o := range second.Objects(old(3), keepLast) {
		got[name] = string(o.Spec)
	}
	want := map[string]string{"same": "x", "added": "x", "changed": "new", "written": "x"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("objects (-want +got):\n%s", diff)
	}
}

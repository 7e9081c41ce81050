package source_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/placing"
	"knapweedstall/core/source"
)

// TestOldCopies guards against an instance that acts on copies which are older than changes
// may be and has not asked the store for newer ones, and against one that stops acting
// because the store is away.
func TestOldCopies(t *testing.T) {
	const due = 5 * clock.Second
	newChooser := func() *source.Chooser {
		c := source.New(placing.Instance{ID: "i", Zone: "z"}, due)
		c.SetInstances([]placing.Instance{{ID: "i", Zone: "z"}, {ID: "j", Zone: "z", Address: "j", Capacity: 1}})
		return c
	}
	for name, c := range map[string]struct {
		denied clock.Duration // time since the store last did not answer; 0 for never
		age    clock.Duration
		ask    bool
		acts   bool
	}{
		"up to date":             {0, clock.Second, false, true},
		"asking age":             {0, 2 * clock.Second, true, true},
		"too old":                {0, 5 * clock.Second, true, false},
		"store away":             {clock.Second, 20 * clock.Second, false, true},
		"store away for long":    {13 * clock.Second, 20 * clock.Second, true, true},
		"store was away earlier": {8 * clock.Second, 5 * clock.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			now, chooser := clock.Time(clock.Hour), newChooser()
			if c.denied > 0 {
				chooser.Denied(now.Add(-c.denied))
			}
			if diff := cmp.Diff(c.ask, chooser.AskDue(c.age, now)); diff != "" {
				t.Errorf("asks the store (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.acts, now.Before(chooser.ActUntil(c.age, now))); diff != "" {
				t.Errorf("acts on its copies (-want +got):\n%s", diff)
			}
		})
	}
}

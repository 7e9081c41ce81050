package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/rollout"
	"knapweedstall/core/view"
	"knapweedstall/io/relay"
	"knapweedstall/platform"
)

// manualClock is a clock that a test sets.
type manualClock struct{ now clock.Time }

func (c *manualClock) Now() clock.Time { return c.now }

func (c *manualClock) UnixMillis() int64 { return int64(c.now) }

// TestOptionalKind guards against copies that count as outdated or incomplete, or against
// orders that count as up to date, because the source does not copy the orders.
func TestOptionalKind(t *testing.T) {
	full := func(at view.Revision) view.Delta { return view.Delta{Revision: at, Full: true} }
	frame := relay.Frame{Age: 100, Deltas: map[string]view.Delta{}}
	for _, kind := range requiredKinds {
		frame.Deltas[kind] = full(7)
	}
	orders := full(7)
	type state struct {
		Complete       bool
		Age, OrdersAge clock.Duration
	}
	for name, c := range map[string]struct {
		optional map[string]relay.OptionalDelta
		want     state
	}{
		"older source":    {nil, state{true, 100, noCopyAge}},
		"source with it":  {map[string]relay.OptionalDelta{platform.KindRollouts: {Age: 300, Delta: &orders}}, state{true, 100, 300}},
		"without changes": {map[string]relay.OptionalDelta{platform.KindRollouts: {Age: 300}}, state{true, 100, noCopyAge}},
	} {
		t.Run(name, func(t *testing.T) {
			v := newViews(&manualClock{1000}, []string{platform.KindRollouts}, func(string, view.Copy, clock.Time) {}, func(string, view.Copy) {})
			f := frame
			f.Optional = c.optional
			v.merge(f)
			got := state{v.complete(), v.age(), v.ageOf(platform.KindRollouts)}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
			sent, _ := v.Since(nil)
			if _, ok := sent.Deltas[platform.KindRollouts]; ok {
				t.Error("the orders are among the changes that older builds pass on")
			}
			if _, ok := sent.Optional[platform.KindRollouts]; !ok {
				t.Error("the frame does not tell that this instance copies the orders")
			}
		})
	}
}

// TestVersionIsHeldUntilItsOrderIsKnown guards against sends to a new version by an
// instance that learns of its targets sooner than of its order, and against a service
// without targets because all its targets are new to the instance.
func TestVersionIsHeldUntilItsOrderIsKnown(t *testing.T) {
	old := replica.Listing{ID: "a", Service: "s", Version: "v1", StartedUnixMS: 5}
	later := replica.Listing{ID: "b", Service: "s", Version: "v2", StartedUnixMS: 9}
	type held struct{ Old, New bool }
	for name, c := range map[string]struct {
		first, second []replica.Listing // as listed at 100 and at 200
		at            clock.Time
		want          held
	}{
		"the new one is listed later": {[]replica.Listing{old}, []replica.Listing{old, later}, 200, held{false, true}},
		"both are listed at once":     {[]replica.Listing{later, old}, []replica.Listing{later, old}, 200, held{false, true}},
		"the time is over":            {[]replica.Listing{old}, []replica.Listing{old, later}, 200 + clock.Time(unorderedDelay), held{}},
		"it is the only version":      {[]replica.Listing{old}, []replica.Listing{later}, 200, held{}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newListedVersions()
			l.observe(c.first, 100)
			l.observe(c.second, 200)
			got := held{l.held("s", "v1", c.at), l.held("s", "v2", c.at)}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("held (-want +got):\n%s", diff)
			}
			l.observe(c.second, 200+clock.Time(unorderedDelay))
			if l.held("s", rollout.Version("v2"), c.at) && c.at > 200 {
				t.Error("the version is held for longer")
			}
		})
	}
}

package gateway

import (
	"sync"

	"knapweedstall/core/clock"
	"knapweedstall/core/view"
	"knapweedstall/io/relay"
	"knapweedstall/platform"
)

// followedKinds are the kinds of objects that each instance has a copy of.
var followedKinds = []string{platform.KindConfig, platform.KindTargets, platform.KindEvacuations, platform.KindCrashes}

// views holds the instance's copies of the store's kinds. It implements
// relay.Source.
type views struct {
	clock clock.Clock
	apply func(kind string, k view.Copy) // puts a newer copy in force; called in order

	mu    sync.Mutex
	kinds map[string]view.Copy
	// fresh is, for each kind, when the copy was last known to miss nothing.
	fresh   map[string]clock.Time
	watched map[string]bool // a watch at the store tells of each change at once
	changed chan struct{}   // closed at the next change
}

func newViews(c clock.Clock, apply func(string, view.Copy)) *views {
	return &views{
		clock: c, apply: apply, kinds: map[string]view.Copy{}, fresh: map[string]clock.Time{},
		watched: map[string]bool{}, changed: make(chan struct{}),
	}
}

// kind returns the copy of a kind.
func (v *views) kind(name string) view.Copy {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.kinds[name]
}

// revisions returns the revisions of all copies.
func (v *views) revisions() map[string]view.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	have := map[string]view.Revision{}
	for name, k := range v.kinds {
		have[name] = k.Revision
	}
	return have
}

// update changes the copy of a kind and puts it in force if it became newer.
func (v *views) update(name string, change func(view.Copy) view.Copy) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.change(name, change)
}

func (v *views) change(name string, change func(view.Copy) view.Copy) {
	old := v.kinds[name]
	k := change(old)
	if k.Revision <= old.Revision {
		return
	}
	v.kinds[name] = k
	v.apply(name, k)
	v.wake()
}

// setWatched tells whether the store answers a watch of the kind.
func (v *views) setWatched(name string, watched bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.watched[name] || watched {
		v.fresh[name] = v.clock.Now()
	}
	v.watched[name] = watched
}

// lost notes that the store has been out of reach since at, and tells those that
// follow this instance at once.
func (v *views) lost(at clock.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range followedKinds {
		if v.watched[name] {
			v.watched[name], v.fresh[name] = false, at
		}
	}
	v.wake()
}

// wake tells the followers to look again. The caller holds mu.
func (v *views) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// take brings the copies up to date with another instance's frame.
func (v *views) take(f relay.Frame) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, d := range f.Deltas {
		v.change(name, func(k view.Copy) view.Copy { return k.Merge(d) })
	}
	at := v.clock.Now().Add(-f.Age)
	for _, name := range followedKinds {
		if v.fresh[name].Before(at) {
			v.fresh[name] = at
		}
	}
}

// age returns for how long a change may have been missed.
func (v *views) age() clock.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.oldest()
}

func (v *views) oldest() clock.Duration {
	now, age := v.clock.Now(), clock.Duration(0)
	for _, name := range followedKinds {
		if !v.watched[name] {
			age = max(age, now.Sub(v.fresh[name]))
		}
	}
	return age
}

// complete reports whether there is a copy of each kind.
func (v *views) complete() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range followedKinds {
		if v.kinds[name].Revision == 0 {
			return false
		}
	}
	return true
}

// Since implements relay.Source.
func (v *views) Since(have map[string]view.Revision) (relay.Frame, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := relay.Frame{Age: v.oldest(), Deltas: map[string]view.Delta{}}
	for name, k := range v.kinds {
		if k.Revision > have[name] {
			f.Deltas[name] = k.Since(have[name])
		}
	}
	return f, v.changed
}

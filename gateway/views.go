package gateway

import (
	"slices"
	"sync"

	"knapweedstall/core/clock"
	"knapweedstall/core/view"
	"knapweedstall/io/relay"
	"knapweedstall/platform"
	"knapweedstall/settings"
)

// requiredKinds are the kinds of objects of which each instance keeps a copy. Without
// one of them, it can't serve.
var requiredKinds = []string{
	platform.KindConfig, platform.KindTargets, platform.KindEvacuations, platform.KindCrashes, platform.KindInstances,
}

// optionalKinds returns the kinds of objects of which an instance with the settings keeps
// a copy in addition. Instances with other settings and older builds don't copy them.
func optionalKinds(s settings.Gateway) []string {
	if s.Rollouts == nil {
		return nil
	}
	return []string{platform.KindRollouts}
}

// views holds the instance's copies of the store's objects, one for each kind. It
// implements relay.Source.
type views struct {
	clock clock.Clock
	// apply applies a newer copy; called in the order of the revisions. The changes were made
	// at since or later, as far as is known.
	apply func(kind string, k view.Copy, since clock.Time)
	// restored is called with the first copy of a kind after the store was restored from
	// an older copy.
	restored func(kind string, first view.Copy)
	optional []string // kinds that are copied in addition to requiredKinds

	mu     sync.Mutex
	copies map[string]view.Copy
	// freshAt is, for each kind, when the copy was last known to be up to date.
	freshAt map[string]clock.Time
	watched map[string]bool // a watch of the store returns each change at once
	// storeAway tells that the store has not answered, this instance or the one whose copies
	// it gets, since the copies were last up to date. Entries of live targets may have
	// expired then.
	storeAway bool
	// transitions holds the kinds whose copies are being joined with those of the
	// store's earlier era.
	transitions map[string]*view.Transition
	changed     chan struct{} // closed and replaced at each change
}

func newViews(c clock.Clock, optional []string, apply func(string, view.Copy, clock.Time), restored func(string, view.Copy)) *views {
	return &views{
		clock: c, optional: optional, apply: apply, restored: restored, copies: map[string]view.Copy{}, freshAt: map[string]clock.Time{},
		watched: map[string]bool{}, transitions: map[string]*view.Transition{}, changed: make(chan struct{}),
	}
}

// kinds returns all kinds that are copied.
func (v *views) kinds() []string { return slices.Concat(requiredKinds, v.optional) }

// copyOf returns the copy of a kind.
func (v *views) copyOf(name string) view.Copy {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.copies[name]
}

// revisions returns the revisions of all copies.
func (v *views) revisions() map[string]view.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	have := map[string]view.Revision{}
	for name, k := range v.copies {
		have[name] = k.Revision
	}
	return have
}

// update changes the copy of a kind and applies it if its revision is higher.
func (v *views) update(name string, change func(view.Copy) view.Copy) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.change(name, change)
}

// change is update with mu held.
func (v *views) change(name string, change func(view.Copy) view.Copy) {
	old := v.copies[name]
	k := change(old)
	if k.Revision <= old.Revision {
		return
	}
	v.copies[name] = k
	if old.Revision != 0 && k.Revision.Era() > old.Revision.Era() {
		v.beginTransition(name, old, k)
	}
	v.applyJoined(name)
	v.notify()
}

// setWatched sets whether the store answers a watch of the kind.
func (v *views) setWatched(name string, watched bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.watched[name] || watched {
		v.freshAt[name] = v.clock.Now()
	}
	v.watched[name] = watched
	if watched && name == platform.KindTargets {
		v.storeAway = false
	}
}

// markAway notes that the store does not answer.
func (v *views) markAway() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.storeAway = true
}

// changedSince returns the time at or after which the changes of a kind that are applied now
// were made. After an outage of the store, it is now: entries that have expired in it are
// written again. mu must be held.
func (v *views) changedSince(name string) clock.Time {
	now := v.clock.Now()
	if v.watched[name] || v.storeAway || v.freshAt[name] == 0 {
		return now
	}
	return v.freshAt[name]
}

// markLost notes that the store has been unavailable since at, and wakes the
// followers so that they learn it at once.
func (v *views) markLost(at clock.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.storeAway = true
	for _, name := range v.kinds() {
		if v.watched[name] {
			v.watched[name], v.freshAt[name] = false, at
		}
	}
	v.notify()
}

// wakeFollowers wakes the followers so that they learn the age of the copies at once.
func (v *views) wakeFollowers() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notify()
}

// notify wakes the connections to followers, which check for changes then. mu must
// be held.
func (v *views) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// merge updates the copies with another instance's frame, and notes that they are as up to
// date as that instance's.
func (v *views) merge(f relay.Frame) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.mergeDeltas(f)
	now := v.clock.Now()
	if v.freshAt[platform.KindTargets].Before(now.Add(-f.Age)) { // the other instance knows better
		v.storeAway = f.StoreAway
	}
	for _, name := range requiredKinds {
		v.refreshed(name, now.Add(-f.Age))
	}
	for _, name := range v.optional {
		if o, ok := f.Optional[name]; ok {
			v.refreshed(name, now.Add(-o.Age))
		}
	}
}

// takeBack notes that the copies are only as up to date as the source says now. It has found
// that it was missing changes when it said that it was not, and so were those that follow
// it.
func (v *views) takeBack(f relay.Frame) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := v.clock.Now().Add(-f.Age)
	for _, name := range v.kinds() {
		if !v.watched[name] && at.Before(v.freshAt[name]) {
			v.freshAt[name] = at
		}
	}
	v.notify()
}

// mergeObjects updates the copies with another instance's frame.
func (v *views) mergeObjects(f relay.Frame) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.mergeDeltas(f)
}

// mergeDeltas is mergeObjects with mu held.
func (v *views) mergeDeltas(f relay.Frame) {
	v.storeAway = v.storeAway || f.StoreAway
	for name, d := range f.Deltas {
		v.change(name, func(k view.Copy) view.Copy { return k.Merge(d) })
	}
	for _, name := range v.optional {
		if o := f.Optional[name]; o.Delta != nil {
			v.change(name, func(k view.Copy) view.Copy { return k.Merge(*o.Delta) })
		}
	}
}

// refreshed notes that the copy of a kind was up to date at a time. mu must be held.
func (v *views) refreshed(name string, at clock.Time) {
	if v.freshAt[name].Before(at) {
		v.freshAt[name] = at
	}
}

// refresh notes that the store has answered that the copy of a kind was up to date at a
// time.
func (v *views) refresh(name string, at clock.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshed(name, at)
}

// answered notes that the store answers and that copies of all kinds are from it, and tells
// the followers.
func (v *views) answered() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.storeAway = false
	v.notify()
}

// noCopyAge is the age of a missing copy.
const noCopyAge = clock.Hour

// age returns the time since when changes of required kinds may have been missed: the
// greatest age of a copy.
func (v *views) age() clock.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ageLocked()
}

// ageLocked is age with mu held.
func (v *views) ageLocked() clock.Duration {
	age := clock.Duration(0)
	for _, name := range requiredKinds {
		age = max(age, v.kindAge(name))
	}
	return age
}

// ageOf returns the time since when changes of a kind may have been missed.
func (v *views) ageOf(name string) clock.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.kindAge(name)
}

// kindAge is ageOf with mu held.
func (v *views) kindAge(name string) clock.Duration {
	switch {
	case v.copies[name].Revision == 0:
		return noCopyAge
	case v.watched[name]:
		return 0
	}
	return v.clock.Now().Sub(v.freshAt[name])
}

// complete reports whether there is a copy of each required kind.
func (v *views) complete() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range requiredKinds {
		if v.copies[name].Revision == 0 {
			return false
		}
	}
	return true
}

// Since implements relay.Source.
func (v *views) Since(have map[string]view.Revision) (relay.Frame, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := relay.Frame{Age: v.ageLocked(), StoreAway: v.storeAway, Deltas: map[string]view.Delta{}}
	for name, k := range v.copies {
		if k.Revision > have[name] && !slices.Contains(v.optional, name) {
			f.Deltas[name] = k.Since(have[name])
		}
	}
	if len(v.optional) > 0 {
		f.Optional = map[string]relay.OptionalDelta{}
	}
	for _, name := range v.optional {
		o := relay.OptionalDelta{Age: v.kindAge(name)}
		if k := v.copies[name]; k.Revision > have[name] {
			d := k.Since(have[name])
			o.Delta = &d
		}
		f.Optional[name] = o
	}
	return f, v.changed
}

package gateway

import (
	"maps"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/view"
	"knapweedstall/platform"
)

// transitionTime is how long what was known before the store was restored from an older
// copy stays in force beside it. Targets write their entries again within a heartbeat or
// two, and operators what they find missing.
const transitionTime = 10 * clock.Second

// beginTransition notes that the store has been restored from an older copy. It begins from
// what is in force, which is not the last copy if another transition is in progress. mu must
// be held.
func (v *views) beginTransition(name string, last, first view.Copy) {
	if t := v.transitions[name]; t != nil {
		last = t.Joined(last, preferenceOf(name))
	}
	t := view.NewTransition(last, first)
	v.transitions[name] = t
	go v.restored(name, first)
	time.AfterFunc(transitionTime.Std(), func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.transitions[name] == t {
			delete(v.transitions, name)
			v.applyJoined(name)
		}
	})
}

// rewriteLost writes again what this instance has written to the store and what is missing
// in the first copy of a kind after the store was restored from an older copy. The
// instance's own entry is written again by keepRegistered.
func (g *Gateway) rewriteLost(kind string, first view.Copy) {
	g.log.Info("copy of an older state of the store", "kind", kind, "revision", first.Revision)
	if kind != platform.KindCrashes {
		return
	}
	for name, c := range g.writtenCrashes() {
		if _, ok := first.Objects[name]; !ok {
			g.writeCrashRecord(c.record)
		}
	}
}

// writtenCrashes returns the crashes that this instance has written and that still count,
// by the name of the object.
func (g *Gateway) writtenCrashes() map[string]writtenCrash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.crashes.written)
}

// applyJoined applies the copy of a kind, joined with that of the earlier era during a
// transition. mu must be held.
func (v *views) applyJoined(name string) {
	k := v.copies[name]
	if t := v.transitions[name]; t != nil {
		k.Objects = t.Objects(k, preferenceOf(name))
	}
	v.apply(name, k, v.changedSince(name))
}

// era returns the highest era of the copies.
func (v *views) era() view.Era {
	v.mu.Lock()
	defer v.mu.Unlock()
	era := view.Era(0)
	for _, k := range v.copies {
		era = max(era, k.Revision.Era())
	}
	return era
}

// preferenceOf returns which version of an object of the kind holds when it is not known
// whether the store has a later one or has lost it.
func preferenceOf(kind string) view.Prefer {
	switch kind {
	case platform.KindConfig: // a lower version is not put in force
		return func(_, current view.Object) view.Object { return current }
	case platform.KindTargets:
		return preferDraining
	default:
		return func(last, _ view.Object) view.Object { return last }
	}
}

// preferDraining returns the entry of a target that says that it is draining, if the
// other one is not that of a later process.
func preferDraining(last, current view.Object) view.Object {
	old, oldErr := platform.ParseListing("", last.Spec)
	now, nowErr := platform.ParseListing("", current.Spec)
	switch {
	case nowErr != nil:
		return last
	case oldErr == nil && (old.StartedUnixMS > now.StartedUnixMS || old.StartedUnixMS == now.StartedUnixMS && old.Draining):
		return last
	}
	return current
}

package view

// Transition joins the copies of two eras. After the store has been restored from an older
// copy, what operators and targets wrote in the time that was lost is missing there until
// they write it again, and what they removed is there again. Until then, a Transition
// keeps what was known in the earlier era.
type Transition struct {
	last  Copy     // of the earlier era
	first Revision // of the first copy of the new era
}

// NewTransition returns the Transition from the last copy of an era to the first one of a
// later era.
func NewTransition(last, first Copy) *Transition {
	return &Transition{last: last, first: first.Revision}
}

// Prefer returns the one of two versions of an object that holds during a transition,
// when it is not known which one was written later.
type Prefer func(last, current Object) Object

// Objects returns the objects of current, a copy of the new era, joined with those of the
// earlier era. Objects that were written or removed since the first copy are as in
// current. Of the others, those that are missing in current are kept, those that were
// removed in the earlier era are left out, and prefer decides about those that differ.
func (t *Transition) Objects(current Copy, prefer Prefer) map[string]Object {
	objects := make(map[string]Object, len(current.Objects))
	for name, o := range current.Objects {
		old, known := t.last.Objects[name]
		_, removed := t.last.removed[name]
		switch {
		case o.Revision > t.first:
			objects[name] = o
		case known && string(old.Spec) != string(o.Spec):
			objects[name] = prefer(old, o)
		case known || !removed:
			objects[name] = o
		}
	}
	for name, old := range t.last.Objects {
		_, present := current.Objects[name]
		if _, removed := current.removed[name]; !present && !removed {
			objects[name] = old
		}
	}
	return objects
}

// Joined returns the copy current of the new era as it is in force during the transition,
// so that another transition can begin from it.
func (t *Transition) Joined(current Copy, prefer Prefer) Copy {
	joined := current
	joined.Objects = t.Objects(current, prefer)
	joined.removed = clone(current.removed)
	for name, at := range t.last.removed {
		if _, present := joined.Objects[name]; !present {
			joined.removed[name] = at
		}
	}
	return joined
}

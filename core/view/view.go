// Package view holds an instance's copy of kinds of objects of the platform's
// store. Copies are ordered by the store's revision, so that an instance can
// bring its copy up to date from any other instance.
package view

import "maps"

// maxGone bounds how many removed objects a copy remembers.
const maxGone = 2048

// Revision counts the changes of the store.
type Revision int64

// Object is one object of the store.
type Object struct {
	Revision Revision `cbor:"1,keyasint"` // of its last change
	Spec     []byte   `cbor:"2,keyasint"` // as its writer encoded it
}

// Kind is a copy of all objects of one kind. It is never changed; its methods
// return new copies.
type Copy struct {
	Revision Revision          // of the store when the copy was right; 0 for no copy
	Objects  map[string]Object // by name
	gone     map[string]Revision
	floor    Revision // removals before it are not in gone
}

// Event is one change of an object.
type Event struct {
	Name    string
	Object  Object
	Deleted bool
}

// Listed returns the copy of a kind that the store has listed at revision at.
// What was created and removed before is unknown, so that instances with an
// earlier copy need the whole kind.
func NewCopy(objects map[string]Object, at Revision) Copy {
	return Copy{Revision: at, Objects: objects, floor: at}
}

// Apply returns k after events, at revision at. Both come from a watch that
// began at k's revision or before.
func (k Copy) Apply(events []Event, at Revision) Copy {
	out := k
	out.Revision = max(at, k.Revision)
	if len(events) == 0 {
		return out
	}
	out.Objects, out.gone = clone(k.Objects), clone(k.gone)
	for _, e := range events {
		switch {
		case e.Deleted:
			delete(out.Objects, e.Name)
			out.gone[e.Name] = out.Revision
		case e.Object.Revision >= out.Objects[e.Name].Revision:
			out.Objects[e.Name] = e.Object
			delete(out.gone, e.Name)
		}
	}
	return out.bounded()
}

func (k Copy) bounded() Copy {
	if len(k.gone) > maxGone {
		k.gone, k.floor = map[string]Revision{}, k.Revision
	}
	return k
}

// Delta is the difference between two copies of a kind.
type Delta struct {
	Revision Revision          `cbor:"1,keyasint" json:"At"`    // revision of the newer copy
	Full     bool              `cbor:"2,keyasint" json:"Whole"` // Objects holds all objects
	Objects  map[string]Object `cbor:"3,keyasint"`              // new or changed
	Removed  []string          `cbor:"4,keyasint" json:"Gone"`  // removed
}

// Since returns what changed after revision have.
func (k Copy) Since(have Revision) Delta {
	if have == 0 || have < k.floor {
		return Delta{Revision: k.Revision, Full: true, Objects: k.Objects}
	}
	d := Delta{Revision: k.Revision, Objects: map[string]Object{}}
	for name, o := range k.Objects {
		if o.Revision > have {
			d.Objects[name] = o
		}
	}
	for name, at := range k.gone {
		if at > have {
			d.Removed = append(d.Removed, name)
		}
	}
	return d
}

// Merge returns k brought up to date with d, which another instance made for
// k's revision or an earlier one.
func (k Copy) Merge(d Delta) Copy {
	if d.Revision <= k.Revision {
		return k
	}
	if d.Full {
		return NewCopy(d.Objects, d.Revision)
	}
	out := k
	out.Revision = d.Revision
	if len(d.Objects) == 0 && len(d.Removed) == 0 {
		return out
	}
	out.Objects, out.gone = clone(k.Objects), clone(k.gone)
	for name, o := range d.Objects {
		out.Objects[name] = o
		delete(out.gone, name)
	}
	for _, name := range d.Removed {
		delete(out.Objects, name)
		out.gone[name] = d.Revision
	}
	return out.bounded()
}

func clone[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

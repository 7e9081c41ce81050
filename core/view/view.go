// Package view holds an instance's copies of the objects of the platform's store,
// one copy for each kind of object. Copies are ordered by the store's revision, so
// that an instance can update its copy from any other instance.
package view

import "maps"

// maxRemoved bounds how many removals a copy keeps.
const maxRemoved = 2048

// Object is one object of the store.
type Object struct {
	Revision Revision `cbor:"1,keyasint"` // revision of its last change
	Spec     []byte   `cbor:"2,keyasint"` // content, as encoded by its writer
	// Status is what the tier has written beside the content, as encoded by its writer;
	// empty for none. An older build does not pass it on.
	Status []byte `cbor:"3,keyasint,omitempty"`
	// Created is the revision at which the object was created; 0 when not known. It
	// distinguishes an object that was deleted and created again from the old one.
	Created Revision `cbor:"4,keyasint,omitempty"`
}

// Copy is a copy of all objects of one kind. It is immutable; its methods return
// new copies.
type Copy struct {
	Revision     Revision            // revision of the store that the copy equals; 0 for no copy
	Objects      map[string]Object   // by name
	removed      map[string]Revision // removed objects with the revision of their removal
	removalsFrom Revision            // removals before this revision are not in removed
}

// Event is a change of one object.
type Event struct {
	Name    string
	Object  Object
	Deleted bool
}

// NewCopy returns the copy of a kind whose objects the store has listed at revision
// at. Earlier removals are unknown, so instances with an older copy need all
// objects.
func NewCopy(objects map[string]Object, at Revision) Copy {
	return Copy{Revision: at, Objects: objects, removalsFrom: at}
}

// Apply returns c with events applied, at revision at. Both come from a watch that
// began at c's revision or an earlier one.
func (c Copy) Apply(events []Event, at Revision) Copy {
	out := c
	out.Revision = max(at, c.Revision)
	if len(events) == 0 {
		return out
	}
	out.Objects, out.removed = clone(c.Objects), clone(c.removed)
	for _, e := range events {
		switch {
		case e.Deleted:
			delete(out.Objects, e.Name)
			out.removed[e.Name] = out.Revision
		case e.Object.Revision >= out.Objects[e.Name].Revision:
			out.Objects[e.Name] = e.Object
			delete(out.removed, e.Name)
		}
	}
	return out.trimRemoved()
}

// trimRemoved drops all removals of c if there are more than maxRemoved.
func (c Copy) trimRemoved() Copy {
	if len(c.removed) > maxRemoved {
		c.removed, c.removalsFrom = map[string]Revision{}, c.Revision
	}
	return c
}

// Delta is the difference between two copies of a kind. Its CBOR keys are numbers; its
// JSON attributes At, Whole and Gone keep the earlier names of the fields.
type Delta struct {
	Revision Revision          `cbor:"1,keyasint" json:"At"`    // revision of the newer copy
	Full     bool              `cbor:"2,keyasint" json:"Whole"` // Objects holds all objects
	Objects  map[string]Object `cbor:"3,keyasint"`              // created or changed objects
	Removed  []string          `cbor:"4,keyasint" json:"Gone"`  // names of removed objects
}

// Since returns the changes after revision have, or all objects if c does not hold
// all removals since then.
func (c Copy) Since(have Revision) Delta {
	if have == 0 || have < c.removalsFrom {
		return Delta{Revision: c.Revision, Full: true, Objects: c.Objects}
	}
	d := Delta{Revision: c.Revision, Objects: map[string]Object{}}
	for name, o := range c.Objects {
		if o.Revision > have {
			d.Objects[name] = o
		}
	}
	for name, at := range c.removed {
		if at > have {
			d.Removed = append(d.Removed, name)
		}
	}
	return d
}

// Merge returns c updated with d, which another instance has computed for c's
// revision or an earlier one.
func (c Copy) Merge(d Delta) Copy {
	if d.Revision <= c.Revision {
		return c
	}
	if d.Full {
		return NewCopy(d.Objects, d.Revision)
	}
	out := c
	out.Revision = d.Revision
	if len(d.Objects) == 0 && len(d.Removed) == 0 {
		return out
	}
	out.Objects, out.removed = clone(c.Objects), clone(c.removed)
	for name, o := range d.Objects {
		out.Objects[name] = o
		delete(out.removed, name)
	}
	for _, name := range d.Removed {
		delete(out.Objects, name)
		out.removed[name] = d.Revision
	}
	return out.trimRemoved()
}

// clone returns a copy of m that is not nil.
func clone[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

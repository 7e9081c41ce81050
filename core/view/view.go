// Package view holds an instance's copy of kinds of objects of the platform's
// store. Copies are ordered by the store's revision, so that an instance can
// take the newer of two copies from any other instance.
package view

import "maps"

// Revision counts the changes of the store.
type Revision int64

// Object is one object of the store.
type Object struct {
	Revision Revision `cbor:"1,keyasint"` // of its last change
	Spec     []byte   `cbor:"2,keyasint"` // as its writer encoded it
}

// Kind is a copy of all objects of one kind. It is not changed once it is
// shared; Apply returns a new one.
type Kind struct {
	Revision Revision          `cbor:"1,keyasint"` // of the store when the copy was right; 0 for no copy
	Objects  map[string]Object `cbor:"2,keyasint"` // by name
}

// Event is one change of an object.
type Event struct {
	Name    string
	Object  Object
	Deleted bool
}

// Apply returns k after events, at revision at.
func (k Kind) Apply(events []Event, at Revision) Kind {
	out := Kind{Revision: max(at, k.Revision), Objects: k.Objects}
	if len(events) == 0 {
		return out
	}
	out.Objects = maps.Clone(k.Objects)
	if out.Objects == nil {
		out.Objects = map[string]Object{}
	}
	for _, e := range events {
		switch {
		case e.Deleted:
			delete(out.Objects, e.Name)
		case e.Object.Revision >= out.Objects[e.Name].Revision:
			out.Objects[e.Name] = e.Object
		}
	}
	return out
}

// Newer returns the newer of two copies.
func Newer(a, b Kind) Kind {
	if b.Revision > a.Revision {
		return b
	}
	return a
}

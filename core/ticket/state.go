package ticket

import (
	"maps"
	"slices"

	"knapweedstall/core/topology"
)

// State is the configuration after all tickets up to one number. A State is
// immutable; each ticket results in a new one that shares the unchanged values.
type State struct {
	number  Number
	values  map[Scope]Value
	lastSet map[Scope]Number // ticket that last set each scope; same keys as values
}

// NewState returns the state before the first ticket.
func NewState() *State {
	return &State{values: map[Scope]Value{}, lastSet: map[Scope]Number{}}
}

// Number returns the number of the last ticket that the state contains.
func (s *State) Number() Number { return s.number }

// ScopeNumber returns the number of the ticket that last set the scope, or 0 when
// the scope is not set.
func (s *State) ScopeNumber(scope Scope) Number { return s.lastSet[scope] }

// Value returns the value of the scope, or nil when it is not set.
func (s *State) Value(scope Scope) Value { return s.values[scope] }

// Scopes returns the scopes that are set, in ascending order.
func (s *State) Scopes() []Scope {
	return slices.SortedFunc(maps.Keys(s.values), compareScopes)
}

// Zone returns the zone's value.
func (s *State) Zone(id topology.ZoneID) (Zone, bool) {
	return lookup[Zone](s, Scope{KindZone, string(id)})
}

// Collection returns the collection's value.
func (s *State) Collection(id topology.CollectionID) (topology.Collection, bool) {
	c, ok := lookup[Collection](s, Scope{KindCollection, string(id)})
	return c.Collection, ok
}

// Collections returns all collections by ascending id.
func (s *State) Collections() []topology.Collection {
	var out []topology.Collection
	for _, scope := range s.Scopes() {
		if c, ok := s.values[scope].(Collection); ok {
			out = append(out, c.Collection)
		}
	}
	return out
}

// Snapshots returns the collection's usable snapshots, newest first.
func (s *State) Snapshots(id topology.CollectionID) []topology.Snapshot {
	list, _ := lookup[Snapshots](s, Scope{KindSnapshot, string(id)})
	return list
}

// Workspace returns the workspace's value.
func (s *State) Workspace(id topology.WorkspaceID) (Workspace, bool) {
	return lookup[Workspace](s, Scope{KindWorkspace, string(id)})
}

// Tuning returns the tuning in force, which is DefaultTuning until it is set.
func (s *State) Tuning() Tuning {
	if t, ok := lookup[Tuning](s, Scope{Kind: KindTuning}); ok {
		return t
	}
	return DefaultTuning()
}

func lookup[V Value](s *State, scope Scope) (V, bool) {
	v, ok := s.values[scope].(V)
	return v, ok
}

// apply returns the state after t, which it does not check.
func (s *State) apply(t Ticket) *State {
	next := &State{number: t.Number, values: maps.Clone(s.values), lastSet: maps.Clone(s.lastSet)}
	for _, c := range t.Changes {
		next.set(c, t.Number)
	}
	return next
}

func (s *State) set(c Change, n Number) {
	if c.Value == nil {
		delete(s.values, c.Scope)
		delete(s.lastSet, c.Scope)
		return
	}
	s.values[c.Scope] = c.Value
	s.lastSet[c.Scope] = n
}

// Package coordinator selects the instances that coordinate the others in a matter,
// such as the quota of one workspace. The selection is a function of the list of
// instances, so that instances with the same list select the same ones.
package coordinator

import (
	"cmp"
	"slices"

	"knapweedstall/core/placing"
	"knapweedstall/core/topology"
)

// MaxCoordinators is the number of coordinators at most. It bounds the links of an instance
// to coordinators, and leaves each of several availability zones with two or more of them.
const MaxCoordinators = 8

// Ring holds the coordinators of a list of instances. It is immutable.
type Ring struct {
	coordinators []placing.Instance // in ascending order of the id
}

// New returns the Ring of the instances: those with the highest capacity of each zone,
// the zones in turn.
func New(instances []placing.Instance) *Ring {
	r := &Ring{coordinators: Candidates(instances, MaxCoordinators)}
	slices.SortFunc(r.coordinators, func(a, b placing.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

// Candidates returns the first n of the instances in the order in which they become
// coordinators: the coordinators, and then those that become some when these are gone.
func Candidates(instances []placing.Instance, n int) []placing.Instance {
	zones := map[topology.ZoneID][]placing.Instance{}
	for _, in := range instances {
		zones[in.Zone] = append(zones[in.Zone], in)
	}
	type candidate struct {
		placing.Instance
		rank int // within its zone
	}
	var candidates []candidate
	for _, list := range zones {
		slices.SortFunc(list, compareCapacity)
		for i, in := range list[:min(len(list), n)] {
			candidates = append(candidates, candidate{in, i})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), compareCapacity(a.Instance, b.Instance))
	})
	var first []placing.Instance
	for _, c := range candidates[:min(len(candidates), n)] {
		first = append(first, c.Instance)
	}
	return first
}

// compareCapacity orders instances by descending capacity and ascending id.
func compareCapacity(a, b placing.Instance) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
}

// Ranked returns the coordinators in the order in which they are asked about the key,
// by rendezvous hashing: when the first one does not answer, the second one is asked.
func (r *Ring) Ranked(key string) []placing.Instance {
	type ranked struct {
		placing.Instance
		hash uint64
	}
	list := make([]ranked, 0, len(r.coordinators))
	for _, in := range r.coordinators {
		list = append(list, ranked{in, topology.Hash64(key, string(in.ID))})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	out := make([]placing.Instance, len(list))
	for i := range list {
		out[i] = list[i].Instance
	}
	return out
}

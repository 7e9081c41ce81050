package source

import (
	"cmp"
	"slices"

	"knapweedstall/core/placing"
	"knapweedstall/core/topology"
)

// Compare orders instances by decreasing capacity, since sources have more work, and
// then by the hash of their ids. Each instance computes the same order.
func Compare(a, b placing.Instance) int {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(topology.Hash64(string(a.ID)), topology.Hash64(string(b.ID))),
		cmp.Compare(a.ID, b.ID),
	)
}

// Neighbour returns the address of an instance of another zone: of the zone that is i+1
// places after zone in the order of the zones' names, and there the one that is attempt
// places after the first one, in the order of Compare and from the start again after the
// last. It returns "" if there is no such zone. instances must be in the order of Compare.
func Neighbour(instances []placing.Instance, zone topology.ZoneID, i, attempt int) string {
	var zones []topology.ZoneID
	for _, in := range instances {
		if !slices.Contains(zones, in.Zone) {
			zones = append(zones, in.Zone)
		}
	}
	slices.Sort(zones)
	at := slices.Index(zones, zone)
	if at < 0 || i+1 >= len(zones) {
		return ""
	}
	other := zones[(at+i+1)%len(zones)]
	var members []placing.Instance
	for _, in := range instances {
		if in.Zone == other {
			members = append(members, in)
		}
	}
	return members[attempt%len(members)].Address
}

// candidates returns the addresses of the instances of self's zone that precede self
// in the order of Compare, in the order in which self tries them. In a large zone, the
// instances after the first readers each begin with another one of the readers, so
// that the first instance does not send all copies after a restart of the zone.
func candidates(self placing.Instance, instances []placing.Instance) []string {
	var preceding []placing.Instance
	size := 0
	for _, in := range instances {
		if in.Zone != self.Zone {
			continue
		}
		size++
		if in.ID != self.ID && Compare(in, self) < 0 {
			preceding = append(preceding, in)
		}
	}
	slices.SortFunc(preceding, Compare)
	addresses := make([]string, 0, len(preceding))
	for _, in := range preceding {
		addresses = append(addresses, in.Address)
	}
	if size >= largeZone && len(addresses) >= readers {
		rotate(addresses[:readers], len(addresses)%readers)
	}
	return addresses
}

// rotate moves the first n addresses behind the others.
func rotate(addresses []string, n int) {
	rotated := slices.Concat(addresses[n:], addresses[:n])
	copy(addresses, rotated)
}

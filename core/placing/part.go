package placing

import "knapweedstall/core/topology"

// Part returns which part of all searches, 0 to 1, the instance is likely to run.
// Searches go to the instances with the most processor share, so the square of
// the share is what counts. It returns 0 for an unknown instance. The parts of
// all instances add up to 1.
func SearchShare(id topology.InstanceID, instances []Instance) float64 {
	own, all := 0.0, 0.0
	for _, in := range instances {
		weight := in.Capacity * in.Capacity
		all += weight
		if in.ID == id {
			own = weight
		}
	}
	if all == 0 {
		return 0
	}
	return own / all
}

package placing

import "knapweedstall/core/topology"

// SearchShare returns the share of all searches, 0 to 1, that the instance is
// likely to run. Searches go mainly to the instances with the highest capacity, so
// the estimate is in proportion to the square of the capacity. It is 0 for an
// unknown instance. The shares of all instances add up to 1.
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

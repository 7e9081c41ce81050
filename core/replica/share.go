package replica

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// Parameters of the division of targets among the instances.
const (
	// connectionShare is the share of a target's connections that all instances
	// together use, so that some are left for a new instance.
	connectionShare = 0.85
	// coldShare is the share of a cold target's request rate that is used.
	coldShare = 0.8
	// defaultInstances is the number of instances assumed until it is known.
	defaultInstances = 16
)

// SetInstances sets the number of instances that use the targets, and the share of all
// searches, 0 to 1, that this one runs. maySendCold reports whether this instance may
// send to a cold target when only n instances may.
func (s *Set) SetInstances(n int, searchShare float64, maySendCold func(id topology.TargetID, n int) bool) {
	s.instances, s.searchShare, s.maySendCold = n, searchShare, maySendCold
}

// SetShards sets the function that reports whether a service is a shard of searches.
func (s *Set) SetShards(isShard func(routing.ServiceName) bool) { s.isShard = isShard }

// maxConnections returns how many connections this instance may have to a target
// of the service. Each may have one, so that it can serve.
func (s *Set) maxConnections(svc *routing.Service) int {
	const defaultConnections = 64
	if svc == nil || svc.MaxConnections <= 0 {
		return defaultConnections
	}
	return max(1, int(connectionShare*float64(svc.MaxConnections)*s.share(svc.Name)))
}

// instanceCount returns the number of instances, or defaultInstances when it is
// not known.
func (s *Set) instanceCount() int {
	if s.instances == 0 {
		return defaultInstances
	}
	return s.instances
}

// coldSenders returns how many instances may send to a cold target. Each may send
// a burst of one, so their number is bounded by the burst that the target bears
// beyond its rate.
func (s *Set) coldSenders(svc *routing.Service) int {
	return min(int(svc.ColdPerSecond/4)+2, s.instanceCount())
}

// coldRate returns how many requests per second this instance may send to a cold
// target.
func (s *Set) coldRate(svc *routing.Service) float64 {
	return coldShare * svc.ColdPerSecond / float64(s.coldSenders(svc))
}

// coldSendAllowed reports whether this instance may send to the cold target t now.
func (s *Set) coldSendAllowed(t *Target, svc *routing.Service, now clock.Time) bool {
	if !s.maySendCold(t.ID, s.coldSenders(svc)) {
		return false
	}
	bucket := t.coldTokens
	return bucket.take(s.coldRate(svc), now)
}

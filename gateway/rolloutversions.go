package gateway

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/rollout"
	"knapweedstall/core/routing"
)

// unorderedDelay is how long a version that is new to a service gets no sends unless its
// order is known. The copies of targets and of orders arrive independently of each other,
// up to batchDelay and a few round trips apart.
const unorderedDelay = clock.Second

// serviceVersion is a version of a service's targets.
type serviceVersion struct {
	service routing.ServiceName
	version rollout.Version
}

// listedVersions holds the versions of the listed targets. It tells those whose order may
// not have arrived yet.
type listedVersions struct {
	seen map[serviceVersion]versionSeen
	// heldUntil has the versions that are later than another one of their service, with
	// the time until which their order may still arrive.
	heldUntil map[serviceVersion]clock.Time
}

// versionSeen is when a version was first listed.
type versionSeen struct {
	at            clock.Time
	startedUnixMS int64 // of its first target
}

// before reports whether a version was listed before another one.
func (s versionSeen) before(o versionSeen) bool {
	return s.at < o.at || s.at == o.at && s.startedUnixMS < o.startedUnixMS
}

func newListedVersions() listedVersions {
	return listedVersions{seen: map[serviceVersion]versionSeen{}, heldUntil: map[serviceVersion]clock.Time{}}
}

// observe replaces the listed targets.
func (l *listedVersions) observe(listings []replica.Listing, now clock.Time) {
	seen := map[serviceVersion]versionSeen{}
	for _, t := range listings {
		key := serviceVersion{t.Service, t.Version}
		s, ok := seen[key]
		switch known, listed := l.seen[key]; {
		case listed:
			s = known
		case !ok || t.StartedUnixMS < s.startedUnixMS:
			s = versionSeen{now, t.StartedUnixMS}
		}
		seen[key] = s
	}
	first := map[routing.ServiceName]versionSeen{}
	for key, s := range seen {
		if f, ok := first[key.service]; !ok || s.before(f) {
			first[key.service] = s
		}
	}
	clear(l.heldUntil)
	for key, s := range seen {
		if until := s.at.Add(unorderedDelay); first[key.service].before(s) && now.Before(until) {
			l.heldUntil[key] = until
		}
	}
	l.seen = seen
}

// held reports whether the order of a version may not have arrived yet.
func (l *listedVersions) held(service routing.ServiceName, v rollout.Version, now clock.Time) bool {
	return len(l.heldUntil) > 0 && now.Before(l.heldUntil[serviceVersion{service, v}])
}

package fanout

import (
	"fmt"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/rollout"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// Missing returns the services that have not answered.
func (c *Call) Missing() []routing.ServiceName {
	var missing []routing.ServiceName
	for i := range c.shards {
		if !c.shards[i].answered {
			missing = append(missing, c.shards[i].service)
		}
	}
	return missing
}

// Targets returns the targets that the request was sent to.
func (c *Call) Targets() []topology.TargetID {
	var ids []topology.TargetID
	for _, a := range c.attempts {
		ids = append(ids, a.target.ID)
	}
	return ids
}

// failureDetail describes the send to a target of the service.
func (a *attempt) failureDetail(service routing.ServiceName, now clock.Time) FailureDetail {
	if !a.ended {
		return FailureDetail{service, a.target.ID, underWay, now.Sub(a.started)}
	}
	return FailureDetail{service, a.target.ID, string(a.outcome), a.took}
}

// LacksCapacity reports whether at least half of the services without an answer lack one
// because their targets have too much to do: they shed the request, did not answer it
// yet, or could not be given it. Targets that cannot be reached are no lack of capacity.
func (c *Call) LacksCapacity() bool {
	missing, lacking := 0, 0
	for i := range c.shards {
		if c.shards[i].answered {
			continue
		}
		missing++
		if c.lacksCapacity(i) {
			lacking++
		}
	}
	return missing > 0 && 2*lacking >= missing
}

// lacksCapacity reports whether shard i has no answer because its targets have too much
// to do.
func (c *Call) lacksCapacity(i int) bool {
	for _, a := range c.attempts {
		if a.shard == i && (!a.ended || a.outcome == replica.Shed) {
			return true
		}
	}
	switch c.shards[i].reason {
	case replica.Busy, replica.Cold, replica.OverLimit, replica.Paced, replica.Shedding:
		return true
	default:
		return false
	}
}

// RetryAt returns when a refused caller may try again, or 0 if that is unknown.
func (c *Call) RetryAt() clock.Time {
	var latest clock.Time
	for i := range c.shards {
		if s := &c.shards[i]; s.exhausted && latest.Before(s.retryAt) {
			latest = s.retryAt
		}
	}
	return latest
}

// Counts are the numbers of sends of a call.
type Counts struct {
	Sent     int
	Repeated int // sends that are repeats
	Denied   int // repeats that the budget denied
}

// Counts returns the numbers of sends so far.
func (c *Call) Counts() Counts {
	n := Counts{Sent: len(c.attempts), Denied: c.deniedRepeats}
	for _, a := range c.attempts {
		if a.repeat {
			n.Repeated++
		}
	}
	return n
}

// VersionDetail is a send to a service whose targets may have several versions.
type VersionDetail struct {
	Service routing.ServiceName
	Version rollout.Version // of the target
	Target  topology.TargetID
	Outcome string // outcome of the send, or "underWay"
}

// String returns "service/version/target/outcome".
func (d VersionDetail) String() string {
	return fmt.Sprintf("%s/%s/%s/%s", d.Service, d.Version, d.Target, d.Outcome)
}

// VersionDetails returns at most n details of the sends to the included services.
func (c *Call) VersionDetails(n int, included func(routing.ServiceName) bool) []VersionDetail {
	var out []VersionDetail
	for i := range c.attempts {
		a := &c.attempts[i]
		service := c.shards[a.shard].service
		if len(out) == n {
			break
		}
		if !included(service) {
			continue
		}
		outcome := string(a.outcome)
		if !a.ended {
			outcome = underWay
		}
		out = append(out, VersionDetail{service, a.target.Version, a.target.ID, outcome})
	}
	return out
}

// underWay stands for the outcome of a send that has none yet.
const underWay = "underWay"

// FailureDetail is a send that brought no answer in time, or the reason why a
// service got no send.
type FailureDetail struct {
	Service routing.ServiceName
	Target  topology.TargetID // "" when no target was selected
	Outcome string            // outcome of the send, "underWay", or the reason why no target was selected
	Took    clock.Duration
}

// String returns "service/target/outcome/tookMs".
func (d FailureDetail) String() string {
	return fmt.Sprintf("%s/%s/%s/%d", d.Service, d.Target, d.Outcome, d.Took)
}

// FailureDetails returns at most n details of the services that have not answered
// by now.
func (c *Call) FailureDetails(n int, now clock.Time) []FailureDetail {
	var out []FailureDetail
	for i := range c.shards {
		s := &c.shards[i]
		if s.answered {
			continue
		}
		for _, a := range c.attempts {
			if a.shard == i {
				out = append(out, a.failureDetail(s.service, now))
			}
		}
		if s.reason != replica.Selected {
			out = append(out, FailureDetail{Service: s.service, Outcome: string(s.reason)})
		}
	}
	return out[:min(n, len(out))]
}

package fanout

import (
	"fmt"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
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

// trouble describes the send to a target of the service.
func (a *attempt) trouble(service routing.ServiceName, now clock.Time) FailureDetail {
	if !a.ended {
		return FailureDetail{service, a.target.ID, "underWay", now.Sub(a.started)}
	}
	return FailureDetail{service, a.target.ID, string(a.outcome), a.took}
}

// Retry returns when a refused caller may be served, or 0 if that is unknown.
func (c *Call) RetryAt() clock.Time {
	var latest clock.Time
	for i := range c.shards {
		if s := &c.shards[i]; s.hopeless && latest.Before(s.retry) {
			latest = s.retry
		}
	}
	return latest
}

// Counts are numbers of sends of a call.
type Counts struct {
	Sent     int
	Repeated int // of those made
	Denied   int // repeats that were not made for lack of budget
}

// Counts returns the numbers of sends so far.
func (c *Call) Counts() Counts {
	n := Counts{Sent: len(c.attempts), Denied: c.denied}
	for _, a := range c.attempts {
		if a.repeat {
			n.Repeated++
		}
	}
	return n
}

// Trouble is a send that brought no answer in time, or a service that got none.
type FailureDetail struct {
	Service routing.ServiceName
	Target  topology.TargetID // "" when no target could take the request
	Outcome string            // of the send, "underWay", or why there was no target
	Took    clock.Duration
}

// String returns "service/target/outcome/tookMs".
func (t FailureDetail) String() string {
	return fmt.Sprintf("%s/%s/%s/%d", t.Service, t.Target, t.Outcome, t.Took)
}

// Troubles returns what went wrong with the services that have not answered
// until now, at most n of them.
func (c *Call) FailureDetails(n int, now clock.Time) []FailureDetail {
	var out []FailureDetail
	for i := range c.shards {
		s := &c.shards[i]
		if s.answered {
			continue
		}
		for _, a := range c.attempts {
			if a.shard == i {
				out = append(out, a.trouble(s.service, now))
			}
		}
		if s.reason != replica.Selected {
			out = append(out, FailureDetail{Service: s.service, Outcome: string(s.reason)})
		}
	}
	return out[:min(n, len(out))]
}

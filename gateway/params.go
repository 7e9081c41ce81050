package gateway

import (
	"net/http"

	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
	"knapweedstall/core/routing"
	"knapweedstall/platform"
)

// Times of a call.
const (
	// selectShare is the share of the latency objective for which a request waits for
	// a target that accepts it.
	selectShare = 0.2
	// shardSelectShare is the same for a shard of a search, whose other shards are
	// in progress meanwhile.
	shardSelectShare = 0.6
	// defaultDeadline applies to requests that state no deadline.
	defaultDeadline = 5 * clock.Second
	// deadlineMargin is the part of the caller's time that is reserved for returning
	// the answer.
	deadlineMargin = 5 * clock.Millisecond
)

// requestParams returns the parameters of the call for a caller's request.
func requestParams(route *routing.Route, services []routing.ServiceName, h http.Header, arrived clock.Time) fanout.Params {
	deadline, stated := platform.Deadline(h)
	if !stated {
		deadline = defaultDeadline
	}
	limit := max(deadline-deadlineMargin, 1)
	if route.Timeout > 0 {
		limit = min(limit, route.Timeout)
	}
	return callParams(route, services, arrived, limit, fanout.PartialAnswerDelay(route.LatencyObjective))
}

// callParams returns the parameters of the call for a request that ends after limit. If
// the request is a search and the route has a latency objective, a partial answer is
// returned after partialDelay.
func callParams(route *routing.Route, services []routing.ServiceName, now clock.Time, limit, partialDelay clock.Duration) fanout.Params {
	p := fanout.Params{
		Kind: route.Kind, Services: services, MaxAttempts: route.MaxAttempts, MinCoverage: 1,
		Deadline: now.Add(limit),
	}
	share := selectShare
	if route.IsSearch() {
		share, p.MinCoverage = shardSelectShare, route.MinCoverage
		if route.LatencyObjective > 0 {
			p.PartialAt = now.Add(partialDelay)
		}
	}
	p.SelectBy = now.Add(min(limit, clock.Duration(share*float64(route.LatencyObjective))))
	return p
}

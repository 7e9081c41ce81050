package gateway

import (
	"context"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
	"knapweedstall/core/poison"
	"knapweedstall/core/replica"
)

// Watch of targets at which requests were given up: the caller has left, the time is over, or
// the answer came from elsewhere. A target may still be running them, and crash.
const (
	// givenUpTime is for how long a crash counts for a request after it was given up.
	givenUpTime   = 500 * clock.Millisecond
	givenUpPeriod = 125 * clock.Millisecond // between two looks at a target
	maxGivenUp    = 4096                    // requests that are watched at the same time
)

// givenUpRequests are the requests that were given up recently.
type givenUpRequests struct {
	byTarget map[poison.Process][]givenUp // those that a target may be running; each list has a watchTarget
	count    int
}

// givenUp is a request that was given up.
type givenUp struct {
	evidence *crashEvidence
	until    clock.Time // it is watched until then
	// unanswered tells that the request has no answer. Only then is a connection opened to
	// learn whether the target runs.
	unanswered bool
}

// watchGivenUp watches a target that may be running the request, which this instance has given
// up. mu must be held.
func (g *Gateway) watchGivenUp(q *request, target replica.Listing) {
	all := &g.crashes.givenUp
	if all.count >= maxGivenUp {
		return
	}
	all.count++
	process := poison.Process{Target: target.ID, StartedUnixMS: target.StartedUnixMS}
	watched := len(all.byTarget[process]) > 0
	all.byTarget[process] = append(all.byTarget[process], givenUp{
		evidence: q.evidence, until: g.clock.Now().Add(givenUpTime),
		unanswered: q.state != fanout.Complete && q.state != fanout.Partial,
	})
	if !watched {
		go g.watchTarget(target, process)
	}
}

// watchTarget looks at a target until no request that was given up there is watched any more,
// or the target has crashed, which counts for all of them.
func (g *Gateway) watchTarget(target replica.Listing, process poison.Process) {
	for {
		sleep(context.Background(), givenUpPeriod)
		crashed := g.hasCrashed(target, process)
		counts, left := g.dropGivenUp(process, crashed)
		for _, e := range counts {
			g.reportCrash(e, target)
		}
		if !left {
			return
		}
	}
}

// hasCrashed reports whether the target refuses connections. An idle connection that is still
// open shows that it doesn't, without a new one.
func (g *Gateway) hasCrashed(target replica.Listing, process poison.Process) bool {
	open, ended := g.pool.LookAtIdle(target.ID)
	if open {
		return false
	}
	g.mu.Lock()
	needed := ended || slices.ContainsFunc(g.crashes.givenUp.byTarget[process], func(r givenUp) bool { return r.unanswered })
	g.mu.Unlock()
	return needed && g.refusesConnections(target)
}

// dropGivenUp drops the requests at a target whose time is over, or all of them if it has
// crashed. It returns the evidence about those for which the crash counts, and whether some
// are left to watch.
func (g *Gateway) dropGivenUp(process poison.Process, crashed bool) (counts []*crashEvidence, left bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	all, now := &g.crashes.givenUp, g.clock.Now()
	var kept []givenUp
	for _, r := range all.byTarget[process] {
		switch {
		case crashed && !slices.Contains(counts, r.evidence):
			counts = append(counts, r.evidence)
		case !crashed && now.Before(r.until):
			kept = append(kept, r)
		}
	}
	all.count -= len(all.byTarget[process]) - len(kept)
	if all.byTarget[process] = kept; len(kept) == 0 {
		delete(all.byTarget, process)
	}
	return counts, len(kept) > 0
}

package dispatch

import (
	"cmp"
	"slices"

	"knapweedstall/core/topology"
)

// turnCredit is how many sub-requests a tenant that used less than its part may
// be ahead with, so that its bursts do not wait behind the backlog of others.
const turnCredit = 10

// turns gives each tenant with waiting sub-requests an equal part of the slots
// (start-time fair queueing), so that the backlog of one tenant does not delay
// another one that asks for less than its part.
type turns struct {
	now  float64                          // virtual time: start of the newest turn
	next map[topology.WorkspaceID]float64 // when a tenant's next turn starts; absent when its credit is full
}

func newTurns() turns { return turns{next: map[topology.WorkspaceID]float64{}} }

// start returns when the tenant's next turn starts.
func (t *turns) start(tenant topology.WorkspaceID) float64 {
	return max(t.next[tenant], t.now-turnCredit)
}

// took notes that a tenant was served n sub-requests.
func (t *turns) took(tenant topology.WorkspaceID, n int) {
	start := t.start(tenant)
	t.now = max(t.now, start)
	t.next[tenant] = start + float64(n)
	for id, at := range t.next {
		if at <= t.now-turnCredit {
			delete(t.next, id)
		}
	}
}

// order returns the queue in the order in which it will be served: by turns of
// the tenants, and by deadline within a tenant.
func (s *Service) order() []*sub {
	if !s.severalTenants() {
		return s.queue
	}
	type turn struct {
		at  float64
		sub *sub
	}
	next := map[topology.WorkspaceID]float64{}
	list := make([]turn, 0, len(s.queue))
	for _, u := range s.queue {
		at, seen := next[u.req.Workspace]
		if !seen {
			at = s.turns.start(u.req.Workspace)
		}
		list = append(list, turn{at, u})
		next[u.req.Workspace] = at + 1
	}
	slices.SortStableFunc(list, func(a, b turn) int { return cmp.Compare(a.at, b.at) })
	out := make([]*sub, len(list))
	for i, t := range list {
		out[i] = t.sub
	}
	return out
}

func (s *Service) severalTenants() bool {
	for _, u := range s.queue {
		if u.req.Workspace != s.queue[0].req.Workspace {
			return true
		}
	}
	return false
}

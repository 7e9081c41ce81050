package dispatch

import (
	"cmp"
	"slices"

	"knapweedstall/core/topology"
)

// turnCredit is how many sub-requests a workspace that used less than its part may
// be ahead with, so that its bursts do not wait behind the backlog of others.
const turnCredit = 10

// turns gives each workspace with waiting sub-requests an equal part of the slots
// (start-time fair queueing), so that the backlog of one workspace does not delay
// another one that asks for less than its part.
type turns struct {
	now  float64                          // virtual time: start of the newest turn
	next map[topology.WorkspaceID]float64 // when a workspace's next turn starts; absent when its credit is full
}

func newTurns() turns { return turns{next: map[topology.WorkspaceID]float64{}} }

// start returns when the workspace's next turn starts.
func (t *turns) start(workspace topology.WorkspaceID) float64 {
	return max(t.next[workspace], t.now-turnCredit)
}

// took notes that a workspace was served n sub-requests.
func (t *turns) took(workspace topology.WorkspaceID, n int) {
	start := t.start(workspace)
	t.now = max(t.now, start)
	t.next[workspace] = start + float64(n)
	for id, at := range t.next {
		if at <= t.now-turnCredit {
			delete(t.next, id)
		}
	}
}

// order returns the queue in the order in which it will be served: by turns of
// the workspaces, and by deadline within a workspace.
func (s *Dispatcher) order() []*sub {
	if !s.severalWorkspaces() {
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

func (s *Dispatcher) severalWorkspaces() bool {
	for _, u := range s.queue {
		if u.req.Workspace != s.queue[0].req.Workspace {
			return true
		}
	}
	return false
}

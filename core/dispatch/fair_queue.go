package dispatch

import (
	"cmp"
	"slices"

	"knapweedstall/core/topology"
)

// turnCredit is how many sub-requests a workspace that used less than its part may
// be ahead with, so that its bursts do not wait behind the backlog of others.
const burstCredit = 10

// turns gives each workspace with waiting sub-requests an equal part of the slots
// (start-time fair queueing), so that the backlog of one workspace does not delay
// another one that asks for less than its part.
type fairQueue struct {
	virtualTime float64                          // virtual time: start of the newest turn
	startTags   map[topology.WorkspaceID]float64 // when a workspace's next turn starts; absent when its credit is full
}

func newFairQueue() fairQueue { return fairQueue{startTags: map[topology.WorkspaceID]float64{}} }

// start returns when the workspace's next turn starts.
func (q *fairQueue) startTag(workspace topology.WorkspaceID) float64 {
	return max(q.startTags[workspace], q.virtualTime-burstCredit)
}

// took notes that a workspace was served n sub-requests.
func (q *fairQueue) charge(workspace topology.WorkspaceID, n int) {
	start := q.startTag(workspace)
	q.virtualTime = max(q.virtualTime, start)
	q.startTags[workspace] = start + float64(n)
	for id, at := range q.startTags {
		if at <= q.virtualTime-burstCredit {
			delete(q.startTags, id)
		}
	}
}

// order returns the queue in the order in which it will be served: by turns of
// the workspaces, and by deadline within a workspace.
func (d *Dispatcher) serviceOrder() []*sub {
	if !d.severalWorkspaces() {
		return d.queue
	}
	type turn struct {
		at  float64
		sub *sub
	}
	next := map[topology.WorkspaceID]float64{}
	list := make([]turn, 0, len(d.queue))
	for _, u := range d.queue {
		at, seen := next[u.req.Workspace]
		if !seen {
			at = d.fairQueue.startTag(u.req.Workspace)
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

func (d *Dispatcher) severalWorkspaces() bool {
	for _, u := range d.queue {
		if u.req.Workspace != d.queue[0].req.Workspace {
			return true
		}
	}
	return false
}

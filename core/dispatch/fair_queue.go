package dispatch

import (
	"cmp"
	"slices"

	"knapweedstall/core/topology"
)

// burstCredit is how many sub-requests a workspace that used less than its fair share
// may send ahead of the others, so that its bursts do not wait behind their backlog.
const burstCredit = 10

// fairQueue is the state of start-time fair queueing. It gives each workspace with
// waiting sub-requests an equal share of the slots, so that the backlog of one workspace
// does not delay another one that needs less than its fair share. A workspace is served
// in the order of its start tag, the virtual time at which its next sub-request starts.
type fairQueue struct {
	virtualTime float64                          // highest start tag that was served
	startTags   map[topology.WorkspaceID]float64 // of the next sub-request of a workspace; absent if its credit is full
}

func newFairQueue() fairQueue { return fairQueue{startTags: map[topology.WorkspaceID]float64{}} }

// startTag returns the start tag of the workspace's next sub-request.
func (q *fairQueue) startTag(workspace topology.WorkspaceID) float64 {
	return max(q.startTags[workspace], q.virtualTime-burstCredit)
}

// charge records that n sub-requests of a workspace were sent.
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

// serviceOrder returns the queue in the order in which it is served: by start tag
// across workspaces, and by deadline within a workspace.
func (d *Dispatcher) serviceOrder() []*sub {
	if !d.severalWorkspaces() {
		return d.queue
	}
	type tagged struct {
		tag float64
		sub *sub
	}
	next := map[topology.WorkspaceID]float64{}
	list := make([]tagged, 0, len(d.queue))
	for _, u := range d.queue {
		tag, seen := next[u.req.Workspace]
		if !seen {
			tag = d.fairQueue.startTag(u.req.Workspace)
		}
		list = append(list, tagged{tag, u})
		next[u.req.Workspace] = tag + 1
	}
	slices.SortStableFunc(list, func(a, b tagged) int { return cmp.Compare(a.tag, b.tag) })
	out := make([]*sub, len(list))
	for i, t := range list {
		out[i] = t.sub
	}
	return out
}

// severalWorkspaces reports whether the queue holds sub-requests of more than one
// workspace.
func (d *Dispatcher) severalWorkspaces() bool {
	for _, u := range d.queue {
		if u.req.Workspace != d.queue[0].req.Workspace {
			return true
		}
	}
	return false
}

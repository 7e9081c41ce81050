package dispatch

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Guards against a workspace whose few searches wait behind the backlog of another
// one: a holder has no other protection when entries admit too much.
func TestWorkspacesShareSlots(t *testing.T) {
	d := New(topology.Service{ID: "s"}, nil)
	add := func(workspace topology.WorkspaceID, n int) {
		for range n {
			d.lastItem++
			id := message.SubID{Request: message.RequestID{Seq: uint64(d.lastItem)}}
			d.enqueue(&sub{item: d.lastItem, deadline: 1000, req: message.SubRequest{ID: id, Workspace: workspace, Kind: message.KindSearch}})
		}
	}
	serve := func(n int) (out []topology.WorkspaceID) {
		for range n {
			u := d.serviceOrder()[0]
			out = append(out, u.req.Workspace)
			d.fairQueue.charge(u.req.Workspace, len(d.takeBatch(u, &target{})))
		}
		return out
	}
	add("heavy", 40)
	serve(20)
	add("light", 2)
	want := []topology.WorkspaceID{"light", "light", "heavy"}
	if diff := cmp.Diff(want, serve(3)); diff != "" {
		t.Errorf("a short burst (-want +got):\n%s", diff)
	}
	add("light", 20)
	turns := map[topology.WorkspaceID]int{}
	for _, workspace := range serve(24) {
		turns[workspace]++
	}
	if turns["heavy"] < 4 {
		t.Errorf("turns %v: two backlogs must share the slots once the credit is used", turns)
	}
}

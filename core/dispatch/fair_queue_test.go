package dispatch

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Guards against a workspace whose few searches wait behind the backlog of another
// one. A holder has no other protection when the instances that admit queries admit too
// many.
func TestWorkspacesShareSlots(t *testing.T) {
	d := New(topology.Service{ID: "s"}, nil)
	add := func(workspace topology.WorkspaceID, n int) {
		for range n {
			d.lastItemID++
			id := message.SubID{Request: message.RequestID{Seq: uint64(d.lastItemID)}}
			d.enqueue(&sub{item: d.lastItemID, deadline: 1000, req: message.SubRequest{ID: id, Workspace: workspace, Kind: message.KindSearch}})
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
		t.Errorf("order of a short burst (-want +got):\n%s", diff)
	}
	add("light", 20)
	served := map[topology.WorkspaceID]int{}
	for _, workspace := range serve(24) {
		served[workspace]++
	}
	if served["heavy"] < 4 {
		t.Errorf("served %v: two backlogs must share the slots once the burst credit is used", served)
	}
}

package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
	"knapweedstall/deployment"
	"knapweedstall/emulator/target"
	"knapweedstall/io/caller"
)

// Guards against hits of one workspace in the answer to another one, when both send
// the same queries at the same time, and against wrong or missing hits.
func TestWorkspacesSeeTheirOwnHits(t *testing.T) {
	t.Parallel()
	const services, rounds = 3, 10
	c := newCluster(t, 3, services)
	c.setUp()
	d := deployment.Peachline(deployment.WithMaxServices(services))
	var wait sync.WaitGroup
	for _, who := range []struct {
		token     string
		workspace topology.WorkspaceID
	}{{tokenA, workspaceA}, {tokenB, workspaceB}} {
		for i, m := range c.members {
			wait.Go(func() {
				for n := range rounds {
					collection := d.Collections[(i+n)%len(d.Collections)].ID
					c.requireHits(m, who.token, who.workspace, d.Snapshots[collection][0], collection, target.Words()[n])
				}
			})
		}
	}
	wait.Wait()
	c.requireNoOverload()
}

// requireHits checks an answer against the documents of the workspace.
func (c *cluster) requireHits(m *member, token string, workspace topology.WorkspaceID, s topology.Snapshot, collection topology.CollectionID, text string) {
	const limit = 20
	status, a, e := c.search(m, token, caller.SearchRequest{
		Collection: collection, Query: text, Limit: limit, DeadlineMS: 2 * clock.Second,
	})
	if !complete(status, a) {
		c.t.Errorf("%s through %s: status %d, %+v, %+v", collection, m.id, status, a.Coverage, e)
		return
	}
	var shards []topology.ShardID
	for _, service := range s.Services() {
		shards = append(shards, s.Shards[service]...)
	}
	want := target.Corpus{}.Answer(s.ID, shards, workspace, text, limit)
	if len(want) == 0 {
		c.t.Errorf("the workspace has no document for %q", text)
	}
	if diff := cmp.Diff(want, a.Hits); diff != "" {
		c.t.Errorf("%s of %s through %s: %s", collection, workspace, m.id, diff)
	}
}

// Guards against a workspace that searches, or runs requests on, a collection that
// a ticket took from it, at any instance.
func TestWorkspaceWithoutRight(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1)
	c.setUp()
	c.accept(c.members[0], c.newTicket(2, "rights", "operator", ticket.Change{
		Scope: ticket.Scope{Kind: ticket.KindWorkspace, ID: workspaceB},
		Value: ticket.Workspace{Weight: 1, Collections: []topology.CollectionID{"dockdesk"}},
	}))
	eventually(t, spreadLimit, "the ticket is in force everywhere", func() bool { return c.inForce(2, c.members...) })
	since := time.Now()
	for i, m := range c.members {
		status, _, e := c.query(m, tokenB, "ledgerline", "pickup")
		if status != http.StatusForbidden || e.Code != caller.CodeForbidden || e.Outcome != caller.OutcomeNotRun {
			t.Errorf("%s: search: status %d, %+v", m.id, status, e)
		}
		reply := c.runOnce(m, runRequest{tokenB, workspaceB, "ledgerline", fmt.Sprintf("forbidden-%d", i)})
		if reply.status != http.StatusForbidden || reply.refusal.Code != caller.CodeForbidden || !reply.notRun() {
			t.Errorf("%s: run: %+v", m.id, reply)
		}
		if status, a, e := c.query(m, tokenB, "dockdesk", "pickup"); !complete(status, a) {
			t.Errorf("%s: the permitted collection: status %d, %+v", m.id, status, e)
		}
		if status, a, e := c.query(m, tokenA, "ledgerline", "pickup"); !complete(status, a) {
			t.Errorf("%s: the other workspace: status %d, %+v", m.id, status, e)
		}
	}
	for _, call := range c.calls("collection=ledgerline", since) {
		if call.Workspace == workspaceB {
			t.Errorf("a target got a call of the workspace: %+v", call)
		}
	}
}

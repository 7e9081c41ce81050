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

// Guards against hits of one workspace in the answer to another, when both send the
// same queries at the same time, and against wrong or missing hits.
func TestWorkspacesSeeTheirOwnHits(t *testing.T) {
	t.Parallel()
	const services, rounds = 3, 10
	c := newCluster(t, 3, services)
	c.setUp()
	d := deployment.Peachline(deployment.WithMaxServices(services))
	var wait sync.WaitGroup
	for _, client := range []struct {
		token     string
		workspace topology.WorkspaceID
	}{{tokenA, workspaceA}, {tokenB, workspaceB}} {
		for i, inst := range c.instances {
			wait.Go(func() {
				for n := range rounds {
					collection := d.Collections[(i+n)%len(d.Collections)].ID
					c.requireHits(inst, client.token, client.workspace, d.Snapshots[collection][0], collection, target.Words()[n])
				}
			})
		}
	}
	wait.Wait()
	c.requireNoOverload()
}

// requireHits sends a query and compares the hits with the documents of the workspace.
func (c *cluster) requireHits(inst *instance, token string, workspace topology.WorkspaceID, s topology.Snapshot, collection topology.CollectionID, text string) {
	const limit = 20
	status, a, e := c.search(inst, token, caller.SearchRequest{
		Collection: collection, Query: text, Limit: limit, DeadlineMS: 2 * clock.Second,
	})
	if !complete(status, a) {
		c.t.Errorf("query of %s through %s not complete: status %d, %+v, %+v", collection, inst.id, status, a.Coverage, e)
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
		c.t.Errorf("wrong hits in %s for %s through %s (-want +got): %s", collection, workspace, inst.id, diff)
	}
}

// Guards against an instance that lets a workspace search, or run requests on, a
// collection after a ticket has withdrawn its permission.
func TestWorkspaceWithoutPermission(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1)
	c.setUp()
	c.mustFileTicket(c.instances[0], c.encodeTicket(2, "rights", "operator", ticket.Change{
		Scope: ticket.Scope{Kind: ticket.KindWorkspace, ID: workspaceB},
		Value: ticket.Workspace{Weight: 1, Collections: []topology.CollectionID{"dockdesk"}},
	}))
	eventually(t, propagationLimit, "the ticket is in force everywhere", func() bool { return c.inForce(2, c.instances...) })
	since := time.Now()
	for i, inst := range c.instances {
		status, _, e := c.query(inst, tokenB, "ledgerline", "pickup")
		if status != http.StatusForbidden || e.Code != caller.CodeForbidden || e.Outcome != caller.OutcomeNotRun {
			t.Errorf("%s: search: status %d, %+v", inst.id, status, e)
		}
		reply := c.sendRunRequest(inst, runRequest{tokenB, workspaceB, "ledgerline", fmt.Sprintf("forbidden-%d", i)})
		if reply.status != http.StatusForbidden || reply.refusal.Code != caller.CodeForbidden || !reply.notRun() {
			t.Errorf("%s: run: %+v", inst.id, reply)
		}
		if status, a, e := c.query(inst, tokenB, "dockdesk", "pickup"); !complete(status, a) {
			t.Errorf("%s: the permitted collection: status %d, %+v", inst.id, status, e)
		}
		if status, a, e := c.query(inst, tokenA, "ledgerline", "pickup"); !complete(status, a) {
			t.Errorf("%s: the other workspace: status %d, %+v", inst.id, status, e)
		}
	}
	for _, call := range c.targetCalls("collection=ledgerline", since) {
		if call.Workspace == workspaceB {
			t.Errorf("a target got a call of the workspace without permission: %+v", call)
		}
	}
}

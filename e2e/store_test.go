package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/emulator/platform"
	"knapweedstall/emulator/target"
	"knapweedstall/io/caller"
	"knapweedstall/io/operator"
)

// refusalLimit is the time within which a request must be refused while the store is
// down. It is the default of settings.Timeouts.PlatformCallMS, because a refusal waits
// for at most one call of the platform.
const refusalLimit = time.Second

// runRequest is a request that must run at most once. Its workspace and collection
// identify it in the calls of the targets.
type runRequest struct {
	token, workspace, collection, key string
}

// runReply is the reply to a run request. The status is 0 when there was none.
type runReply struct {
	status  int
	answer  caller.RunAnswer
	refusal caller.Error
}

// answered reports whether the request ran and the reply carries its receipt.
func (r runReply) answered() bool {
	return r.status == http.StatusOK && r.answer.Outcome == caller.OutcomeAnswered && r.answer.Receipt != ""
}

// notRun reports whether the request was refused with the assurance that it did not
// run.
func (r runReply) notRun() bool { return r.refusal.Outcome == caller.OutcomeNotRun }

// sendRunRequest sends r through inst.
func (c *cluster) sendRunRequest(inst *instance, r runRequest) runReply {
	body, _ := json.Marshal(map[string]any{"collection": r.collection, "payload": "book " + r.key, "deadlineMs": 2000})
	var out runReply
	status, data, err := c.sendHTTP(http.MethodPost, inst.callerAddr, "/v1/run", r.token, body, "Idempotency-Key", r.key)
	if err != nil {
		return out
	}
	out.status = status
	if status == http.StatusOK {
		_ = json.Unmarshal(data, &out.answer)
	} else {
		_ = json.Unmarshal(data, &out.refusal)
	}
	return out
}

// countStarted returns how often targets started to run r.
func (c *cluster) countStarted(r runRequest) int {
	notStarted := []target.Outcome{
		target.OutcomeShed, target.OutcomeOverloadCrash, target.OutcomeLate,
		target.OutcomeDraining, target.OutcomeSnapshotGone, target.OutcomeDown,
	}
	n := 0
	for _, call := range c.targetCalls("collection="+r.collection, time.Time{}) {
		if call.Path == "/v1/run" && string(call.Workspace) == r.workspace && !slices.Contains(notStarted, call.Outcome) {
			n++
		}
	}
	return n
}

// Guards against queries that depend on the store, refusals that come late or without
// a retry time, and instances that serve without a configuration.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	const outage = 6 * time.Second
	c := newCluster(t, 3, 3)
	c.setUp()
	instances := slices.Clone(c.instances)
	tr := c.startTrafficThrough(instances...)
	time.Sleep(time.Second)
	c.setPlatformFaults(platform.Faults{Down: true})
	down := time.Now()
	late := c.addInstance()
	c.startInstance(late)
	r := runRequest{tokenA, workspaceA, "ledgerline", "outage-1"}
	for time.Since(down) < outage {
		c.requireOutageRefusals(instances, r)
		c.requireUnreadyWithoutConfig(late)
		time.Sleep(500 * time.Millisecond)
	}
	c.setPlatformFaults(platform.Faults{})
	eventually(t, recoveryLimit, "a ticket is accepted", func() bool {
		status, a, _ := c.fileTicket(instances[1], c.tuningTicket(2, "after-outage", "operator", 4))
		return status == http.StatusCreated && a.Number == 2
	})
	eventually(t, recoveryLimit, "the request has run", func() bool { return c.sendRunRequest(instances[2], r).answered() })
	eventually(t, recoveryLimit, "the late instance is ready", func() bool { return c.ready(late) })
	eventually(t, recoveryLimit, "the ticket is in force everywhere", func() bool { return c.inForce(2, c.instances...) })
	if n := c.countStarted(r); n != 1 {
		t.Errorf("the request ran %d times", n)
	}
	requireAll(t, "complete throughout", tr.stopAndSelect(time.Time{}, time.Time{}), queryResult.complete)
	c.requireNoOverload()
}

// requireOutageRefusals files a ticket and sends r through every instance. Both must be
// refused within refusalLimit with a retry time, and r as not run.
func (c *cluster) requireOutageRefusals(instances []*instance, r runRequest) {
	c.t.Helper()
	for _, inst := range instances {
		start := time.Now()
		status, _, e := c.fileTicket(inst, c.tuningTicket(2, "outage-"+inst.id, "operator", 2))
		if e.Code != operator.CodeUnavailable || e.RetryAfterMS <= 0 {
			c.t.Errorf("ticket not refused as unavailable with a retry time: status %d, %+v", status, e)
		}
		filed := time.Now()
		reply := c.sendRunRequest(inst, r)
		if !reply.notRun() || reply.refusal.RetryAfterMS <= 0 {
			c.t.Errorf("run request not refused as not run with a retry time: %+v", reply)
		}
		if first, second := filed.Sub(start), time.Since(filed); first > refusalLimit || second > refusalLimit {
			c.t.Errorf("ticket refused after %v and run request after %v", first, second)
		}
	}
}

// requireUnreadyWithoutConfig checks that inst, while it has no configuration, reports
// unready and refuses queries as not run, with a retry time.
func (c *cluster) requireUnreadyWithoutConfig(inst *instance) {
	c.t.Helper()
	if c.inForce(1, inst) {
		return // inst got the configuration from a peer
	}
	status, _, e := c.query(inst, tokenA, "dockdesk", "pickup")
	if status != 0 && !c.inForce(1, inst) && (e.Outcome != caller.OutcomeNotRun || e.RetryAfterMS <= 0 || c.ready(inst)) {
		c.t.Errorf("%s without a configuration is ready or did not refuse a query as not run: status %d, %+v", inst.id, status, e)
	}
}

// Guards against a ticket that is reported as refused although its write to the store
// succeeded, and against a lost ticket that is reported as accepted.
func TestTicketsWithLostReplies(t *testing.T) {
	t.Parallel()
	const last = 6
	c := newCluster(t, 3, 1)
	c.setUp()
	c.setPlatformFaults(platform.Faults{LoseReplyRate: 1})
	for n := 2; n <= last; n++ {
		inst := c.instances[n%len(c.instances)]
		// Ticket numbers have no gaps, so acceptance of the next number proves that this
		// ticket was created.
		status, a, e := c.fileTicket(inst, c.tuningTicket(n, fmt.Sprintf("lost-%d", n), "operator", n))
		if status != http.StatusCreated || a.Number != uint64(n) {
			t.Fatalf("ticket %d: status %d, %+v", n, status, e)
		}
	}
	c.setPlatformFaults(platform.Faults{})
	eventually(t, propagationLimit, "the tickets are in force everywhere", func() bool { return c.inForce(last, c.instances...) })
	for _, inst := range c.instances {
		records := c.auditRecords(inst)
		for i, r := range records {
			if r.Number != uint64(i+2) || r.FilingID != fmt.Sprintf("lost-%d", i+2) {
				t.Errorf("%s lists wrong tickets: %+v", inst.id, records)
				break
			}
		}
		if len(records) != last-1 {
			t.Errorf("%s lists a wrong number of tickets: %d", inst.id, len(records))
		}
	}
}

// Guards against a run request that runs twice when it is sent again through other
// instances, because the store's reply to the write that claims the request, or to the
// one that records its outcome, was lost.
func TestRunWithLostReplies(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2)
	c.setUp()
	c.setPlatformFaults(platform.Faults{LoseReplyRate: 1})
	var requests []runRequest
	for _, collection := range []string{"dockdesk", "ledgerline", "certvault", "routeboard"} {
		requests = append(requests,
			runRequest{tokenA, workspaceA, collection, "key-" + collection},
			runRequest{tokenB, workspaceB, collection, "key-" + collection})
	}
	replies := make([][]runReply, len(requests))
	var wait sync.WaitGroup
	for i, r := range requests {
		wait.Go(func() { replies[i] = c.sendToAllInstances(r, 3) })
	}
	wait.Wait()
	c.setPlatformFaults(platform.Faults{})
	ran := 0
	for i, r := range requests {
		ran += c.requireAtMostOneRun(r, append(replies[i], c.sendToAllInstances(r, 1)...))
	}
	if ran == 0 {
		t.Error("no request ran")
	}
	c.requireNoOverload()
}

// sendToAllInstances sends r through all instances at the same time, in the given
// number of rounds.
func (c *cluster) sendToAllInstances(r runRequest, rounds int) []runReply {
	out := make([]runReply, rounds*len(c.instances))
	for round := range rounds {
		var wait sync.WaitGroup
		for i, inst := range c.instances {
			wait.Go(func() { out[round*len(c.instances)+i] = c.sendRunRequest(inst, r) })
		}
		wait.Wait()
	}
	return out
}

// requireAtMostOneRun checks the replies to r against the runs that the targets
// recorded, and returns the number of runs. The last round was sent while the store was
// healthy, so its replies must be final.
func (c *cluster) requireAtMostOneRun(r runRequest, replies []runReply) int {
	c.t.Helper()
	receipts := map[string]bool{}
	var lines []string
	allNotRun := true
	for _, reply := range replies {
		lines = append(lines, fmt.Sprintf("%+v", reply))
		if reply.answered() {
			receipts[reply.answer.Receipt] = true
		}
		allNotRun = allNotRun && reply.notRun()
		if reply.status == 0 || (!reply.answered() && reply.refusal.Code == "") {
			c.t.Errorf("%+v: no final answer", r)
		}
	}
	n := c.countStarted(r)
	if n > 1 || len(receipts) > n || (allNotRun && n > 0) {
		c.t.Errorf("%+v ran %d times, receipts %v, replies:\n%s", r, n, receipts, strings.Join(lines, "\n"))
	}
	for _, reply := range replies[len(replies)-len(c.instances):] {
		if !reply.answered() && reply.refusal.Outcome != caller.OutcomeUnknown {
			c.t.Errorf("%+v while the store was healthy: %+v", r, reply)
		}
	}
	return n
}

// Guards against run requests that never run, or run again, after the instance that
// claimed them crashes.
func TestRunWithLostInstance(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2)
	c.setUp()
	c.controlTargets(http.MethodPut, "/faults", target.Faults{SlowFactor: 40}, nil) // so that the kill comes while requests run
	var requests []runRequest
	for _, collection := range []string{"dockdesk", "ledgerline", "certvault", "routeboard"} {
		requests = append(requests, runRequest{tokenA, workspaceA, collection, "key-" + collection})
	}
	replies := make([]runReply, len(requests))
	var wait sync.WaitGroup
	for i, r := range requests {
		wait.Go(func() { replies[i] = c.sendRunRequest(c.instances[1], r) })
	}
	time.Sleep(100 * time.Millisecond)
	c.instances[0].process.kill()
	wait.Wait()
	time.Sleep((2 * clock.Second).Std()) // by then no target runs a request from before the kill
	c.controlTargets(http.MethodPut, "/faults", target.Faults{}, nil)
	c.instances = c.instances[1:]
	time.Sleep(recoveryLimit)
	ran := 0
	for i, r := range requests {
		ran += c.requireAtMostOneRun(r, append([]runReply{replies[i]}, c.sendToAllInstances(r, 2)...))
	}
	if ran == 0 {
		t.Error("no request ran")
	}
}

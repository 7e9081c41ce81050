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

// refusalLimit is settings.Timeouts.PlatformCallMS: a refusal waits for at most
// one call of the platform.
const refusalLimit = time.Second

// runRequest is a request that may not be repeated. Workspace and collection tell
// it apart from others at the targets.
type runRequest struct {
	token, workspace, collection, key string
}

// runReply is one reply to a run request. The status is 0 when there was none.
type runReply struct {
	status  int
	answer  caller.RunAnswer
	refusal caller.Error
}

func (r runReply) answered() bool {
	return r.status == http.StatusOK && r.answer.Outcome == caller.OutcomeAnswered && r.answer.Receipt != ""
}

func (r runReply) notRun() bool { return r.refusal.Outcome == caller.OutcomeNotRun }

func (c *cluster) runOnce(m *member, r runRequest) runReply {
	body, _ := json.Marshal(map[string]any{"collection": r.collection, "payload": "book " + r.key, "deadlineMs": 2000})
	var out runReply
	status, data, err := c.call(http.MethodPost, m.callers, "/v1/run", r.token, body, "Idempotency-Key", r.key)
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

// started returns how often targets started to run r.
func (c *cluster) started(r runRequest) int {
	notStarted := []target.Outcome{
		target.OutcomeShed, target.OutcomeOverloadCrash, target.OutcomeLate,
		target.OutcomeDraining, target.OutcomeSnapshotGone, target.OutcomeDown,
	}
	n := 0
	for _, call := range c.calls("collection="+r.collection, time.Time{}) {
		if call.Path == "/v1/run" && string(call.Workspace) == r.workspace && !slices.Contains(notStarted, call.Outcome) {
			n++
		}
	}
	return n
}

// Guards against queries that depend on the store, refusals that come late or
// without a time to come back, and instances that serve without a
// configuration.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	const outage = 6 * time.Second
	c := newCluster(t, 3, 3)
	c.setUp()
	members := slices.Clone(c.members)
	tr := c.sendThrough(members...)
	time.Sleep(time.Second)
	c.faultPlatform(platform.Faults{Down: true})
	down := time.Now()
	late := c.addMember()
	c.run(late)
	r := runRequest{tokenA, workspaceA, "ledgerline", "outage-1"}
	for time.Since(down) < outage {
		c.requireRefusals(members, r)
		c.requireNoConfig(late)
		time.Sleep(500 * time.Millisecond)
	}
	c.faultPlatform(platform.Faults{})
	eventually(t, settleLimit, "a ticket is accepted", func() bool {
		status, a, _ := c.file(members[1], c.tuningTicket(2, "after-outage", "operator", 4))
		return status == http.StatusCreated && a.Number == 2
	})
	eventually(t, settleLimit, "the request is run", func() bool { return c.runOnce(members[2], r).answered() })
	eventually(t, settleLimit, "the late instance is ready", func() bool { return c.ready(late) })
	eventually(t, settleLimit, "the ticket is in force everywhere", func() bool { return c.inForce(2, c.members...) })
	if n := c.started(r); n != 1 {
		t.Errorf("the request was run %d times", n)
	}
	require(t, "complete throughout", tr.results(time.Time{}, time.Time{}), sample.complete)
	c.requireNoOverload()
}

// requireRefusals files a ticket and sends r through every member, which both
// have to be refused at once as not run.
func (c *cluster) requireRefusals(members []*member, r runRequest) {
	c.t.Helper()
	for _, m := range members {
		start := time.Now()
		status, _, e := c.file(m, c.tuningTicket(2, "outage-"+m.id, "operator", 2))
		if e.Code != operator.CodeUnavailable || e.RetryAfterMS <= 0 {
			c.t.Errorf("ticket: status %d, %+v", status, e)
		}
		filed := time.Now()
		reply := c.runOnce(m, r)
		if !reply.notRun() || reply.refusal.RetryAfterMS <= 0 {
			c.t.Errorf("run request: %+v", reply)
		}
		if first, second := filed.Sub(start), time.Since(filed); first > refusalLimit || second > refusalLimit {
			c.t.Errorf("refusals after %v and %v", first, second)
		}
	}
}

// requireNoConfig checks that m, which has no configuration, does not claim to
// be ready and refuses work as not run.
func (c *cluster) requireNoConfig(m *member) {
	c.t.Helper()
	if c.inForce(1, m) {
		return // it has the configuration from a peer
	}
	status, _, e := c.query(m, tokenA, "dockdesk", "pickup")
	if status != 0 && !c.inForce(1, m) && (e.Outcome != caller.OutcomeNotRun || e.RetryAfterMS <= 0 || c.ready(m)) {
		c.t.Errorf("%s without a configuration: status %d, %+v", m.id, status, e)
	}
}

// Guards against a ticket that is reported as refused although its write took
// effect, and against a lost ticket that is reported as accepted.
func TestTicketsWithLostReplies(t *testing.T) {
	t.Parallel()
	const last = 6
	c := newCluster(t, 3, 1)
	c.setUp()
	c.faultPlatform(platform.Faults{LoseReplyRate: 1})
	for n := 2; n <= last; n++ {
		m := c.members[n%len(c.members)]
		// The log has no gaps, so the next number shows that this one was created.
		status, a, e := c.file(m, c.tuningTicket(n, fmt.Sprintf("lost-%d", n), "operator", n))
		if status != http.StatusCreated || a.Number != uint64(n) {
			t.Fatalf("ticket %d: status %d, %+v", n, status, e)
		}
	}
	c.faultPlatform(platform.Faults{})
	eventually(t, spreadLimit, "the tickets are in force everywhere", func() bool { return c.inForce(last, c.members...) })
	for _, m := range c.members {
		records := c.audit(m)
		for i, r := range records {
			if r.Number != uint64(i+2) || r.FilingID != fmt.Sprintf("lost-%d", i+2) {
				t.Errorf("%s lists %+v", m.id, records)
				break
			}
		}
		if len(records) != last-1 {
			t.Errorf("%s lists %d tickets", m.id, len(records))
		}
	}
}

// Guards against a request that runs twice because the reply to its claim, or
// to the record of its outcome, was lost and it was sent again through other
// instances.
func TestRunWithLostReplies(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2)
	c.setUp()
	c.faultPlatform(platform.Faults{LoseReplyRate: 1})
	var requests []runRequest
	for _, collection := range []string{"dockdesk", "ledgerline", "certvault", "routeboard"} {
		requests = append(requests,
			runRequest{tokenA, workspaceA, collection, "key-" + collection},
			runRequest{tokenB, workspaceB, collection, "key-" + collection})
	}
	replies := make([][]runReply, len(requests))
	var wait sync.WaitGroup
	for i, r := range requests {
		wait.Go(func() { replies[i] = c.sendEverywhere(r, 3) })
	}
	wait.Wait()
	c.faultPlatform(platform.Faults{})
	ran := 0
	for i, r := range requests {
		ran += c.requireOneRun(r, append(replies[i], c.sendEverywhere(r, 1)...))
	}
	if ran == 0 {
		t.Error("no request ran")
	}
	c.requireNoOverload()
}

// sendEverywhere sends r through all members at the same time, several times.
func (c *cluster) sendEverywhere(r runRequest, times int) []runReply {
	out := make([]runReply, times*len(c.members))
	for round := range times {
		var wait sync.WaitGroup
		for i, m := range c.members {
			wait.Go(func() { out[round*len(c.members)+i] = c.runOnce(m, r) })
		}
		wait.Wait()
	}
	return out
}

// requireOneRun checks the replies to r against what the targets ran, and
// returns how often that was. The last round was sent with the store healthy, so
// its replies are final.
func (c *cluster) requireOneRun(r runRequest, replies []runReply) int {
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
	n := c.started(r)
	if n > 1 || len(receipts) > n || (allNotRun && n > 0) {
		c.t.Errorf("%+v ran %d times, receipts %v, replies:\n%s", r, n, receipts, strings.Join(lines, "\n"))
	}
	for _, reply := range replies[len(replies)-len(c.members):] {
		if !reply.answered() && reply.refusal.Outcome != caller.OutcomeUnknown {
			c.t.Errorf("%+v with the store healthy: %+v", r, reply)
		}
	}
	return n
}

// Guards against a run request that never runs, or runs again, when the
// instance that claimed it is lost.
func TestRunWithLostInstance(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2)
	c.setUp()
	c.controlTargets(http.MethodPut, "/faults", target.Faults{SlowFactor: 40}, nil) // long enough to be killed meanwhile
	var requests []runRequest
	for _, collection := range []string{"dockdesk", "ledgerline", "certvault", "routeboard"} {
		requests = append(requests, runRequest{tokenA, workspaceA, collection, "key-" + collection})
	}
	replies := make([]runReply, len(requests))
	var wait sync.WaitGroup
	for i, r := range requests {
		wait.Go(func() { replies[i] = c.runOnce(c.members[1], r) })
	}
	time.Sleep(100 * time.Millisecond)
	c.members[0].process.kill()
	wait.Wait()
	time.Sleep((2 * clock.Second).Std()) // the longest possible work at a target has ended
	c.controlTargets(http.MethodPut, "/faults", target.Faults{}, nil)
	c.members = c.members[1:]
	time.Sleep(settleLimit)
	ran := 0
	for i, r := range requests {
		ran += c.requireOneRun(r, append([]runReply{replies[i]}, c.sendEverywhere(r, 2)...))
	}
	if ran == 0 {
		t.Error("no request ran")
	}
}

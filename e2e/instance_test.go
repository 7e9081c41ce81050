package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"knapweedstall/core/clock"
)

const (
	// settleLimit is the time within which answers are complete again after a
	// failure, as docs/design.md section 1.1 has it for the configuration and
	// the task of the tests for an instance that is lost.
	settleLimit = 5 * time.Second
	// stopLimit is settings.Timeouts.ShutdownMS, within which a graceful stop
	// ends.
	stopLimit = 30 * time.Second
)

// Guards against queries that vanish when an instance crashes, shares that stay
// unused afterwards, and slots that the old and the new holder both use.
func TestKilledInstance(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, 3)
	c.setUp()
	tr := c.sendThrough(c.members[1:]...)
	time.Sleep(2 * time.Second)
	killed := time.Now()
	c.members[0].process.kill()
	time.Sleep(settleLimit + 2*time.Second)
	all := tr.results(time.Time{}, time.Time{})
	require(t, "final answer", all, sample.final)
	require(t, "complete before the kill", tr.results(time.Time{}, killed.Add(-clock.Second.Std())), sample.complete)
	require(t, "complete after 5 s", tr.results(killed.Add(settleLimit), time.Time{}), sample.complete)
	c.requireNoOverload()
}

// Guards against a paused holder that sends on rights which others took over
// meanwhile, and against answers that stay incomplete while it is paused.
func TestPausedInstance(t *testing.T) {
	t.Parallel()
	const pause = 6 * time.Second
	c := newCluster(t, 4, 3)
	c.setUp()
	others := c.sendThrough(c.members[1:]...)
	// The paused instance has requests of its own in progress and waiting.
	own := c.sendThrough(c.members[0])
	time.Sleep(time.Second)
	paused := time.Now()
	c.members[0].signal(t, syscall.SIGSTOP)
	time.Sleep(pause)
	c.members[0].signal(t, syscall.SIGCONT)
	resumed := time.Now()
	time.Sleep(settleLimit + 2*time.Second)
	own.stop()
	require(t, "final answer", others.results(time.Time{}, time.Time{}), sample.final)
	require(t, "complete while paused", others.results(paused.Add(settleLimit), resumed), sample.complete)
	require(t, "complete after resuming", others.results(resumed.Add(settleLimit), time.Time{}), sample.complete)
	require(t, "complete at the resumed instance", own.results(resumed.Add(settleLimit), time.Time{}), sample.complete)
	c.requireNoOverload()
}

// balancer routes to the members that report ready, which it asks each period,
// as the platform's load balancer does.
type balancer struct {
	mu    sync.Mutex
	ready []*member
}

const balancerPeriod = 100 * time.Millisecond

func (c *cluster) balance() *balancer {
	b := &balancer{ready: slices.Clone(c.members)}
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		tick := time.NewTicker(balancerPeriod)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			var ready []*member
			for _, m := range c.members {
				if c.ready(m) {
					ready = append(ready, m)
				}
			}
			b.mu.Lock()
			b.ready = ready
			b.mu.Unlock()
		}
	})
	c.t.Cleanup(func() { close(done); wait.Wait() })
	return b
}

func (b *balancer) route() []*member {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready
}

func (c *cluster) ready(m *member) bool {
	status, _, err := c.call(http.MethodGet, m.callers, "/readyz", "", nil)
	return err == nil && status == http.StatusOK
}

// stopGracefully ends m with SIGTERM while it serves. Readiness has to go before
// the process does.
func (c *cluster) stopGracefully(m *member) {
	c.t.Helper()
	m.signal(c.t, syscall.SIGTERM)
	eventually(c.t, time.Second, m.id+" reports unready and still runs", func() bool {
		status, _, err := c.call(http.MethodGet, m.callers, "/readyz", "", nil)
		return err == nil && status == http.StatusServiceUnavailable
	})
	select {
	case <-m.process.done:
	case <-time.After(stopLimit):
		c.t.Fatalf("%s does not end within %v", m.id, stopLimit)
	}
	if code := m.process.cmd.ProcessState.ExitCode(); code != 0 {
		c.t.Errorf("%s ends with code %d", m.id, code)
	}
}

// Guards against a planned stop that cuts a request, loses coverage, or comes
// before the balancer knows; every member is replaced in turn.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, 3)
	c.setUp()
	b := c.balance()
	tr := c.send(clock.Second, mixedTexts, b.route)
	runs := c.sendRuns(b.route)
	for _, m := range c.members {
		c.stopGracefully(m)
		c.run(m)
		eventually(t, 2*settleLimit, m.id+" is ready again", func() bool { return c.ready(m) })
	}
	time.Sleep(time.Second)
	require(t, "complete", tr.results(time.Time{}, time.Time{}), sample.complete)
	replies := runs()
	bad := 0
	for key, reply := range replies {
		if !reply.answered() || reply.answer.Recorded {
			bad++
			t.Errorf("run request %s: %+v", key, reply)
		}
	}
	if len(replies) == 0 || bad > 0 {
		t.Errorf("%d of %d run requests fail", bad, len(replies))
	}
	c.requireNoOverload()
}

// runPeriod is the time between two requests of sendRuns.
const runPeriod = 250 * time.Millisecond

// sendRuns sends requests that may not be repeated, each with its own key,
// through the members in turn. The returned function ends that and returns the
// replies by key.
func (c *cluster) sendRuns(route func() []*member) func() map[string]runReply {
	var mu sync.Mutex
	replies := map[string]runReply{}
	stop := c.every(runPeriod, func(n int, wait *sync.WaitGroup) {
		members := route()
		if len(members) == 0 {
			return
		}
		wait.Go(func() {
			key := fmt.Sprintf("rolling-%d", n)
			reply := c.runOnce(members[n%len(members)], runRequest{tokenA, workspaceA, "ledgerline", key})
			mu.Lock()
			defer mu.Unlock()
			replies[key] = reply
		})
	})
	return func() map[string]runReply { stop(); return replies }
}

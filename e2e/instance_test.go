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
	// recoveryLimit is the time within which answers must be complete again after
	// a failure. docs/design.md section 1.1 requires it for the configuration, and the
	// requirements on the tests for the loss of an instance.
	recoveryLimit = 5 * time.Second
	// stopLimit is the default of settings.Timeouts.ShutdownMS, within which a
	// graceful stop must end.
	stopLimit = 30 * time.Second
)

// Guards against queries that get no final answer when an instance crashes, against
// shares of the capacity of targets that stay unused afterwards, and against slots
// that the previous and the new holder both use. A holder is an instance that may
// send calls to a target; a slot allows one concurrent call.
func TestKilledInstance(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, 3)
	c.setUp()
	tr := c.startTrafficThrough(c.instances[1:]...)
	time.Sleep(2 * time.Second)
	killed := time.Now()
	c.instances[0].process.kill()
	time.Sleep(recoveryLimit + 2*time.Second)
	all := tr.stopAndSelect(time.Time{}, time.Time{})
	requireAll(t, "final answer", all, queryResult.final)
	requireAll(t, "complete before the kill", tr.stopAndSelect(time.Time{}, killed.Add(-clock.Second.Std())), queryResult.complete)
	requireAll(t, "complete after 5 s", tr.stopAndSelect(killed.Add(recoveryLimit), time.Time{}), queryResult.complete)
	c.requireNoOverload()
}

// Guards against a holder that after a pause uses slots which other instances took
// over meanwhile, and against answers that stay incomplete while it is paused.
func TestPausedInstance(t *testing.T) {
	t.Parallel()
	const pause = 6 * time.Second
	c := newCluster(t, 4, 3)
	c.setUp()
	others := c.startTrafficThrough(c.instances[1:]...)
	// The paused instance also has requests running and queued.
	own := c.startTrafficThrough(c.instances[0])
	time.Sleep(time.Second)
	paused := time.Now()
	c.instances[0].signal(t, syscall.SIGSTOP)
	time.Sleep(pause)
	c.instances[0].signal(t, syscall.SIGCONT)
	resumed := time.Now()
	time.Sleep(recoveryLimit + 2*time.Second)
	own.stop()
	requireAll(t, "final answer", others.stopAndSelect(time.Time{}, time.Time{}), queryResult.final)
	requireAll(t, "complete while paused", others.stopAndSelect(paused.Add(recoveryLimit), resumed), queryResult.complete)
	requireAll(t, "complete after resuming", others.stopAndSelect(resumed.Add(recoveryLimit), time.Time{}), queryResult.complete)
	requireAll(t, "complete at the resumed instance", own.stopAndSelect(resumed.Add(recoveryLimit), time.Time{}), queryResult.complete)
	c.requireNoOverload()
}

// balancer keeps the list of instances that report ready, and asks each period, as
// the platform's load balancer does.
type balancer struct {
	mu    sync.Mutex
	ready []*instance
}

// balancerPollPeriod is the time between two readiness checks of the balancer.
const balancerPollPeriod = 100 * time.Millisecond

// startBalancer starts a balancer that runs until the end of the test.
func (c *cluster) startBalancer() *balancer {
	b := &balancer{ready: slices.Clone(c.instances)}
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		tick := time.NewTicker(balancerPollPeriod)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			var ready []*instance
			for _, inst := range c.instances {
				if c.ready(inst) {
					ready = append(ready, inst)
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

func (b *balancer) readyInstances() []*instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready
}

func (c *cluster) ready(inst *instance) bool {
	status, _, err := c.sendHTTP(http.MethodGet, inst.callerAddr, "/readyz", "", nil)
	return err == nil && status == http.StatusOK
}

// stopGracefully stops inst with SIGTERM while it serves. It must report unready
// before its process ends.
func (c *cluster) stopGracefully(inst *instance) {
	c.t.Helper()
	inst.signal(c.t, syscall.SIGTERM)
	eventually(c.t, time.Second, inst.id+" reports unready and still runs", func() bool {
		status, _, err := c.sendHTTP(http.MethodGet, inst.callerAddr, "/readyz", "", nil)
		return err == nil && status == http.StatusServiceUnavailable
	})
	select {
	case <-inst.process.done:
	case <-time.After(stopLimit):
		c.t.Fatalf("%s did not end within %v", inst.id, stopLimit)
	}
	if code := inst.process.cmd.ProcessState.ExitCode(); code != 0 {
		c.t.Errorf("%s ended with exit code %d", inst.id, code)
	}
}

// Guards against a planned stop that interrupts a request, loses coverage, or ends
// the process before the balancer notices. Every instance is replaced in turn.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, 3)
	c.setUp()
	b := c.startBalancer()
	tr := c.startTraffic(clock.Second, mixedQueryText, b.readyInstances)
	runs := c.streamRunRequests(b.readyInstances)
	for _, inst := range c.instances {
		c.stopGracefully(inst)
		c.startInstance(inst)
		eventually(t, 2*recoveryLimit, inst.id+" is ready again", func() bool { return c.ready(inst) })
	}
	time.Sleep(time.Second)
	requireAll(t, "complete", tr.stopAndSelect(time.Time{}, time.Time{}), queryResult.complete)
	replies := runs()
	bad := 0
	for key, reply := range replies {
		if !reply.answered() || reply.answer.Recorded {
			bad++
			t.Errorf("run request %s was not answered by its first run: %+v", key, reply)
		}
	}
	if len(replies) == 0 || bad > 0 {
		t.Errorf("%d of %d run requests failed", bad, len(replies))
	}
	c.requireNoOverload()
}

// runRequestPeriod is the time between two requests of streamRunRequests.
const runRequestPeriod = 250 * time.Millisecond

// streamRunRequests sends run requests, each with its own idempotency key, through
// the instances in turn. The returned function stops the stream and returns the
// replies by key.
func (c *cluster) streamRunRequests(route func() []*instance) func() map[string]runReply {
	var mu sync.Mutex
	replies := map[string]runReply{}
	stop := c.every(runRequestPeriod, func(n int, wait *sync.WaitGroup) {
		instances := route()
		if len(instances) == 0 {
			return
		}
		wait.Go(func() {
			key := fmt.Sprintf("rolling-%d", n)
			reply := c.sendRunRequest(instances[n%len(instances)], runRequest{tokenA, workspaceA, "ledgerline", key})
			mu.Lock()
			defer mu.Unlock()
			replies[key] = reply
		})
	})
	return func() map[string]runReply { stop(); return replies }
}

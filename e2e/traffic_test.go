package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/emulator/target"
	"knapweedstall/io/caller"
)

// queryResult is a query with its reply.
type queryResult struct {
	instance   *instance
	start, end time.Time
	status     int // 0 when there was no reply
	answer     caller.SearchAnswer
	refusal    caller.Error
}

func (r queryResult) String() string {
	return fmt.Sprintf("%s through %s after %v: status %d, coverage %+v, refusal %+v",
		r.start.Format("05.000"), r.instance.id, r.end.Sub(r.start).Round(time.Millisecond), r.status, r.answer.Coverage, r.refusal)
}

func (r queryResult) complete() bool { return complete(r.status, r.answer) }

// final reports whether the caller got a final answer: hits with their coverage, or a
// refusal with an error code.
func (r queryResult) final() bool { return r.status == http.StatusOK || r.refusal.Code != "" }

// completeOrNotRun reports whether the answer is complete, or a refusal that says that
// the query did not run and when to retry.
func (r queryResult) completeOrNotRun() bool {
	return r.complete() || r.refusal.Outcome == caller.OutcomeNotRun && r.refusal.RetryAfterMS > 0
}

// traffic is a stream of queries at a constant rate.
type traffic struct {
	stop func()

	mu      sync.Mutex
	results []queryResult
}

// queryPeriod is the time between two queries through one instance. It is long enough
// for cold targets, which support one concurrent call, on a busy machine.
const queryPeriod = 100 * time.Millisecond

// mixedQueryText returns the text of the n-th query of a stream. The texts repeat, so
// that queries both with and without a canary (the first call with a new text) occur.
func mixedQueryText(n int) string {
	const texts = 97
	return fmt.Sprintf("%s %d", knownQueryText(n), n%texts)
}

// knownQueryText returns the text of the n-th query of a stream from the few texts that
// need no canary after warmUp.
func knownQueryText(n int) string {
	words := target.Words()
	return words[n%len(words)]
}

// warmUp sends all texts of knownQueryText through every instance.
func (c *cluster) warmUp() {
	c.t.Helper()
	for n := range target.Words() {
		for _, inst := range c.instances {
			if r := c.timedQuery(inst, clock.Second, knownQueryText(n)); !r.complete() {
				c.t.Fatal(r)
			}
		}
	}
}

// startTraffic sends a query through each instance that route returns in each period,
// without waiting for the answers to earlier ones.
func (c *cluster) startTraffic(deadline clock.Duration, text func(n int) string, route func() []*instance) *traffic {
	tr := &traffic{}
	tr.stop = c.every(queryPeriod, func(n int, wait *sync.WaitGroup) {
		for _, inst := range route() {
			wait.Go(func() { tr.addResult(c.timedQuery(inst, deadline, text(n))) })
		}
	})
	return tr
}

// every calls do each period with the number of the call, until the returned function
// is called or the test ends. Both wait for the goroutines that do started with wait.
func (c *cluster) every(period time.Duration, do func(n int, wait *sync.WaitGroup)) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		tick := time.NewTicker(period)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			do(n, &wait)
		}
	})
	stop = sync.OnceFunc(func() { close(done); wait.Wait() })
	c.t.Cleanup(stop)
	return stop
}

// startTrafficThrough starts mixed queries through the given instances.
func (c *cluster) startTrafficThrough(instances ...*instance) *traffic {
	return c.startTraffic(clock.Second, mixedQueryText, func() []*instance { return instances })
}

// timedQuery sends one query and records its reply with the times of both.
func (c *cluster) timedQuery(inst *instance, deadline clock.Duration, text string) queryResult {
	r := queryResult{instance: inst, start: time.Now()}
	r.status, r.answer, r.refusal = c.search(inst, tokenA, caller.SearchRequest{
		Collection: "dockdesk", Query: text, Limit: 10, DeadlineMS: deadline,
	})
	r.end = time.Now()
	return r
}

func (tr *traffic) addResult(r queryResult) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.results = append(tr.results, r)
}

// stopAndSelect stops the traffic and returns the results of the queries that started
// in [from, to). A zero to means no upper limit.
func (tr *traffic) stopAndSelect(from, to time.Time) []queryResult {
	tr.stop()
	var out []queryResult
	for _, r := range tr.results {
		if !r.start.Before(from) && (to.IsZero() || r.start.Before(to)) {
			out = append(out, r)
		}
	}
	return out
}

// requireAll fails the test if a result does not satisfy ok, or if there is no result.
func requireAll(t *testing.T, what string, results []queryResult, ok func(queryResult) bool) {
	t.Helper()
	if len(results) == 0 {
		t.Errorf("%s: no query was sent", what)
	}
	bad := 0
	for _, r := range results {
		if ok(r) {
			continue
		}
		if bad++; bad <= 5 {
			t.Errorf("%s: %v", what, r)
		}
	}
	if bad > 0 {
		t.Errorf("%s: %d of %d queries failed", what, bad, len(results))
	}
}

// Package soak holds the soak test. It runs gateway instances as processes, injects
// random faults from outside them, and checks the guarantees on the responses that
// callers get and the requests that targets run.
package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"knapweedstall/platform/platformtest"
)

var (
	firstSeed     = flag.Uint64("soak.seed", 1, "first seed")
	seeds         = flag.Int("soak.seeds", 1, "number of seeds, each run once")
	faultDuration = flag.Duration("soak.length", 5*time.Second, "duration of the faults for each seed")
)

const (
	host          = "h.example"
	instanceCount = 3
	callerCount   = 6
	// recoveryLimit is the time after the last fault within which every instance must
	// serve all requests again.
	recoveryLimit = 6 * time.Second
)

// shards are the services that a search must ask.
var shards = []string{"a", "b", "c", "d"}

// regressionSeeds are seeds that found a fault earlier, each with its cause.
var regressionSeeds = []uint64{
	82040, // an outgoing connection had taken the port chosen for an instance
}

// serviceRecord returns the record with which a service responds. Records sort in the
// order of the service names.
func serviceRecord(service string) string { return fmt.Sprintf("%-16s", service) }

// TestSoak injects overlapping random faults, one sequence for each seed.
func TestSoak(t *testing.T) {
	all := slices.Clone(regressionSeeds)
	for i := range *seeds {
		all = append(all, *firstSeed+uint64(i))
	}
	for _, seed := range all {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			env := newEnvironment(t, instanceCount)
			env.eventually("all instances are ready", 10*time.Second, func(inst *instance) bool { return inst.isReady() })
			s := &soakRun{
				environment: env, random: rand.New(rand.NewPCG(seed, 0)), later: rand.New(rand.NewPCG(seed, 1)),
				entries: rand.New(rand.NewPCG(seed, 2)), callers: rand.New(rand.NewPCG(seed, 3)), responses: map[string]response{},
			}
			s.run()
			if t.Failed() {
				for i, inst := range env.instances {
					t.Logf("log of instance %d:\n%s", i, tail(inst.logs.String()))
				}
			}
		})
	}
}

// tail returns the last part of a log.
func tail(log string) string { return log[max(0, len(log)-6000):] }

// response is the outcome of a request at its caller.
type response struct {
	path   string
	status int // 0 when the connection broke
}

// soakRun is a run with one seed.
type soakRun struct {
	*environment
	random      *rand.Rand
	later       *rand.Rand // selects faults that were added later, so that earlier seeds select the same others
	entries     *rand.Rand // the same for faults of entries in the store
	callers     *rand.Rand // the same for faults of callers, limits and answers without a length
	snapshot    platformtest.Snapshot
	lastRequest atomic.Int64
	// terminations waits for the instances that are stopping.
	terminations sync.WaitGroup
	limits       []limitPeriod // of all targets so far

	mu        sync.Mutex
	responses map[string]response // by request id
}

func (s *soakRun) run() {
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range callerCount {
		wait.Go(func() { s.runCaller(ctx, i) })
	}
	for end := time.Now().Add(*faultDuration); time.Now().Before(end); {
		s.injectFault()
		s.injectLaterFault()
		s.injectEntryFault()
		s.injectCallerFault()
		time.Sleep(time.Duration(s.random.IntN(400)) * time.Millisecond)
	}
	s.clearFaults()
	s.requireRecovery()
	stop()
	wait.Wait()
	s.checkSingleRuns()
	s.checkLimits()
}

// injectFault injects one random fault or ends an earlier one.
func (s *soakRun) injectFault() {
	inst := s.instances[s.random.IntN(len(s.instances))]
	target := s.targets[s.random.IntN(len(s.targets))]
	link := inst.storeProxy
	if s.random.IntN(2) == 0 {
		link = inst.peerProxy
	}
	switch s.random.IntN(16) {
	case 0:
		inst.signal(syscall.SIGKILL)
	case 1:
		s.terminations.Go(func() { s.terminate(inst) })
	case 2:
		inst.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(s.random.IntN(1000)) * time.Millisecond)
		inst.signal(syscall.SIGCONT)
	case 3:
		inst.signal(syscall.SIGHUP)
	case 4:
		s.store.SetUnavailable(s.random.IntN(2) == 0)
	case 5:
		s.store.DropHistory()
	case 6:
		s.store.SetDropAnswers(s.random.IntN(2) == 0)
	case 7:
		s.silenceLink(link)
	case 8:
		link.setDelay(time.Duration(s.random.IntN(300)) * time.Millisecond)
	case 9:
		link.closeConns()
	case 10, 11:
		s.writeNextConfig()
	case 12:
		target.SetShedding(s.random.IntN(2) == 0)
	case 13:
		s.dropAnswers(target, s.random.IntN(2) == 0)
	case 14:
		target.SetDelay(time.Duration(s.random.IntN(300)) * time.Millisecond)
	case 15:
		s.limitRequests(target)
	}
}

// injectLaterFault injects one random fault of those that were added later, or none.
func (s *soakRun) injectLaterFault() {
	target := s.targets[s.later.IntN(len(s.targets))]
	switch s.later.IntN(8) {
	case 0:
		s.snapshot = s.store.Snapshot()
	case 1:
		s.restoreStore()
	case 2:
		target.SetPause(strconv.FormatFloat(s.later.Float64(), 'f', 2, 64))
	case 3:
		target.SetPause("")
	}
}

// restoreStore restores the store from the latest snapshot. The operator and the targets
// then write again what is lost.
func (s *soakRun) restoreStore() {
	if s.snapshot.IsEmpty() {
		return
	}
	s.store.Restore(s.snapshot)
	time.Sleep(time.Duration(s.later.IntN(300)) * time.Millisecond)
	s.writeConfig()
	for _, target := range s.targets {
		target.PutEntry("ready")
	}
}

// silenceLink discards the bytes of a link in both directions or in one, or restores
// the link.
func (s *soakRun) silenceLink(link *proxy) {
	switch s.random.IntN(4) {
	case 0:
		link.silence(upstream, downstream)
	case 1:
		link.silence(upstream)
	case 2:
		link.silence(downstream)
	case 3:
		link.silence()
	}
}

// terminate sends SIGTERM to the process of the instance and kills the same process
// after gracePeriod, as the platform does. A paused process may need the kill.
func (s *soakRun) terminate(inst *instance) {
	process, ended := inst.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(gracePeriod):
		_ = process.Process.Kill() // fails if the process has just ended
	}
}

// clearFaults ends all faults and writes a new configuration.
func (s *soakRun) clearFaults() {
	s.terminations.Wait()
	s.store.SetUnavailable(false)
	s.store.SetDropAnswers(false)
	for _, target := range s.targets {
		target.SetShedding(false)
		target.SetPause("")
		target.SetDropAnswers(false)
		target.SetDelay(0)
		target.SetBreakOff(0)
		s.endLimit(target)
	}
	for _, inst := range s.instances {
		inst.storeProxy.clearFaults()
		inst.peerProxy.clearFaults()
		inst.signal(syscall.SIGCONT)
	}
	s.writeNextConfig()
}

// requireRecovery checks that all instances serve the newest version of the
// configuration within gracePeriod and recoveryLimit.
func (s *soakRun) requireRecovery() {
	newest := fmt.Sprintf("/version-%d/", s.version)
	s.eventually("all instances have the newest version", gracePeriod+recoveryLimit, func(inst *instance) bool {
		_, status := s.sendRequest(http.DefaultClient, inst, newest)
		return status == http.StatusOK
	})
}

// eventually waits for each instance in turn until condition holds, and fails the test
// if that takes longer than within.
func (e *environment) eventually(what string, within time.Duration, condition func(*instance) bool) {
	for i, inst := range e.instances {
		end := time.Now().Add(within)
		for !condition(inst) {
			if time.Now().After(end) {
				e.t.Errorf("instance %d: condition not met within %v: %s", i, within, what)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// runCaller sends requests to all instances in turn over persistent connections until
// ctx is done.
func (s *soakRun) runCaller(ctx context.Context, i int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	paths := []string{"/search/", "/once/"}
	for n := i; ctx.Err() == nil; n++ {
		s.sendRequest(client, s.instances[n%len(s.instances)], paths[n/2%2])
		time.Sleep(10 * time.Millisecond)
	}
}

// sendRequest sends one request and checks its response.
func (s *soakRun) sendRequest(client *http.Client, inst *instance, path string) (id string, status int) {
	id = fmt.Sprintf("r%d", s.lastRequest.Add(1))
	method := http.MethodGet
	if path == "/once/" {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, "http://"+inst.callerAddr+path+id, strings.NewReader(""))
	if err != nil {
		s.t.Error(err)
		return id, 0
	}
	r.Host = host
	r.Header.Set(platformtest.HeaderRequestID, id)
	r.Header.Set(platformtest.HeaderDeadline, "2000")
	var body []byte
	resp, err := client.Do(r)
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	if err == nil {
		status = resp.StatusCode
		s.checkResponse(id, path, resp, string(body))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses[id] = response{path, status}
	return id, status
}

// checkResponse checks that a successful response is complete and states its coverage
// correctly, and that a refusal has a Retry-After header.
func (s *soakRun) checkResponse(id, path string, resp *http.Response, body string) {
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "":
		s.t.Errorf("%s: refused without a Retry-After header", id)
	case resp.StatusCode == http.StatusRequestHeaderFieldsTooLarge || resp.StatusCode == http.StatusRequestTimeout:
		s.t.Errorf("%s: status %d for a request that all limits allow", id, resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
	case path != "/search/":
		if body != serviceRecord("once") {
			s.t.Errorf("%s: body %q", id, body)
		}
	default:
		s.checkSearch(id, resp, body)
	}
}

// checkSearch checks the coverage that a search states in its headers: each service is
// listed once or counted as missing, and at least half of them are listed. The body must
// hold the two greatest records of the listed services.
func (s *soakRun) checkSearch(id string, resp *http.Response, body string) {
	var services []string
	for _, digest := range strings.Split(resp.Header.Get(platformtest.HeaderDigests), ", ") {
		service, _, _ := strings.Cut(strings.TrimPrefix(digest, "st-"), "-")
		services = append(services, service)
	}
	slices.Sort(services)
	missing, _ := strconv.Atoi(resp.Header.Get(platformtest.HeaderMissing))
	if len(slices.Compact(slices.Clone(services))) != len(services) || len(services)+missing != len(shards) || 2*len(services) < len(shards) {
		s.t.Errorf("%s: services %v listed and %d missing", id, services, missing)
		return
	}
	want := ""
	for i := len(services) - 1; i >= max(0, len(services)-2); i-- {
		want += serviceRecord(services[i])
	}
	if body != want {
		s.t.Errorf("%s: body %q, want %q from %v", id, body, want, services)
	}
}

// checkSingleRuns checks that requests that must run at most once did not run twice, and
// that refused ones did not run.
func (s *soakRun) checkSingleRuns() {
	runs := map[string]int{}
	for _, target := range s.targets {
		for _, r := range target.Runs() {
			if target.Service == "once" {
				runs[r.RequestID]++
			}
		}
	}
	served := 0
	for id, a := range s.responses {
		if a.status == http.StatusOK {
			served++
		}
		if a.path != "/once/" {
			continue
		}
		if runs[id] > 1 {
			s.t.Errorf("%s ran %d times", id, runs[id])
		}
		if a.status == http.StatusServiceUnavailable && runs[id] > 0 {
			s.t.Errorf("%s was refused as not run, but ran", id)
		}
	}
	if served == 0 {
		s.t.Error("no request was served")
	}
	s.t.Logf("%d of %d requests served, %d versions of the configuration", served, len(s.responses), s.version)
}

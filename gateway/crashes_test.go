package gateway_test

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"knapweedstall/core/poison"
	"knapweedstall/core/topology"
	"knapweedstall/platform"
	"knapweedstall/platform/platformtest"
)

// crashingRequest is the path of the tests' requests that crash targets.
const crashingRequest = "/plain/poison"

// crashTwo has the instance send a request that crashes two targets of the service single,
// and then starts a third one. It waits until the instances refuse the request.
func (env *testEnv) crashTwo(header http.Header, instances ...*instance) {
	env.t.Helper()
	env.startTarget("single2", "single")
	for _, id := range []string{"single1", "single2"} {
		env.targets[id].SetCrashOnRequest(true)
	}
	time.Sleep(100 * time.Millisecond) // until the instances know the targets
	instances[0].get(env.t, crashingRequest, header)
	env.startTarget("single3", "single")
	for _, in := range instances {
		env.eventually("the request is refused", func() bool {
			return in.get(env.t, crashingRequest, header).Status == http.StatusServiceUnavailable
		})
	}
}

// TestPoisonOfOtherWorkspace guards against a workspace whose request is refused because
// another workspace's request with the same content crashes targets.
func TestPoisonOfOtherWorkspace(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.configureKeys(2, workspaces(harborKey))
	in := env.start(nil)
	env.crashTwo(withKey(harborKey), in)
	env.eventually("the other workspace is served", func() bool {
		return in.get(t, crashingRequest, withKey(millKey)).Status == http.StatusOK
	})
	if got := in.get(t, crashingRequest, withKey(harborKey)); got.Status != http.StatusServiceUnavailable {
		t.Errorf("the request that crashes targets got status %d", got.Status)
	}
}

// TestPopularRequestAtCrashes guards against a request that is refused because unrelated
// crashes of targets met it, although other targets answer it.
func TestPopularRequestAtCrashes(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.startTarget("single2", "single")
	env.startTarget("single3", "single")
	for _, id := range []string{"single1", "single2", "single3"} {
		env.targets[id].SetDelay(300 * time.Millisecond)
	}
	instances := []*instance{env.start(nil), env.start(nil)}
	time.Sleep(500 * time.Millisecond) // until the instances know the targets
	var wait sync.WaitGroup
	for i := range 30 {
		wait.Go(func() { instances[i%2].get(t, "/plain/popular", http.Header{}) })
	}
	env.eventually("all targets run the request", func() bool {
		return env.targets["single1"].InProgress() > 0 && env.targets["single2"].InProgress() > 0 && env.targets["single3"].InProgress() > 0
	})
	env.targets["single1"].Crash()
	env.targets["single2"].Crash()
	wait.Wait()
	env.eventually("two crashes are recorded", func() bool {
		return len(crashes(env.store, poison.NewFingerprint("", "GET", host, "/plain/popular", nil))) == 2
	})
	time.Sleep(time.Second) // until all instances know of the answers
	for i := range 20 {
		if got := instances[i%2].get(t, "/plain/popular", http.Header{}); got.Status != http.StatusOK {
			t.Errorf("status %d, want 200", got.Status)
		}
	}
}

// crashes returns the names of the records of crashes of the request.
func crashes(store *platformtest.Store, f poison.Fingerprint) []string {
	return slices.DeleteFunc(store.Names(platform.KindCrashes), func(name string) bool { return !strings.HasPrefix(name, string(f)+".") })
}

// putCrashes records that a request without a workspace has crashed two targets some time
// ago.
func putCrashes(store *platformtest.Store, path string, ago time.Duration) {
	for _, id := range []topology.TargetID{"gone1", "gone2"} {
		name, spec := platform.CrashRecord{
			Fingerprint: poison.NewFingerprint("", "GET", host, path, nil),
			Process:     poison.Process{Target: id, StartedUnixMS: 1},
			UnixMS:      time.Now().Add(-ago).UnixMilli(),
		}.Object()
		store.Put(platform.KindCrashes, name, spec)
	}
}

// TestTrialOfHarmlessRequest guards against a harmless request that is refused for as long
// as its crashes count: one instance sends it as a trial, and all serve it then.
func TestTrialOfHarmlessRequest(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	putCrashes(env.store, "/plain/harmless", time.Minute)
	instances := []*instance{env.start(nil), env.start(nil)}
	for _, in := range instances {
		env.eventually("the request is served", func() bool { return in.get(t, "/plain/harmless", http.Header{}).Status == http.StatusOK })
	}
	if n := len(env.targets["single1"].Runs()); n > 5 {
		t.Errorf("%d runs", n)
	}
}

// TestTrialOfPoison guards against trials of a request that does crash targets by more than
// one instance, or again soon after.
func TestTrialOfPoison(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.startTarget("single2", "single")
	env.startTarget("single3", "single")
	for _, id := range []string{"single1", "single2", "single3"} {
		env.targets[id].SetCrashOnRequest(true)
	}
	putCrashes(env.store, crashingRequest, time.Minute)
	instances := []*instance{env.start(nil), env.start(nil), env.start(nil)}
	var wait sync.WaitGroup
	for _, in := range instances {
		wait.Go(func() {
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				in.get(t, crashingRequest, http.Header{})
			}
		})
	}
	wait.Wait()
	runs := 0
	for _, id := range []string{"single1", "single2", "single3"} {
		runs += len(env.targets[id].Runs())
	}
	if runs != 1 {
		t.Errorf("the request ran %d times, want one trial", runs)
	}
}

// TestCrashesOfOneTarget guards against a request that is never held back because the only
// target of its service has the same id after each crash.
func TestCrashesOfOneTarget(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	in := env.start(nil)
	runs := 0
	for range 4 {
		env.startTarget("single1", "single") // replaces the one that has crashed
		env.targets["single1"].SetCrashOnRequest(true)
		time.Sleep(500 * time.Millisecond) // until the instance knows it
		in.get(t, crashingRequest, http.Header{})
		time.Sleep(300 * time.Millisecond) // until the crash is counted
		runs += len(env.targets["single1"].Runs())
	}
	if runs != 2 {
		t.Errorf("the request crashed the target %d times, want 2", runs)
	}
}

package gateway_test

import (
	"net/http"
	"testing"
	"time"
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

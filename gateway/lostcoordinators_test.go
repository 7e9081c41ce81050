package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"knapweedstall/platform"
	"knapweedstall/settings"
)

// TestLostCoordinatorsAreReplaced guards against requests of workspaces with a quota that
// are refused for good, because the coordinators are instances that were lost without a
// signal and whose entries stay in the store.
func TestLostCoordinatorsAreReplaced(t *testing.T) {
	const recovery = 15 * time.Second // from when the instances are back
	for name, c := range map[string]struct{ refusing, silent int }{
		"refused connections":       {9, 0},
		"silent":                    {0, 9},
		"most of a large list":      {20, 40},
		"nearly all of a long list": {300, 0},
		"no instance has been lost": {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.configureQuota(2, 50, 50)
			for i := range c.refusing {
				env.register(fmt.Sprint("refusing-", i), closedAddress(t))
			}
			for i := range c.silent {
				address, _ := silentAddress(t)
				env.register(fmt.Sprint("silent-", i), address)
			}
			var instances []*instance
			started := time.Now()
			for range 3 {
				instances = append(instances, env.launch(env.newSettings(func(s *settings.Gateway) { withQuotas(s) })))
			}
			for _, in := range instances {
				env.eventually("the instance is ready", func() bool { return in.ready() })
			}
			env.eventually("the instances are known", func() bool {
				return len(env.store.Names(platform.KindInstances)) == c.refusing+c.silent+3
			})
			for time.Since(started) < recovery { // requests come all the time
				instances[0].get(t, "/plain/1", withKey(harborKey))
				time.Sleep(200 * time.Millisecond)
			}
			const sent, pause = 40, 50 * time.Millisecond // 20 a second, within the quota
			served := 0
			for i := range sent {
				if instances[i%len(instances)].get(t, "/plain/2", withKey(harborKey)).Status == http.StatusOK {
					served++
				}
				time.Sleep(pause)
			}
			if served < sent {
				t.Errorf("%d of %d requests within the quota were served after %v", served, sent, recovery)
			}
		})
	}
}

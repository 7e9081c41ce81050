package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"knapweedstall/core/placing"
	"knapweedstall/core/topology"
	"knapweedstall/platform"
)

// addSilentInstances registers n instances of a zone that precede the others as sources
// and that accept connections and send nothing, like instances without power.
func (env *testEnv) addSilentInstances(zone topology.ZoneID, n int) {
	env.t.Helper()
	for i := range n {
		address, _ := silentAddress(env.t)
		name, spec := platform.InstanceObject(placing.Instance{
			ID: topology.InstanceID(fmt.Sprintf("silent-%s-%d", zone, i)), Zone: zone, Address: address, Capacity: 2,
		})
		env.store.Put(platform.KindInstances, name, spec)
	}
}

// TestSilentInstancesDontKeepFromStore guards against an instance that never reads the
// store again after an outage, because it tries instances of its zone that are gone for
// good, one after the other.
func TestSilentInstancesDontKeepFromStore(t *testing.T) {
	const (
		silent  = 40
		outage  = 2 * time.Second
		catchUp = 4 * time.Second // as in the settings
	)
	env := newTestEnv(t)
	env.addSilentInstances("z1", silent)
	in := env.start(nil)
	time.Sleep(5 * time.Second) // the instance watches the store and looks for a source
	for version := 2; version <= 3; version++ {
		env.store.SetUnavailable(true)
		time.Sleep(outage)
		env.configure(version, version%2 != 0)
		env.store.SetUnavailable(false)
		want := http.StatusNotFound
		if version%2 != 0 {
			want = http.StatusOK
		}
		inForce := false
		for end := time.Now().Add(catchUp); !inForce && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			inForce = in.do(t, "GET", "/plain/1", "").Status == want
		}
		if !inForce {
			t.Fatalf("version %d is not in force %v after the outage", version, catchUp)
		}
	}
}

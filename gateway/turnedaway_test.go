package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"knapweedstall/platform"
	"knapweedstall/settings"
)

// storeGate is the store as one instance sees it.
type storeGate struct {
	server  *httptest.Server
	refuses atomic.Bool // it turns the instance away with 503
}

func newStoreGate(t *testing.T, store http.Handler) *storeGate {
	t.Helper()
	gate := &storeGate{}
	gate.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if gate.refuses.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	t.Cleanup(gate.server.CloseClientConnections)
	return gate
}

// turnAway refuses calls from now on and ends those that wait.
func (s *storeGate) turnAway() {
	s.refuses.Store(true)
	s.server.CloseClientConnections()
}

// TestTurnedAwayReadersDontKeepFromStore guards against instances that reach the store and
// act on an old configuration, because they wait for the readers of their zone, which the
// store turns away.
func TestTurnedAwayReadersDontKeepFromStore(t *testing.T) {
	const (
		instances, turnedAway = 7, 3
		due                   = 3 * time.Second // as in the settings
	)
	env := newTestEnv(t)
	var gates []*storeGate
	var others []*instance
	for i := range instances {
		in := env.start(func(s *settings.Gateway) {
			s.Capacity = 1 / float64(1+i) // the order in which they take their copies from each other
			if i < turnedAway {
				gate := newStoreGate(t, env.store)
				gates = append(gates, gate)
				s.Store.Address = strings.TrimPrefix(gate.server.URL, "http://")
			}
		})
		if i >= turnedAway {
			others = append(others, in)
		}
	}
	env.eventually("the instances are known", func() bool { return len(env.store.Names(platform.KindInstances)) == instances })
	time.Sleep(5 * time.Second) // each instance has found the one that it follows
	for _, gate := range gates {
		gate.turnAway()
	}
	env.configure(2, false)
	acknowledged := time.Now()
	for _, in := range others {
		for in.do(t, "GET", "/plain/1", "").Status == http.StatusOK {
			if took := time.Since(acknowledged); took > due {
				t.Errorf("%s has not acted on version 2 after %v, want %v at most", in.settings.Instance, took, due)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	t.Logf("version 2 in force at all after %v", time.Since(acknowledged))
}

// TestSilentNeighbourIsReplaced guards against an instance that the store turns away and
// that gets no news from another zone, because the first instances there are gone.
func TestSilentNeighbourIsReplaced(t *testing.T) {
	env := newTestEnv(t)
	env.addSilentInstances("z2", 3)
	gate := newStoreGate(t, env.store)
	in := env.start(func(s *settings.Gateway) { s.Store.Address = strings.TrimPrefix(gate.server.URL, "http://") })
	env.start(func(s *settings.Gateway) { s.Zone = "z2" })
	env.eventually("the instances are known", func() bool { return len(env.store.Names(platform.KindInstances)) == 5 })
	time.Sleep(time.Second) // the instance has the list
	gate.turnAway()
	time.Sleep(2 * time.Second) // it has found that the store does not answer
	env.configure(2, false)
	env.eventually("version 2 is in force", func() bool { return in.do(t, "GET", "/plain/1", "").Status != http.StatusOK })
}

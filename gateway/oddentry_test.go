package gateway_test

import (
	"bytes"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"knapweedstall/platform"
	"knapweedstall/settings"
)

// deepText stands for a value that is nested too deep for the store's fake to encode.
const deepText = `"@deep@"`

// withDeepValues returns the store whose answers have such a value in place of deepText.
func withDeepValues(store http.Handler) http.Handler {
	const depth = 200_000
	deep := []byte(strings.Repeat("[", depth) + strings.Repeat("]", depth))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		store.ServeHTTP(answer, r)
		maps.Copy(w.Header(), answer.Header())
		w.WriteHeader(answer.Code)
		_, _ = w.Write(bytes.ReplaceAll(answer.Body.Bytes(), []byte(deepText), deep))
	})
}

// TestOddEntriesDontStopNews guards against instances that get no news of targets any more,
// or use a target that there is not, because another writer has left odd entries.
func TestOddEntriesDontStopNews(t *testing.T) {
	env := newTestEnv(t)
	server := httptest.NewServer(withDeepValues(env.store))
	t.Cleanup(server.CloseClientConnections)
	env.address = strings.TrimPrefix(server.URL, "http://")
	running := env.start(nil)
	entry := map[string]any{
		"backend": "single", "address": "127.0.0.1:9", "zone": "z1", "version": "v1", "concurrency": 2, "state": "ready", "coldMs": 0, "sequence": 1,
	}
	for name, change := range map[string]map[string]any{
		"nested": {"deep": "@deep@"}, "no-slots": {"concurrency": 0}, "many-slots": {"concurrency": 1e300},
		"port": {"address": "127.0.0.1:99999"}, "no-port": {"address": "127.0.0.1:0"},
	} {
		odd := maps.Clone(entry)
		maps.Copy(odd, change)
		env.store.Put(platform.KindTargets, name, odd)
	}
	time.Sleep(300 * time.Millisecond) // until the running instance has read them
	env.targets["single1"].PutEntry("draining")
	env.startTarget("single2", "single")
	started := env.launch(env.newSettings(func(s *settings.Gateway) { s.Zone = "z2" }))
	for name, in := range map[string]*instance{"running": running, "started": started} {
		runs := func() int { return len(env.targets["single2"].Runs()) }
		env.eventually("the instance that is "+name+" uses the new target", func() bool {
			before := runs()
			return in.ready() && in.do(t, "POST", "/order/1", "lamp").Status == http.StatusOK && runs() > before
		})
		before := runs()
		for range 20 {
			if got := in.do(t, "POST", "/order/2", "lamp").Status; got != http.StatusOK {
				t.Errorf("the instance that is %s answers %d, want %d", name, got, http.StatusOK)
			}
		}
		if got := runs() - before; got != 20 {
			t.Errorf("the new target ran %d of 20 requests to the instance that is %s", got, name)
		}
	}
}

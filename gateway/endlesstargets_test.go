package gateway_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startEndlessTarget registers a target of a service that answers with the text and then
// with bytes without end, until the connection is closed.
func (env *testEnv) startEndlessTarget(id, service, before string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = c.Read(make([]byte, 1<<12))
				_, err := io.WriteString(c, before)
				for chunk := strings.Repeat("x", 1<<14); err == nil; {
					_, err = io.WriteString(c, chunk)
					time.Sleep(200 * time.Microsecond) // 80 MB/s: the test's processors are for the instance too
				}
			}()
		}
	}()
	env.store.Put("servers", id, map[string]any{
		"backend": service, "address": l.Addr().String(), "zone": "z1", "version": "v1", "concurrency": 2, "state": "ready",
		"coldMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// TestManyEndlessTargets guards against an instance that many targets send bytes without end
// at once, beside other load: it must not run out of memory, and other requests are served.
func TestManyEndlessTargets(t *testing.T) {
	const limit = 64 << 20 // half of the memory of a small machine
	env := newTestEnv(t)
	for i, before := range []string{
		"", "HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n",
	} {
		env.startEndlessTarget("endless"+string(rune('0'+i)), "single", before)
	}
	in := env.start(nil)
	defer debug.SetGCPercent(debug.SetGCPercent(10)) // the heap is what is kept
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, most := m.HeapInuse, m.HeapInuse
	var wait sync.WaitGroup
	var searches, served, late atomic.Int64
	stop := make(chan struct{})
	for i := range 64 {
		path := "/plain/x"
		if i%4 == 0 {
			path = "/search/x"
		}
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				started := time.Now()
				got := in.get(t, path, http.Header{})
				if time.Since(started) > 2*time.Second {
					late.Add(1)
				}
				if strings.HasPrefix(path, "/search/") {
					searches.Add(1)
					if got.Status == http.StatusOK {
						served.Add(1)
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	for range 40 {
		time.Sleep(50 * time.Millisecond)
		runtime.ReadMemStats(&m)
		most = max(most, m.HeapInuse)
	}
	close(stop)
	wait.Wait()
	if growth := most - before; growth > limit {
		t.Errorf("the heap grew by %d MB, want at most %d", growth>>20, limit>>20)
	}
	if late.Load() > 0 || served.Load() < searches.Load()*9/10 || searches.Load() == 0 {
		t.Errorf("%d requests late, %d of %d searches served; want none, and 0.9", late.Load(), served.Load(), searches.Load())
	}
	t.Logf("the heap grew by %d MB; %d of %d searches served", (most-before)>>20, served.Load(), searches.Load())
}

package peer

import (
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// counter is a Handler that counts connections and frames.
type counter struct{ connected, frames atomic.Int64 }

func (c *counter) PeerConnected(topology.Member) { c.connected.Add(1) }
func (c *counter) PeerReceived(topology.InstanceRef, message.Header, []message.Body) {
	c.frames.Add(1)
}
func (c *counter) PeerLost(topology.InstanceRef, bool)   {}
func (c *counter) PeerFault(topology.InstanceRef, error) {}

func benchHub(i int, h Handler) *Hub {
	m := topology.Member{Ref: benchRef(i), Zone: "region-0-a", Region: "region-0", State: topology.MemberLive}
	return NewHub(m, "token", h, func() message.Header { return benchHeader })
}

// waitFor waits until n has reached want.
func waitFor(b *testing.B, n *atomic.Int64, want int64) {
	for start := time.Now(); n.Load() < want; time.Sleep(time.Millisecond) {
		if time.Since(start) > 20*time.Second {
			b.Fatalf("count is %d after 20s, want %d", n.Load(), want)
		}
	}
}

// BenchmarkLinkMemory reports the memory of one end of an open connection, including
// its queue and goroutines, and the CPU time that the open connections of one instance
// take while nothing is sent. Both ends are in this process.
func BenchmarkLinkMemory(b *testing.B) {
	for _, n := range []int{15, 100, 345, 690} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				got := &counter{}
				server := benchHub(0, got)
				listener := httptest.NewServer(server)
				to := server.self
				to.Address = strings.TrimPrefix(listener.URL, "http://")
				var hubs []*Hub
				for i := range n {
					hubs = append(hubs, benchHub(1+i, &counter{}))
					hubs[i].Send(to, message.Announce{})
					waitFor(b, &got.frames, int64(1+i))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				used := float64(after.HeapAlloc-before.HeapAlloc) + float64(after.StackInuse-before.StackInuse)
				b.ReportMetric(used/2/float64(n)/1000, "KB/link")
				b.ReportMetric(used/2/1e6, "MB/instance")
				const window = 3 * time.Second
				cpu := processorTime(b)
				time.Sleep(window)
				cpu = processorTime(b) - cpu
				b.ReportMetric(100*cpu.Seconds()/2/window.Seconds(), "idle-%core/instance")
				for _, h := range hubs {
					h.Close()
				}
				server.Close()
				listener.CloseClientConnections()
			}
		})
	}
}

// BenchmarkSocketFrame measures the CPU time of one frame over loopback, from encoding
// it to calling the receiver's handler. The time includes both ends.
func BenchmarkSocketFrame(b *testing.B) {
	for _, kind := range []string{"request", "reply/hits=10"} {
		for _, n := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("%s/bodies=%d", kind, n), func(b *testing.B) {
				got := &counter{}
				server := benchHub(0, got)
				listener := httptest.NewServer(server)
				to := server.self
				to.Address = strings.TrimPrefix(listener.URL, "http://")
				client := benchHub(1, &counter{})
				client.Send(to, message.Announce{})
				waitFor(b, &got.frames, 1)
				client.mu.Lock()
				l := client.links[to.Ref][0]
				client.mu.Unlock()
				bodies := benchFrames(n)[kind].Bodies
				start := processorTime(b)
				for b.Loop() {
					if err := l.writeFrame(bodies); err != nil {
						b.Fatal(err)
					}
				}
				waitFor(b, &got.frames, int64(1+b.N))
				cpu := float64((processorTime(b) - start).Nanoseconds())
				b.ReportMetric(cpu/float64(b.N), "cpu-ns/frame")
				b.ReportMetric(cpu/float64(b.N*n), "cpu-ns/body")
				client.Close()
				server.Close()
				listener.CloseClientConnections()
			})
		}
	}
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

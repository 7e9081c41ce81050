package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

func benchBatch(n int) (callJSON, Answer) {
	call := callJSON{Snapshot: "dockdesk@12"}
	answer := Answer{State: message.TargetWarm, Capacity: 2}
	for i := range n {
		item := Item{ID: fmt.Sprint(100000 + i), Workspace: "harbor-ops", Shards: []topology.ShardID{"dockdesk/007"}, Query: "amber barrel cedar", Limit: 10}
		call.Items = append(call.Items, item)
		got := message.ShardAnswer{Shard: item.Shards[0]}
		for k := range 10 {
			got.Hits = append(got.Hits, message.Hit{ID: fmt.Sprintf("dockdesk/007-%03d", k), Score: 0.75, Text: "amber barrel cedar delta"})
		}
		answer.Items = append(answer.Items, ItemAnswer{ID: item.ID, Workspace: item.Workspace, Snapshot: call.Snapshot, Status: message.StatusOK, Shards: []message.ShardAnswer{got}})
	}
	return call, answer
}

// BenchmarkCallBody measures encoding the JSON of a call and decoding that of its
// answer, with 10 hits for each item, for batches of 1, 8 and 32 items. It uses no
// sockets.
func BenchmarkCallBody(b *testing.B) {
	for _, n := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("batch=%d", n), func(b *testing.B) {
			call, answer := benchBatch(n)
			data, err := json.Marshal(answer)
			if err != nil {
				b.Fatal(err)
			}
			sent := 0
			for b.Loop() {
				body, err := json.Marshal(call)
				if err != nil {
					b.Fatal(err)
				}
				sent = len(body)
				if _, err := parseAnswer(http.StatusOK, data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/item")
			b.ReportMetric(float64(sent)/float64(n), "call-B/item")
			b.ReportMetric(float64(len(data))/float64(n), "answer-B/item")
		})
	}
}

// BenchmarkDo measures the CPU time of one complete call over loopback to a server that
// only sends a prepared answer. The time includes client and server.
func BenchmarkDo(b *testing.B) {
	for _, n := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("batch=%d", n), func(b *testing.B) {
			call, answer := benchBatch(n)
			data, err := json.Marshal(answer)
			if err != nil {
				b.Fatal(err)
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = w.Write(data)
			}))
			defer server.Close()
			c := NewClient(2, 1000)
			send := Call{Address: strings.TrimPrefix(server.URL, "http://"), ID: "x", Snapshot: call.Snapshot, Items: call.Items}
			start := processorTime(b)
			for b.Loop() {
				if _, err := c.Do(context.Background(), send); err != nil {
					b.Fatal(err)
				}
			}
			cpu := float64((processorTime(b) - start).Nanoseconds())
			b.ReportMetric(cpu/float64(b.N), "cpu-ns/call")
			b.ReportMetric(cpu/float64(b.N*n), "cpu-ns/item")
		})
	}
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

package tier_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"knapweedstall/deployment"
	"knapweedstall/emulator/target"
	"knapweedstall/load"
	"knapweedstall/tier"
)

// BenchmarkPath sends queries to the 20 services of dockdesk and reports the CPU time
// of the whole process for each sub-request: load generator, instances, targets and
// platform. A CPU profile shows the part of each.
func BenchmarkPath(b *testing.B) {
	for _, rate := range []float64{20, 60, 120} {
		b.Run(fmt.Sprintf("rate=%v", rate), func(b *testing.B) {
			d := deployment.Peachline()
			t, err := tier.Start(d, tier.WithInstances(3))
			if err != nil {
				b.Fatal(err)
			}
			defer t.Close()
			p := load.Plan{Name: "path", Addresses: t.Addresses(), RatePerSec: rate, DurationMS: 6000, DeadlineMS: 1000, Seed: 1}
			p.Streams = []load.Stream{{Workspace: d.Workspaces[0], Token: tier.Token(d.Workspaces[0]), Collection: d.Collections[0].ID, Weight: 1, Queries: target.Words()}}
			for b.Loop() {
				cpu := cpuTime(b)
				start := time.Now()
				r, err := load.Run(context.Background(), p)
				if err != nil {
					b.Fatal(err)
				}
				used := cpuTime(b) - cpu
				subs := float64(r.Total.Answered * len(d.Collections[0].Services))
				b.ReportMetric(float64(used.Microseconds())/subs, "cpu-us/sub-request")
				b.ReportMetric(used.Seconds()/time.Since(start).Seconds(), "cores")
				b.ReportMetric(r.Total.LatencyMS.P99, "p99-ms")
				b.ReportMetric(r.Total.MeanCoverage, "coverage")
			}
		})
	}
}

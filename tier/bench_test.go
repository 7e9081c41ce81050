package tier_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"knapweedstall/deployment"
	"knapweedstall/tier"
)

// BenchmarkPlatformCalls measures the calls to the platform and the CPU time of a
// deployment without queries for different numbers of instances. Everything runs in
// one process.
func BenchmarkPlatformCalls(b *testing.B) {
	for _, n := range []int{3, 15, 30} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			t, err := tier.Start(deployment.Peachline(), tier.WithInstances(n))
			if err != nil {
				b.Fatal(err)
			}
			defer t.Close()
			time.Sleep(3 * time.Second) // by then shares no longer move because of the start
			const window = 10 * time.Second
			for b.Loop() {
				before, cpu := t.Platform.Counts(), cpuTime(b)
				time.Sleep(window)
				after := t.Platform.Counts()
				b.ReportMetric(float64(after.Reads-before.Reads)/window.Seconds(), "reads/s")
				b.ReportMetric(float64(after.Writes-before.Writes)/window.Seconds(), "writes/s")
				used := cpuTime(b) - cpu
				b.ReportMetric(100*used.Seconds()/window.Seconds()/float64(n), "%core/instance")
			}
		})
	}
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

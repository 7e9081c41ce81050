package holding

import (
	"fmt"
	"testing"

	"knapweedstall/core/topology"
)

// regionSizes are sizes of one region: today, and steps up to the size of the
// design, 690 instances; 345 are half of it.
var regionSizes = []struct{ instances, services int }{{15, 42}, {100, 282}, {345, 975}, {690, 1950}}

// BenchmarkPlanLoss measures planning after the loss of one instance or of one of 4
// zones. It reports the number of entries that change and of buckets to be written.
func BenchmarkPlanLoss(b *testing.B) {
	for _, s := range regionSizes {
		for _, zone := range []bool{false, true} {
			b.Run(fmt.Sprintf("instances=%d/services=%d/zone=%v", s.instances, s.services, zone), func(b *testing.B) {
				h, members := plannedHolder(s.instances, s.services)
				var live []topology.Member
				for i, m := range members {
					if i == 3 || zone && m.Zone == members[3].Zone {
						h.Terminated(1, m.Ref)
						continue
					}
					live = append(live, m)
				}
				h.SetMembers(1, live)
				var changed []topology.ServiceID
				for b.Loop() {
					changed = h.newPlanner(1).run(topology.InstanceRef{})
				}
				buckets := map[string]bool{}
				for _, id := range changed {
					buckets[h.bucketKey(id)] = true
				}
				b.ReportMetric(float64(len(changed)), "moves")
				b.ReportMetric(float64(len(buckets)), "writes")
			})
		}
	}
}

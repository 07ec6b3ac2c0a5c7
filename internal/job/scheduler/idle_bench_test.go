package scheduler

import (
	"fmt"
	"testing"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// BenchmarkIdleBacklog measures a placement pass of a fleet of 890 workers with 4,000 waiting
// jobs of one task that have nothing running, of which some fit on no worker.
func BenchmarkIdleBacklog(b *testing.B) {
	for _, tt := range []struct {
		name  string
		cores unit.Millicores
		kind  string
	}{
		{"fills", 40000, "fill"}, {"fills, wider than any worker", 90000, "fill"}, {"reserved cores", 60000, "reserved"},
	} {
		b.Run(tt.name, func(b *testing.B) {
			c, now := busyCore(890, 3560, 10700, 3560)
			c.TakeOrders()
			for i := range 4000 {
				s := bestEffortStep(i, 1)
				s.Needs.Cores = tt.cores + unit.Millicores(i%1000)
				if tt.kind != "fill" {
					s = graph.Step{Count: 1, Needs: unit.Resources{Cores: tt.cores + unit.Millicores(i%1000), Memory: 11 << 30}, Estimate: 1e9}
				}
				addBenchJob(c, fmt.Sprintf("b%d", i), s, now)
			}
			for b.Loop() {
				now = now.Add(bestEffortInterval)
				for _, w := range c.workers {
					w.reportedAt, w.reportRequestedAt = now, now
				}
				c.placementDue = true
				c.Place(now)
				c.TakeOrders()
			}
		})
	}
}

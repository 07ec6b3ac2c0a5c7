package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// BenchmarkPass measures a placement pass over 5,000 waiting tasks of as many jobs on 500
// workers that are full.
func BenchmarkPass(b *testing.B) {
	c, now := busyCore(500, 2400, 0, 2*500*6*4)
	c.TakeOrders()
	for i := range 5000 {
		c.AddJob(&graph.Job{
			ID: unit.JobID(fmt.Sprintf("p%d", i*7919%5000)), Accepted: now.Add(-time.Duration(i*7919%5000) * time.Millisecond),
			Steps: []graph.Step{{Count: 1, Needs: unit.Resources{Cores: 6000, Memory: 11 << 30}, Estimate: time.Second}},
			Queue: graph.Queue{ID: "q", Service: "s", Priority: graph.Priority(i % 4), Stretch: 2, Target: time.Second},
		}, 0, true, now)
	}
	measurePasses(b, c, now)
}

// measurePasses measures placement passes, which start nothing.
func measurePasses(b *testing.B, c *Core, now time.Time) {
	pass := func() {
		now = now.Add(bestEffortInterval)
		for _, w := range c.workers {
			w.reportRequestedAt = now
		}
		c.placementDue = true
		c.Place(now)
	}
	pass()
	c.TakeOrders()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		pass()
	}
	b.StopTimer()
	if n := len(c.TakeOrders()); n > 0 {
		b.Fatalf("%d orders, want none", n)
	}
}

package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/target/organisation"
)

// benchOrganisations returns organisations of which every second one has a cap.
func benchOrganisations(count int) []organisation.Organisation {
	var list []organisation.Organisation
	for i := range count {
		o := organisation.Organisation{ID: unit.OrganisationID(fmt.Sprintf("org-%04d", i)), Weight: float64(1 + i%13)}
		if i%2 == 0 {
			o.Cap = unit.Resources{Cores: 1_900_000, Memory: 3 << 40}
		}
		list = append(list, o)
	}
	return list
}

// organisedCore returns a core with waiting tasks of as many jobs on 500 workers that are full.
func organisedCore(organisations, waiting int) (*Core, time.Time) {
	c, now := busyCore(500, 2400, 0, 2*500*6*4)
	c.TakeOrders()
	list := benchOrganisations(organisations)
	if organisations > 0 {
		c.SetOrganisations(list)
	}
	for i := range waiting {
		j := &graph.Job{
			ID: unit.JobID(fmt.Sprintf("p%d", i*7919%5000)), Accepted: now.Add(-time.Duration(i*7919%5000) * time.Millisecond),
			Steps: []graph.Step{{Count: 1, Needs: unit.Resources{Cores: 6000, Memory: 11 << 30}, Estimate: time.Second}},
			Queue: graph.Queue{ID: "q", Service: "s", Priority: graph.Priority(i % 4), Stretch: 2, Target: time.Second},
		}
		if organisations > 0 {
			j.Organisation = list[i%organisations].ID
		}
		c.AddJob(j, 0, true, now)
	}
	return c, now
}

var organisationCounts = []int{0, 20, 80, 1000}

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

// BenchmarkOrganisedPass measures a placement pass over 5,000 waiting tasks.
func BenchmarkOrganisedPass(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("%d organisations", n), func(b *testing.B) {
			c, now := organisedCore(n, 5000)
			measurePasses(b, c, now)
		})
	}
}

// BenchmarkShares measures an update of the shares, which comes each shareInterval.
func BenchmarkShares(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("%d organisations", n), func(b *testing.B) {
			c, now := organisedCore(n, 5000)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(shareInterval)
				c.updateShares(now)
			}
		})
	}
}

// BenchmarkSetOrganisations measures what a new configuration takes, and the memory of the
// organisations without work.
func BenchmarkSetOrganisations(b *testing.B) {
	for _, n := range organisationCounts[1:] {
		b.Run(fmt.Sprintf("%d organisations", n), func(b *testing.B) {
			list := benchOrganisations(n)
			c, _ := busyCore(1, 0, 0, 0)
			before := liveHeap()
			c.SetOrganisations(list)
			held := liveHeap() - before
			b.ReportAllocs()
			for b.Loop() {
				c.SetOrganisations(list)
			}
			b.ReportMetric(float64(held)/float64(n), "held-B/organisation")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkTakeover measures the jobs of a takeover: they are read in the order of their ids.
func BenchmarkTakeover(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("%d organisations", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				c, now := organisedCore(n, 0)
				other, _ := organisedCore(n, 5000)
				b.StartTimer()
				for _, j := range other.jobs {
					c.AddJob(j.spec, 0, true, now)
				}
				c.organisations.meter.Settle()
			}
		})
	}
}

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

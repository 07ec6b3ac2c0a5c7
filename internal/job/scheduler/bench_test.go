package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// busyCore returns a core whose workers are full of serving and best-effort tasks
// while further tasks wait.
func busyCore(workers, longRunning, bestEffort, quick int) (*Core, time.Time) {
	now := time.Unix(1_000_000, 0)
	c := New(Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}, 1, now)
	var list []Listing
	for i := range workers {
		list = append(list, Listing{
			ID: unit.InstanceID(fmt.Sprintf("w%04d", i)), Service: "s", Incarnation: 1,
			Capacity: unit.Resources{Cores: 64000, Memory: 256 << 30},
		})
	}
	c.SetWorkers(list, now)
	c.ConfirmSnapshot(c.Snapshot())
	for _, l := range list {
		c.HandleReport(l.ID, Report{Incarnation: 1, RequestedAt: now}, now)
	}
	add := func(id string, s graph.Step) { addBenchJob(c, id, s, now) }
	for i := range longRunning / 6 {
		add(fmt.Sprintf("l%d", i), graph.Step{
			Count: 6, Needs: unit.Resources{Cores: 13000, Memory: 26 << 30}, LongRunning: true,
			Image: fmt.Sprintf("serving-%d", i%5), TailTarget: 50 * time.Millisecond,
		})
	}
	for i := range bestEffort / 8 {
		add(fmt.Sprintf("f%d", i), bestEffortStep(i, 8))
	}
	for i := range quick / 6 {
		add(fmt.Sprintf("q%d", i), graph.Step{Count: 6, Needs: unit.Resources{Cores: 6000, Memory: 11 << 30}, Estimate: time.Second})
	}
	c.Tick(now)
	c.Place(now)
	return c, now
}

func addBenchJob(c *Core, id string, s graph.Step, now time.Time) {
	c.AddJob(&graph.Job{
		ID: unit.JobID(id), Accepted: now, Steps: []graph.Step{s},
		Queue: graph.Queue{ID: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Target: time.Second},
	}, 0, true, now)
}

// bestEffortStep returns a step with one of nine images.
func bestEffortStep(i, count int) graph.Step {
	return graph.Step{
		Count: count, Needs: unit.Resources{Cores: 7000, Memory: 13 << 30}, BestEffort: true, Checkpoints: true,
		Image: fmt.Sprintf("filling-%d", i%9), Estimate: 3 * time.Second,
	}
}

// BenchmarkBurst measures the placement pass that starts the tasks of many new jobs on a
// shard with free capacity. No heartbeat is handled meanwhile.
func BenchmarkBurst(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		c, now := busyCore(490, 1200, 0, 0)
		c.TakeOrders()
		for i := range 50 {
			addBenchJob(c, fmt.Sprintf("b%d", i), bestEffortStep(i, 20), now)
			addBenchJob(c, fmt.Sprintf("u%d", i), graph.Step{Count: 10, Needs: unit.Resources{Cores: 6000, Memory: 11 << 30}, Estimate: time.Second}, now)
		}
		b.StartTimer()
		c.Place(now.Add(bestEffortInterval))
		b.ReportMetric(float64(len(c.TakeOrders())), "starts")
	}
}

// BenchmarkBacklog measures a placement pass with 5,000 waiting tasks on a full shard, in
// which no task finds a worker.
func BenchmarkBacklog(b *testing.B) {
	for _, tt := range []struct {
		name       string
		bestEffort bool
		tasks      int // of each job
	}{
		{"best effort", true, 20},
		{"reserved", false, 10},
		{"best effort, many jobs", true, 2},
	} {
		b.Run(tt.name, func(b *testing.B) {
			c, now := busyCore(500, 1998, 6000, 2000)
			for i := range 5000 / tt.tasks {
				s := bestEffortStep(i, tt.tasks)
				if !tt.bestEffort {
					s = graph.Step{Count: tt.tasks, Needs: unit.Resources{Cores: 10000, Memory: 11 << 30}, Estimate: time.Second}
				}
				addBenchJob(c, fmt.Sprintf("b%d", i), s, now)
			}
			for b.Loop() {
				now = now.Add(bestEffortInterval)
				c.placementDue = true
				c.Place(now)
				c.TakeOrders()
			}
		})
	}
}

// BenchmarkReport measures a report of one worker and the placement pass after it on a
// full shard with a backlog, the state in which an owner is busiest.
func BenchmarkReport(b *testing.B) {
	for _, tt := range []struct {
		name                                    string
		workers, longRunning, bestEffort, quick int
	}{
		{"66 workers", 66, 306, 800, 900},
		{"490 workers", 490, 2270, 5900, 6700},
	} {
		b.Run(tt.name, func(b *testing.B) {
			c, now := busyCore(tt.workers, tt.longRunning, tt.bestEffort, tt.quick)
			c.TakeOrders()
			ids := make([]unit.InstanceID, 0, len(c.workers))
			for id := range c.workers {
				ids = append(ids, id)
			}
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(5 * time.Millisecond)
				w := c.workers[ids[i%len(ids)]]
				p := Report{Incarnation: 1, RequestedAt: now}
				for _, r := range w.runs {
					p.Running = append(p.Running, RunStatus{Task: r.task.id(), Run: r.number, ProgressPercent: 100, Metric: 30})
				}
				c.HandleReport(w.id, p, now)
				if i%10 == 0 {
					c.Tick(now)
				}
				c.placementDue = true
				c.Place(now)
				c.TakeOrders()
			}
		})
	}
}

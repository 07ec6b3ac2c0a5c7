package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// fillingStep returns a best-effort step.
func fillingStep(tasks int, cores unit.Millicores) graph.Step {
	return graph.Step{
		Count: tasks, Image: "f", BestEffort: true, Estimate: time.Second,
		Needs: unit.Resources{Cores: cores, Memory: 1 << 30},
	}
}

// TestIdleSummary guards against a summary that does not tell for how long a step gets no
// turn, and whether its place is taken by others or does not exist.
func TestIdleSummary(t *testing.T) {
	type idle struct {
		Steps, Crowded, Blocked int
		Longest                 time.Duration
	}
	tests := []struct {
		name    string
		running unit.Millicores // of a best-effort task on the only worker, which has 64 cores
		waiting unit.Millicores // of the only task of another job
		want    idle
	}{
		{"starts", 20000, 20000, idle{}},
		{"taken by others", 60000, 20000, idle{Steps: 1, Crowded: 1, Longest: 2 * time.Second}},
		{"no worker is large enough", 20000, 80000, idle{Steps: 1, Blocked: 1, Longest: 2 * time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.addJob("running", fillingStep(1, tt.running), true)
			f.takeStarts(OutcomeDone)
			waiting := newJob("waiting", fillingStep(1, tt.waiting))
			waiting.Accepted = f.now
			f.core.AddJob(waiting, 0, true, f.now)
			began := f.now
			f.takeStarts(OutcomeDone)
			stats := f.core.Stats(began.Add(2 * time.Second))
			got := idle{stats.Idle, stats.Crowded, stats.Blocked, stats.LongestIdle[waiting.Queue.ID]}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("idle steps (-want +got):\n%s", diff)
			}
		})
	}
}

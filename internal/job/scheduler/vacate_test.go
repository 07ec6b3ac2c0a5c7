package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestVacate guards against upkeep that takes more lasting tasks of a step away at
// a time than it may miss, that loses work which can resume elsewhere, and that
// waits for ever for tasks which cannot.
func TestVacate(t *testing.T) {
	lasting := graph.Step{Count: 3, Needs: unit.Resources{Cores: 1000}, LongRunning: true, MaxUnavailable: 1}
	free := lasting
	free.MaxUnavailable = 0
	saving := graph.Step{Count: 2, Needs: unit.Resources{Cores: 1000}, Checkpoints: true, Estimate: time.Minute}
	short := graph.Step{Count: 2, Needs: unit.Resources{Cores: 1000}, Estimate: time.Minute}
	tests := []struct {
		name    string
		step    graph.Step
		percent int
		stops   int
		early   bool // vacant at once
		late    bool // vacant after vacateLimit
	}{
		{"nothing runs", graph.Step{}, 0, 0, true, true},
		{"lasting tasks that may miss one", lasting, 100, 1, false, false},
		{"lasting tasks, one not at work yet", lasting, 40, 0, false, false},
		{"lasting tasks without a promise", free, 100, 3, false, false},
		{"tasks that save progress", saving, 30, 2, false, true},
		{"tasks that do not", short, 30, 0, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, 1, 0)
			b.workers("w1")
			var running []RunStatus
			if tt.step.Count > 0 {
				b.job("j", tt.step, true)
				b.starts(OutcomeDone)
				for n := range tt.step.Count {
					id := taskOf("j")
					id.Index = unit.TaskIndex(n)
					running = append(running, RunStatus{Task: id, Run: 1, ProgressPercent: tt.percent})
				}
			}
			b.report("w1", running, nil)
			vacant := b.core.Vacate([]unit.InstanceID{"w1"}, b.now)
			if diff := cmp.Diff(map[unit.InstanceID]bool{"w1": tt.early}, vacant); diff != "" {
				t.Errorf("vacant at once (-want +got):\n%s", diff)
			}
			stops := 0
			for _, o := range b.core.TakeOrders() {
				if o.Kind == OrderStop && o.Reason == ReasonUpkeep {
					stops++
				}
			}
			if stops != tt.stops {
				t.Errorf("%d stops, want %d", stops, tt.stops)
			}
			vacant = b.core.Vacate([]unit.InstanceID{"w1"}, b.now.Add(maxVacateWait))
			if diff := cmp.Diff(map[unit.InstanceID]bool{"w1": tt.late}, vacant); diff != "" {
				t.Errorf("vacant later (-want +got):\n%s", diff)
			}
			b.job("new", small, true)
			if starts := b.starts(OutcomeDone); len(starts) > 0 {
				t.Errorf("%d starts on the worker that is being freed", len(starts))
			}
			b.core.Vacate(nil, b.now)
			if starts := b.starts(OutcomeDone); len(starts) == 0 {
				t.Error("no start after the wave was withdrawn")
			}
		})
	}
}

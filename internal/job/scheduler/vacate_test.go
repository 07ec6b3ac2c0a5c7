package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestVacate guards against upkeep that stops more long-running tasks of a step at a
// time than the step permits, that loses the progress of tasks which can resume
// elsewhere, and that waits forever for tasks which cannot.
func TestVacate(t *testing.T) {
	longRunning := graph.Step{Count: 3, Needs: unit.Resources{Cores: 1000}, LongRunning: true, MaxUnavailable: 1}
	unlimited := longRunning
	unlimited.MaxUnavailable = 0
	saving := graph.Step{Count: 2, Needs: unit.Resources{Cores: 1000}, Checkpoints: true, Estimate: time.Minute}
	short := graph.Step{Count: 2, Needs: unit.Resources{Cores: 1000}, Estimate: time.Minute}
	tests := []struct {
		name         string
		step         graph.Step
		percent      int
		stops        int
		vacantAtOnce bool
		vacantLater  bool // after maxVacateWait
	}{
		{"nothing runs", graph.Step{}, 0, 0, true, true},
		{"long-running tasks that may miss one", longRunning, 100, 1, false, false},
		{"long-running tasks, none serving yet", longRunning, 40, 0, false, false},
		{"long-running tasks without a limit", unlimited, 100, 3, false, false},
		{"tasks that save checkpoints", saving, 30, 2, false, true},
		{"tasks that save none", short, 30, 0, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			var running []RunStatus
			if tt.step.Count > 0 {
				f.addJob("j", tt.step, true)
				f.takeStarts(OutcomeDone)
				for n := range tt.step.Count {
					id := firstTask("j")
					id.Index = unit.TaskIndex(n)
					running = append(running, RunStatus{Task: id, Run: 1, ProgressPercent: tt.percent})
				}
			}
			f.report("w1", running, nil)
			vacant := f.core.Vacate([]unit.InstanceID{"w1"}, f.now)
			if diff := cmp.Diff(map[unit.InstanceID]bool{"w1": tt.vacantAtOnce}, vacant); diff != "" {
				t.Errorf("vacant at once (-want +got):\n%s", diff)
			}
			stops := 0
			for _, o := range f.core.TakeOrders() {
				if o.Kind == OrderStop && o.Reason == ReasonUpkeep {
					stops++
				}
			}
			if stops != tt.stops {
				t.Errorf("%d stops, want %d", stops, tt.stops)
			}
			vacant = f.core.Vacate([]unit.InstanceID{"w1"}, f.now.Add(maxVacateWait))
			if diff := cmp.Diff(map[unit.InstanceID]bool{"w1": tt.vacantLater}, vacant); diff != "" {
				t.Errorf("vacant later (-want +got):\n%s", diff)
			}
			f.addJob("new", smallStep, true)
			if starts := f.takeStarts(OutcomeDone); len(starts) > 0 {
				t.Errorf("%d starts on the worker that is being vacated", len(starts))
			}
			f.core.Vacate(nil, f.now)
			if starts := f.takeStarts(OutcomeDone); len(starts) == 0 {
				t.Error("no start after the upkeep was withdrawn")
			}
		})
	}
}

// TestVacateUnresolved guards against upkeep that ends a task which an earlier owner
// started, because its worker has not reported since the takeover and is taken as empty.
func TestVacateUnresolved(t *testing.T) {
	lasting := graph.Step{Count: 1, Needs: unit.Resources{Cores: 1000}, LongRunning: true, MaxUnavailable: 1}
	tests := []struct {
		name     string
		reported bool
		running  []RunStatus
		wait     time.Duration // after the takeover
		vacant   bool
	}{
		{"has not reported", false, nil, 0, false},
		{"reported that nothing runs", true, nil, 0, true},
		{"reported a run", true, []RunStatus{{Task: firstTask("j"), Run: 1, ProgressPercent: 100}}, 0, false},
		{"all earlier leases have expired", false, nil, 7 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 6*time.Second)
			f.core.LoadProgress(nil, []unit.InstanceID{"w1"}, []unit.InstanceID{"w1"})
			f.core.SetWorkers([]Listing{newListing("w1")}, f.now)
			f.addJob("j", lasting, false)
			if tt.reported {
				f.report("w1", tt.running, nil)
			}
			f.now = f.now.Add(tt.wait)
			f.core.Tick(f.now)
			vacant := f.core.Vacate([]unit.InstanceID{"w1"}, f.now)
			if diff := cmp.Diff(map[unit.InstanceID]bool{"w1": tt.vacant}, vacant); diff != "" {
				t.Errorf("vacant (-want +got):\n%s", diff)
			}
		})
	}
}

// TestVacateBesideSilentWorker guards against upkeep that stops one more task of a
// long-running step although another worker of the step has not reported for seconds, so
// that its task may be gone.
func TestVacateBesideSilentWorker(t *testing.T) {
	step := graph.Step{Count: 2, Needs: unit.Resources{Cores: 1000}, LongRunning: true, MaxUnavailable: 1, PerWorker: 1}
	tests := []struct {
		name   string
		silent time.Duration // since the last report of the other worker
		stops  int
	}{
		{"other worker reports", time.Second, 1},
		{"other worker is silent", maxReportAge + time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1", "w2")
			f.addJob("j", step, true)
			for _, o := range f.takeStarts(OutcomeDone) {
				f.report(o.Worker, []RunStatus{{Task: o.Task, Run: o.Run, ProgressPercent: 100}}, nil)
			}
			f.now = f.now.Add(tt.silent)
			for _, r := range f.core.workers["w1"].runs {
				f.report("w1", []RunStatus{{Task: r.task.id(), Run: r.number, ProgressPercent: 100}}, nil)
			}
			f.core.TakeOrders()
			f.core.Vacate([]unit.InstanceID{"w1"}, f.now)
			if diff := cmp.Diff(tt.stops, len(f.core.TakeOrders())); diff != "" {
				t.Errorf("stops (-want +got):\n%s", diff)
			}
		})
	}
}

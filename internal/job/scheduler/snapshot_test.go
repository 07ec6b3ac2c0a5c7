package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestHeldCheckpoints guards against a checkpoint that neither a worker nor the next
// snapshot has, and against a snapshot that repeats those that workers hold.
func TestHeldCheckpoints(t *testing.T) {
	task := TaskProgress{Checkpoint: "c1"}
	none := map[unit.JobID][]TaskProgress{}
	tests := []struct {
		name     string
		after    func(f *fixture) // the first report with the checkpoint
		snapshot []TaskProgress
		held     map[unit.JobID][]TaskProgress
	}{
		{"held by the worker", func(*fixture) {}, nil, map[unit.JobID][]TaskProgress{"j": {task}}},
		{"newer one", func(f *fixture) {
			f.report("w1", []RunStatus{{Task: firstTask("j"), Run: 1, Checkpoint: "c2"}}, nil)
		}, nil, map[unit.JobID][]TaskProgress{"j": {{Checkpoint: "c2"}}}},
		{"run stopped", func(f *fixture) {
			f.report("w1", nil, []End{{Number: 1, Task: firstTask("j"), Run: 1, Kind: EndStopped, Checkpoint: "c1"}})
		}, []TaskProgress{task}, none},
		{"lease of the worker expired", func(f *fixture) {
			f.core.RecordLease("w1", f.now.Add(time.Second))
			f.advance(time.Minute)
		}, []TaskProgress{task}, none},
		{"worker restarted", func(f *fixture) {
			f.core.HandleReport("w1", Report{Incarnation: 2, RequestedAt: f.now}, f.now)
		}, []TaskProgress{task}, none},
		{"started again, no report yet", func(f *fixture) {
			f.report("w1", nil, []End{{Number: 1, Task: firstTask("j"), Run: 1, Kind: EndStopped, Checkpoint: "c1"}})
			if starts := f.takeStarts(OutcomeUnknown); len(starts) != 1 || starts[0].Checkpoint != "c1" {
				f.t.Fatalf("starts %+v, want one from c1", starts)
			}
		}, []TaskProgress{task}, none},
		{"done", func(f *fixture) {
			f.report("w1", nil, []End{{Number: 1, Task: firstTask("j"), Run: 1, Kind: EndDone}})
		}, []TaskProgress{{Done: true}}, none},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			checkpointed, later := smallStep, smallStep
			checkpointed.Checkpoints = true
			later.After = []graph.StepIndex{0}
			f.core.AddJob(newJob("j", checkpointed, later), 0, true, f.now)
			f.takeStarts(OutcomeDone)
			f.report("w1", []RunStatus{{Task: firstTask("j"), Run: 1, Checkpoint: "c1"}}, nil)
			tt.after(f)
			if diff := cmp.Diff(tt.snapshot, f.core.Snapshot().Jobs["j"].Tasks); diff != "" {
				t.Errorf("tasks of the snapshot (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.held, f.core.HeldCheckpoints()); diff != "" {
				t.Errorf("held checkpoints (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHandOverWithHeldEnd guards against a second start of a task after a hand-over: its
// end as done was read by the previous owner but is not in the progress yet, as a later
// run of the task was still being stopped.
func TestHandOverWithHeldEnd(t *testing.T) {
	tests := []struct {
		name   string
		before func(f *fixture, first, later Order) // the hand-over
		busy   []unit.InstanceID
	}{
		{"end is not read", func(*fixture, Order, Order) {}, []unit.InstanceID{"w2"}},
		{"end is held", func(f *fixture, first, _ Order) {
			f.report("w1", nil, []End{{Number: 1, Task: first.Task, Run: first.Run, Kind: EndDone}})
		}, []unit.InstanceID{"w1", "w2"}},
		{"end is in the progress", func(f *fixture, first, later Order) {
			f.report("w1", nil, []End{{Number: 1, Task: first.Task, Run: first.Run, Kind: EndDone}})
			f.report(later.Worker, nil, []End{{Number: 1, Task: later.Task, Run: later.Run, Kind: EndStopped}})
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			first, later := f.startTwice()
			tt.before(f, first, later)
			busy := f.core.Snapshot().BusyWorkers
			slices.Sort(busy)
			if diff := cmp.Diff(tt.busy, busy); diff != "" {
				t.Errorf("busy workers (-want +got):\n%s", diff)
			}
		})
	}
}

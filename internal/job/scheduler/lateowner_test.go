package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestBegunLongRunningTask guards against a later owner that takes a long-running task for
// a new one, and lets it wait behind short tasks, because an earlier owner has acknowledged
// the end of its run or has lost its worker.
func TestBegunLongRunningTask(t *testing.T) {
	running := func(o Order) []RunStatus { return []RunStatus{{Task: o.Task, Run: o.Run, ProgressPercent: 100}} }
	ended := func(o Order, kind EndKind) []End { return []End{{Number: 1, Task: o.Task, Run: o.Run, Kind: kind}} }
	tests := []struct {
		name        string
		longRunning bool
		outcome     Outcome // of the start
		run         func(f *fixture, o Order)
		changed     bool // the progress, since the outcome of the start
		want        Progress
	}{
		{"not begun", true, OutcomeDone, func(*fixture, Order) {}, false, Progress{Started: true}},
		{"working", true, OutcomeDone, func(f *fixture, o Order) { f.report(o.Worker, running(o), nil) }, true, Progress{Started: true, Tasks: []TaskProgress{{}}}},
		{"lapsed", true, OutcomeDone, func(f *fixture, o Order) { f.report(o.Worker, nil, ended(o, EndLeaseExpired)) }, true, Progress{Started: true, Tasks: []TaskProgress{{}}}},
		{"failed", true, OutcomeDone, func(f *fixture, o Order) { f.report(o.Worker, nil, ended(o, EndFailed)) }, true, Progress{Started: true, Tasks: []TaskProgress{{Failed: []graph.RunNumber{1}}}}},
		{"short, working", false, OutcomeDone, func(f *fixture, o Order) { f.report(o.Worker, running(o), nil) }, false, Progress{Started: true}},
		{"short, lapsed", false, OutcomeDone, func(f *fixture, o Order) { f.report(o.Worker, nil, ended(o, EndLeaseExpired)) }, true, Progress{Started: true}},
		{"no answer", true, OutcomeUnknown, func(*fixture, Order) {}, false, Progress{}},
		{"no answer, working", true, OutcomeUnknown, func(f *fixture, o Order) { f.report(o.Worker, running(o), nil) }, true, Progress{Started: true, Tasks: []TaskProgress{{}}}},
		{"short, no answer, working", false, OutcomeUnknown, func(f *fixture, o Order) { f.report(o.Worker, running(o), nil) }, true, Progress{Started: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			step := smallStep
			step.LongRunning = tt.longRunning
			f.addJob("l", step, true)
			f.core.placementDue = true
			f.now = f.now.Add(bestEffortInterval)
			f.core.Place(f.now)
			o := f.core.TakeOrders()[0]
			f.begin(o)
			f.core.HandleStartOutcome(o, tt.outcome, f.now)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			tt.run(f, o)
			if diff := cmp.Diff(tt.changed, f.core.ProgressChanged()); diff != "" {
				t.Errorf("progress changed (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.want, f.core.Snapshot().Jobs["l"]); diff != "" {
				t.Errorf("progress (-want +got):\n%s", diff)
			}
		})
	}
}

package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// startTwice starts the task of a job on w1, and on w2 once the lease of w1 has expired.
// It returns both start orders, which were sent and have no outcome yet.
func (f *fixture) startTwice() (first, later Order) {
	f.t.Helper()
	first = f.placeOn("w1", smallStep)
	f.begin(first)
	f.advance(4 * time.Second) // the lease has expired
	f.listWorkers("w1", "w2")
	f.now = f.now.Add(placementInterval)
	f.core.Place(f.now)
	later = f.core.TakeOrders()[0]
	f.begin(later)
	return first, later
}

// TestEndBesideLaterRun guards against a start that is executed after the acknowledged
// end of an earlier run as done, and against the loss of that end.
func TestEndBesideLaterRun(t *testing.T) {
	tests := []struct {
		name    string
		settle  func(f *fixture, later Order)
		done    bool
		acked   EndNumber
		waiting int
	}{
		{"later run is under way", func(*fixture, Order) {}, false, 0, 0},
		{"later run was rejected", func(f *fixture, later Order) {
			f.core.HandleStartOutcome(later, OutcomeDeadlineExceeded, f.now)
			f.core.HandleStopOutcome(Order{Kind: OrderStop, Worker: later.Worker, Incarnation: 1, Task: later.Task, Run: later.Run}, OutcomeDone, f.now)
			f.now = f.now.Add(2 * time.Second)
			f.report(later.Worker, nil, nil)
		}, true, 1, 0},
		{"later run was stopped", func(f *fixture, later Order) {
			f.report(later.Worker, nil, []End{{Number: 1, Task: later.Task, Run: later.Run, Kind: EndStopped}})
		}, true, 1, 0},
		{"later run ended as done", func(f *fixture, later Order) {
			f.report(later.Worker, nil, []End{{Number: 1, Task: later.Task, Run: later.Run, Kind: EndDone}})
		}, true, 1, 0},
		{"later run failed", func(f *fixture, later Order) {
			f.report(later.Worker, nil, []End{{Number: 1, Task: later.Task, Run: later.Run, Kind: EndFailed}})
		}, true, 1, 0},
		{"job cancelled while the later run is under way", func(f *fixture, later Order) {
			f.core.Cancel("j", f.now)
		}, false, 0, 0},
		{"job cancelled, later run was stopped", func(f *fixture, later Order) {
			f.core.Cancel("j", f.now)
			f.report(later.Worker, nil, []End{{Number: 1, Task: later.Task, Run: later.Run, Kind: EndStopped}})
		}, false, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			first, later := f.startTwice()
			f.report("w1", nil, []End{{Number: 1, Task: first.Task, Run: first.Run, Kind: EndDone}})
			tt.settle(f, later)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			task := f.core.lookupTask(first.Task)
			if diff := cmp.Diff(tt.done, task.done); diff != "" {
				t.Errorf("done (-want +got):\n%s", diff)
			}
			if _, acked := f.core.AckCursor("w1"); acked != tt.acked {
				t.Errorf("acknowledged end %d, want %d", acked, tt.acked)
			}
			if diff := cmp.Diff(tt.waiting, len(task.step.waiting)); diff != "" {
				t.Errorf("waiting tasks (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLastFailureBesideLaterRun guards against a start that is executed after the
// acknowledged end of an earlier run that was the last attempt of its task.
func TestLastFailureBesideLaterRun(t *testing.T) {
	tests := []struct {
		name   string
		failed []graph.RunNumber // of earlier owners
		ended  bool              // the later run has ended too
		acked  EndNumber
	}{
		{"an attempt is left", nil, false, 1},
		{"no attempt is left", []graph.RunNumber{0}, false, 0},
		{"no attempt is left, later run was stopped", []graph.RunNumber{0}, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.core.LoadProgress(map[unit.JobID]Progress{"j": {Started: true, Tasks: []TaskProgress{{Failed: tt.failed}}}}, nil, nil)
			first, later := f.startTwice()
			f.report(first.Worker, nil, []End{{Number: 1, Task: first.Task, Run: first.Run, Kind: EndFailed}})
			if tt.ended {
				f.report(later.Worker, nil, []End{{Number: 1, Task: later.Task, Run: later.Run, Kind: EndStopped}})
			}
			f.core.ConfirmSnapshot(f.core.Snapshot())
			if _, acked := f.core.AckCursor(first.Worker); acked != tt.acked {
				t.Errorf("acknowledged end %d, want %d", acked, tt.acked)
			}
		})
	}
}

// TestFailureBesideHeldEnd guards against a job that fails although its task has ended as
// done, because a later run of the task that was being stopped fails as the last attempt.
func TestFailureBesideHeldEnd(t *testing.T) {
	tests := []struct {
		name  string
		ended []End // on the worker of the first run, before the later run fails
		final graph.State
	}{
		{"first run ended as done", []End{{Number: 1, Run: 1, Kind: EndDone}}, graph.Completed},
		{"first run ended with the lease", []End{{Number: 1, Run: 1, Kind: EndLeaseExpired}}, graph.Failed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.core.LoadProgress(map[unit.JobID]Progress{"j": {Started: true, Tasks: []TaskProgress{{Failed: []graph.RunNumber{0}}}}}, nil, nil)
			first, later := f.startTwice()
			for i := range tt.ended {
				tt.ended[i].Task = first.Task
			}
			f.report(first.Worker, nil, tt.ended)
			f.report(later.Worker, nil, []End{{Number: 1, Task: later.Task, Run: later.Run, Kind: EndFailed}})
			var final graph.State
			for _, s := range f.core.TakeFinalStates() {
				final = s.State
			}
			if diff := cmp.Diff(tt.final, final); diff != "" {
				t.Errorf("final state (-want +got):\n%s", diff)
			}
		})
	}
}

// TestGangEndBesideLaterRun guards against members of a gang whose start is executed
// after the acknowledged end of an earlier run of the gang as done, and against the loss
// of that end.
func TestGangEndBesideLaterRun(t *testing.T) {
	stopped := func(o Order) []End { return []End{{Number: 1, Task: o.Task, Run: o.Run, Kind: EndStopped}} }
	tests := []struct {
		name   string
		sent   int // starts of the later run that were sent before the end was read
		settle func(f *fixture, later []Order)
		done   int // tasks
		acked  EndNumber
	}{
		{"later run waits at the owner", 0, func(*fixture, []Order) {}, 2, 1},
		{"later run is under way", 2, func(*fixture, []Order) {}, 0, 0},
		{"one start of the later run is under way", 1, func(*fixture, []Order) {}, 0, 0},
		{"one of two later runs was stopped", 2, func(f *fixture, later []Order) {
			f.report(later[0].Worker, nil, stopped(later[0]))
		}, 0, 0},
		{"later run was stopped", 2, func(f *fixture, later []Order) {
			for _, o := range later {
				f.report(o.Worker, nil, stopped(o))
			}
		}, 2, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			gang := smallStep
			gang.Gang, gang.Count, gang.PerWorker = true, 2, 1
			f.listWorkers("w1", "w2")
			f.addJob("j", gang, true)
			f.core.Place(f.now)
			first := f.core.TakeOrders()
			for _, o := range first {
				f.begin(o)
			}
			f.advance(4 * time.Second) // the leases have expired
			f.core.TakeOrders()
			f.listWorkers("w1", "w2", "w3", "w4")
			f.now = f.now.Add(placementInterval)
			f.core.Place(f.now)
			later := slices.DeleteFunc(f.core.TakeOrders(), func(o Order) bool { return o.Kind != OrderStart })
			for _, o := range later[:tt.sent] {
				f.begin(o)
			}
			f.report(first[0].Worker, nil, []End{{Number: 1, Task: first[0].Task, Run: first[0].Run, Kind: EndDone}})
			tt.settle(f, later)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			done := 0
			for i := range gang.Count {
				if f.core.lookupTask(graph.Task{Job: "j", Index: unit.TaskIndex(i)}).done {
					done++
				}
			}
			if diff := cmp.Diff(tt.done, done); diff != "" {
				t.Errorf("done tasks (-want +got):\n%s", diff)
			}
			if _, acked := f.core.AckCursor(first[0].Worker); acked != tt.acked {
				t.Errorf("acknowledged end %d, want %d", acked, tt.acked)
			}
		})
	}
}

// TestFullPageOfEnds guards against held ends that fill the pages of the workers for ever:
// the ends of the later runs for which they wait are listed behind them.
func TestFullPageOfEnds(t *testing.T) {
	tests := []struct {
		name    string
		ended   bool // the first run has ended as done
		cancel  bool
		partial bool
		running bool // the later run is still listed
		wait    time.Duration
		runs    int
		acked   EndNumber
	}{
		{"complete report", true, false, false, false, 2 * time.Second, 0, 1},
		{"further ends follow", true, false, true, false, 2 * time.Second, 0, 1},
		{"further ends follow, the stop may be under way", true, false, true, false, 500 * time.Millisecond, 1, 0},
		{"further ends follow, the later run is present", true, false, true, true, 2 * time.Second, 1, 0},
		{"further ends follow, the later run may have ended as done", false, false, true, false, 2 * time.Second, 1, 0},
		{"further ends follow, the job is cancelled", false, true, true, false, 2 * time.Second, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			first, later := f.startTwice()
			f.core.HandleStartOutcome(later, OutcomeDone, f.now)
			if tt.ended {
				f.report(first.Worker, nil, []End{{Number: 1, Task: first.Task, Run: first.Run, Kind: EndDone}})
			}
			if tt.cancel {
				f.core.Cancel("j", f.now)
			}
			if tt.ended || tt.cancel {
				f.core.HandleStopOutcome(Order{Kind: OrderStop, Worker: later.Worker, Incarnation: 1, Task: later.Task, Run: later.Run}, OutcomeDone, f.now)
			}
			f.now = f.now.Add(tt.wait)
			report := Report{Incarnation: 1, RequestedAt: f.now, Partial: tt.partial}
			if tt.running {
				report.Running = []RunStatus{{Task: later.Task, Run: later.Run}}
			}
			f.core.HandleReport(later.Worker, report, f.now)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			if diff := cmp.Diff(tt.runs, len(f.core.lookupTask(later.Task).runs)); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
			if _, acked := f.core.AckCursor(first.Worker); acked != tt.acked {
				t.Errorf("acknowledged end %d, want %d", acked, tt.acked)
			}
		})
	}
}

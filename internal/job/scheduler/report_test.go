package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestOlderReport guards against a run that is taken as present because an answer which
// was overtaken by a later one lists it, and against an end that is ignored because only
// such an answer lists it.
func TestOlderReport(t *testing.T) {
	tests := []struct {
		name  string
		older Report
		want  Progress
		runs  int
	}{
		{"lists a run that has been stopped", Report{Running: []RunStatus{{Run: 1}}}, Progress{Started: true}, 0},
		{"lists an end", Report{Ended: []End{{Number: 2, Run: 1, Kind: EndDone}}}, Progress{Started: true, Tasks: []TaskProgress{{Done: true}}}, 0},
		{"lists a handled end", Report{Ended: []End{{Number: 1, Run: 1, Kind: EndDone}}}, Progress{Started: true}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.addJob("j", smallStep, true)
			o := f.takeStarts(OutcomeDone)[0]
			for i := range tt.older.Running {
				tt.older.Running[i].Task = o.Task
			}
			for i := range tt.older.Ended {
				tt.older.Ended[i].Task = o.Task
			}
			tt.older.Incarnation, tt.older.RequestedAt = 1, f.now.Add(time.Millisecond)
			f.now = f.now.Add(time.Second)
			f.report("w1", nil, []End{{Number: 1, Task: o.Task, Run: 1, Kind: EndStopped}})
			f.core.HandleReport("w1", tt.older, f.now)
			if diff := cmp.Diff(tt.want, f.core.Snapshot().Jobs["j"]); diff != "" {
				t.Errorf("progress (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.runs, len(f.core.lookupTask(o.Task).runs)); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOvertakenReport guards against a run that is taken as ended because a report lacks
// it which the worker made before an earlier requested one that lists it.
func TestOvertakenReport(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1")
	f.addJob("j", smallStep, true)
	o := f.takeStarts(OutcomeUnknown)[0]
	first, second := f.now.Add(time.Millisecond), f.now.Add(2*time.Millisecond)
	f.now = f.now.Add(time.Second)
	f.core.HandleReport("w1", Report{Incarnation: 1, RequestedAt: first, Running: []RunStatus{{Task: o.Task, Run: o.Run}}}, f.now)
	f.core.HandleReport("w1", Report{Incarnation: 1, RequestedAt: second}, f.now)
	if diff := cmp.Diff(1, len(f.core.lookupTask(o.Task).runs)); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

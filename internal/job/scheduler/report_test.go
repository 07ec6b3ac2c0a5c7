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

// TestPartialReportAfterTakeover guards against a start of a task whose end as done the
// worker has not listed yet, as a report lists only some of the ends.
func TestPartialReportAfterTakeover(t *testing.T) {
	tests := []struct {
		name    string
		partial bool
		after   time.Duration
		lease   time.Duration // extended by the new owner
		starts  int
	}{
		{"all ends listed", false, 0, 6 * time.Second, 1},
		{"further ends follow", true, 0, 6 * time.Second, 0},
		{"inherited leases have expired, that of the worker has not", true, 9 * time.Second, 12 * time.Second, 0},
		{"the lease of the worker has expired", true, 9 * time.Second, 6 * time.Second, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 8*time.Second)
			f.core.SetWorkers([]Listing{newListing("w1"), newListing("w2")}, f.now)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			f.core.AwaitReports()
			f.addJob("j", smallStep, false)
			f.core.RecordLease("w1", f.now.Add(tt.lease))
			f.core.HandleReport("w1", Report{Incarnation: 1, RequestedAt: f.now, Partial: tt.partial}, f.now)
			f.advance(tt.after)
			f.report("w2", nil, nil)
			if diff := cmp.Diff(tt.starts, len(f.takeStarts(OutcomeDone))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnansweredHeartbeatAfterTakeover guards against a second run of a task that runs
// on a worker whose lease the new owner has extended without ever getting an answer.
func TestUnansweredHeartbeatAfterTakeover(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration
		starts int
	}{
		{"inherited leases have expired", 9 * time.Second, 0},
		{"the extended lease has expired", 12 * time.Second, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 8*time.Second)
			f.core.SetWorkers([]Listing{newListing("w1"), newListing("w2")}, f.now)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			f.core.AwaitReports()
			f.addJob("j", smallStep, false)
			f.core.RecordLease("w1", f.now.Add(12*time.Second))
			f.advance(tt.after)
			f.report("w2", nil, nil)
			if diff := cmp.Diff(tt.starts, len(f.takeStarts(OutcomeDone))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOtherRunListed guards against a run that is taken as ended because a report lists its
// task with another run only: the worker may list either until the unknown one is stopped.
func TestOtherRunListed(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1")
	f.addJob("j", smallStep, true)
	o := f.takeStarts(OutcomeDone)[0]
	f.now = f.now.Add(time.Second)
	f.report("w1", []RunStatus{{Task: o.Task, Run: o.Run + 1}}, nil)
	if diff := cmp.Diff(1, len(f.core.lookupTask(o.Task).runs)); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, len(f.takeStops())); diff != "" {
		t.Errorf("stops (-want +got):\n%s", diff)
	}
}

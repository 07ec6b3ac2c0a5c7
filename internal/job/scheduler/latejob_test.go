package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestJobReadAfterReport guards against a second run of a job that an earlier owner
// started and that this owner reads only after the worker has reported the run or its
// end.
func TestJobReadAfterReport(t *testing.T) {
	run := RunStatus{Task: firstTask("j"), Run: 7}
	end := func(kind EndKind) []End { return []End{{Number: 1, Task: run.Task, Run: run.Run, Kind: kind}} }
	tests := []struct {
		name    string
		running []RunStatus
		ended   []End
		acked   EndNumber
		starts  int
	}{
		{"run present", []RunStatus{run}, nil, 0, 0},
		{"run ended as done", nil, end(EndDone), 1, 0},
		{"run ended with the lease", nil, end(EndLeaseExpired), 1, 1},
		{"no run", nil, nil, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 8*time.Second)
			f.core.SetWorkers([]Listing{newListing("w1"), newListing("w2")}, f.now)
			f.core.AwaitReports()
			f.report("w1", tt.running, tt.ended)
			f.report("w2", nil, nil)
			f.core.ConfirmSnapshot(f.core.Snapshot())
			f.now = f.now.Add(100 * time.Millisecond)
			f.addJob("j", smallStep, false)
			if diff := cmp.Diff(tt.starts, len(f.takeStarts(OutcomeDone))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
			_, acked := f.core.AckCursor("w1")
			if diff := cmp.Diff(tt.acked, acked); diff != "" {
				t.Errorf("acknowledged ends (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEndReadBeforeJob guards against an acknowledged end that the durable progress
// lacks, as the job or the occurrence was not known when the end was read.
func TestEndReadBeforeJob(t *testing.T) {
	gang, lasting := smallStep, smallStep
	gang.Gang, gang.Count = true, 2
	lasting.LongRunning = true
	tests := []struct {
		name       string
		step       graph.Step
		times      int // occurrences; the first is due a minute later
		end        End
		durable    Progress // after the end is read, before the job is
		afterwards int      // starts once the job is read and all occurrences are due
	}{
		{"done", smallStep, 0, End{Task: firstTask("j"), Kind: EndDone}, Progress{Started: true, Tasks: []TaskProgress{{Done: true}}}, 0},
		{"failed", smallStep, 0, End{Task: firstTask("j"), Kind: EndFailed}, Progress{Started: true, Tasks: []TaskProgress{{Failed: []graph.RunNumber{7}}}}, 1},
		{"checkpoint", smallStep, 0, End{Task: firstTask("j"), Kind: EndStopped, Checkpoint: "c"}, Progress{Started: true, Tasks: []TaskProgress{{Checkpoint: "c"}}}, 1},
		{"member of a gang", gang, 0, End{Task: graph.Task{Job: "j", Index: 1}, Kind: EndDone}, Progress{Started: true, Tasks: []TaskProgress{{Index: 1, Done: true}}}, 0},
		{"long-running", lasting, 0, End{Task: firstTask("j"), Kind: EndDone}, Progress{Started: true, Tasks: []TaskProgress{{Done: true}}}, 1},
		{"occurrence that is not due", smallStep, 1, End{Task: firstTask("j"), Kind: EndDone}, Progress{Started: true, Tasks: []TaskProgress{{Done: true}}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 0)
			f.listWorkers("w1", "w2")
			tt.end.Number, tt.end.Run = 1, 7
			f.report("w1", nil, []End{tt.end})
			snapshot := f.core.Snapshot()
			if diff := cmp.Diff(tt.durable, snapshot.Jobs["j"]); diff != "" {
				t.Errorf("durable progress (-want +got):\n%s", diff)
			}
			f.core.ConfirmSnapshot(snapshot)
			j := newJob("j", tt.step)
			j.Times, j.FirstDue, j.Interval = tt.times, startTime.Add(time.Minute), time.Minute
			f.core.AddJob(j, 0, false, f.now)
			if tt.times > 0 {
				if diff := cmp.Diff(tt.durable, f.core.Snapshot().Jobs["j"]); diff != "" {
					t.Errorf("durable progress before the occurrence (-want +got):\n%s", diff)
				}
			}
			starts := len(f.takeStarts(OutcomeDone))
			for range tt.times {
				f.advance(time.Minute)
				f.listWorkers("w1", "w2")
				starts += len(f.takeStarts(OutcomeDone))
			}
			if diff := cmp.Diff(tt.afterwards, starts); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestForgottenEarlyEnds guards against progress that grows with the ends of jobs that
// are never read, such as removed ones.
func TestForgottenEarlyEnds(t *testing.T) {
	f := newFixture(t, 2, 0)
	f.listWorkers("w1")
	f.report("w1", nil, []End{{Number: 1, Task: firstTask("j"), Run: 7, Kind: EndDone}})
	f.advance(earlyEndRetention + time.Second)
	if diff := cmp.Diff(0, len(f.core.Snapshot().Jobs)); diff != "" {
		t.Errorf("jobs (-want +got):\n%s", diff)
	}
}

// TestFinalRecordOfOpenJob guards against another start of a job whose final record is
// read after its open one was added again: notices and watches that come late, after the
// job was removed, show it as open first.
func TestFinalRecordOfOpenJob(t *testing.T) {
	tests := []struct {
		name   string
		final  graph.State
		starts int
		state  graph.State
	}{
		{"still open", 0, 1, graph.Running},
		{"cancelled", graph.Cancelled, 0, graph.Cancelled},
		{"completed", graph.Completed, 0, graph.Completed},
		{"failed", graph.Failed, 0, graph.Failed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.addJob("j", smallStep, true)
			f.core.AddJob(newJob("j"), tt.final, true, f.now)
			if diff := cmp.Diff(tt.starts, len(f.takeStarts(OutcomeDone))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
			if state, _ := f.core.JobState("j"); state != tt.state {
				t.Errorf("state %v, want %v", state, tt.state)
			}
		})
	}
}

package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestSlowedRunsOfOneStep guards against slowed runs that are spread over all jobs when many
// wide best-effort steps share workers with serving tasks near their target: each step waits for
// its last task, so that a quarter of the runs delays nearly every job.
func TestSlowedRunsOfOneStep(t *testing.T) {
	bestEffort := graph.Step{Count: 2, Needs: unit.Resources{Cores: 8000}, BestEffort: true, Image: "f", Estimate: time.Minute, PerWorker: 1}
	serving := graph.Step{Count: 1, Needs: unit.Resources{Cores: 4000}, LongRunning: true, Image: "s", TailTarget: 100 * time.Millisecond}
	tests := []struct {
		name  string
		paces map[unit.JobID]int // of the run on w2
		want  unit.JobID         // whose run on w1 is slowed first
	}{
		{"run of the first job slowed", map[unit.JobID]int{"f": 0}, "f"},
		{"run of the second job slowed", map[unit.JobID]int{"g": 0}, "g"},
		{"run of the second job slowed a little", map[unit.JobID]int{"f": 40, "g": 80}, "f"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1", "w2")
			f.addJob("s", serving, true)
			f.takeStarts(OutcomeDone)
			f.addJob("f", bestEffort, true)
			f.addJob("g", bestEffort, true)
			f.takeStarts(OutcomeDone)
			var first, second *worker
			for _, w := range f.core.workersByService[newListing("w1").Service] {
				if w.runs[firstTask("s")] != nil {
					first = w
				} else {
					second = w
				}
			}
			for _, r := range second.runList {
				if pace, ok := tt.paces[r.task.job().spec.ID]; ok {
					f.core.setPace(r, pace, ReasonTailAboveTarget, f.now)
				}
			}
			f.core.TakeOrders()
			f.core.slowBestEffort(first, first.runs[firstTask("s")], 0.01, f.now)
			var slowed []unit.JobID
			for _, o := range f.core.TakeOrders() {
				slowed = append(slowed, o.Task.Job)
			}
			if diff := cmp.Diff([]unit.JobID{tt.want}, slowed); diff != "" {
				t.Errorf("jobs of slowed runs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSlowedRunsOfLateJobs guards against a full fleet on which a job that can still meet its
// objective is slowed beside one that is late all the same.
func TestSlowedRunsOfLateJobs(t *testing.T) {
	const chain = 4 * time.Second
	tests := []struct {
		name string
		age  time.Duration // of the occurrence, due at 0 with an objective of 10 s and useful until 30 s
		want float64
	}{
		{"has time", 2 * time.Second, maxSlackWeight},
		{"in time without a delay", 6 * time.Second, 1.5},
		{"late", 7 * time.Second, lateWeight},
		{"of no use", 31 * time.Second, tooLateWeight},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := &occurrence{
				job: &job{spec: newJob("j", smallStep)}, softDeadline: startTime.Add(10 * time.Second),
				usefulUntil: startTime.Add(30 * time.Second), remainingChain: chain,
			}
			if diff := cmp.Diff(tt.want, o.slackWeight(startTime.Add(tt.age))); diff != "" {
				t.Errorf("weight (-want +got):\n%s", diff)
			}
		})
	}
}

package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestPreemptionBesideBlockedStep guards against urgent tasks for which nothing is preempted, as
// a more urgent step that no preemption can help is tried first each time.
func TestPreemptionBesideBlockedStep(t *testing.T) {
	saving, large, label := smallStep, smallStep, smallStep
	saving.Needs.Cores, saving.Checkpoints = 64_000, true // fills a worker
	large.Needs.Cores = 99_000
	label.Label = "none"
	tests := []struct {
		name    string
		blocked []graph.Step // one for each job that no preemption can help
	}{
		{"alone", nil},
		{"larger than each worker", []graph.Step{large}},
		{"no worker with the label", []graph.Step{label}},
		{"several", []graph.Step{large, label}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			later := newJob("later", saving)
			later.Queue.Priority = 2
			f.core.AddJob(later, 0, true, f.now)
			victim := f.takeStarts(OutcomeDone)
			for n, s := range tt.blocked {
				f.addJob(unit.JobID(rune('a'+n)), s, true)
			}
			f.now = f.now.Add(preemptInterval)
			f.report("w1", []RunStatus{{Task: victim[0].Task, Run: victim[0].Run}}, nil)
			f.addJob("urgent", smallStep, true)
			f.core.placementDue = true
			f.core.Place(f.now)
			var stopped []graph.Task
			for _, o := range f.takeStops() {
				stopped = append(stopped, o.Task)
			}
			if diff := cmp.Diff([]graph.Task{firstTask("later")}, stopped); diff != "" {
				t.Errorf("stopped tasks (-want +got):\n%s", diff)
			}
		})
	}
}

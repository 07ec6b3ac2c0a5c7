package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestStartBehindUnplaceableStep guards against a task that does not start because a more
// urgent one finds no worker that would take it, although some worker takes the other.
func TestStartBehindUnplaceableStep(t *testing.T) {
	short := graph.Step{Count: 1, Needs: unit.Resources{Cores: 4000, Memory: 1 << 30}, Estimate: time.Second}
	change := func(change func(*graph.Step)) graph.Step {
		s := short
		change(&s)
		return s
	}
	longRunning := change(func(s *graph.Step) { s.LongRunning = true })
	quarantine := func(f *fixture) {
		f.quarantineLongest("w1")
		f.now = f.now.Add(trialInterval)
		f.report("w1", nil, nil)
	}
	bestEffort := func(cores unit.Millicores, memory unit.Bytes) graph.Step {
		return change(func(s *graph.Step) {
			s.BestEffort, s.Image, s.Needs = true, "f", unit.Resources{Cores: cores, Memory: memory}
		})
	}
	tests := []struct {
		name          string
		prepare       func(*fixture)
		urgent, other graph.Step
		want          []unit.JobID
	}{
		{"long-running in a quarantine, behind a short one", quarantine, short, longRunning, []unit.JobID{"other"}},
		{"short in a quarantine, behind a short one", quarantine, short, short, nil},
		{"best-effort, behind one of the same image that needs more memory", func(*fixture) {}, bestEffort(4000, 300<<30), bestEffort(4000, 1<<30), []unit.JobID{"other"}},
		{"best-effort, behind one of the same image that needs more cores", func(*fixture) {}, bestEffort(80000, 1<<30), bestEffort(4000, 1<<30), []unit.JobID{"other"}},
		{"best-effort, behind one of the same image that needs as much", func(*fixture) {}, bestEffort(80000, 1<<30), bestEffort(80000, 1<<30), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			tt.prepare(f)
			for priority, step := range []graph.Step{tt.urgent, tt.other} {
				job := newJob([]unit.JobID{"urgent", "other"}[priority], step)
				job.Queue.Priority = graph.Priority(priority)
				f.core.AddJob(job, 0, true, f.now)
			}
			var got []unit.JobID
			for _, o := range f.takeStarts(OutcomeDone) {
				got = append(got, o.Task.Job)
			}
			slices.Sort(got)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("jobs of the starts (-want +got):\n%s", diff)
			}
		})
	}
}

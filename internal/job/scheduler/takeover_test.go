package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestStartBesideSilentWorker guards against a task that waits for a silent worker after a
// takeover although its only run has ended on another one, such as a long-running task on a
// worker that leaves, and against a start beside a run that the silent worker may have.
func TestStartBesideSilentWorker(t *testing.T) {
	const (
		inherited       = 9 * time.Second         // until the leases of earlier owners have expired
		earlierStarts   = 2500 * time.Millisecond // until earlier owners decide nothing more
		late            = 3 * time.Second
		previousRun     = runsPerEpoch // the last run number of the previous owner
		silent, answers = "w1", "w2"
	)
	longRunning, speculative, gang, second := smallStep, smallStep, smallStep, smallStep
	longRunning.LongRunning, speculative.Speculative = true, true
	gang.Gang, gang.Count = true, 2
	second.After = []graph.StepIndex{0}
	tests := []struct {
		name  string
		steps []graph.Step
		seen  time.Duration // when the run was reported, after the takeover; 0: never
		end   EndKind       // a second later
		want  []graph.Task  // started then
	}{
		{"failed", []graph.Step{smallStep}, late, EndFailed, []graph.Task{firstTask("j")}},
		{"long-running task is stopped", []graph.Step{longRunning}, late, EndStopped, []graph.Task{firstTask("j")}},
		{"previous owner may have started another run since", []graph.Step{smallStep}, earlierStarts, EndFailed, nil},
		{"only the end was reported", []graph.Step{smallStep}, 0, EndFailed, nil},
		{"several runs are allowed", []graph.Step{speculative}, late, EndFailed, nil},
		{"other member of the gang was not seen", []graph.Step{gang}, late, EndFailed, nil},
		{"next step may have been started before", []graph.Step{smallStep, second}, late, EndDone, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, inherited)
			workers := []unit.InstanceID{silent, answers}
			f.core.LoadProgress(nil, workers, workers)
			f.core.SetEarlierStartsEnd(f.now.Add(earlierStarts))
			f.core.SetWorkers([]Listing{newListing(silent), newListing(answers)}, f.now)
			f.core.AddJob(newJob("j", tt.steps...), 0, false, f.now)
			began := f.now
			if tt.seen != 0 {
				f.now = began.Add(tt.seen)
				f.report(answers, []RunStatus{{Task: firstTask("j"), Run: previousRun}}, nil)
			}
			f.now = began.Add(late + time.Second)
			f.report(answers, nil, []End{{Number: 1, Task: firstTask("j"), Run: previousRun, Kind: tt.end}})
			var started []graph.Task
			for _, o := range f.takeStarts(OutcomeDone) {
				started = append(started, o.Task)
			}
			if diff := cmp.Diff(tt.want, started); diff != "" {
				t.Errorf("started (-want +got):\n%s", diff)
			}
			f.now = began.Add(inherited)
			f.report(answers, nil, []End{{Number: 1, Task: firstTask("j"), Run: previousRun, Kind: tt.end}})
			f.core.Tick(f.now)
			if f.core.Stats(f.now).Unresolved != 0 {
				t.Errorf("workers are still waited for after all leases have expired")
			}
		})
	}
}

// TestLateReportOfEarlierIncarnation guards against a task that starts elsewhere while a worker
// runs it: the late answer of its earlier process is taken for one of the process that the
// instance list shows, which may run what the previous owner started there.
func TestLateReportOfEarlierIncarnation(t *testing.T) {
	tests := []struct {
		name   string
		listed Incarnation // of w1
		answer Incarnation // that the first report names
		want   []graph.Task
	}{
		{"listed process", 2, 2, []graph.Task{firstTask("j")}},
		{"process that is not listed yet", 1, 2, []graph.Task{firstTask("j")}},
		{"earlier process", 2, 1, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, 9*time.Second)
			workers := []unit.InstanceID{"w1", "w2"}
			f.core.LoadProgress(nil, workers, workers)
			first := newListing("w1")
			first.Incarnation = tt.listed
			f.core.SetWorkers([]Listing{first, newListing("w2")}, f.now)
			f.core.AddJob(newJob("j", smallStep), 0, false, f.now)
			f.report("w2", nil, nil)
			f.core.HandleReport("w1", Report{Incarnation: tt.answer, RequestedAt: f.now}, f.now)
			var started []graph.Task
			for _, o := range f.takeStarts(OutcomeDone) {
				started = append(started, o.Task)
			}
			if diff := cmp.Diff(tt.want, started); diff != "" {
				t.Errorf("started (-want +got):\n%s", diff)
			}
		})
	}
}

package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestRepeatedDependency guards against a step that never starts since its job names one
// earlier step repeatedly.
func TestRepeatedDependency(t *testing.T) {
	tests := []struct {
		name  string
		after []graph.StepIndex
	}{
		{"once", []graph.StepIndex{0}},
		{"repeatedly", []graph.StepIndex{0, 0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			last := smallStep
			last.After = tt.after
			f.core.AddJob(newJob("j", smallStep, last), 0, true, f.now)
			first := f.takeStarts(OutcomeDone)
			f.report("w1", nil, []End{{Number: 1, Task: firstTask("j"), Run: first[0].Run, Kind: EndDone}})
			if diff := cmp.Diff(1, len(f.takeStarts(OutcomeDone))); diff != "" {
				t.Errorf("starts after the first step (-want +got):\n%s", diff)
			}
		})
	}
}

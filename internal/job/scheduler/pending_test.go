package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestPendingUntilBegun guards against a number of pending jobs, and a state, that count a job as
// begun as soon as its first start is sent, while no worker has begun it: the start has no
// answer as its worker was lost, or it was refused.
func TestPendingUntilBegun(t *testing.T) {
	running := []RunStatus{{Task: firstTask("j"), Run: 1}}
	ended := []End{{Number: 1, Task: firstTask("j"), Run: 1, Kind: EndStopped}}
	tests := []struct {
		name        string
		outcome     Outcome // of the start; 0: none yet
		running     []RunStatus
		ended       []End
		wantPending int
		wantState   graph.State
	}{
		{"sent", 0, nil, nil, 1, graph.Queued},
		{"no answer", OutcomeUnknown, nil, nil, 1, graph.Queued},
		{"not sent", OutcomeNotSent, nil, nil, 1, graph.Queued},
		{"no room", OutcomeNoCapacity, nil, nil, 1, graph.Queued},
		{"unhealthy", OutcomeUnhealthy, nil, nil, 1, graph.Queued},
		{"other incarnation", OutcomeOtherIncarnation, nil, nil, 1, graph.Queued},
		{"stopped or ended there before", OutcomeStaleRun, nil, nil, 1, graph.Queued},
		{"answered", OutcomeDone, nil, nil, 0, graph.Running},
		{"no answer, reported", OutcomeUnknown, running, nil, 0, graph.Running},
		{"no answer, reported as ended", OutcomeUnknown, nil, ended, 0, graph.Running},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			o := f.placeOn("w1", smallStep)
			if !f.begin(o) {
				t.Fatal("start not wanted")
			}
			if tt.outcome != 0 {
				f.core.HandleStartOutcome(o, tt.outcome, f.now)
			}
			f.advance(time.Millisecond)
			if tt.running != nil || tt.ended != nil {
				f.report("w1", tt.running, tt.ended)
			}
			if diff := cmp.Diff(tt.wantPending, f.core.PendingJobs(newJob("j").Queue.ID)); diff != "" {
				t.Errorf("pending jobs (-want +got):\n%s", diff)
			}
			state, _ := f.core.JobState("j")
			if diff := cmp.Diff(tt.wantState, state); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
		})
	}
}

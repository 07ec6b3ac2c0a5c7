package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestUnlistedEnd guards against a second start of a task whose run is absent from a
// report that does not list all ends: it may have ended as done.
func TestUnlistedEnd(t *testing.T) {
	tests := []struct {
		name    string
		partial bool
		starts  int
	}{
		{"all ends are listed", false, 1},
		{"further ends follow", true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.core.AddJob(newJob("j", graph.Step{Count: 1, Needs: unit.Resources{Cores: 4000}}), 0, true, f.now)
			f.takeStarts(OutcomeDone)
			f.advance(time.Second)
			f.core.HandleReport("w1", Report{Incarnation: 1, RequestedAt: f.now, Partial: tt.partial}, f.now)
			if diff := cmp.Diff(tt.starts, len(f.takeStarts(OutcomeDone))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

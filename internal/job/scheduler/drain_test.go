package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestDrain guards against long-running tasks and checkpointed progress that are lost
// when a draining worker exits.
func TestDrain(t *testing.T) {
	tests := []struct {
		name   string
		change func(*graph.Step)
		stops  int
	}{
		{"short", func(*graph.Step) {}, 0},
		{"lasting", func(s *graph.Step) { s.LongRunning = true }, 1},
		{"saves checkpoints, exit is near", func(s *graph.Step) { s.Checkpoints = true }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			s := smallStep
			tt.change(&s)
			f.addJob("j", s, true)
			f.takeStarts(OutcomeDone)
			l := newListing("w1")
			l.Draining, l.TimeToExit = true, time.Second
			f.core.SetWorkers([]Listing{l}, f.now)
			stops := 0
			for _, o := range f.core.TakeOrders() {
				if o.Kind == OrderStop {
					stops++
				}
			}
			if diff := cmp.Diff(tt.stops, stops); diff != "" {
				t.Errorf("stops (-want +got):\n%s", diff)
			}
		})
	}
}

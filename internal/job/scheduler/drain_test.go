package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestDrain guards against tasks that a draining worker takes with it.
func TestDrain(t *testing.T) {
	tests := []struct {
		name   string
		change func(*graph.Step)
		stops  int
	}{
		{"short", func(*graph.Step) {}, 0},
		{"lasting", func(s *graph.Step) { s.LongRunning = true }, 1},
		{"saves progress, exit is near", func(s *graph.Step) { s.Checkpoints = true }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, 1, 0)
			b.workers("w1")
			s := small
			tt.change(&s)
			b.job("j", s, true)
			b.starts(OutcomeDone)
			l := listing("w1")
			l.Draining, l.TimeToExit = true, time.Second
			b.core.SetWorkers([]Listing{l}, b.now)
			stops := 0
			for _, o := range b.core.TakeOrders() {
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

package scheduler

import (
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestStartBesideExceededTarget guards against best-effort tasks that start one after the other
// on a worker whose serving task is over its target: each works until it is paused, so that the
// target is exceeded for as long as there are others to start.
func TestStartBesideExceededTarget(t *testing.T) {
	filling := func(image string) graph.Step {
		s := fillingStep(1, 12800)
		s.Image, s.Estimate = image, time.Minute
		return s
	}
	tests := []struct {
		name   string
		tail   int // in milliseconds; the target is 100
		starts int
	}{
		{"within the target", 40, 1},
		{"over the target", 150, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.addJob("s", graph.Step{
				Count: 1, Needs: unit.Resources{Cores: 4000}, LongRunning: true, Image: "s", TailTarget: 100 * time.Millisecond,
			}, true)
			f.addJob("f", filling("f"), true)
			f.takeStarts(OutcomeDone)
			report := func(tail, used int) {
				f.advance(400 * time.Millisecond)
				f.report("w1", []RunStatus{
					{Task: firstTask("s"), Run: 1, ProgressPercent: 100, Metric: tail},
					{Task: firstTask("f"), Run: 1, ProgressPercent: 5, Metric: used},
				}, nil)
			}
			for i := range 40 { // the image of f raises the tail from 30 to 150 ms
				if i/4%2 == 0 {
					report(30, 0)
				} else {
					report(150, 12800)
				}
			}
			for range 3 {
				report(tt.tail, 12800)
			}
			f.addJob("g", filling("g"), true)
			if got := len(f.takeStarts(OutcomeDone)); got != tt.starts {
				t.Errorf("%d starts beside a tail of %d ms, want %d", got, tt.tail, tt.starts)
			}
		})
	}
}

package scheduler

import (
	"testing"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// TestGangOnOneWorker guards against a gang that never starts since the cores of its members
// that fill are counted, although best-effort tasks reserve none, and against one whose members
// are given more cores than a worker has.
func TestGangOnOneWorker(t *testing.T) {
	tests := []struct {
		name       string
		bestEffort bool
		tasks      int
		cores      unit.Millicores // of each; the worker has 64
		starts     int
	}{
		{"fills", true, 4, 64000, 4},
		{"cores of its own, fits", false, 4, 16000, 4},
		{"cores of its own, does not fit", false, 4, 17000, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			s := fillingStep(tt.tasks, tt.cores)
			s.Gang, s.BestEffort = true, tt.bestEffort
			f.addJob("gang", s, true)
			if got := len(f.takeStarts(OutcomeDone)); got != tt.starts {
				t.Errorf("%d members have started, want %d", got, tt.starts)
			}
		})
	}
}

package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestStalledRun guards against stopping a run as stalled because the owner reads the
// reports of its worker late, and against keeping one that makes no progress.
func TestStalledRun(t *testing.T) {
	type report struct {
		percent          int
		requested, after time.Duration // since the start: when it was requested and handled
	}
	tests := []struct {
		name    string
		reports []report
		quiet   time.Duration // without a report afterwards
		stops   int
	}{
		{"progress in each report", []report{{10, 300, 700}, {50, 1900, 2300}, {90, 3500, 3900}}, 0, 0},
		{"no progress", []report{{10, 300, 700}, {10, 1700, 2100}, {10, 2300, 2700}}, 0, 1},
		{"no report for a while", []report{{10, 300, 700}}, 1700, 0},
		{"no progress in a report handled late", []report{{10, 300, 700}, {10, 900, 2600}}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.addJob("j", smallStep, true)
			f.takeStarts(OutcomeDone)
			started := f.now
			for _, r := range tt.reports {
				f.advance(started.Add(r.after * time.Millisecond).Sub(f.now))
				f.core.HandleReport("w1", Report{
					Incarnation: 1, RequestedAt: started.Add(r.requested * time.Millisecond),
					Running: []RunStatus{{Task: firstTask("j"), Run: 1, ProgressPercent: r.percent}},
				}, f.now)
			}
			f.advance(tt.quiet * time.Millisecond)
			stops := 0
			for _, o := range f.core.TakeOrders() {
				if o.Kind == OrderStop && o.Reason == ReasonStalled {
					stops++
				}
			}
			if diff := cmp.Diff(tt.stops, stops); diff != "" {
				t.Errorf("stops of stalled runs (-want +got):\n%s", diff)
			}
		})
	}
}

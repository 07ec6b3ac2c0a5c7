package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
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

// TestRelocationOrder guards against moves of slowed runs of late jobs before those of jobs
// that are nearly in time, on a full shard on which few runs can move at a time.
func TestRelocationOrder(t *testing.T) {
	for _, short := range []bool{false, true} {
		f := newFixture(t, 1, 0)
		f.listWorkers("w1")
		s := bestEffortStep(0, 1)
		late := newJob("late", s)
		late.Accepted = f.now.Add(-12 * time.Second)
		f.core.AddJob(late, 0, true, f.now)
		f.takeStarts(OutcomeDone)
		for n := range maxRelocationsPerPass {
			f.addJob(unit.JobID(fmt.Sprintf("new%d", n)), s, true)
		}
		f.takeStarts(OutcomeDone)
		f.core.SetWorkers([]Listing{newListing("w1"), newListing("w2")}, f.now)
		f.core.ConfirmSnapshot(f.core.Snapshot())
		f.report("w2", nil, nil)
		runs := f.core.workers["w1"].runList
		if len(runs) != maxRelocationsPerPass+1 {
			t.Fatalf("%d runs on w1, want %d", len(runs), maxRelocationsPerPass+1)
		}
		for _, r := range runs {
			r.pacePercent = 0
		}
		if f.now = f.now.Add(minSlowedTime); short {
			f.core.shortUntil = f.now.Add(shortHold)
		}
		f.core.relocateSlowedRuns(f.now)
		stopped := map[unit.JobID]bool{}
		for _, o := range f.core.TakeOrders() {
			stopped[o.Task.Job] = o.Kind == OrderStop && o.Reason == ReasonSlowed
		}
		if len(stopped) != maxRelocationsPerPass || stopped["late"] == short {
			t.Errorf("short %v: runs of %v stopped, want %d, that of the late job only if capacity is not short", short, stopped, maxRelocationsPerPass)
		}
	}
}

// TestRelocationBound guards against a large fleet on which hundreds of runs stay slowed, as
// few move at a time, and against more or earlier moves while there is capacity for all.
func TestRelocationBound(t *testing.T) {
	tests := []struct {
		name    string
		short   bool
		workers int
		slowed  time.Duration
		want    int
	}{
		{"short, large fleet", true, 12 * workersPerRelocation, minSlowedTimeShort, 12},
		{"short, small fleet", true, 20, minSlowedTimeShort, maxRelocationsPerPass},
		{"not short", false, 12 * workersPerRelocation, minSlowedTime, maxRelocationsPerPass},
		{"not short, slowed recently", false, 12 * workersPerRelocation, minSlowedTimeShort, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listMany(manyListings(tt.workers))
			f.addJob("j", bestEffortStep(0, 15), true)
			f.takeStarts(OutcomeDone)
			for _, w := range f.core.workers {
				for _, r := range w.runList {
					r.pacePercent, r.paceSetAt = 0, f.now
				}
			}
			if f.now = f.now.Add(tt.slowed); tt.short {
				f.core.shortUntil = f.now.Add(shortHold)
			}
			f.core.relocateSlowedRuns(f.now)
			if got := len(f.core.TakeOrders()); got != tt.want {
				t.Errorf("%d runs stopped, want %d", got, tt.want)
			}
		})
	}
}

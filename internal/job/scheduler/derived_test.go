package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestRunList guards against a list of the runs of a worker that differs from the map of
// them, so that a loop skips a run or goes over an ended one.
func TestRunList(t *testing.T) {
	f := newBenchFleet(12, 20)
	for range 5000 {
		f.step()
		f.disturb()
		for _, w := range f.core.workers {
			want, got := map[graph.Task]graph.RunNumber{}, map[graph.Task]graph.RunNumber{}
			for id, r := range w.runs {
				want[id] = r.number
			}
			for _, r := range w.runList {
				got[r.task.id()] = r.number
				if w.runs[r.task.id()] != r || r.task.runOn(w) != r {
					t.Fatalf("run %v of worker %s: the list, the map and the task differ", r.task.id(), w.id)
				}
			}
			if diff := cmp.Diff(want, got); diff != "" || len(w.runs) != len(w.runList) {
				t.Fatalf("listed runs of worker %s (-want +got):\n%s", w.id, diff)
			}
		}
	}
}

// disturb now and then loses a run of a worker, restarts a worker, or fails a run.
func (f *benchFleet) disturb() {
	w := f.workers[f.random.IntN(len(f.workers))]
	if len(w.runs) == 0 {
		return
	}
	i := f.random.IntN(len(w.runs))
	switch f.random.IntN(100) {
	case 0:
		w.runs = append(w.runs[:i], w.runs[i+1:]...)
	case 1:
		w.end(i, EndFailed)
	case 2:
		w.incarnation++
		w.runs, w.ended, w.lastEnd = nil, nil, 0
	case 3:
		w.runs[i].run++ // as a run that another owner has started
	}
}

// TestOpenWorkersOfPass guards against a placement pass that takes the workers that were
// open in an earlier pass: a task would start on one that is vacated or has an unknown run.
func TestOpenWorkersOfPass(t *testing.T) {
	f := newBenchFleet(12, 20)
	starts := 0
	for range 3000 {
		f.step()
		f.disturb()
		if f.random.IntN(20) == 0 {
			f.core.Vacate([]unit.InstanceID{f.workers[f.random.IntN(len(f.workers))].id}, f.now)
		}
		f.now = f.now.Add(placementInterval)
		f.core.placementDue = true
		f.core.Place(f.now)
		for _, o := range f.core.orders {
			if o.Kind != OrderStart {
				continue
			}
			starts++
			if w := f.core.workers[o.Worker]; !f.core.isOpen(w, f.now) {
				t.Fatalf("start on worker %s, which is vacated since %v and has %d unknown runs", w.id, w.vacatingSince, len(w.unknownRuns))
			}
		}
	}
	if starts == 0 {
		t.Error("no starts")
	}
}

// TestReportingUnknown guards against a worker with unknown runs that is not among those
// searched for the runs of a new occurrence, so that a task would start twice.
func TestReportingUnknown(t *testing.T) {
	f := newBenchFleet(12, 20)
	seen := 0
	for range 5000 {
		f.step()
		f.disturb()
		for id, w := range f.core.workers {
			seen += len(w.unknownRuns)
			if len(w.unknownRuns) > 0 && f.core.reportingUnknown[id] != w {
				t.Fatalf("worker %s with %d unknown runs is missing", id, len(w.unknownRuns))
			}
		}
		for id, w := range f.core.reportingUnknown {
			if f.core.workers[id] != w {
				t.Fatalf("worker %s is not known any more", id)
			}
		}
	}
	if seen == 0 {
		t.Error("no unknown runs")
	}
}

// TestReusedView guards against a view of a worker that has kept parts of the one before,
// whose buffers it uses: best-effort tasks would be placed beside serving ones by old shares.
func TestReusedView(t *testing.T) {
	f := newBenchFleet(12, 20)
	for range 300 {
		f.step()
		f.disturb()
		var steps []*step
		for _, s := range f.core.readySteps {
			if s.spec.BestEffort {
				steps = append(steps, s)
			}
		}
		for _, w := range f.core.workers {
			w.bestEffort.invalidate()
			fresh := *w
			fresh.bestEffort = bestEffortView{}
			for _, s := range steps {
				if got, want := f.core.allowedShare(w, s, f.now), f.core.allowedShare(&fresh, s, f.now); got != want {
					t.Fatalf("allowed share %v, want %v", got, want)
				}
			}
			if diff := cmp.Diff(f.core.bestEffortViewOf(&fresh, f.now), f.core.bestEffortViewOf(w, f.now),
				cmp.AllowUnexported(bestEffortView{}), cmp.Comparer(func(a, b servingHeadroom) bool { return a == b }), cmpopts.EquateNaNs(), cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("view (-fresh +reused):\n%s", diff)
			}
		}
	}
}

package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// stepOf returns a step with a number of tasks that no worker of newListing can take.
func stepOf(tasks int) graph.Step {
	return graph.Step{Count: tasks, Needs: unit.Resources{Cores: 1_000_000}, Estimate: time.Second}
}

// TestOpenBudget guards against jobs whose tasks take the memory of the owner, against small
// jobs that wait behind them, and against jobs that never open.
func TestOpenBudget(t *testing.T) {
	const limit = 1 << 20
	occurrences := func(id unit.JobID, times int, s graph.Step) *graph.Job {
		j := newJob(id, s)
		j.Times, j.FirstDue, j.Interval = times, startTime, time.Millisecond
		return j
	}
	cancelFirst := func(f *fixture) {
		f.core.Cancel("a", f.now)
		f.advance(endedRetention)
	}
	tests := []struct {
		name  string
		jobs  []*graph.Job
		event func(*fixture) // nil: none
		open  map[unit.JobID]int
	}{
		{"small jobs", []*graph.Job{newJob("a", stepOf(10)), newJob("b", stepOf(10))}, nil, map[unit.JobID]int{"a": 1, "b": 1}},
		{"larger than the limit, alone", []*graph.Job{newJob("a", stepOf(10000))}, nil, map[unit.JobID]int{"a": 1}},
		{"larger than what is left", []*graph.Job{newJob("a", stepOf(3000)), newJob("b", stepOf(2000))}, nil, map[unit.JobID]int{"a": 1, "b": 0}},
		{"small one beside a large one", []*graph.Job{newJob("a", stepOf(5000)), newJob("b", stepOf(5000)), newJob("c", stepOf(10))}, nil, map[unit.JobID]int{"a": 1, "b": 0, "c": 1}},
		{"large one has ended", []*graph.Job{newJob("a", stepOf(5000)), newJob("b", stepOf(5000))}, cancelFirst, map[unit.JobID]int{"a": 0, "b": 1}},
		{"large one has been dropped", []*graph.Job{newJob("a", stepOf(5000)), newJob("b", stepOf(5000))}, func(f *fixture) {
			f.core.Cancel("a", f.now)
			f.core.RemoveFinalJobs(f.now.Add(time.Second), 1)
			f.advance(time.Millisecond)
		}, map[unit.JobID]int{"b": 1}},
		{"parked one is cancelled", []*graph.Job{newJob("a", stepOf(5000)), newJob("b", stepOf(5000))}, func(f *fixture) {
			f.core.Cancel("b", f.now)
			cancelFirst(f)
		}, map[unit.JobID]int{"a": 0, "b": 0}},
		{"occurrences that overlap", []*graph.Job{occurrences("a", 10000, stepOf(100)), newJob("b", stepOf(100))}, nil, map[unit.JobID]int{"a": 7, "b": 1}},
		{"as many occurrences as there is room for", []*graph.Job{occurrences("a", 4, stepOf(100))}, nil, map[unit.JobID]int{"a": 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.core.open.limit = limit
			f.listWorkers("w1")
			f.now = f.now.Add(time.Minute) // all occurrences are due
			for _, j := range tt.jobs {
				f.core.AddJob(j, 0, true, f.now)
			}
			f.advance(time.Millisecond)
			if tt.event != nil {
				tt.event(f)
			}
			open := map[unit.JobID]int{}
			for id, j := range f.core.jobs {
				open[id] = len(j.occurrences)
			}
			if diff := cmp.Diff(tt.open, open); diff != "" {
				t.Errorf("open occurrences (-want +got):\n%s", diff)
			}
		})
	}
}

// TestParkedOrder guards against urgent jobs that wait behind others, while there is room for
// one at a time, and against room that is not used.
func TestParkedOrder(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.core.open.limit = 1 << 20
	f.listWorkers("w1")
	f.addJob("a", stepOf(5000), true)
	for n, priority := range []graph.Priority{2, 1, 0, 1} {
		j := newJob(unit.JobID(fmt.Sprintf("j%d", n)), stepOf(5000))
		j.Queue.Priority = priority
		f.core.AddJob(j, 0, true, f.now)
	}
	var order []unit.JobID
	for next := unit.JobID("a"); next != ""; {
		f.core.Cancel(next, f.now)
		f.advance(endedRetention)
		next = ""
		for id, j := range f.core.openJobs {
			if len(j.occurrences) > 0 {
				next = id
				order = append(order, id)
			}
		}
	}
	if diff := cmp.Diff([]unit.JobID{"j2", "j1", "j3", "j0"}, order); diff != "" {
		t.Errorf("order of parked jobs (-want +got):\n%s", diff)
	}
}

// TestNextOccurrence guards against a job that ends before all of its occurrences have run,
// or that never ends, when only one occurrence is open at a time.
func TestNextOccurrence(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.core.open.limit = 1
	f.listWorkers("w1")
	f.now = f.now.Add(time.Minute)
	j := newJob("j", smallStep)
	j.Times, j.FirstDue = 5, startTime
	f.report("w1", nil, nil)
	f.core.AddJob(j, 0, true, f.now)
	for n := range 5 {
		starts := f.takeStarts(OutcomeDone)
		if diff := cmp.Diff(1, len(starts)); diff != "" {
			t.Fatalf("starts of occurrence %d (-want +got):\n%s", n, diff)
		}
		f.report("w1", nil, []End{{Number: EndNumber(n + 1), Task: starts[0].Task, Run: starts[0].Run, Kind: EndDone}})
		f.advance(time.Millisecond)
	}
	want := []FinalState{{Job: "j", State: graph.Completed, Cause: "all tasks done"}}
	if diff := cmp.Diff(want, f.core.TakeFinalStates()); diff != "" {
		t.Errorf("final states (-want +got):\n%s", diff)
	}
}

// TestOpenMemory guards against tasks and steps that take more memory than the budget counts.
func TestOpenMemory(t *testing.T) {
	tests := []struct {
		name string
		step graph.Step
		n    int // steps
	}{
		{"many tasks", stepOf(10000), 2},
		{"many steps", stepOf(1), 256},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var jobs []*graph.Job
			for n := range 20 {
				var steps []graph.Step
				for range tt.n {
					steps = append(steps, tt.step)
				}
				jobs = append(jobs, newJob(unit.JobID(fmt.Sprint(n)), steps...))
			}
			f := newFixture(t, 1, 0)
			before := heapInUse()
			for _, j := range jobs {
				f.core.AddJob(j, 0, true, f.now)
			}
			taken, counted := heapInUse()-before, f.core.open.used
			t.Logf("%d bytes, counted %d", taken, counted)
			if taken > counted {
				t.Errorf("%d bytes for %d jobs, counted %d", taken, len(jobs), counted)
			}
			runtime.KeepAlive(f)
		})
	}
}

// heapInUse returns the memory of all objects that are in use.
func heapInUse() unit.Bytes {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return unit.Bytes(stats.HeapAlloc)
}

// TestImageIndexes guards against images that the core keeps after the last job with them has
// gone, and against two images that share an index.
func TestImageIndexes(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.listWorkers("w1")
	for n := range 50 {
		for i := range 3 {
			s := stepOf(1)
			s.Image = fmt.Sprintf("image %d", (n+i)%7)
			f.addJob(unit.JobID(fmt.Sprintf("j%d-%d", n, i)), s, true)
		}
		indexes := map[int]string{}
		for _, i := range f.core.images {
			if other, taken := indexes[i.index]; taken {
				t.Fatalf("images %q and %q have index %d", i.name, other, i.index)
			}
			indexes[i.index] = i.name
		}
		if n > 0 {
			for i := range 3 {
				f.core.Cancel(unit.JobID(fmt.Sprintf("j%d-%d", n-1, i)), f.now)
			}
		}
		f.advance(endedRetention)
	}
	if got := len(f.core.images); got > 3 {
		t.Errorf("%d images, want at most 3", got)
	}
	if got := f.core.imageIndexes; got > 7 {
		t.Errorf("%d indexes for 7 images", got)
	}
}

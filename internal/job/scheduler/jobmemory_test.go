package scheduler

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestJobMemory guards against jobs that take more memory than the owner tells the entries, and
// against memory that counts as taken after they have gone.
func TestJobMemory(t *testing.T) {
	const jobs, limit = 100, 100 << 20
	tests := []struct {
		name string
		job  func(n int) *graph.Job
	}{
		{"specs", func(n int) *graph.Job {
			j := newJob(unit.JobID(fmt.Sprint(n)), stepOf(1))
			j.Spec = strings.Repeat("x", 4000)
			return j
		}},
		{"names", func(n int) *graph.Job {
			var steps []graph.Step
			for i := range 256 {
				s := stepOf(1)
				s.Label, s.After = fmt.Sprintf("%0400d", i), make([]graph.StepIndex, min(i, 1))
				steps = append(steps, s)
			}
			return newJob(unit.JobID(fmt.Sprint(n)), steps...)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.core.jobMemory.limit, f.core.open.limit = limit, 1 // the tasks are not counted here
			before := heapInUse()
			for n := range jobs {
				f.core.AddJob(tt.job(n), 0, true, f.now)
			}
			taken, counted := heapInUse()-before, f.core.jobMemory.used
			t.Logf("%d bytes, counted %d", taken, counted)
			if taken > counted {
				t.Errorf("%d bytes, counted %d", taken, counted)
			}
			full, left := f.core.JobRoom()
			if diff := cmp.Diff([]any{false, unit.Bytes(0)}, []any{full, left}); diff != "" {
				t.Errorf("less than half is taken (-want +got):\n%s", diff)
			}
			f.core.jobMemory.limit = counted + 10
			full, left = f.core.JobRoom()
			if diff := cmp.Diff([]any{true, unit.Bytes(10)}, []any{full, left}); diff != "" {
				t.Errorf("all but ten bytes are taken (-want +got):\n%s", diff)
			}
			for n := range jobs {
				f.core.Cancel(unit.JobID(fmt.Sprint(n)), f.now)
			}
			f.advance(endedRetention)
			if used := f.core.jobMemory.used; used > counted/4 {
				t.Errorf("%d bytes counted after all jobs have ended, want at most %d", used, counted/4)
			}
			f.core.RemoveFinalJobs(f.now.Add(time.Second), jobs)
			if diff := cmp.Diff([]unit.Bytes{0, 0}, []unit.Bytes{f.core.jobMemory.used, f.core.open.used}); diff != "" {
				t.Errorf("counted after all jobs were removed (-want +got):\n%s", diff)
			}
			runtime.KeepAlive(f)
		})
	}
}

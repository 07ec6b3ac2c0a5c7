package scheduler

import (
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestRunNumbersRiseAcrossEpochs guards against a run number of a new owner that an
// earlier owner has used: workers take a start with such a number for an old one, and its
// end for that of another run.
func TestRunNumbersRiseAcrossEpochs(t *testing.T) {
	for _, starts := range []int{1, 1001, 20_000} {
		f := newFixture(t, 1, 0)
		f.listWorkers("w1")
		f.addJob("j", smallStep, true)
		var last graph.RunNumber
		for range starts {
			f.report("w1", nil, nil)
			for _, o := range f.takeStarts(OutcomeNoCapacity) {
				last = o.Run
			}
			f.now = f.now.Add(startRetryDelay)
		}
		next := newFixture(t, 2, 0)
		next.listWorkers("w1")
		next.addJob("j", smallStep, true)
		if got := next.takeStarts(OutcomeDone)[0].Run; got <= last {
			t.Errorf("after %d starts up to run %d: the next owner starts run %d", starts, last, got)
		}
	}
}

// TestMisdirectedStart guards against starts that are repeated without a pause on a worker
// whose address another one has taken, or that has seen a higher epoch: each costs a run
// number and the bytes of the job.
func TestMisdirectedStart(t *testing.T) {
	tests := []struct {
		name    string
		outcome Outcome
		report  bool // the worker reports after the answer
		starts  int
	}{
		{"another worker at the address", OutcomeOtherIncarnation, false, 0},
		{"another worker was at the address", OutcomeOtherIncarnation, true, 1},
		{"higher epoch seen", OutcomeFenced, false, 0},
		{"late", OutcomeDeadlineExceeded, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.listWorkers("w1")
			f.addJob("j", smallStep, true)
			f.takeStarts(tt.outcome)
			if tt.report {
				f.now = f.now.Add(time.Millisecond)
				f.report("w1", nil, nil)
			}
			if n := len(f.takeStarts(OutcomeDone)); n != tt.starts {
				t.Errorf("%d starts after the answer, want %d", n, tt.starts)
			}
		})
	}
}

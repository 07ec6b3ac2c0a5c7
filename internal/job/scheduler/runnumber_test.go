package scheduler

import (
	"testing"

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

package worker

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// placedRun is a run with the worker that ran it.
type placedRun struct {
	worker unit.InstanceID
	run    Run
}

// CheckAudits reports every breach of the invariants that the audits of all
// workers show together: a worker that was committed beyond its capacity (P1), a
// task that ran twice at a time (P2), a request that ran although its caller was
// told that it had not (P6), and a non-idempotent request that ran more than
// once (P7). The wall times of the workers must be of one machine. notRun has
// the check ids of the requests that were reported as not run.
func CheckAudits(audits []Audit, notRun []string) error {
	var faults []error
	runs := map[unit.TaskID][]placedRun{}
	keys, checks := map[string]int{}, map[string]int{}
	for _, a := range audits {
		if a.Dropped > 0 {
			faults = append(faults, errors.Errorf("audit of %s lacks %d entries", a.Worker, a.Dropped))
		}
		if !a.Committed.Fits(a.Capacity) {
			faults = append(faults, errors.Errorf("P1: %s committed %+v of %+v", a.Worker, a.Committed, a.Capacity))
		}
		for _, run := range a.Runs {
			runs[run.Task] = append(runs[run.Task], placedRun{worker: a.Worker, run: run})
		}
		addCounts(keys, a.Keys)
		addCounts(checks, a.Checks)
	}
	for task, all := range runs {
		faults = append(faults, checkRuns(task, all)...)
	}
	for _, check := range notRun {
		if n := checks[check]; n > 0 {
			faults = append(faults, errors.Errorf("P6: request %s was reported as not run and ran %d times", check, n))
		}
	}
	for key, n := range keys {
		if n > 1 {
			faults = append(faults, errors.Errorf("P7: request with key %s ran %d times", key, n))
		}
	}
	return errors.Join(faults...)
}

// checkRuns reports the runs of one task that began before an earlier one ended.
func checkRuns(task unit.TaskID, all []placedRun) []error {
	slices.SortFunc(all, func(a, b placedRun) int {
		return cmp.Or(a.run.Start.Compare(b.run.Start), cmp.Compare(a.run.Attempt, b.run.Attempt))
	})
	var faults []error
	last := all[0] // the run so far that ends last
	for _, next := range all[1:] {
		if open := last.run.End.IsZero(); open || next.run.Start.Before(last.run.End) {
			faults = append(faults, errors.Errorf("P2: task %s: attempt %d on %s began at %s, before the end of attempt %d on %s (%s)",
				task, next.run.Attempt, next.worker, next.run.Start.Format(time.StampMicro),
				last.run.Attempt, last.worker, last.run.End.Format(time.StampMicro)))
			if open {
				continue
			}
		}
		if next.run.End.IsZero() || next.run.End.After(last.run.End) {
			last = next
		}
	}
	return faults
}

func addCounts(sum, counts map[string]int) {
	for id, n := range counts {
		sum[id] += n
	}
}

package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// maxVacateWait is how long short tasks that cannot resume from a checkpoint keep a
// worker from being vacant. After it they are left to start again elsewhere.
const maxVacateWait = 5 * time.Second

// Vacate sets the workers that are vacated for the upkeep of their machines: nothing
// starts there, and what can continue elsewhere is stopped. Workers that are not
// named are used again. It reports for each named worker whether it can exit without
// harm.
func (c *Core) Vacate(ids []unit.InstanceID, now time.Time) map[unit.InstanceID]bool {
	wanted := make(map[unit.InstanceID]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	vacant := map[unit.InstanceID]bool{}
	for id, w := range c.workers {
		switch {
		case !wanted[id]:
			w.vacatingSince = time.Time{}
			continue
		case w.vacatingSince.IsZero():
			w.vacatingSince = now
		}
		c.stopForUpkeep(w, now)
		vacant[id] = c.isVacant(w, now)
	}
	return vacant
}

// stopForUpkeep stops the runs on a worker that can continue elsewhere: those that
// save checkpoints, and long-running ones as far as their step permits.
func (c *Core) stopForUpkeep(w *worker, now time.Time) {
	for _, r := range w.runs {
		s := r.task.step
		switch {
		case r.phase != phaseRunning:
		case s.spec.LongRunning && s.canStopOneMore(now):
			c.stopRun(r, ReasonUpkeep)
		case !s.spec.LongRunning && s.spec.Checkpoints:
			c.stopRun(r, ReasonUpkeep)
		}
	}
}

// isVacant reports whether a worker can exit without harm to its runs. One that may still
// have runs of an earlier owner cannot.
func (c *Core) isVacant(w *worker, now time.Time) bool {
	if c.isUnresolved(w.id) {
		return false
	}
	for _, r := range w.runs {
		if r.task.step.spec.LongRunning || now.Sub(w.vacatingSince) < maxVacateWait {
			return false
		}
	}
	return true
}

// canStopOneMore reports whether one more task of a long-running step may be stopped.
// Every task that is not serving counts against the limit, whatever the cause.
func (s *step) canStopOneMore(now time.Time) bool {
	if s.spec.MaxUnavailable == 0 {
		return true // the step sets no limit
	}
	unavailable := 0
	for n := range s.tasks {
		if !s.tasks[n].isServing(now) {
			unavailable++
		}
	}
	return unavailable < s.spec.MaxUnavailable
}

// isServing reports whether a long-running task has a run that was working according to a
// recent report.
func (t *task) isServing(now time.Time) bool {
	for _, r := range t.runs {
		if r.phase == phaseRunning && r.progressPercent >= 100 && now.Sub(r.worker.reportRequestedAt) <= maxReportAge {
			return true
		}
	}
	return false
}

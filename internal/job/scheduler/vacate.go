package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// maxVacateWait is how long short tasks that cannot resume elsewhere keep a worker
// from being vacant. They start again after it.
const maxVacateWait = 5 * time.Second

// Vacate makes exactly the given workers be freed of what runs there, and returns
// those whose end would disturb nobody.
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
		c.stopForUpkeep(w)
		vacant[id] = c.isVacant(w, now)
	}
	return vacant
}

// stopForUpkeep stops what can go on elsewhere: tasks that save progress, and lasting ones
// as far as their step may miss them.
func (c *Core) stopForUpkeep(w *worker) {
	for _, r := range w.runs {
		s := r.task.step
		switch {
		case r.phase != phaseRunning:
		case s.spec.LongRunning && s.canStopOneMore():
			c.stopRun(r, ReasonUpkeep)
		case !s.spec.LongRunning && s.spec.Checkpoints:
			c.stopRun(r, ReasonUpkeep)
		}
	}
}

// isVacant reports whether the end of a worker disturbs nobody.
func (c *Core) isVacant(w *worker, now time.Time) bool {
	for _, r := range w.runs {
		if r.task.step.spec.LongRunning || now.Sub(w.vacatingSince) < maxVacateWait {
			return false
		}
	}
	return true
}

// canStopOneMore reports whether one more task of a lasting step may be stopped.
// Each task that is not at work counts, whatever the cause.
func (s *step) canStopOneMore() bool {
	if s.spec.MaxUnavailable == 0 {
		return true // nothing was asked for
	}
	away := 0
	for n := range s.tasks {
		if !s.tasks[n].isServing() {
			away++
		}
	}
	return away < s.spec.MaxUnavailable
}

// isServing reports whether a lasting task has a run that serves.
func (t *task) isServing() bool {
	for _, r := range t.runs {
		if r.phase == phaseRunning && r.progressPercent >= 100 {
			return true
		}
	}
	return false
}

package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// vacateLimit is how long short tasks that cannot resume elsewhere keep a worker
// from being vacant. They start again after it.
const vacateLimit = 5 * time.Second

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
			w.vacating = time.Time{}
			continue
		case w.vacating.IsZero():
			w.vacating = now
		}
		c.vacate(w)
		vacant[id] = c.vacant(w, now)
	}
	return vacant
}

// vacate stops what can go on elsewhere: tasks that save progress, and lasting ones
// as far as their step may miss them.
func (c *Core) vacate(w *worker) {
	for _, r := range w.runs {
		s := r.task.step
		switch {
		case r.phase != phaseRunning:
		case s.spec.LongRunning && s.mayMissOneMore():
			c.stop(r, ReasonUpkeep)
		case !s.spec.LongRunning && s.spec.Checkpoints:
			c.stop(r, ReasonUpkeep)
		}
	}
}

// vacant reports whether the end of a worker disturbs nobody.
func (c *Core) vacant(w *worker, now time.Time) bool {
	for _, r := range w.runs {
		if r.task.step.spec.LongRunning || now.Sub(w.vacating) < vacateLimit {
			return false
		}
	}
	return true
}

// mayMissOneMore reports whether one more task of a lasting step may be stopped.
// Each task that is not at work counts, whatever the cause.
func (s *step) mayMissOneMore() bool {
	if s.spec.MaxUnavailable == 0 {
		return true // nothing was asked for
	}
	away := 0
	for n := range s.tasks {
		if !s.tasks[n].atWork() {
			away++
		}
	}
	return away < s.spec.MaxUnavailable
}

// atWork reports whether a lasting task has a run that serves.
func (t *task) atWork() bool {
	for _, r := range t.runs {
		if r.phase == phaseRunning && r.percent >= 100 {
			return true
		}
	}
	return false
}

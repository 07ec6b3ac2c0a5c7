package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// image is the identity of an image, by which steps of the same one are compared.
type image struct{ name string }

// imageOf returns the image of a step; a step without one has its own.
func (c *Core) imageOf(s *graph.Step) *image {
	if s.Image == "" {
		return &image{}
	}
	i := c.images[s.Image]
	if i == nil {
		i = &image{name: s.Image}
		c.images[s.Image] = i
	}
	return i
}

// Times after which a run without progress counts as stalled. Progress is listed
// in whole percents, so a slow long task may stand still for a while.
const (
	minStallTime = 1500 * time.Millisecond
	// stallShare is the part of a task's estimated duration within which at
	// least one percent must pass, also on a slow worker.
	stallShare = 0.5
)

// checkRuns moves runs that make no progress away from their worker.
func (c *Core) checkRuns(w *worker, now time.Time) {
	if w.listing.Draining {
		c.drainWorker(w, now)
	}
	if !w.vacatingSince.IsZero() {
		c.stopForUpkeep(w)
	}
	if w.reportRequestedAt.IsZero() || now.Sub(w.reportRequestedAt) > maxReportAge {
		return // nothing is known of their progress
	}
	for _, r := range w.runs {
		s := r.task.step.spec
		if r.phase != phaseRunning || s.LongRunning || s.BestEffort || s.Gang {
			continue
		}
		limit := max(minStallTime, time.Duration(float64(s.Estimate)*stallShare))
		if now.Sub(r.progressedAt) > limit {
			r.task.avoidedWorker = w.id
			w.health.recordRefusal(now)
			c.stopRun(r, ReasonStalled)
		}
	}
}

// Bounds of moving a slowed run.
const (
	maxSlowedPace      = 40                      // percent; up to this pace a run is moved
	minSlowedTime      = 1200 * time.Millisecond // after which it is moved
	minRelocationSpeed = 0.7                     // expected speed elsewhere that is worth it
)

// relocateInterval is the time between two looks at slowed runs.
const relocateInterval = 400 * time.Millisecond

// maxRelocationsPerPass bounds the runs that are moved at one look, as each changes what
// the next can expect elsewhere.
const maxRelocationsPerPass = 8

func (c *Core) relocateSlowedRuns(now time.Time) {
	moves := 0
	for _, w := range c.workers {
		for _, r := range w.runs {
			s := r.task.step.spec
			if s.BestEffort && s.Checkpoints && r.phase == phaseRunning && c.relocate(r, now) {
				if moves++; moves == maxRelocationsPerPass {
					return
				}
			}
		}
	}
}

// relocate moves a filling run that was slowed for some time to a worker where it
// disturbs nobody, if there is one.
func (c *Core) relocate(r *run, now time.Time) bool {
	if r.pacePercent > maxSlowedPace || now.Sub(r.paceSetAt) < minSlowedTime || r.progressPercent > 90 {
		return false
	}
	for _, w := range c.workersByService[r.task.job().spec.Queue.Service] {
		if w != r.worker && c.eligible(w, r.task, now) && w.fits(r.task.step.spec) &&
			c.bestEffortSpeed(w, r.task.step, now) >= minRelocationSpeed {
			c.stopRun(r, ReasonSlowed)
			return true
		}
	}
	return false
}

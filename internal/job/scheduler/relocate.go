package scheduler

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// image identifies an image; steps of the same image share one pointer.
type image struct {
	name  string
	index int // among the named images; noIndex without a name
	steps int // that have the image
	// addedPressures caches, for a serving image, the pressure that best-effort images add
	// for each share of the cores, by their index.
	addedPressures imageShares
}

// noIndex is the index of images without a name.
const noIndex = -1

// imageOf returns the image of a step. A step without one gets an image of its own.
func (c *Core) imageOf(s *graph.Step) *image {
	if s.Image == "" {
		return &image{index: noIndex}
	}
	i := c.images[s.Image]
	if i == nil {
		i = &image{name: s.Image, index: c.nextImageIndex()}
		c.images[s.Image] = i
	}
	i.steps++
	return i
}

// nextImageIndex returns an index that no image has.
func (c *Core) nextImageIndex() int {
	if last := len(c.freeIndexes) - 1; last >= 0 {
		index := c.freeIndexes[last]
		c.freeIndexes = c.freeIndexes[:last]
		return index
	}
	c.imageIndexes++
	return c.imageIndexes - 1
}

// releaseImage forgets an image with the last step that has it.
func (c *Core) releaseImage(i *image) {
	if i.index == noIndex {
		return
	}
	if i.steps--; i.steps == 0 {
		delete(c.images, i.name)
		c.releasedIndexes = append(c.releasedIndexes, i.index)
	}
}

// Times after which a run without progress is considered stalled. Progress is reported
// in whole percents, so a long task on a slow worker may show none for a while.
const (
	minStallTime = 1500 * time.Millisecond
	// stallShare is the share of a task's estimated duration within which at least
	// one percent of progress must be made, even on a slow worker.
	stallShare = 0.5
)

// checkRuns stops the runs on a worker that should continue elsewhere: on a draining
// worker and on one that is vacated.
func (c *Core) checkRuns(w *worker, now time.Time) {
	if w.listing.Draining {
		c.drainWorker(w, now)
	}
	if !w.vacatingSince.IsZero() {
		c.stopForUpkeep(w, now)
	}
}

// stopStalledRuns stops the runs that a report, requested at requestedAt, shows without
// progress. They continue on other workers.
func (c *Core) stopStalledRuns(w *worker, requestedAt, now time.Time) {
	for _, r := range w.runList {
		s := r.task.step.spec
		if !r.listed || r.phase != phaseRunning || s.LongRunning || s.BestEffort || s.Gang {
			continue
		}
		limit := max(minStallTime, time.Duration(float64(s.Estimate)*stallShare))
		if requestedAt.Sub(r.progressedAt) > limit {
			r.task.avoidedWorker = w.id
			w.health.recordRefusal(now)
			c.stopRun(r, ReasonStalled)
		}
	}
}

// Conditions for the relocation of a slowed run.
const (
	maxSlowedPace      = 40                      // percent; runs at a higher pace stay
	minSlowedTime      = 1200 * time.Millisecond // time since the pace was set
	minSlowedTimeShort = 900 * time.Millisecond  // while capacity is short; later than paceEffectDelay
	minRelocationSpeed = 0.7                     // expected speed on the other worker that is worth the move
)

// relocateInterval is the time between two relocation passes.
const relocateInterval = 400 * time.Millisecond

// maxRelocationsPerPass bounds the relocations of one pass, since each one changes the
// speed that the next can expect on other workers.
const maxRelocationsPerPass = 8

// workersPerRelocation bounds the relocations of one pass on a large fleet while capacity is
// short, when the number of slowed runs grows with that of the workers.
const workersPerRelocation = 16

// maxRelocations returns the largest number of relocations of a pass.
func (c *Core) maxRelocations(now time.Time) int {
	if !c.isShort(now) {
		return maxRelocationsPerPass
	}
	return max(maxRelocationsPerPass, len(c.workers)/workersPerRelocation)
}

// minSlowed returns the time since the pace of a run was set after which it may be relocated.
func (c *Core) minSlowed(now time.Time) time.Duration {
	if c.isShort(now) {
		return minSlowedTimeShort
	}
	return minSlowedTime
}

// relocateSlowedRuns stops slowed best-effort runs that can work faster elsewhere.
func (c *Core) relocateSlowedRuns(now time.Time) {
	moves, most := 0, c.maxRelocations(now)
	noWorker := map[*step]bool{} // steps for which no worker is fast enough
	for _, r := range c.slowedRuns(now) {
		if noWorker[r.task.step] {
			continue
		}
		if !c.canRunFaster(r, now) {
			noWorker[r.task.step] = true
			continue
		}
		c.stopRun(r, ReasonSlowed)
		if moves++; moves == most {
			return
		}
	}
}

// slowedRuns returns the runs that may be relocated. While capacity is short, those of
// occurrences that go first come first: a step is as late as its last task.
func (c *Core) slowedRuns(now time.Time) []*run {
	var slowed []*run
	var steps []*step
	minSlowed := c.minSlowed(now)
	for _, w := range c.workers {
		for _, r := range w.runList {
			if r.mayRelocate(minSlowed, now) {
				slowed = append(slowed, r)
				steps = append(steps, r.task.step)
			}
		}
	}
	if !c.isShort(now) {
		return slowed
	}
	c.assess(steps, now)
	slices.SortStableFunc(slowed, func(a, b *run) int { return comparePlaces(a.task.step, b.task.step) })
	return slowed
}

// mayRelocate reports whether a run is a best-effort run that has been slowed for at least
// minSlowed and can continue from a checkpoint.
func (r *run) mayRelocate(minSlowed time.Duration, now time.Time) bool {
	s := r.task.step.spec
	return s.BestEffort && s.Checkpoints && r.phase == phaseRunning &&
		r.pacePercent <= maxSlowedPace && now.Sub(r.paceSetAt) >= minSlowed && r.progressPercent <= 90 && !r.exceedsQuota()
}

// canRunFaster reports whether another worker can run the task of a run at a good speed
// without disturbing serving tasks.
func (c *Core) canRunFaster(r *run, now time.Time) bool {
	for _, w := range c.workersByService[r.task.job().spec.Queue.Service] {
		if w != r.worker && w.fits(r.task.step.spec) && c.eligible(w, r.task, now) &&
			c.bestEffortSpeed(w, r.task.step, now) >= minRelocationSpeed {
			return true
		}
	}
	return false
}

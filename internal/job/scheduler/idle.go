package scheduler

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// clock returns the latest time that the core knows, for events that bring none. Ticks come
// each 50 ms, and placement passes more often.
func (c *Core) clock() time.Time {
	if c.lastPlacement.After(c.lastTick) {
		return c.lastPlacement
	}
	return c.lastTick
}

// isIdle reports whether tasks of a ready step wait and none runs.
func (s *step) isIdle() bool { return len(s.waiting) > 0 && s.activeRuns == 0 }

// markIdle records that a step has nothing running any more.
func (c *Core) markIdle(s *step) { s.idleSince = c.clock() }

// idleFor returns for how long an idle step has had nothing running although its turn has
// come. After a takeover that is counted from the takeover, as an earlier owner may have ended a
// run just before, unless the job has never started.
func (s *step) idleFor(now time.Time) time.Duration { return max(now.Sub(s.idleSince), 0) }

// maxExplainedSteps bounds the idle steps for which it is found out what keeps them from
// starting, as that goes over all workers.
const maxExplainedSteps = 32

// addIdle adds to a summary how long ready steps have been idle, and what keeps those that
// fill and have been idle for longest.
func (c *Core) addIdle(s *Stats, now time.Time) {
	s.LongestIdle = map[graph.QueueID]time.Duration{}
	var filling []*step
	for _, ready := range c.readySteps {
		if !ready.isIdle() || ready.occurrence.job.final != 0 {
			continue
		}
		s.Idle++
		queue := ready.occurrence.job.spec.Queue.ID
		if idle := ready.idleFor(now); idle > s.LongestIdle[queue] {
			s.LongestIdle[queue] = idle
		}
		if ready.spec.BestEffort {
			filling = append(filling, ready)
		}
	}
	slices.SortFunc(filling, func(a, b *step) int { return a.idleSince.Compare(b.idleSince) })
	for _, f := range filling[:min(len(filling), maxExplainedSteps)] {
		switch best, alone := c.bestSpeeds(f, now); {
		case best >= minSpeed:
		case alone >= minSpeed:
			s.Crowded++
		default:
			s.Blocked++
		}
	}
}

// bestSpeeds returns the highest speed that a worker offers to a best-effort step, and the
// highest that one would offer without the best-effort tasks that it has.
func (c *Core) bestSpeeds(s *step, now time.Time) (best, alone float64) {
	for _, w := range c.workersByService[s.occurrence.job.spec.Queue.Service] {
		if !c.isOpen(w, now) {
			continue
		}
		best, alone = max(best, c.bestEffortSpeed(w, s, now)), max(alone, c.speedAlone(w, s, now))
	}
	return best, alone
}

// speedAlone returns the expected speed of a task of a best-effort step on a worker once the
// best-effort tasks that run there have ended.
func (c *Core) speedAlone(w *worker, s *step, now time.Time) float64 {
	view := c.bestEffortViewOf(w, now)
	need := max(s.spec.Needs.Cores, 1)
	allowed := 1.0
	for _, serving := range view.headrooms {
		headroom := serving.headroom
		for _, r := range w.runList {
			if r.task.step.spec.BestEffort && r.phase != phaseStopping {
				headroom += c.addedPressure(serving.step, r.task.step, w.usedShare(r))
			}
		}
		if headroom <= 0 {
			return 0
		}
		if perShare := c.addedPressure(serving.step, s, 1); perShare > 0 {
			allowed = min(allowed, float64(headroom/perShare))
		}
	}
	return min(1, float64(view.available)/float64(need), allowed/w.shareOf(need))
}

package scheduler

import "time"

// slowStartShare is the share of the best speed that any worker can offer to a step at which its
// tasks start if that speed is below minSpeed.
const slowStartShare = 0.85

// leastSpeed returns the expected speed below which a best-effort task waits.
func (s *step) leastSpeed() float64 {
	if s.slowStart {
		return s.slowSpeed
	}
	return minSpeed
}

// acceptSlowStart lets a best-effort step start below minSpeed if no worker offers that even
// without other best-effort tasks, because a task asks for more cores than any worker has, or
// because all serving tasks are near their targets. Otherwise it would never start.
// It reports whether that is so.
func (c *Core) acceptSlowStart(s *step, t *task, now time.Time) bool {
	s.slowStart = false
	if !s.spec.BestEffort {
		return false
	}
	best, found := 0.0, false
	for _, w := range c.workersByService[s.occurrence.job.spec.Queue.Service] {
		if c.mayReserveFor(w, t, now) && reservedResources(s.spec).Fits(w.roomAlone(s)) {
			best, found = max(best, c.speedAlone(w, s, now)), true
		}
	}
	s.slowStart, s.slowSpeed = found && best < minSpeed, slowStartShare*best
	return s.slowStart
}

// startPace returns the pace in percent at which a task of a step starts on a worker. It is below
// 100 for a best-effort task that serving tasks there leave less than its full speed.
func (c *Core) startPace(w *worker, s *step, now time.Time) int {
	if !s.slowStart {
		return 100
	}
	allowed := c.allowedShare(w, s, now) / w.shareOf(max(s.spec.Needs.Cores, 1))
	return min(max(int(100*allowed), minPace), 100)
}

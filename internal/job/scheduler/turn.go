package scheduler

import (
	"slices"
	"time"
)

// starvationTime is for how long a step has nothing running although its turn has come before
// it gets turns among all others. Most jobs are of use for longer, so that turns take little
// from those that can still be in time.
const starvationTime = 20 * time.Second

// startsPerTurn is how many starts of others earn a turn for a starved step, so that turns take
// at most one start of nine.
const startsPerTurn = 8

// turnRetryDelay is for how long a step leaves its turn to others that can start on no worker.
const turnRetryDelay = time.Second

// maxTurnsExamined bounds the starved steps of which one pass finds out whether a worker could
// take them.
const maxTurnsExamined = 16

// turns lets the starved steps of a service start tasks before all others, whatever their
// priority, organisation and lateness. Without it a step waits for as long as others that go
// before it arrive.
type turns struct {
	credit  float64 // turns that the starts of others have earned
	starved []*step // reused by assignTurns
	due     []*step // whose turn it is
}

// turnsOf returns the turns of the service of a step.
func (c *Core) turnsOf(s *step) *turns {
	service := s.occurrence.job.spec.Queue.Service
	t := c.turns[service]
	if t == nil {
		t = &turns{}
		c.turns[service] = t
	}
	return t
}

// assignTurns finds the steps whose turn it is: of those of a service that are starved the ones
// that have had nothing running for longest.
func (c *Core) assignTurns(now time.Time) {
	for _, t := range c.turns {
		for _, s := range t.due {
			s.inTurn = false
		}
		t.due, t.starved = t.due[:0], t.starved[:0]
	}
	for _, s := range c.readySteps {
		if c.isStarved(s, now) {
			t := c.turnsOf(s)
			t.starved = append(t.starved, s)
		}
	}
	for _, t := range c.turns {
		c.assignTurnsOf(t, now)
	}
}

func (c *Core) assignTurnsOf(t *turns, now time.Time) {
	if len(t.starved) == 0 {
		t.credit = 0
		return
	}
	slices.SortStableFunc(t.starved, func(a, b *step) int { return a.idleSince.Compare(b.idleSince) })
	for examined, s := range t.starved {
		if len(t.due) >= int(t.credit) || examined == maxTurnsExamined {
			return
		}
		if len(s.reserved) == 0 && !c.couldStart(s, now) {
			s.turnRetryAt = now.Add(turnRetryDelay)
			continue
		}
		s.inTurn = true
		for _, w := range s.reserved {
			w.reservedFromLate = false
		}
		t.due = append(t.due, s)
	}
}

// isStarved reports whether a step has had nothing running for starvationTime although its turn
// has come.
func (c *Core) isStarved(s *step, now time.Time) bool {
	return s.isIdle() && !s.spec.LongRunning && s.idleFor(now) >= starvationTime && !now.Before(s.turnRetryAt) &&
		s.occurrence.job.final == 0 && s.nextTask(now) != nil && !(s.spec.Gang && len(s.waiting) != s.remaining) &&
		c.countHeldBack(s) < len(s.waiting) && !c.isHeldBack(s, now)
}

// couldStart reports whether a step could start once the short runs on its workers have ended.
func (c *Core) couldStart(s *step, now time.Time) bool {
	if s.spec.Gang {
		return c.chooseGangAlone(s, now) != nil
	}
	t := s.nextTask(now)
	return slices.ContainsFunc(c.workersByService[s.occurrence.job.spec.Queue.Service], func(w *worker) bool {
		return c.mayReserveFor(w, t, now) && reservedResources(s.spec).Fits(w.roomAlone(s))
	})
}

// countStart records a start of a step, with all members if it is a gang. It uses up the turn of
// the step, or earns a part of one for those that are starved.
func (c *Core) countStart(s *step) {
	s.slowStart = false
	t := c.turnsOf(s)
	switch {
	case s.inTurn:
		s.inTurn = false
		t.credit--
	case !s.spec.LongRunning:
		t.credit = min(t.credit+1.0/startsPerTurn, float64(c.maxReserved(s)))
	}
}

package scheduler

import (
	"cmp"
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

// turnRetryDelay is how long a step that could neither start in its turn nor reserve a worker
// leaves its turn to others.
const turnRetryDelay = time.Second

// turns lets starved steps start tasks before all others, whatever their priority, organisation
// and lateness. Without it a step waits for as long as others that go before it arrive.
type turns struct {
	credit  float64 // turns that the starts of others have earned
	starved []*step // reused by assignTurns
	due     []*step // whose turn it is
}

// assignTurns finds the steps whose turn it is: of those that are starved the ones that have
// had nothing running for longest.
func (c *Core) assignTurns(now time.Time) {
	t := &c.turns
	for _, s := range t.due {
		s.inTurn = false
	}
	t.due, t.starved = t.due[:0], t.starved[:0]
	for _, s := range c.readySteps {
		if c.isStarved(s, now) {
			t.starved = append(t.starved, s)
		}
	}
	if len(t.starved) == 0 {
		t.credit = 0
		return
	}
	n := min(int(t.credit), len(t.starved))
	if n == 0 {
		return
	}
	slices.SortStableFunc(t.starved, func(a, b *step) int { return cmp.Compare(c.idleFor(b, now), c.idleFor(a, now)) })
	for _, s := range t.starved[:n] {
		s.inTurn = true
		t.due = append(t.due, s)
	}
}

// isStarved reports whether a step has had nothing running for starvationTime although a task
// of it could start on some worker.
func (c *Core) isStarved(s *step, now time.Time) bool {
	return s.isIdle() && !s.spec.LongRunning && c.idleFor(s, now) >= starvationTime && !now.Before(s.turnRetryAt) &&
		s.occurrence.job.final == 0 && s.nextTask(now) != nil && !(s.spec.Gang && len(s.waiting) != s.remaining) &&
		c.countHeldBack(s) < len(s.waiting) && !c.isHeldBack(s, now)
}

// countStart records a start of a step, with all members if it is a gang. It uses up the turn of
// the step, or earns a part of one for those that are starved.
func (c *Core) countStart(s *step) {
	s.slowStart = false
	switch {
	case s.inTurn:
		s.inTurn = false
		c.turns.credit--
	case !s.spec.LongRunning:
		c.turns.credit = min(c.turns.credit+1.0/startsPerTurn, float64(c.maxReserved(s)))
	}
}

// passTurns lets others have the turns of steps that could do nothing with theirs.
func (c *Core) passTurns(now time.Time) {
	for _, s := range c.turns.due {
		if s.inTurn && len(s.reserved) == 0 {
			s.turnRetryAt = now.Add(turnRetryDelay)
		}
	}
}

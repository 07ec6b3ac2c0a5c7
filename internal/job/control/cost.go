package control

import (
	"time"
)

const (
	// standingCost is the price of throttling a replica: its target is to stay
	// alive, which throttling does not break.
	standingCost = 4.0
	// costDoublingWork is the work whose loss doubles the price of a task.
	costDoublingWork = 5 * time.Minute
	// maxDeadlineFactor bounds the price of a task whose deadline is close or past.
	maxDeadlineFactor = 20.0
)

// disruptionCost returns what acting on a task costs its own target, where 1 is a task
// with all the time it wants. It grows as the time left nears the deadline.
func disruptionCost(now time.Time, t Task) float64 {
	cost := 1.0
	if t.Standing {
		cost = standingCost
		if t.Surplus <= 0 {
			cost *= 2
		}
	}
	if !t.Deadline.IsZero() && t.Remaining > 0 {
		slack := 1 - t.Remaining.Seconds()/max(t.Deadline.Sub(now).Seconds(), 1)
		cost *= 1 / max(slack, 1/maxDeadlineFactor)
	}
	if !t.Checkpointable {
		cost *= 1 + t.UnsavedWork.Seconds()/costDoublingWork.Seconds()
	}
	return cost
}

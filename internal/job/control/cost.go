package control

import (
	"time"
)

const (
	// standingCost is the cost of throttling a replica. Throttling does not violate
	// the target of a replica, which is to keep running.
	standingCost = 4.0
	// costDoublingWork is the amount of unsaved work that doubles the cost of a
	// task that cannot write a checkpoint.
	costDoublingWork = 5 * time.Minute
	// maxDeadlineFactor bounds the factor by which a close or missed deadline
	// raises the cost of a task.
	maxDeadlineFactor = 20.0
)

// disruptionCost returns how much an action on a task endangers the task's own
// target. It is 1 for a task without time pressure and grows as the remaining run
// time approaches the time to the deadline. The reasons of actions call it price.
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

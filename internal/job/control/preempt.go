package control

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// PendingTask is a task without a worker whose own target is missed or about to be
// missed: a missing replica, or a batch task that is due to start. The reasons of
// actions call it a claim.
type PendingTask struct {
	Class    unit.ClassID
	Size     unit.Resources
	Standing bool
	// Due is the latest start that meets the target of the class.
	Due time.Time
}

// Candidate is a worker on which the pending task may run.
type Candidate struct {
	ID    unit.InstanceID
	Free  unit.Resources
	Tasks []Task
}

// preemptionLead is how long before the due time of a pending task others are
// preempted for it. A checkpoint, its report and the start take about as long.
const preemptionLead = 5 * time.Second

// Preempt returns the evictions that free enough resources for a pending task, on
// the candidate where their total disruption cost is lowest. It returns none if
// that cost is not below the limit for the task, if the task is not due yet, or if
// it already fits on a candidate.
func Preempt(now time.Time, pending PendingTask, candidates []Candidate) []Action {
	maxCost := 2 * standingCost
	if !pending.Standing {
		if now.Before(pending.Due.Add(-preemptionLead)) {
			return nil
		}
		maxCost = standingCost
	}
	var chosen []Task
	lowestCost := maxCost
	var chosenWorker Candidate
	for _, c := range candidates {
		if pending.Size.Fits(c.Free) {
			return nil
		}
		if victims, cost := cheapestVictims(now, pending.Size, c); len(victims) > 0 && cost < lowestCost {
			chosen, lowestCost, chosenWorker = victims, cost, c
		}
	}
	var actions []Action
	for _, t := range chosen {
		kind := worker.ActionCheckpoint
		if !t.Checkpointable {
			kind = worker.ActionStop
		}
		actions = append(actions, Action{
			Worker: chosenWorker.ID, Ref: t.Ref, Class: t.Class, ForClass: pending.Class, Kind: kind,
			Reason: fmt.Sprintf("%s has a task without a worker; room on %s costs %.1f, the least of %d workers, and the claim is worth %.1f; makes way: %s",
				pending.Class, chosenWorker.ID, lowestCost, len(candidates), maxCost, describeTasks(chosen)),
		})
	}
	return actions
}

// cheapestVictims returns tasks of a candidate whose eviction makes a size fit,
// chosen in order of cost, and their total cost. It returns none if evicting every
// evictable task does not free enough.
func cheapestVictims(now time.Time, size unit.Resources, c Candidate) ([]Task, float64) {
	var evictable []scoredTask
	for _, t := range c.Tasks {
		if !t.Standing || t.Surplus > 0 {
			evictable = append(evictable, scoredTask{Task: t, cost: disruptionCost(now, t)})
		}
	}
	slices.SortStableFunc(evictable, func(a, b scoredTask) int { return cmp.Compare(a.cost, b.cost) })
	var chosen []scoredTask
	free := c.Free
	for _, v := range evictable {
		if size.Fits(free) {
			break
		}
		free = free.Add(v.Size)
		chosen = append(chosen, v)
	}
	if !size.Fits(free) {
		return nil, 0
	}
	// A cheap task chosen first may be unnecessary once a larger one is chosen too.
	var kept []Task
	totalCost := 0.0
	for _, v := range slices.Backward(chosen) {
		if remaining := free.Sub(v.Size); len(chosen) > 1 && size.Fits(remaining) {
			free = remaining
			continue
		}
		kept = append(kept, v.Task)
		totalCost += v.cost
	}
	return kept, totalCost
}

func describeTasks(tasks []Task) string {
	var descriptions []string
	for _, t := range tasks {
		descriptions = append(descriptions, string(t.Class)+" "+t.Ref.Task.String())
	}
	return strings.Join(descriptions, ", ")
}

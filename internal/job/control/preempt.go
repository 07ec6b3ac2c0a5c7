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

// PendingTask is a waiting task whose own target is missed or about to be: a missing
// replica, or a batch task that is due to start.
type PendingTask struct {
	Class    unit.ClassID
	Size     unit.Resources
	Standing bool
	Due      time.Time // latest start by the target of its class
}

// Candidate is a worker on which the claim may run.
type Candidate struct {
	ID    unit.InstanceID
	Free  unit.Resources
	Tasks []Task
}

// preemptionLead is the time before a claim is due at which room is made: a
// checkpoint, its report and the start take about as long.
const preemptionLead = 5 * time.Second

// Preempt returns the evictions that make room for a claim on the host where they
// cost least by the targets of the victims, or none if that is more than the
// claim is worth, or if the claim has time or fits somewhere already.
func Preempt(now time.Time, c PendingTask, hosts []Candidate) []Action {
	worth := 2 * standingCost
	if !c.Standing {
		if now.Before(c.Due.Add(-preemptionLead)) {
			return nil
		}
		worth = standingCost
	}
	var best []Task
	least := worth
	var at Candidate
	for _, h := range hosts {
		if c.Size.Fits(h.Free) {
			return nil
		}
		if victims, cost := cheapestVictims(now, c.Size, h); len(victims) > 0 && cost < least {
			best, least, at = victims, cost, h
		}
	}
	var actions []Action
	for _, t := range best {
		kind := worker.ActionCheckpoint
		if !t.Checkpointable {
			kind = worker.ActionStop
		}
		actions = append(actions, Action{
			Worker: at.ID, Ref: t.Ref, Class: t.Class, ForClass: c.Class, Kind: kind,
			Reason: fmt.Sprintf("%s has a task without a worker; room on %s costs %.1f, the least of %d workers, and the claim is worth %.1f; makes way: %s",
				c.Class, at.ID, least, len(hosts), worth, describeTasks(best)),
		})
	}
	return actions
}

// cheapestVictims returns tasks of a host whose end makes a size fit, chosen by price,
// and their total price. It returns none if all of them do not suffice.
func cheapestVictims(now time.Time, size unit.Resources, h Candidate) ([]Task, float64) {
	var able []scoredTask
	for _, t := range h.Tasks {
		if !t.Standing || t.Surplus > 0 {
			able = append(able, scoredTask{Task: t, cost: disruptionCost(now, t)})
		}
	}
	slices.SortStableFunc(able, func(a, b scoredTask) int { return cmp.Compare(a.cost, b.cost) })
	var chosen []scoredTask
	free := h.Free
	for _, v := range able {
		if size.Fits(free) {
			break
		}
		free = free.Add(v.Size)
		chosen = append(chosen, v)
	}
	if !size.Fits(free) {
		return nil, 0
	}
	// A cheap task chosen first may be needless beside a larger one chosen later.
	var kept []Task
	total := 0.0
	for _, v := range slices.Backward(chosen) {
		if rest := free.Sub(v.Size); len(chosen) > 1 && size.Fits(rest) {
			free = rest
			continue
		}
		kept = append(kept, v.Task)
		total += v.cost
	}
	return kept, total
}

func describeTasks(tasks []Task) string {
	var all []string
	for _, t := range tasks {
		all = append(all, string(t.Class)+" "+t.Ref.Task.String())
	}
	return strings.Join(all, ", ")
}

package scheduler

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// preemptInterval is the least time between two preemptions. A stop takes about as
// long to free capacity.
const preemptInterval = 150 * time.Millisecond

// preempt frees capacity for a task by stopping runs of lower priority that can
// resume from a checkpoint. It picks the worker where the fewest must stop, and
// there the latest started first. One worker is preempted at a time. A task that fits on
// no worker, even an empty one, leaves the turn to others.
func (c *Core) preempt(t *task, now time.Time) {
	if !c.policy.mayStopRuns() || t.step.spec.BestEffort || t.step.beyondRate() || now.Sub(c.lastPreemption) < preemptInterval || now.Before(t.step.preemptRetryAt) {
		return
	}
	fits := false
	var best []*run
	for _, w := range c.workersByService[t.job().spec.Queue.Service] {
		if !c.eligible(w, t, now) || w.health.isQuarantined(now) {
			continue
		}
		fits = fits || reservedResources(t.step.spec).Fits(w.listing.Capacity)
		victims, stopping := w.victims(t)
		if stopping {
			c.lastPreemption = now // capacity is about to be freed
			return
		}
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	if !fits {
		t.step.preemptRetryAt = now.Add(preemptInterval)
		return
	}
	c.lastPreemption = now
	for _, r := range best {
		c.stopRun(r, ReasonPreempted)
	}
}

// victims returns the runs to stop so that the task fits on the worker, or nil if
// that is impossible. stopping says that runs which are already being stopped will
// free enough capacity.
func (w *worker) victims(t *task) (victims []*run, stopping bool) {
	need := reservedResources(t.step.spec)
	free := w.listing.Capacity.Sub(w.used)
	var candidates []*run
	for _, r := range w.runList {
		s := r.task.step.spec
		if r.phase == phaseStopping {
			free = free.Add(reservedResources(s))
		} else if s.Checkpoints && !s.LongRunning && r.phase == phaseRunning &&
			r.task.job().spec.Queue.Priority > t.job().spec.Queue.Priority {
			candidates = append(candidates, r)
		}
	}
	if need.Fits(free) {
		return nil, true
	}
	slices.SortFunc(candidates, func(a, b *run) int { return b.orderedAt.Compare(a.orderedAt) })
	for _, r := range candidates {
		victims = append(victims, r)
		free = free.Add(reservedResources(r.task.step.spec))
		if need.Fits(free) {
			return victims, false
		}
	}
	return nil, false
}

// reservedResources returns the resources that are reserved for a task of a step.
// Best-effort tasks reserve no cores, as they use those that others leave.
func reservedResources(s *graph.Step) unit.Resources {
	n := s.Needs
	if s.BestEffort {
		n.Cores = 0
	}
	return n
}

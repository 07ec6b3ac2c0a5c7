package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/control"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// runningTasks returns the running tasks in order of their workers. Tasks that are being
// evicted are left out.
func (c *Core) runningTasks(now time.Time) []control.Task {
	surplus := c.surplus(now)
	attempts := slices.SortedFunc(maps.Values(c.attempts), func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.worker, b.worker), a.started.Compare(b.started),
			cmp.Compare(a.ref.Task.Job, b.ref.Task.Job), cmp.Compare(a.ref.Task.Index, b.ref.Task.Index))
	})
	var tasks []control.Task
	for _, a := range attempts {
		if a.ended || a.evicting(now) {
			continue
		}
		class := c.classes[a.class]
		t := control.Task{
			Ref: a.ref, Worker: a.worker, Class: a.class, Size: a.size, Share: a.share,
			Standing: class.Kind == spec.KindStanding, Surplus: surplus[a.class],
		}
		timing := TaskTiming{Started: a.started, Finish: class.Target.Finish.Std()}
		if j := c.jobs[a.ref.Task.Job]; j != nil {
			timing.DeclaredWork, timing.Submitted = j.Work.Std(), time.UnixMilli(j.Time)
			if j.ID == "" {
				timing.Finish = 0 // the time of submission is not known
			}
		}
		tasks = append(tasks, timing.Estimate(now, t, c.sizes))
	}
	return tasks
}

// evicting reports whether an eviction of the attempt may still be in progress.
func (a *attempt) evicting(now time.Time) bool {
	return !a.evictedAt.IsZero() && now.Sub(a.evictedAt) < evictionTimeout
}

// surplus returns for each standing class how many running replicas it has above its
// target; negative if it has too few. The target counts for the whole zone and the
// replicas only for this shard, so the result is at most the true surplus.
func (c *Core) surplus(now time.Time) map[unit.ClassID]int {
	surplus := map[unit.ClassID]int{}
	for name, class := range c.classes {
		if class.Kind == spec.KindStanding {
			surplus[name] = -class.Target.Replicas
		}
	}
	for _, a := range c.attempts {
		if _, ok := surplus[a.class]; ok && !a.ended && !a.evicting(now) {
			surplus[a.class]++
		}
	}
	return surplus
}

// preempt returns the evictions of tasks that free resources for one replica without a
// worker: of the first class by name that evictions can help.
func (c *Core) preempt(now time.Time, tasks []control.Task) []control.Action {
	if len(c.pendingReplicas) == 0 || now.Sub(c.lastPreemption) < preemptionInterval {
		return nil
	}
	tasks = slices.DeleteFunc(slices.Clone(tasks), func(t control.Task) bool {
		_, quarantined := c.index.QuarantinedUntil(t.Worker)
		return quarantined || !c.workers[t.Worker].open || !c.loop.Settled(now, t.Worker)
	})
	candidates := Candidates(tasks, c.index.Free)
	for _, class := range slices.Sorted(maps.Keys(c.pendingReplicas)) {
		pending := control.PendingTask{Class: class, Size: c.pendingReplicas[class], Standing: true}
		if actions := control.Preempt(now, pending, candidates); len(actions) > 0 {
			c.lastPreemption = now
			c.loop.RecordAction(now, actions[0].Worker)
			return actions
		}
	}
	return nil
}

// applyActions records the actions and returns them without the evictions that would
// take a standing class below its target. The loop can return too many, since it
// decides for each worker separately.
func (c *Core) applyActions(now time.Time, actions []control.Action) []control.Action {
	surplus := c.surplus(now)
	kept := actions[:0]
	for _, action := range actions {
		a := c.attempts[action.Ref]
		if action.Kind == worker.ActionThrottle {
			a.shareOrdered = true
			c.setShare(now, a, action.Share)
		} else {
			if n, standing := surplus[action.Class]; standing && n <= 0 {
				continue
			}
			surplus[action.Class]--
			a.evictedAt = now
		}
		kept = append(kept, action)
	}
	return kept
}

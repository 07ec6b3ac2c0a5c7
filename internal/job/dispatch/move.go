package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
)

// markDirty marks a job whose record may need a write.
func (c *Core) markDirty(j *job) {
	if !j.recordDirty {
		j.recordDirty = true
		c.dirtyJobs = append(c.dirtyJobs, j.id)
	}
}

// markMovingJobs marks the jobs with moving tasks, whose target shard may have
// changed.
func (c *Core) markMovingJobs() {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		for _, t := range j.tasks {
			if t.State == ledger.StateMoving {
				c.markDirty(j)
				break
			}
		}
	}
}

// nextMoveTarget returns the shard to which the next tasks are moved, or the zero
// value if there is none.
func (c *Core) nextMoveTarget() unit.ShardID {
	if len(c.moveTargets) == 0 {
		return unit.ShardID{}
	}
	return c.moveTargets[c.moveRotation%len(c.moveTargets)]
}

// moveBlocked moves tasks that could not be placed here for the move delay.
func (c *Core) moveBlocked(j *job) {
	pending := c.queue.Pending(j.id)
	if j.blockedSince.IsZero() || len(pending) == 0 || j.parkedReason != "" {
		return
	}
	delay := moveDelay
	if c.shardLargest.OversizeReason(j.record.Job.Size) != "" {
		delay = moveDelayOversize
	}
	if hops := c.hops(j, pending[0]); c.now.Sub(j.blockedSince) >= delay<<hops {
		c.moveTasks(j, min(len(pending), moveBatch), 1, "no room")
		j.blockedSince = c.now
	}
}

// hops returns how often a task was moved for lack of a worker, at most maxHops.
func (c *Core) hops(j *job, i unit.TaskIndex) uint8 {
	if t := j.tasks[i]; t != nil {
		return t.Hops
	}
	carried, _ := j.record.MovedTask(i)
	return carried.Hops
}

// moveTasks starts the move of the first n pending tasks of a job to other
// shards.
func (c *Core) moveTasks(j *job, n int, hops uint8, why string) {
	if n == 0 || len(c.moveTargets) == 0 {
		return
	}
	for k, i := range slices.Clone(c.queue.Pending(j.id)[:n]) {
		if k%moveBatch == 0 {
			c.moveRotation++
		}
		c.queue.RemoveTask(unit.TaskID{Job: j.id, Index: i})
		t := c.ensureTask(j, i)
		t.State, t.moveTarget = ledger.StateMoving, c.nextMoveTarget()
		t.Hops = min(t.Hops+hops, maxHops)
	}
	j.lastChange = c.nextChange()
	c.markDirty(j)
	c.recordEvent(fmt.Sprintf("moving %d tasks to other shards", n), why, j.subject(), c.subject())
}

// requeueDelayed makes the waiting tasks pending whose delay has passed.
func (c *Core) requeueDelayed() {
	for len(c.delayedTasks) > 0 && !c.now.Before(c.delayedTasks[0].at) {
		id := c.delayedTasks[0].task
		c.delayedTasks = c.delayedTasks[1:]
		j := c.jobs[id.Job]
		if j == nil || !j.assigned.Has(id.Index) {
			continue
		}
		if t := j.tasks[id.Index]; t != nil && t.State == ledger.StateWaiting {
			c.queue.AddTasks(j.id, true, id.Index)
			c.placementDue = true
		}
	}
}

// requeueAfter makes a waiting task pending again after a delay.
func (c *Core) requeueAfter(t *task, delay time.Duration) {
	d := delayedTask{task: t.id(), at: c.now.Add(delay)}
	n, _ := slices.BinarySearchFunc(c.delayedTasks, d.at, func(e delayedTask, at time.Time) int { return e.at.Compare(at) })
	c.delayedTasks = slices.Insert(c.delayedTasks, n, d)
}

package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
)

// markRecord notes that the record of a job may have to change.
func (c *Core) markRecord(j *job) {
	if !j.wished {
		j.wished = true
		c.wishes = append(c.wishes, j.id)
	}
}

// markMoves notes the jobs with tasks that wait for a shard to move to.
func (c *Core) markMoves() {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		for _, t := range j.tasks {
			if t.State == ledger.StateMoving {
				c.markRecord(j)
				break
			}
		}
	}
}

// nextTarget returns the shard that takes the next moved tasks, or the zero value
// if there is none.
func (c *Core) nextTarget() unit.ShardID {
	if len(c.targets) == 0 {
		return unit.ShardID{}
	}
	return c.targets[c.rotation%len(c.targets)]
}

// moveBlocked moves tasks that found no room here for long.
func (c *Core) moveBlocked(j *job) {
	pending := c.queue.Pending(j.id)
	if j.blocked.IsZero() || len(pending) == 0 || j.parked != "" {
		return
	}
	wait := moveWait
	if c.local.Oversize(j.record.Job.Size) != "" {
		wait = moveWaitSize
	}
	if hops := c.hops(j, pending[0]); c.now.Sub(j.blocked) >= wait<<hops {
		c.leave(j, min(len(pending), moveBatch), 1, "no room")
		j.blocked = c.now
	}
}

func (c *Core) hops(j *job, i unit.TaskIndex) uint8 {
	if t := j.tasks[i]; t != nil {
		return t.Hops
	}
	carried, _ := j.record.Carried(i)
	return carried.Hops
}

// leave makes the first n pending tasks of a job move to another shard.
func (c *Core) leave(j *job, n int, hops uint8, why string) {
	if n == 0 || len(c.targets) == 0 {
		return
	}
	for k, i := range slices.Clone(c.queue.Pending(j.id)[:n]) {
		if k%moveBatch == 0 {
			c.rotation++
		}
		c.queue.Remove(unit.TaskID{Job: j.id, Index: i})
		t := c.entry(j, i)
		t.State, t.target = ledger.StateMoving, c.nextTarget()
		t.Hops = min(t.Hops+hops, maxHops)
	}
	j.changed = c.change()
	c.markRecord(j)
	c.note(fmt.Sprintf("moving %d tasks to other shards", n), why, j.subject(), c.subject())
}

func (c *Core) retryDelayed() {
	for len(c.delayed) > 0 && !c.now.Before(c.delayed[0].at) {
		id := c.delayed[0].task
		c.delayed = c.delayed[1:]
		j := c.jobs[id.Job]
		if j == nil || !j.assigned.Has(id.Index) {
			continue
		}
		if t := j.tasks[id.Index]; t != nil && t.State == ledger.StateWaiting {
			c.queue.Add(j.id, true, id.Index)
			c.place = true
		}
	}
}

// retry makes a waiting task pending again after a wait.
func (c *Core) retry(t *task, wait time.Duration) {
	d := delayed{task: t.id(), at: c.now.Add(wait)}
	n, _ := slices.BinarySearchFunc(c.delayed, d.at, func(e delayed, at time.Time) int { return e.at.Compare(at) })
	c.delayed = slices.Insert(c.delayed, n, d)
}

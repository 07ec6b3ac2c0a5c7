package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
)

// placePending places pending tasks, the most urgent jobs first.
func (c *Core) placePending() {
	if !c.place || c.startDeadline().IsZero() || c.book.size > placeableSize {
		return
	}
	c.place = false
	for _, id := range c.queue.Order(c.now) {
		j := c.jobs[id]
		if reason := c.largest.Oversize(j.record.Job.Size); reason != "" {
			c.park(j, reason)
			j.oversize = true
			continue
		}
		for len(c.queue.Pending(id)) > 0 && c.placeOne(j, c.queue.Pending(id)[0]) {
		}
	}
}

// placeOne places a task and reports whether it found room and quota.
func (c *Core) placeOne(j *job, i unit.TaskIndex) bool {
	declared := &j.record.Job
	if !c.queue.WithinQuota(declared, c.usage[declared.Team].Add(c.others[declared.Team])) {
		if !j.overrun {
			j.overrun = true
			c.note("waits", "quota of team "+string(declared.Team)+" is used up", j.subject())
		}
		return false
	}
	j.overrun = false
	if c.adviser != nil {
		if why, ok := c.adviser.Admit(declared); !ok {
			if why != j.held {
				c.note("waits", why, j.subject(), classSubject(declared.Class))
			}
			j.held = why
			return false
		}
	}
	j.held = ""
	size := declared.Size
	if c.adviser != nil {
		size = c.adviser.Size(declared)
	}
	id, ok := c.choose(j, i, size)
	if !ok {
		if j.blocked.IsZero() {
			j.blocked = c.now
			c.explainRefusal(j, i)
		}
		return false
	}
	t := c.entry(j, i)
	t.Attempt++
	ref := t.ref()
	if !c.Placer.Reserve(id, ref, declared.Class, size) {
		// The number is used up; no start was sent under it.
		j.changed = c.change()
		return false
	}
	j.blocked = time.Time{}
	c.queue.Remove(t.id())
	t.State, t.Worker = ledger.StatePlaced, id
	t.attempt = attempt{reserved: true, size: size, written: c.change()}
	j.changed = t.written
	j.placed++
	c.count(t)
	c.node(id).add(t)
	return true
}

// explainRefusal notes why a task found no worker.
func (c *Core) explainRefusal(j *job, i unit.TaskIndex) {
	if c.adviser == nil {
		return
	}
	why, nearest := c.adviser.Refusal(&j.record.Job)
	id := unit.TaskID{Job: j.id, Index: i}
	subjects := []journal.Subject{j.subject(), {Kind: journal.KindTask, ID: id.String()}, classSubject(j.record.Job.Class)}
	if nearest != "" {
		subjects = append(subjects, journal.Subject{Kind: journal.KindWorker, ID: string(nearest)})
	}
	c.note("not placed", why, subjects...)
}

// choose proposes a worker, but none on which the task has failed if there is
// another one.
func (c *Core) choose(j *job, i unit.TaskIndex, size unit.Resources) (unit.InstanceID, bool) {
	class := j.record.Job.Class
	id, ok := c.Placer.Place(class, size)
	t := j.tasks[i]
	if !ok || t == nil || !slices.Contains(t.FailedOn, id) {
		return id, ok
	}
	first := id
	var closed []*node
	for ok && slices.Contains(t.FailedOn, id) {
		n := c.node(id)
		closed = append(closed, n)
		c.Placer.Upsert(id, n.listed.Rack, n.capacity, false)
		id, ok = c.Placer.Place(class, size)
	}
	for _, n := range closed {
		c.Placer.Upsert(n.id, n.listed.Rack, n.capacity, true)
	}
	if !ok {
		return first, true
	}
	return id, true
}

// park keeps a job from being placed and says why in its record.
func (c *Core) park(j *job, reason string) {
	if j.parked == reason {
		return
	}
	j.parked = reason
	c.queue.Park(j.id, reason)
	c.markRecord(j)
	if reason == "" {
		c.note("no longer parked", "a larger worker is listed", j.subject())
	} else {
		c.note("parked", reason, j.subject())
	}
}

// checkFailures parks a job whose tasks fail on every worker and of which none
// was done.
func (c *Core) checkFailures(j *job, reason string) {
	if j.parked != "" {
		return
	}
	failedOn := map[unit.InstanceID]bool{}
	for _, t := range j.tasks {
		for _, id := range t.FailedOn {
			failedOn[id] = true
		}
	}
	if j.done == 0 && len(j.finished) == 0 && queue.FailsEverywhere(len(failedOn), len(c.order)) {
		c.park(j, fmt.Sprintf("failed on each of %d workers; last: %s", len(failedOn), reason))
	}
}

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

// placePending places pending tasks in the order of urgency of their jobs.
func (c *Core) placePending() {
	if !c.placementDue || c.startDeadline().IsZero() || c.commit.encodedSize > maxPlaceableSize {
		return
	}
	c.placementDue = false
	for _, id := range c.queue.PlacementOrder(c.now) {
		j := c.jobs[id]
		if reason := c.fleetLargest.OversizeReason(j.record.Job.Size); reason != "" {
			c.setParked(j, reason)
			j.oversize = true
			continue
		}
		for len(c.queue.Pending(id)) > 0 && c.placeTask(j, c.queue.Pending(id)[0]) {
		}
	}
}

// placeTask places a task and reports whether there was a worker and quota for
// it.
func (c *Core) placeTask(j *job, i unit.TaskIndex) bool {
	declared := &j.record.Job
	if !c.queue.WithinQuota(declared, c.shardUsage[declared.Team].Add(c.otherUsage[declared.Team])) {
		if !j.overQuota {
			j.overQuota = true
			c.recordEvent("waits", "quota of team "+string(declared.Team)+" is used up", j.subject())
		}
		return false
	}
	j.overQuota = false
	if c.policy != nil {
		if why, ok := c.policy.Admit(declared); !ok {
			if why != j.admissionRefusal {
				c.recordEvent("waits", why, j.subject(), classSubject(declared.Class))
			}
			j.admissionRefusal = why
			return false
		}
	}
	j.admissionRefusal = ""
	size := declared.Size
	if c.policy != nil {
		size = c.policy.Size(declared)
	}
	id, ok := c.chooseWorker(j, i, size)
	if !ok {
		if j.blockedSince.IsZero() {
			j.blockedSince = c.now
			c.recordRefusal(j, i)
		}
		return false
	}
	t := c.ensureTask(j, i)
	t.Attempt++
	ref := t.ref()
	if !c.Placer.Reserve(id, ref, declared.Class, size) {
		// The attempt number is used up, although no start was sent under it.
		j.lastChange = c.nextChange()
		return false
	}
	j.blockedSince = time.Time{}
	c.queue.RemoveTask(t.id())
	t.State, t.Worker = ledger.StatePlaced, id
	t.attempt = attempt{reserved: true, size: size, placedByChange: c.nextChange()}
	j.lastChange = t.placedByChange
	j.placedTasks++
	c.countUsage(t)
	c.ensureWorker(id).addTask(t)
	return true
}

// recordRefusal records why no worker was found for a task.
func (c *Core) recordRefusal(j *job, i unit.TaskIndex) {
	if c.policy == nil {
		return
	}
	why, nearest := c.policy.Refusal(&j.record.Job)
	id := unit.TaskID{Job: j.id, Index: i}
	subjects := []journal.Subject{j.subject(), {Kind: journal.KindTask, ID: id.String()}, classSubject(j.record.Job.Class)}
	if nearest != "" {
		subjects = append(subjects, journal.Subject{Kind: journal.KindWorker, ID: string(nearest)})
	}
	c.recordEvent("not placed", why, subjects...)
}

// chooseWorker proposes a worker for a task. Workers on which the task has failed
// are proposed only if there is no other.
func (c *Core) chooseWorker(j *job, i unit.TaskIndex, size unit.Resources) (unit.InstanceID, bool) {
	class := j.record.Job.Class
	id, ok := c.Placer.Place(class, size)
	t := j.tasks[i]
	if !ok || t == nil || !slices.Contains(t.FailedOn, id) {
		return id, ok
	}
	first := id
	var closed []*workerState
	for ok && slices.Contains(t.FailedOn, id) {
		w := c.ensureWorker(id)
		closed = append(closed, w)
		c.Placer.Upsert(id, w.listing.Rack, w.capacity, false)
		id, ok = c.Placer.Place(class, size)
	}
	for _, w := range closed {
		c.Placer.Upsert(w.id, w.listing.Rack, w.capacity, true)
	}
	if !ok {
		return first, true
	}
	return id, true
}

// setParked stops the placement of a job and sets the reason in its record. An
// empty reason resumes the placement.
func (c *Core) setParked(j *job, reason string) {
	if j.parkedReason == reason {
		return
	}
	j.parkedReason = reason
	c.queue.Park(j.id, reason)
	c.markDirty(j)
	if reason == "" {
		c.recordEvent("no longer parked", "a larger worker is listed", j.subject())
	} else {
		c.recordEvent("parked", reason, j.subject())
	}
}

// parkIfFailing parks a job whose tasks have failed on every worker and of which
// no task was done.
func (c *Core) parkIfFailing(j *job, reason string) {
	if j.parkedReason != "" {
		return
	}
	failedOn := map[unit.InstanceID]bool{}
	for _, t := range j.tasks {
		for _, id := range t.FailedOn {
			failedOn[id] = true
		}
	}
	if j.doneTasks == 0 && len(j.finished) == 0 && queue.WorkAtFault(len(failedOn), len(c.sortedWorkers)) {
		c.setParked(j, fmt.Sprintf("failed on each of %d workers; last: %s", len(failedOn), reason))
	}
}

package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
)

// task is a task with a ledger entry.
type task struct {
	ledger.Task
	attempt
	job          *job
	moveTarget   unit.ShardID   // set in StateMoving only
	countedUsage unit.Resources // counted in the usage of its team
}

// attempt holds the state of a placed attempt that is not in the ledger.
type attempt struct {
	placedByChange uint64          // number of the ledger change that placed it
	size           unit.Resources  // resources to reserve and to send with the start; set if placed under this epoch
	startSent      bool            // the start may have reached the worker
	seenRunning    bool            // the worker has reported or accepted it as running
	reserved       bool            // the placer has a reservation for it
	startBoot      string          // boot of the worker that the start was sent to; empty if an earlier owner sent it
	notAfter       unit.WorkerTime // reading of the worker's clock after which it refuses the start
	leaseExpiry    time.Time       // time from which the lease has certainly expired
	runningSince   time.Time       // time it was first seen running
	startRefusal   string          // code with which the worker refused the start
	eviction       worker.Action   // requested checkpoint or stop, or empty
	evictionStart  time.Time       // time of the request
	throttleShare  float64         // requested share of its cores; 0 if not throttled
	reportedShare  float64         // share in the last report of the worker
	lastOrder      time.Time       // time of the last order about eviction or throttleShare
}

func (t *task) id() unit.TaskID { return unit.TaskID{Job: t.job.id, Index: t.Index} }

func (t *task) ref() worker.Ref { return worker.Ref{Task: t.id(), Attempt: t.Attempt} }

func (t *task) subjects() []journal.Subject {
	return []journal.Subject{
		{Kind: journal.KindTask, ID: t.id().String()},
		{Kind: journal.KindJob, ID: string(t.id().Job)},
		{Kind: journal.KindWorker, ID: string(t.Worker)},
	}
}

// countUsage adds a placed task to the usage of its team once the job record with
// its size is known.
func (c *Core) countUsage(t *task) {
	size := t.job.record.Job.Size
	if t.State != ledger.StatePlaced || t.countedUsage != (unit.Resources{}) || t.job.revision == 0 {
		return
	}
	t.countedUsage = size
	team := t.job.record.Job.Team
	c.shardUsage[team] = c.shardUsage[team].Add(size)
}

func (c *Core) handleEvict(e Evict) {
	for _, w := range c.sortedWorkers {
		t := w.tasks[e.Ref]
		if t == nil {
			continue
		}
		subjects := append(t.subjects(), classSubject(t.job.record.Job.Class))
		if e.ForClass != "" {
			subjects = append(subjects, classSubject(e.ForClass))
		}
		if e.Action == worker.ActionThrottle {
			t.throttleShare = e.Share
			t.lastOrder = time.Time{}
			c.recordEvent(fmt.Sprintf("throttled to %.2f of its cores", e.Share), e.Why, subjects...)
			return
		}
		if withdrawn := !t.startSent; c.requestEviction(t, e.Action) || withdrawn {
			c.recordEvent("evicting: "+string(e.Action), e.Why, subjects...)
		}
		return
	}
}

func classSubject(id unit.ClassID) journal.Subject {
	return journal.Subject{Kind: journal.KindClass, ID: string(id)}
}

// evict requests a checkpoint or a stop of a placed attempt. A request is never
// cancelled, and a stop replaces a checkpoint. An attempt whose start was not
// sent is withdrawn.
func (c *Core) evict(t *task, action worker.Action, why string) {
	subjects := t.subjects()
	if c.requestEviction(t, action) {
		c.recordEvent("evicting: "+string(action), why, subjects...)
	}
}

// requestEviction is like evict but records no event. It reports whether the
// request is new and the start of the attempt was sent.
func (c *Core) requestEviction(t *task, action worker.Action) bool {
	if !t.startSent {
		c.withdrawAttempt(t)
		return false
	}
	if t.eviction == action || t.eviction == worker.ActionStop {
		return false
	}
	t.eviction, t.evictionStart, t.lastOrder = action, c.now, time.Time{}
	return true
}

// escalateCheckpoint stops an attempt whose checkpoint takes too long.
func (c *Core) escalateCheckpoint(t *task) {
	if t.eviction == worker.ActionCheckpoint && c.now.Sub(t.evictionStart) >= checkpointTimeout {
		c.evict(t, worker.ActionStop, "checkpoint took too long")
	}
}

// withdrawAttempt ends a placed attempt whose start was certainly not sent.
func (c *Core) withdrawAttempt(t *task) {
	c.removePlacement(t)
	c.requeue(t, 0)
}

// endAttempt ends an attempt that certainly no longer runs. The status is that of
// the worker or, without one, has PhaseExpired.
func (c *Core) endAttempt(t *task, s worker.Status) {
	w := c.ensureWorker(t.Worker)
	runningSince := t.runningSince
	failedOn := t.Worker
	c.removePlacement(t)
	switch s.Phase {
	case worker.PhaseDone:
		if !runningSince.IsZero() {
			c.queue.ObserveRunTime(t.job.record.Job.Class, c.now.Sub(runningSince))
		}
		if t.job.record.Standing {
			c.requeue(t, time.Second)
			return
		}
		t.job.doneTasks++
		c.finishTask(t)
	case worker.PhaseFailed:
		c.recordEvent("failed", s.Reason, journal.Subject{Kind: journal.KindTask, ID: t.id().String()},
			journal.Subject{Kind: journal.KindWorker, ID: string(w.id)})
		c.handleFailure(t, failedOn, s.Reason)
	case worker.PhaseCheckpointed:
		t.Checkpoint, t.After = s.Checkpoint, t.Attempt
		c.requeue(t, 0)
	default:
		c.requeue(t, 0)
	}
}

// handleLateResult applies the result of an attempt that the core ended before
// the worker reported it, unless a later attempt may be running. It reports
// whether the worker may forget the attempt.
func (c *Core) handleLateResult(s worker.Status) bool {
	j := c.jobs[s.Task.Job]
	if j == nil || j.record.Cancelled || j.finished.Has(s.Task.Index) {
		return true
	}
	if j.tasks[s.Task.Index] == nil && !j.assigned.Has(s.Task.Index) {
		return true // the task was moved to another shard
	}
	t := c.ensureTask(j, s.Task.Index)
	switch {
	case t.State == ledger.StateMoving:
		return false
	case t.State == ledger.StatePlaced && t.startSent:
		return t.seenRunning // the later attempt may turn out not to have started
	case t.State == ledger.StatePlaced:
		c.withdrawAttempt(t)
	}
	switch {
	case s.Phase == worker.PhaseDone && !j.record.Standing:
		c.queue.RemoveTask(t.id())
		j.doneTasks++
		c.finishTask(t)
		c.markDirty(j)
	case s.Phase == worker.PhaseCheckpointed && s.Attempt > t.After:
		t.Checkpoint, t.After = s.Checkpoint, s.Attempt
	}
	t.Attempt = max(t.Attempt, s.Attempt)
	j.lastChange = c.nextChange()
	return true
}

// removePlacement takes an attempt off its worker and frees its resources.
func (c *Core) removePlacement(t *task) {
	w := c.ensureWorker(t.Worker)
	w.removeTask(t)
	if t.reserved {
		c.Placer.Release(t.Worker, t.ref())
	}
	team := t.job.record.Job.Team
	c.shardUsage[team] = c.shardUsage[team].Sub(t.countedUsage)
	t.countedUsage = unit.Resources{}
	t.job.placedTasks--
	t.State, t.Worker = ledger.StateWaiting, ""
	t.attempt = attempt{}
	t.job.lastChange = c.nextChange()
	c.placementDue = true
	c.markDirty(t.job)
}

// requeue makes a task wait for its next attempt, if it is to have one.
func (c *Core) requeue(t *task, delay time.Duration) {
	j := t.job
	switch {
	case j.record.Cancelled:
		delete(j.tasks, t.Index)
	case !j.assigned.Has(t.Index):
	case delay > 0:
		c.requeueAfter(t, delay)
	default:
		c.queue.AddTasks(j.id, true, t.Index)
	}
}

// finishTask marks a task as finished: it needs no further attempt.
func (c *Core) finishTask(t *task) {
	j := t.job
	j.finished = j.finished.Add(t.Index)
	delete(j.tasks, t.Index)
}

// handleFailure decides what follows a failed attempt: another attempt on another
// worker, the end of the task, or a parked job.
func (c *Core) handleFailure(t *task, id unit.InstanceID, reason string) {
	j := t.job
	if !slices.Contains(t.FailedOn, id) {
		t.FailedOn = append(t.FailedOn, id)
	}
	c.parkIfFailing(j, reason)
	if j.parkedReason == "" && !j.record.Standing && queue.WorkAtFault(len(t.FailedOn), len(c.sortedWorkers)) {
		j.failedTasks++
		c.finishTask(t)
		return
	}
	c.requeue(t, min(time.Second<<len(t.FailedOn), maxRetryDelay))
}

// expireLeases ends attempts whose lease has certainly expired without a report
// of their end, and stops overdue checkpoints.
func (c *Core) expireLeases() {
	for _, w := range c.sortedWorkers {
		for _, t := range w.sortedTasks() {
			if t.startSent && !t.leaseExpiry.After(c.now) {
				c.recordEvent("lease expired", "no word from the worker", t.subjects()...)
				c.endAttempt(t, worker.Status{Phase: worker.PhaseExpired})
				continue
			}
			c.escalateCheckpoint(t)
		}
	}
}

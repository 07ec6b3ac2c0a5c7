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

// task is a task with an entry in the ledger.
type task struct {
	ledger.Task
	attempt
	job     *job
	target  unit.ShardID   // StateMoving only
	counted unit.Resources // in the usage of its team
}

// attempt is what the owner knows of a placed attempt besides the ledger.
type attempt struct {
	written  uint64         // number of the change that placed it
	size     unit.Resources // reserved, if placed under this epoch
	sent     bool           // its start may have reached the worker
	seen     bool           // the worker has said that it runs
	reserved bool
	boot     string          // to which the start was sent; empty if an earlier owner sent it
	notAfter unit.WorkerTime // the worker refuses the start after this reading
	expires  time.Time       // from which its lease has surely expired
	since    time.Time       // it was first seen running
	refused  string          // why the worker refused the start
	push     worker.Action   // step asked for against it: checkpoint or stop
	pushed   time.Time       // when it was asked for
	share    float64         // wanted by a throttle; 0 if none was asked for
	actual   float64         // share that the worker reports
	ordered  time.Time       // last order about push or share
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

// count adds a placed task to the usage of its team once its size is known.
func (c *Core) count(t *task) {
	size := t.job.record.Job.Size
	if t.State != ledger.StatePlaced || t.counted != (unit.Resources{}) || t.job.revision == 0 {
		return
	}
	t.counted = size
	team := t.job.record.Job.Team
	c.usage[team] = c.usage[team].Add(size)
}

func (c *Core) evict(e Evict) {
	for _, n := range c.order {
		t := n.tasks[e.Ref]
		if t == nil {
			continue
		}
		subjects := append(t.subjects(), classSubject(t.job.record.Job.Class))
		if e.ForClass != "" {
			subjects = append(subjects, classSubject(e.ForClass))
		}
		if e.Action == worker.ActionThrottle {
			t.share = e.Share
			t.ordered = time.Time{}
			c.note(fmt.Sprintf("throttled to %.2f of its cores", e.Share), e.Why, subjects...)
			return
		}
		if withdrawn := !t.sent; c.ask(t, e.Action) || withdrawn {
			c.note("evicting: "+string(e.Action), e.Why, subjects...)
		}
		return
	}
}

func classSubject(id unit.ClassID) journal.Subject {
	return journal.Subject{Kind: journal.KindClass, ID: string(id)}
}

// push asks for a step against a placed attempt. A step is never taken back, and
// a stop replaces a checkpoint. An attempt that was not sent is withdrawn.
func (c *Core) push(t *task, action worker.Action, why string) {
	subjects := t.subjects()
	if c.ask(t, action) {
		c.note("evicting: "+string(action), why, subjects...)
	}
}

// ask reports whether the step is a new one against an attempt that was sent.
func (c *Core) ask(t *task, action worker.Action) bool {
	if !t.sent {
		c.withdraw(t)
		return false
	}
	if t.push == action || t.push == worker.ActionStop {
		return false
	}
	t.push, t.pushed, t.ordered = action, c.now, time.Time{}
	return true
}

// escalate turns a checkpoint that does not end into a stop.
func (c *Core) escalate(t *task) {
	if t.push == worker.ActionCheckpoint && c.now.Sub(t.pushed) >= checkpointLimit {
		c.push(t, worker.ActionStop, "checkpoint took too long")
	}
}

// withdraw ends a placed attempt whose start was surely not sent.
func (c *Core) withdraw(t *task) {
	c.unplace(t)
	c.wait(t, 0)
}

// over ends an attempt that surely does not run any more, with the word of the
// worker or, if that is missing, PhaseExpired.
func (c *Core) over(t *task, s worker.Status) {
	n := c.node(t.Worker)
	ran := t.since
	failedOn := t.Worker
	c.unplace(t)
	switch s.Phase {
	case worker.PhaseDone:
		if !ran.IsZero() {
			c.queue.Observe(t.job.record.Job.Class, c.now.Sub(ran))
		}
		if t.job.record.Standing {
			c.wait(t, time.Second)
			return
		}
		t.job.done++
		c.finish(t)
	case worker.PhaseFailed:
		c.note("failed", s.Reason, journal.Subject{Kind: journal.KindTask, ID: t.id().String()},
			journal.Subject{Kind: journal.KindWorker, ID: string(n.id)})
		c.failed(t, failedOn, s.Reason)
	case worker.PhaseCheckpointed:
		t.Checkpoint, t.After = s.Checkpoint, t.Attempt
		c.wait(t, 0)
	default:
		c.wait(t, 0)
	}
}

// lateResult takes the end of an attempt that was given up before its worker
// reported it, if no later attempt may be running. It reports whether the worker
// may forget the attempt.
func (c *Core) lateResult(s worker.Status) bool {
	j := c.jobs[s.Task.Job]
	if j == nil || j.record.Cancelled || j.finished.Has(s.Task.Index) {
		return true
	}
	if j.tasks[s.Task.Index] == nil && !j.assigned.Has(s.Task.Index) {
		return true // it went to another shard
	}
	t := c.entry(j, s.Task.Index)
	switch {
	case t.State == ledger.StateMoving:
		return false
	case t.State == ledger.StatePlaced && t.sent:
		return t.seen // the later attempt may prove not to have started
	case t.State == ledger.StatePlaced:
		c.withdraw(t)
	}
	switch {
	case s.Phase == worker.PhaseDone && !j.record.Standing:
		c.queue.Remove(t.id())
		j.done++
		c.finish(t)
		c.markRecord(j)
	case s.Phase == worker.PhaseCheckpointed && s.Attempt > t.After:
		t.Checkpoint, t.After = s.Checkpoint, s.Attempt
	}
	t.Attempt = max(t.Attempt, s.Attempt)
	j.changed = c.change()
	return true
}

// unplace takes an attempt off its worker.
func (c *Core) unplace(t *task) {
	n := c.node(t.Worker)
	n.remove(t)
	if t.reserved {
		c.Placer.Release(t.Worker, t.ref())
	}
	team := t.job.record.Job.Team
	c.usage[team] = c.usage[team].Sub(t.counted)
	t.counted = unit.Resources{}
	t.job.placed--
	t.State, t.Worker = ledger.StateWaiting, ""
	t.attempt = attempt{}
	t.job.changed = c.change()
	c.place = true
	c.markRecord(t.job)
}

// wait lets a task wait for its next attempt, if there is to be one.
func (c *Core) wait(t *task, wait time.Duration) {
	j := t.job
	switch {
	case j.record.Cancelled:
		delete(j.tasks, t.Index)
	case !j.assigned.Has(t.Index):
	case wait > 0:
		c.retry(t, wait)
	default:
		c.queue.Add(j.id, true, t.Index)
	}
}

// finish takes a task as needing no further attempt.
func (c *Core) finish(t *task) {
	j := t.job
	j.finished = j.finished.Add(t.Index)
	delete(j.tasks, t.Index)
}

// failed decides what follows a failure: another attempt on another worker, the
// end of the task, or a parked job.
func (c *Core) failed(t *task, id unit.InstanceID, reason string) {
	j := t.job
	if !slices.Contains(t.FailedOn, id) {
		t.FailedOn = append(t.FailedOn, id)
	}
	c.checkFailures(j, reason)
	if j.parked == "" && !j.record.Standing && queue.FailsEverywhere(len(t.FailedOn), len(c.order)) {
		j.failed++
		c.finish(t)
		return
	}
	c.wait(t, min(time.Second<<len(t.FailedOn), maxRetryWait))
}

// expire ends attempts whose lease has surely expired without the word of their
// worker.
func (c *Core) expire() {
	for _, n := range c.order {
		for _, t := range n.sorted() {
			if t.sent && !t.expires.After(c.now) {
				c.note("lease expired", "no word from the worker", t.subjects()...)
				c.over(t, worker.Status{Phase: worker.PhaseExpired})
				continue
			}
			c.escalate(t)
		}
	}
}

package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
)

// Limits on moving tasks for which this shard has no free resources. The delay
// before a move doubles with each move of the task, so that a full fleet does not
// keep moving its tasks.
const (
	moveDelay         = 30 * time.Second
	moveDelayOversize = time.Second // applies if no worker of the shard is large enough
	maxHops           = 6           // bounds the number of doublings
	moveBatch         = 64          // maximum number of tasks of a job in one move
)

// maxRetryDelay bounds the delay before the next attempt of a failed task.
const maxRetryDelay = 30 * time.Second

// job is a job with tasks assigned to the shard.
type job struct {
	id               unit.JobID
	record           ledger.Record
	revision         unit.Revision // of record; 0 until the record is known
	deleted          bool
	assigned         ledger.TaskSet // tasks of the record that were queued here
	finished         ledger.TaskSet // tasks that need no further attempt
	failedTasks      uint32         // number of tasks in finished that failed for good
	doneTasks        uint32         // number of tasks done under this epoch
	tasks            map[unit.TaskIndex]*task
	placedTasks      int            // number of tasks in StatePlaced
	wantedReplicas   unit.TaskIndex // replicas that this shard keeps of a standing job
	lastChange       uint64         // number of the last ledger change about this job
	recordDirty      bool           // the job is in Core.dirtyJobs
	blockedSince     time.Time      // when no worker was found for its next task, or zero
	parkedReason     string         // why its tasks cannot run, or empty
	oversize         bool           // parked because no worker is large enough
	overQuota        bool           // the journal says that the team's quota is used up
	admissionRefusal string         // why the policy admits none of its tasks, or empty
}

// jobWrite is a job record write in flight.
type jobWrite struct {
	job    unit.JobID
	record ledger.Record
}

// delayedTask is a task that waits until a time before its next attempt.
type delayedTask struct {
	task unit.TaskID
	at   time.Time
}

func newJob(id unit.JobID) *job {
	return &job{id: id, tasks: map[unit.TaskIndex]*task{}}
}

func (j *job) subject() journal.Subject {
	return journal.Subject{Kind: journal.KindJob, ID: string(j.id)}
}

func (c *Core) handleJobsListed(e JobsListed) {
	c.commit.callInFlight = false
	if c.phase != phaseListing {
		return
	}
	if e.Fault != FaultNone {
		c.commit.nextCall = c.now.Add(commitInterval)
		return
	}
	for _, changed := range e.Jobs {
		c.syncRecord(changed)
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if c.jobs[id].revision == 0 {
			c.syncRecord(JobChanged{Job: id, Deleted: true})
		}
	}
	c.phase, c.placementDue = phaseActive, true
	c.recordEvent("took over", fmt.Sprintf("epoch %d", c.Epoch), c.subject())
}

func (c *Core) handleJobChanged(e JobChanged) {
	if c.jobRead == e.Job {
		c.jobRead = ""
	}
	// Before phaseListing the change is ignored: the list of job records is read
	// later and includes it.
	if c.phase >= phaseListing && c.phase < phaseLost {
		c.syncRecord(e)
	}
}

// syncRecord applies a job record or its deletion. Records come from the watch
// and from single reads, so they may be late or repeated; an older record must
// not bring back a task that was moved.
func (c *Core) syncRecord(e JobChanged) {
	j := c.jobs[e.Job]
	if last, ok := c.retired[e.Job]; ok && !e.Deleted {
		if e.Revision == last {
			delete(c.retired, e.Job) // the watch has delivered the change that removed the job here
		}
		if e.Revision <= last {
			return
		}
	}
	if e.Deleted {
		delete(c.retired, e.Job)
		if j != nil && !j.deleted {
			j.deleted, j.record.Cancelled = true, true
			c.cancelJob(j)
		}
		return
	}
	if j != nil && e.Revision <= j.revision {
		return
	}
	if j == nil {
		if len(e.Record.ActiveParts(c.Shard)) == 0 {
			return
		}
		j = newJob(e.Job)
		c.jobs[e.Job] = j
		j.lastChange = c.nextChange()
	}
	delete(c.retired, e.Job)
	j.record, j.revision = e.Record, e.Revision
	c.reconcileJob(j)
}

// reconcileJob brings the tasks of a job on this shard in line with its record.
func (c *Core) reconcileJob(j *job) {
	c.placementDue = true
	c.markDirty(j)
	c.queue.AddJob(j.record.Job)
	if c.policy != nil {
		c.policy.Describe(&j.record.Job)
	}
	if len(j.record.ActiveParts(c.Shard)) == 0 && j.placedTasks == 0 {
		c.retireJob(j)
		return
	}
	if j.record.Cancelled {
		c.cancelJob(j)
		return
	}
	var assigned ledger.TaskSet
	var untried, retried []unit.TaskIndex
	for _, p := range j.record.ActiveParts(c.Shard) {
		if j.record.Standing {
			continue // adjustReplicas decides which of its tasks run
		}
		for i := p.First; p.Has(i); i++ {
			assigned = assigned.Add(i)
			t := j.tasks[i]
			_, carried := j.record.MovedTask(i)
			switch {
			case j.assigned.Has(i) || j.finished.Has(i):
			case t == nil && !carried:
				untried = append(untried, i)
			case t == nil || t.State == ledger.StateWaiting:
				retried = append(retried, i)
			}
		}
	}
	c.queue.AddTasks(j.id, false, untried...)
	c.queue.AddTasks(j.id, true, retried...)
	for _, t := range j.sortedTasks() {
		c.countUsage(t)
		if carried, ok := j.record.MovedTask(t.Index); ok && t.State == ledger.StateMoving && carried.Attempt > t.Attempt {
			// The task was moved away, ran elsewhere and was moved back. The
			// attempts made there count.
			t.State, t.Attempt = ledger.StateWaiting, carried.Attempt
			t.Checkpoint, t.After = carried.Checkpoint, carried.After
			j.lastChange = c.nextChange()
			if assigned.Has(t.Index) {
				c.queue.AddTasks(j.id, true, t.Index)
			}
		}
		moved := t.State == ledger.StateMoving && !assigned.Has(t.Index)
		if moved || t.State == ledger.StateWaiting && !assigned.Has(t.Index) && !j.record.Standing {
			delete(j.tasks, t.Index)
			j.lastChange = c.nextChange()
		}
	}
	j.assigned = assigned
	c.parkIfFailing(j, "not known")
}

// retireJob removes a job that has no task assigned to the shard any more.
func (c *Core) retireJob(j *job) {
	c.queue.RemoveJobs(j.id)
	delete(c.jobs, j.id)
	if !j.deleted {
		c.retired[j.id] = j.revision
	}
	c.nextChange()
}

// cancelJob removes the pending tasks of a job and stops the placed ones. One
// ledger write covers all jobs that are cancelled within a commit interval.
func (c *Core) cancelJob(j *job) {
	c.queue.RemoveJobs(j.id)
	for _, t := range j.sortedTasks() {
		if t.State == ledger.StatePlaced {
			c.evict(t, worker.ActionStop, "job cancelled")
			continue
		}
		delete(j.tasks, t.Index)
	}
	j.lastChange = c.nextChange()
	c.markDirty(j)
}

func (j *job) sortedTasks() []*task {
	tasks := make([]*task, 0, len(j.tasks))
	for _, i := range slices.Sorted(maps.Keys(j.tasks)) {
		tasks = append(tasks, j.tasks[i])
	}
	return tasks
}

// applyTargets brings the tasks in line with the target document: it adjusts
// replicas, evacuates a zone out of service, and moves tasks that find no free
// worker here.
func (c *Core) applyTargets() {
	c.requeueDelayed()
	if !c.placementDue {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		switch {
		case j.record.Cancelled || j.revision == 0:
		case j.record.Standing:
			c.adjustReplicas(j)
		case c.zoneOut && c.document != nil:
			c.moveTasks(j, len(c.queue.Pending(id)), 0, "zone out of service")
		default:
			c.moveBlocked(j)
		}
	}
	if !c.zoneOut || c.document == nil {
		return
	}
	for _, w := range c.sortedWorkers {
		for _, t := range w.sortedTasks() {
			c.evict(t, worker.ActionCheckpoint, "zone out of service")
		}
	}
}

// adjustReplicas keeps as many tasks of a standing job pending or placed as the
// target requires of this shard. Ledger entries above that number stay, since
// their attempt numbers must not be reused.
func (c *Core) adjustReplicas(j *job) {
	want := unit.TaskIndex(0)
	if class, ok := c.queue.Class(j.record.Job.Class); ok && !c.zoneOut && c.zoneShards > 0 {
		want = unit.TaskIndex(queue.ShardReplicas(class.Target.Replicas, c.zoneIndex, c.zoneShards))
	}
	before := j.wantedReplicas
	j.wantedReplicas = want
	for _, p := range j.record.ActiveParts(c.Shard) {
		for i := p.First; p.Has(i) && i-p.First < max(want, before); i++ {
			t, wanted := j.tasks[i], i-p.First < want
			switch {
			case wanted && !j.assigned.Has(i):
				j.assigned = j.assigned.Add(i)
				if t == nil || t.State == ledger.StateWaiting {
					c.queue.AddTasks(j.id, t != nil, i)
				}
			case !wanted && j.assigned.Has(i):
				j.assigned = j.assigned.Remove(i)
				c.queue.RemoveTask(unit.TaskID{Job: j.id, Index: i})
				if t != nil && t.State == ledger.StatePlaced {
					c.evict(t, worker.ActionStop, "fewer replicas wanted")
				}
			}
		}
	}
}

// ensureTask returns the ledger entry of a task. A new entry takes over what an
// earlier shard recorded about the task.
func (c *Core) ensureTask(j *job, i unit.TaskIndex) *task {
	if t := j.tasks[i]; t != nil {
		return t
	}
	carried, _ := j.record.MovedTask(i)
	t := &task{job: j, Task: ledger.Task{
		Index: i, State: ledger.StateWaiting, Attempt: carried.Attempt,
		After: carried.After, Checkpoint: carried.Checkpoint, Hops: carried.Hops,
	}}
	j.tasks[i] = t
	return t
}

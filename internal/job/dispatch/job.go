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

// Waits before a task that finds no room is moved to another shard. They double
// with each move, so that a full fleet does not pass its tasks around.
const (
	moveWait     = 30 * time.Second
	moveWaitSize = time.Second // no worker of this shard is large enough
	maxHops      = 6
	moveBatch    = 64 // tasks of one job that are moved at a time for lack of room
)

// maxRetryWait bounds the wait before a failed task is started again.
const maxRetryWait = 30 * time.Second

// job is a job of which tasks are assigned to the shard.
type job struct {
	id       unit.JobID
	record   ledger.Record
	revision unit.Revision // 0 until the record is known
	deleted  bool
	assigned ledger.Set // tasks taken up from the record
	finished ledger.Set
	failed   uint32
	done     uint32 // tasks done under this epoch
	tasks    map[unit.TaskIndex]*task
	placed   int
	replicas unit.TaskIndex // wanted of a standing job at the last look
	changed  uint64         // number of the last change of the ledger about this job
	wished   bool           // in Core.wishes
	blocked  time.Time
	parked   string
	oversize bool   // parked for its size
	overrun  bool   // the team's quota is used up, and the journal says so
	held     string // why the placer admits none of its tasks, if so
}

// jobWrite is a write of a job record in flight.
type jobWrite struct {
	job    unit.JobID
	record ledger.Record
}

type delayed struct {
	task unit.TaskID
	at   time.Time
}

func newJob(id unit.JobID) *job {
	return &job{id: id, tasks: map[unit.TaskIndex]*task{}}
}

func (j *job) subject() journal.Subject {
	return journal.Subject{Kind: journal.KindJob, ID: string(j.id)}
}

func (c *Core) jobsListed(e JobsListed) {
	c.book.calling = false
	if c.phase != phaseListing {
		return
	}
	if e.Fault != FaultNone {
		c.book.next = c.now.Add(commitInterval)
		return
	}
	for _, changed := range e.Jobs {
		c.sync(changed)
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if c.jobs[id].revision == 0 {
			c.sync(JobChanged{Job: id, Deleted: true})
		}
	}
	c.phase, c.place = phaseActive, true
	c.note("took over", fmt.Sprintf("epoch %d", c.Epoch), c.subject())
}

func (c *Core) jobChanged(e JobChanged) {
	if c.jobRead == e.Job {
		c.jobRead = ""
	}
	// Before the job records are listed there is nothing to compare with, and the
	// list, which is read later, has the change.
	if c.phase >= phaseListing && c.phase < phaseLost {
		c.sync(e)
	}
}

// sync takes a job record. Records may come late and twice, from the watch and
// from reading back; an older one must not bring back a task that was moved.
func (c *Core) sync(e JobChanged) {
	j := c.jobs[e.Job]
	if last, ok := c.retired[e.Job]; ok && !e.Deleted {
		if e.Revision == last {
			delete(c.retired, e.Job) // the watch is past the change that ended the job here
		}
		if e.Revision <= last {
			return
		}
	}
	if e.Deleted {
		delete(c.retired, e.Job)
		if j != nil && !j.deleted {
			j.deleted, j.record.Cancelled = true, true
			c.cancel(j)
		}
		return
	}
	if j != nil && e.Revision <= j.revision {
		return
	}
	if j == nil {
		if len(e.Record.Assigned(c.Shard)) == 0 {
			return
		}
		j = newJob(e.Job)
		c.jobs[e.Job] = j
		j.changed = c.change()
	}
	delete(c.retired, e.Job)
	j.record, j.revision = e.Record, e.Revision
	c.adopt(j)
}

// adopt compares the record of a job with what the shard has of it.
func (c *Core) adopt(j *job) {
	c.place = true
	c.markRecord(j)
	c.queue.Put(j.record.Job)
	if c.adviser != nil {
		c.adviser.Describe(&j.record.Job)
	}
	if len(j.record.Assigned(c.Shard)) == 0 && j.placed == 0 {
		c.retire(j)
		return
	}
	if j.record.Cancelled {
		c.cancel(j)
		return
	}
	var assigned ledger.Set
	var fresh, again []unit.TaskIndex
	for _, p := range j.record.Assigned(c.Shard) {
		if j.record.Standing {
			continue // adjustReplicas decides which of its tasks run
		}
		for i := p.First; p.Has(i); i++ {
			assigned = assigned.Add(i)
			t := j.tasks[i]
			_, carried := j.record.Carried(i)
			switch {
			case j.assigned.Has(i) || j.finished.Has(i):
			case t == nil && !carried:
				fresh = append(fresh, i)
			case t == nil || t.State == ledger.StateWaiting:
				again = append(again, i)
			}
		}
	}
	c.queue.Add(j.id, false, fresh...)
	c.queue.Add(j.id, true, again...)
	for _, t := range j.sorted() {
		c.count(t)
		if carried, ok := j.record.Carried(t.Index); ok && t.State == ledger.StateMoving && carried.Attempt > t.Attempt {
			// It was moved, run elsewhere and moved back. Its attempts there count.
			t.State, t.Attempt = ledger.StateWaiting, carried.Attempt
			t.Checkpoint, t.After = carried.Checkpoint, carried.After
			j.changed = c.change()
			if assigned.Has(t.Index) {
				c.queue.Add(j.id, true, t.Index)
			}
		}
		moved := t.State == ledger.StateMoving && !assigned.Has(t.Index)
		if moved || t.State == ledger.StateWaiting && !assigned.Has(t.Index) && !j.record.Standing {
			delete(j.tasks, t.Index)
			j.changed = c.change()
		}
	}
	j.assigned = assigned
	c.checkFailures(j, "not known")
}

// retire forgets a job of which nothing is assigned to the shard any more.
func (c *Core) retire(j *job) {
	c.queue.Drop(j.id)
	delete(c.jobs, j.id)
	if !j.deleted {
		c.retired[j.id] = j.revision
	}
	c.change()
}

// cancel drops what is pending of a job and stops what runs. The ledger is
// written once for all jobs that are cancelled within one commit interval.
func (c *Core) cancel(j *job) {
	c.queue.Drop(j.id)
	for _, t := range j.sorted() {
		if t.State == ledger.StatePlaced {
			c.push(t, worker.ActionStop, "job cancelled")
			continue
		}
		delete(j.tasks, t.Index)
	}
	j.changed = c.change()
	c.markRecord(j)
}

func (j *job) sorted() []*task {
	tasks := make([]*task, 0, len(j.tasks))
	for _, i := range slices.Sorted(maps.Keys(j.tasks)) {
		tasks = append(tasks, j.tasks[i])
	}
	return tasks
}

// adjust brings the tasks in line with the target document: replicas, the state
// of the zone, and tasks that find no room here.
func (c *Core) adjust() {
	c.retryDelayed()
	if !c.place {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		switch {
		case j.record.Cancelled || j.revision == 0:
		case j.record.Standing:
			c.adjustReplicas(j)
		case c.zoneOut && c.document != nil:
			c.leave(j, len(c.queue.Pending(id)), 0, "zone out of service")
		default:
			c.moveBlocked(j)
		}
	}
	if !c.zoneOut || c.document == nil {
		return
	}
	for _, n := range c.order {
		for _, t := range n.sorted() {
			c.push(t, worker.ActionCheckpoint, "zone out of service")
		}
	}
}

// adjustReplicas keeps as many tasks of a standing job pending or placed as the
// target asks of this shard. Entries above that number stay in the ledger, since
// their attempt numbers must not be used again.
func (c *Core) adjustReplicas(j *job) {
	want := unit.TaskIndex(0)
	if class, ok := c.queue.Class(j.record.Job.Class); ok && !c.zoneOut && c.siblings > 0 {
		want = unit.TaskIndex(queue.Replicas(class.Target.Replicas, c.position, c.siblings))
	}
	before := j.replicas
	j.replicas = want
	for _, p := range j.record.Assigned(c.Shard) {
		for i := p.First; p.Has(i) && i-p.First < max(want, before); i++ {
			t, wanted := j.tasks[i], i-p.First < want
			switch {
			case wanted && !j.assigned.Has(i):
				j.assigned = j.assigned.Add(i)
				if t == nil || t.State == ledger.StateWaiting {
					c.queue.Add(j.id, t != nil, i)
				}
			case !wanted && j.assigned.Has(i):
				j.assigned = j.assigned.Remove(i)
				c.queue.Remove(unit.TaskID{Job: j.id, Index: i})
				if t != nil && t.State == ledger.StatePlaced {
					c.push(t, worker.ActionStop, "fewer replicas wanted")
				}
			}
		}
	}
}

// entry returns the ledger entry of a task, with what an earlier shard knew.
func (c *Core) entry(j *job, i unit.TaskIndex) *task {
	if t := j.tasks[i]; t != nil {
		return t
	}
	carried, _ := j.record.Carried(i)
	t := &task{job: j, Task: ledger.Task{
		Index: i, State: ledger.StateWaiting, Attempt: carried.Attempt,
		After: carried.After, Checkpoint: carried.Checkpoint, Hops: carried.Hops,
	}}
	j.tasks[i] = t
	return t
}

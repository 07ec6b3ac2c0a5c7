package queue

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// MaxTasks is the maximum number of tasks of one job: the ledger stores one bit
// per task of a job on every shard that runs a part of it.
const MaxTasks = 1 << 16

// unbounded is the slack of a job without a latency target.
const unbounded = time.Duration(math.MaxInt64)

// estimateShift sets the weight of a new run time in the moving average of a
// class to 1/2^estimateShift. Declared run times are only the first estimate.
const estimateShift = 3

// Queue holds the pending tasks of one shard. The zero value is not usable; call
// New.
type Queue struct {
	jobs      map[unit.JobID]*entry
	classes   map[unit.ClassID]spec.Class
	teams     map[unit.TeamID]unit.Resources
	estimates map[unit.ClassID]time.Duration
}

type entry struct {
	job     Job
	pending []unit.TaskIndex
	parked  string
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{jobs: map[unit.JobID]*entry{}, estimates: map[unit.ClassID]time.Duration{}}
}

// Configure sets the classes and quotas from a target document.
func (q *Queue) Configure(d *spec.Document) {
	q.classes = make(map[unit.ClassID]spec.Class, len(d.Classes))
	for _, c := range d.Classes {
		q.classes[c.Name] = c
	}
	q.teams = make(map[unit.TeamID]unit.Resources, len(d.Teams))
	for _, t := range d.Teams {
		q.teams[t.Name] = t.Quota
	}
}

// Class returns the configured class with that name.
func (q *Queue) Class(name unit.ClassID) (spec.Class, bool) {
	c, ok := q.classes[name]
	return c, ok
}

// AddJob adds a job without pending tasks. It does nothing if the job is known.
func (q *Queue) AddJob(j Job) {
	if q.jobs[j.ID] == nil {
		q.jobs[j.ID] = &entry{job: j}
	}
}

// Job returns the job with that id.
func (q *Queue) Job(id unit.JobID) (Job, bool) {
	e := q.jobs[id]
	if e == nil {
		return Job{}, false
	}
	return e.job, true
}

// AddTasks makes tasks of a known job pending. Tasks that have run before go to
// the front, so that partly completed work does not wait behind new tasks.
func (q *Queue) AddTasks(id unit.JobID, resumed bool, tasks ...unit.TaskIndex) {
	e := q.jobs[id]
	if resumed {
		e.pending = slices.Insert(e.pending, 0, tasks...)
	} else {
		e.pending = append(e.pending, tasks...)
	}
}

// RemoveTask removes a task from the pending ones and reports whether it was
// pending.
func (q *Queue) RemoveTask(t unit.TaskID) bool {
	e := q.jobs[t.Job]
	if e == nil {
		return false
	}
	i := slices.Index(e.pending, t.Index)
	if i < 0 {
		return false
	}
	e.pending = slices.Delete(e.pending, i, i+1)
	return true
}

// Pending returns the pending tasks of a job in the order of placement. The slice
// must not be modified and is valid until the next call that changes the queue.
func (q *Queue) Pending(id unit.JobID) []unit.TaskIndex {
	if e := q.jobs[id]; e != nil {
		return e.pending
	}
	return nil
}

// RemoveJobs removes jobs with their pending tasks in one call, so that a burst of
// cancellations is one change of the shard's state.
func (q *Queue) RemoveJobs(ids ...unit.JobID) {
	for _, id := range ids {
		delete(q.jobs, id)
	}
}

// Park sets the reason why a job's pending tasks may not be placed. An empty
// reason lets them be placed again.
func (q *Queue) Park(id unit.JobID, reason string) {
	if e := q.jobs[id]; e != nil {
		e.parked = reason
	}
}

// ParkedReason returns why a job is parked, or an empty string.
func (q *Queue) ParkedReason(id unit.JobID) string {
	if e := q.jobs[id]; e != nil {
		return e.parked
	}
	return ""
}

// PlacementOrder returns the jobs that have pending tasks and are not parked, by
// increasing slack: the time left until the target is missed, less the estimated
// run time of a task. Jobs without a target come last, by time of submission.
func (q *Queue) PlacementOrder(now time.Time) []unit.JobID {
	type candidate struct {
		slack time.Duration
		job   *Job
	}
	candidates := make([]candidate, 0, len(q.jobs))
	for _, e := range q.jobs {
		if len(e.pending) > 0 && e.parked == "" {
			candidates = append(candidates, candidate{q.slack(&e.job, now), &e.job})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.slack, b.slack), cmp.Compare(a.job.Time, b.job.Time), cmp.Compare(a.job.ID, b.job.ID))
	})
	ids := make([]unit.JobID, 0, len(candidates))
	for _, c := range candidates {
		ids = append(ids, c.job.ID)
	}
	return ids
}

// Slack returns how long a job can still wait before its target is missed, and
// false if it has no target.
func (q *Queue) Slack(id unit.JobID, now time.Time) (time.Duration, bool) {
	e := q.jobs[id]
	if e == nil {
		return 0, false
	}
	s := q.slack(&e.job, now)
	return s, s != unbounded
}

func (q *Queue) slack(j *Job, now time.Time) time.Duration {
	class := q.classes[j.Class]
	if class.Kind == spec.KindStanding {
		return 0 // a missing replica breaks the target at once
	}
	age := now.Sub(time.UnixMilli(j.Time))
	slack := unbounded
	if start := class.Target.Start.Std(); start > 0 {
		slack = min(slack, start-age)
	}
	if finish := class.Target.Finish.Std(); finish > 0 {
		slack = min(slack, finish-age-q.Estimate(j))
	}
	return slack
}

// Estimate returns the estimated run time of a task of a job: the moving average
// of its class, or the declared one if no task of the class has ended yet.
func (q *Queue) Estimate(j *Job) time.Duration {
	if estimate, ok := q.estimates[j.Class]; ok {
		return estimate
	}
	return j.Work.Std()
}

// ObserveRunTime updates the estimate of a class with the run time of a completed
// task.
func (q *Queue) ObserveRunTime(class unit.ClassID, took time.Duration) {
	old, ok := q.estimates[class]
	if !ok {
		old = took
	}
	q.estimates[class] = old + (took-old)>>estimateShift
}

// WithinQuota reports whether the quota of a job's team, which uses that much
// already, has headroom for one more task. A team that the target document does
// not name has no quota and may run nothing.
func (q *Queue) WithinQuota(j *Job, usage unit.Resources) bool {
	quota, ok := q.teams[j.Team]
	return ok && usage.Add(j.Size).Fits(quota)
}

// LargestWorkers holds, for each resource, the largest capacity of any one worker
// and the id of that worker.
type LargestWorkers struct {
	Capacity    unit.Resources
	Cores       unit.InstanceID
	Memory      unit.InstanceID
	Accelerator unit.InstanceID
}

// Include returns l with the capacity of one more worker taken into account.
func (l LargestWorkers) Include(id unit.InstanceID, capacity unit.Resources) LargestWorkers {
	if capacity.Cores > l.Capacity.Cores {
		l.Capacity.Cores, l.Cores = capacity.Cores, id
	}
	if capacity.Memory > l.Capacity.Memory {
		l.Capacity.Memory, l.Memory = capacity.Memory, id
	}
	if capacity.Accelerators > l.Capacity.Accelerators {
		l.Capacity.Accelerators, l.Accelerator = capacity.Accelerators, id
	}
	return l
}

// OversizeReason returns why a task of this size does not fit on any worker, or an
// empty string if it does. It names the first resource that is insufficient and
// the worker with the largest capacity of it.
func (l LargestWorkers) OversizeReason(size unit.Resources) string {
	switch {
	case l == LargestWorkers{}:
		return "" // no worker is known yet
	case size.Cores > l.Capacity.Cores:
		return fmt.Sprintf("needs %d millicores; the largest worker, %s, has %d",
			size.Cores, l.Cores, l.Capacity.Cores)
	case size.Memory > l.Capacity.Memory:
		return fmt.Sprintf("needs %d bytes of memory; the largest worker, %s, has %d",
			size.Memory, l.Memory, l.Capacity.Memory)
	case size.Accelerators > l.Capacity.Accelerators && l.Accelerator == "":
		return fmt.Sprintf("needs %d accelerators; no worker has any", size.Accelerators)
	case size.Accelerators > l.Capacity.Accelerators:
		return fmt.Sprintf("needs %d accelerators; the largest worker, %s, has %d",
			size.Accelerators, l.Accelerator, l.Capacity.Accelerators)
	}
	return ""
}

// ShardReplicas returns how many of a zone's replicas the shard at the given
// position among the zone's shards runs.
func ShardReplicas(replicas, position, shards int) int {
	n := replicas / shards
	if position < replicas%shards {
		n++
	}
	return n
}

// minFailedWorkers is the number of distinct workers on which a task, or the tasks
// of a job that has not completed any, must fail before the failures are
// attributed to the work and not to the workers.
const minFailedWorkers = 3

// WorkAtFault reports whether failures on failedOn distinct workers, out of all
// workers, are attributed to the work itself. With fewer than minFailedWorkers
// workers it has to have failed on each of them.
func WorkAtFault(failedOn, workers int) bool {
	return failedOn > 0 && failedOn >= min(minFailedWorkers, workers)
}

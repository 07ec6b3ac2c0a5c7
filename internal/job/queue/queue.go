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

// MaxTasks bounds the tasks of one job: the ledger has one bit for each task of
// a job on every shard that runs a part of it.
const MaxTasks = 1 << 16

// unbounded is the slack of a job without a target.
const unbounded = time.Duration(math.MaxInt64)

// learnShift is the weight of a new run time in the estimate of a class, as a
// power of two. Declared run times are only the first estimate.
const learnShift = 3

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

// Configure takes the classes and quotas of a target document.
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

// Class returns a class of the target document.
func (q *Queue) Class(name unit.ClassID) (spec.Class, bool) {
	c, ok := q.classes[name]
	return c, ok
}

// AddJob adds a job without pending tasks, or does nothing if it is known.
func (q *Queue) AddJob(j Job) {
	if q.jobs[j.ID] == nil {
		q.jobs[j.ID] = &entry{job: j}
	}
}

// Job returns a job.
func (q *Queue) Job(id unit.JobID) (Job, bool) {
	e := q.jobs[id]
	if e == nil {
		return Job{}, false
	}
	return e.job, true
}

// AddTasks makes tasks of a known job pending. Tasks that ran before come first, so
// that work already done is not left waiting behind untouched tasks.
func (q *Queue) AddTasks(id unit.JobID, before bool, tasks ...unit.TaskIndex) {
	e := q.jobs[id]
	if before {
		e.pending = slices.Insert(e.pending, 0, tasks...)
	} else {
		e.pending = append(e.pending, tasks...)
	}
}

// RemoveTask makes a task no longer pending and reports whether it was.
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

// Pending returns the pending tasks of a job in order. The slice must not be
// changed and is valid until the next call that changes the queue.
func (q *Queue) Pending(id unit.JobID) []unit.TaskIndex {
	if e := q.jobs[id]; e != nil {
		return e.pending
	}
	return nil
}

// RemoveJobs forgets jobs with their pending tasks, all in one pass, so that a burst of
// cancellations is one change of the shard's state.
func (q *Queue) RemoveJobs(ids ...unit.JobID) {
	for _, id := range ids {
		delete(q.jobs, id)
	}
}

// Park keeps a job's pending tasks from being placed, with the reason.
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

// PlacementOrder returns the jobs with pending tasks that are not parked, the most urgent
// first: the least time left to the target beyond the estimated work of a task.
// Jobs without a target come last, by submission.
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

// Slack returns the time that a job has left before its target is missed, and
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

// Estimate returns the expected run time of a task of a job.
func (q *Queue) Estimate(j *Job) time.Duration {
	if learned, ok := q.estimates[j.Class]; ok {
		return learned
	}
	return j.Work.Std()
}

// ObserveRunTime learns from the run time of a task that was done.
func (q *Queue) ObserveRunTime(class unit.ClassID, took time.Duration) {
	old, ok := q.estimates[class]
	if !ok {
		old = took
	}
	q.estimates[class] = old + (took-old)>>learnShift
}

// WithinQuota reports whether the team of a job may run one more of its tasks. A
// team that the target document does not name has no quota.
func (q *Queue) WithinQuota(j *Job, usage unit.Resources) bool {
	quota, ok := q.teams[j.Team]
	return ok && usage.Add(j.Size).Fits(quota)
}

// LargestWorkers is the largest amount of each resource that any one worker has, and
// which worker that is.
type LargestWorkers struct {
	Capacity    unit.Resources
	Cores       unit.InstanceID
	Memory      unit.InstanceID
	Accelerator unit.InstanceID
}

// Include returns the largest of l and a worker.
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

// OversizeReason returns why a task of this size fits on no worker at all, or an empty
// string. It names the first resource that is short and the worker that has the
// most of it.
func (l LargestWorkers) OversizeReason(size unit.Resources) string {
	switch {
	case l == LargestWorkers{}:
		return "" // nothing is known of the workers yet
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

// ShardReplicas returns how many of a zone's replicas the shard at a position among
// so many shards keeps running.
func ShardReplicas(replicas, position, shards int) int {
	n := replicas / shards
	if position < replicas%shards {
		n++
	}
	return n
}

// failedWorkers is the number of distinct workers on which a task, or the tasks
// of a job of which none was ever done, must fail before the fault is taken to
// be the work's and not the workers'.
const failedWorkers = 3

// WorkAtFault reports whether failures on so many distinct workers, of those
// there are, show that the work itself is at fault.
func WorkAtFault(failedOn, workers int) bool {
	return failedOn > 0 && failedOn >= min(failedWorkers, workers)
}

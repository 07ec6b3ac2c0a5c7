package scheduler

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// job is a submitted job and how far it is.
type job struct {
	spec        *graph.Job
	started     bool        // a task has been started at some time
	fresh       bool        // no earlier owner can have started a task
	final       graph.State // decided; 0 while open
	durable     bool        // the final state is in the store
	finalSince  time.Time   // when the final state became known
	occurrences []*occurrence
	opened      int  // occurrences whose due time has come
	closed      int  // occurrences that are complete
	active      int  // runs that are on workers
	lasting     bool // has tasks that run until the job is cancelled
}

type occurrence struct {
	job   *job
	index graph.Occurrence
	steps []*step
	open  int // steps that are not complete

	objective time.Time // when it should be complete
}

// step is one step of one occurrence.
type step struct {
	occurrence *occurrence
	index      graph.StepIndex
	spec       *graph.Step
	tasks      []task
	left       int     // tasks that are not done
	blockers   int     // earlier steps that are not complete
	waiting    []*task // tasks to place, the next one last
	queued     bool    // in the list of ready steps
	perWorker  map[unit.InstanceID]int
	image      *image
	fastest    time.Duration              // that a task took at full speed; 0: unknown
	measured   time.Duration              // of the longest task at full speed on a sound worker; 0: unknown
	permits    map[unit.InstanceID]permit // what the placement advice said; nil: nothing yet
}

// task is one task of a step.
type task struct {
	step       *step
	index      unit.TaskIndex
	done       bool
	failed     []graph.RunNumber // runs that ended as failed
	lastRun    graph.RunNumber   // highest run number seen or used
	runs       []*run            // on workers
	checkpoint string
	notBefore  time.Time // no start before
	avoid      unit.InstanceID
}

func (t *task) id() graph.Task {
	return graph.Task{
		Job:        t.step.occurrence.job.spec.ID,
		Occurrence: t.step.occurrence.index,
		Step:       t.step.index,
		Index:      t.index,
	}
}

func (t *task) job() *job { return t.step.occurrence.job }

// findRun returns the run of the task with the number, if it is on a worker.
func (t *task) findRun(n graph.RunNumber) *run {
	for _, r := range t.runs {
		if r.number == n {
			return r
		}
	}
	return nil
}

// AddJob adds a job that is durable in the store. A final state means that it is
// known only to be shown. fresh says that the job was created after this owner's
// claim, so that no earlier owner can have started it.
func (c *Core) AddJob(spec *graph.Job, final graph.State, fresh bool, now time.Time) {
	if old := c.jobs[spec.ID]; old != nil {
		if final == graph.Cancelled {
			c.Cancel(spec.ID, now)
		}
		return
	}
	j := &job{spec: spec, final: final, durable: final != 0, finalSince: now, fresh: fresh}
	c.jobs[spec.ID] = j
	if final != 0 {
		delete(c.progress, spec.ID)
		return
	}
	c.open[spec.ID] = j
	j.lasting = spec.HasLongRunning()
	c.openDue(j, now)
	c.wake = true
}

// Cancel ends a job whose cancellation is durable.
func (c *Core) Cancel(id unit.JobID, now time.Time) {
	j := c.jobs[id]
	if j == nil || (j.final != 0 && j.durable) {
		return
	}
	j.final, j.durable, j.finalSince = graph.Cancelled, true, now
	delete(c.open, id)
	c.drop(j, ReasonCancelled)
	c.changed = true
}

// ConfirmFinalState says that the final state of a job is durable.
func (c *Core) ConfirmFinalState(id unit.JobID, now time.Time) {
	if j := c.jobs[id]; j != nil && j.final != 0 {
		j.durable, j.finalSince = true, now
		delete(c.open, id)
		c.changed = true
	}
}

// RemoveFinalJobs removes final jobs that have been shown since before a time and returns
// their ids.
func (c *Core) RemoveFinalJobs(before time.Time, most int) []unit.JobID {
	var ids []unit.JobID
	for id, j := range c.jobs {
		if len(ids) == most {
			break
		}
		if j.durable && j.active == 0 && j.finalSince.Before(before) {
			ids = append(ids, id)
			delete(c.jobs, id)
		}
	}
	return ids
}

// openDue creates the occurrences whose time has come.
func (c *Core) openDue(j *job, now time.Time) {
	for j.final == 0 && j.opened < j.spec.Occurrences() {
		k := graph.Occurrence(j.opened)
		if j.spec.Times > 0 && now.Before(j.spec.Due(k)) {
			return
		}
		c.openOccurrence(j, k)
		j.opened++
	}
}

func (c *Core) openOccurrence(j *job, k graph.Occurrence) {
	o := &occurrence{job: j, index: k, open: len(j.spec.Steps)}
	j.occurrences = append(j.occurrences, o)
	known := c.progress[j.spec.ID]
	for i := range j.spec.Steps {
		o.steps = append(o.steps, c.newStep(o, graph.StepIndex(i), known))
	}
	if known.Started {
		j.started = true
	}
	c.reckon(o)
	for _, s := range o.steps {
		if s.left == 0 {
			c.closeStep(s)
		}
		for n := range s.tasks {
			c.checkBudget(&s.tasks[n])
		}
	}
	for _, s := range o.steps {
		c.enqueue(s)
	}
}

func (c *Core) newStep(o *occurrence, i graph.StepIndex, known Progress) *step {
	spec := &o.job.spec.Steps[i]
	s := &step{
		occurrence: o,
		index:      i,
		spec:       spec,
		tasks:      make([]task, spec.Count),
		left:       spec.Count,
		blockers:   len(spec.After),
		perWorker:  map[unit.InstanceID]int{},
		image:      c.imageOf(spec),
	}
	for n := range s.tasks {
		s.tasks[n] = task{step: s, index: unit.TaskIndex(n), lastRun: c.firstRun() - 1}
	}
	for _, row := range known.Tasks {
		if row.Occurrence != o.index || row.Step != i || int(row.Index) >= len(s.tasks) {
			continue
		}
		t := &s.tasks[row.Index]
		t.failed, t.checkpoint = row.Failed, row.Checkpoint
		if row.Done {
			t.done = true
			s.left--
		}
	}
	// The last task of the list is placed first.
	for n := len(s.tasks) - 1; n >= 0; n-- {
		if !s.tasks[n].done {
			s.waiting = append(s.waiting, &s.tasks[n])
		}
	}
	return s
}

// enqueue adds a step to the ready list if its turn has come.
func (c *Core) enqueue(s *step) {
	if s.queued || s.blockers > 0 || len(s.waiting) == 0 || s.occurrence.job.final != 0 {
		return
	}
	s.queued = true
	c.ready = append(c.ready, s)
	c.wake = true
}

// wait puts a task back among those to place.
func (c *Core) wait(t *task) {
	if t.done || t.job().final != 0 || len(t.runs) > 0 || slices.Contains(t.step.waiting, t) {
		return
	}
	t.step.waiting = append(t.step.waiting, t)
	c.enqueue(t.step)
}

// complete marks a task as done.
func (c *Core) complete(t *task) {
	if t.done {
		return
	}
	t.done = true
	t.checkpoint = ""
	s := t.step
	s.left--
	s.waiting = slices.DeleteFunc(s.waiting, func(o *task) bool { return o == t })
	c.changed = true
	for _, r := range t.runs {
		c.stop(r, ReasonObsolete)
	}
	if s.left == 0 {
		c.closeStep(s)
	}
}

// closeStep opens the steps that waited for a complete one.
func (c *Core) closeStep(s *step) {
	o := s.occurrence
	o.open--
	c.learn(s)
	c.reckon(o)
	for _, later := range o.steps {
		if !slices.Contains(later.spec.After, s.index) {
			continue
		}
		later.blockers--
		c.enqueue(later)
	}
	if o.open > 0 {
		return
	}
	o.job.closed++
	if o.job.closed == o.job.spec.Occurrences() {
		c.finish(o.job, graph.Completed, "all tasks done")
	}
}

// finish decides the final state of a job, which is shown once it is durable.
func (c *Core) finish(j *job, state graph.State, cause string) {
	if j.final != 0 {
		return
	}
	j.final = state
	c.finishes = append(c.finishes, FinalState{Job: j.spec.ID, State: state, Cause: cause})
	c.drop(j, ReasonObsolete)
}

// drop stops all runs of a job and takes its tasks out of the ready list.
func (c *Core) drop(j *job, reason Reason) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.waiting = nil
			for n := range s.tasks {
				for _, r := range s.tasks[n].runs {
					c.stop(r, reason)
				}
			}
		}
	}
}

// fail notes a failed run of a task and ends the job if its attempts are used up.
func (c *Core) fail(t *task, n graph.RunNumber) {
	if slices.Contains(t.failed, n) {
		return
	}
	t.failed = append(t.failed, n)
	c.changed = true
	c.checkBudget(t)
}

// checkBudget ends the job of a task that has failed as often as its queue allows.
func (c *Core) checkBudget(t *task) {
	limit := t.job().spec.Queue.MaxAttempts
	if limit > 0 && len(t.failed) >= limit && !t.step.spec.LongRunning && !t.done {
		c.finish(t.job(), graph.Failed, "a task failed as often as its queue allows")
	}
}

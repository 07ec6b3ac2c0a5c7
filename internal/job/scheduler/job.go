package scheduler

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// job is a submitted job and how far it is.
type job struct {
	spec                 *graph.Job
	started              bool        // a task has been started at some time
	createdInTerm        bool        // no earlier owner can have started a task
	final                graph.State // decided; 0 while open
	finalDurable         bool        // the final state is in the store
	finalSince           time.Time   // when the final state became known
	occurrences          []*occurrence
	openedOccurrences    int  // occurrences whose due time has come
	completedOccurrences int  // occurrences that are complete
	activeRuns           int  // runs that are on workers
	longRunning          bool // has tasks that run until the job is cancelled
}

type occurrence struct {
	job             *job
	index           graph.Occurrence
	steps           []*step
	incompleteSteps int // steps that are not complete

	softDeadline time.Time // when it should be complete
}

// step is one step of one occurrence.
type step struct {
	occurrence     *occurrence
	index          graph.StepIndex
	spec           *graph.Step
	tasks          []task
	remaining      int     // tasks that are not done
	incompleteDeps int     // earlier steps that are not complete
	waiting        []*task // tasks to place, the next one last
	inReadySteps   bool    // in the list of ready steps
	runsPerWorker  map[unit.InstanceID]int
	image          *image
	fastestTask    time.Duration                    // that a task took at full speed; 0: unknown
	longestTask    time.Duration                    // of the longest task at full speed on a sound worker; 0: unknown
	advice         map[unit.InstanceID]adviceAnswer // what the placement advice said; nil: nothing yet
}

// task is one task of a step.
type task struct {
	step          *step
	index         unit.TaskIndex
	done          bool
	failedRuns    []graph.RunNumber // runs that ended as failed
	lastRun       graph.RunNumber   // highest run number seen or used
	runs          []*run            // on workers
	checkpoint    string
	earliestStart time.Time // no start before
	avoidedWorker unit.InstanceID
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
	j := &job{spec: spec, final: final, finalDurable: final != 0, finalSince: now, createdInTerm: fresh}
	c.jobs[spec.ID] = j
	if final != 0 {
		delete(c.inheritedProgress, spec.ID)
		return
	}
	c.openJobs[spec.ID] = j
	j.longRunning = spec.HasLongRunning()
	c.openDueOccurrences(j, now)
	c.placementDue = true
}

// Cancel ends a job whose cancellation is durable.
func (c *Core) Cancel(id unit.JobID, now time.Time) {
	j := c.jobs[id]
	if j == nil || (j.final != 0 && j.finalDurable) {
		return
	}
	j.final, j.finalDurable, j.finalSince = graph.Cancelled, true, now
	delete(c.openJobs, id)
	c.stopJob(j, ReasonCancelled)
	c.progressChanged = true
}

// ConfirmFinalState says that the final state of a job is durable.
func (c *Core) ConfirmFinalState(id unit.JobID, now time.Time) {
	if j := c.jobs[id]; j != nil && j.final != 0 {
		j.finalDurable, j.finalSince = true, now
		delete(c.openJobs, id)
		c.progressChanged = true
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
		if j.finalDurable && j.activeRuns == 0 && j.finalSince.Before(before) {
			ids = append(ids, id)
			delete(c.jobs, id)
		}
	}
	return ids
}

// openDueOccurrences creates the occurrences whose time has come.
func (c *Core) openDueOccurrences(j *job, now time.Time) {
	for j.final == 0 && j.openedOccurrences < j.spec.Occurrences() {
		k := graph.Occurrence(j.openedOccurrences)
		if j.spec.Times > 0 && now.Before(j.spec.Due(k)) {
			return
		}
		c.openOccurrence(j, k)
		j.openedOccurrences++
	}
}

func (c *Core) openOccurrence(j *job, k graph.Occurrence) {
	o := &occurrence{job: j, index: k, incompleteSteps: len(j.spec.Steps)}
	j.occurrences = append(j.occurrences, o)
	known := c.inheritedProgress[j.spec.ID]
	for i := range j.spec.Steps {
		o.steps = append(o.steps, c.newStep(o, graph.StepIndex(i), known))
	}
	if known.Started {
		j.started = true
	}
	c.updateSoftDeadline(o)
	for _, s := range o.steps {
		if s.remaining == 0 {
			c.completeStep(s)
		}
		for n := range s.tasks {
			c.checkAttempts(&s.tasks[n])
		}
	}
	for _, s := range o.steps {
		c.enqueue(s)
	}
}

func (c *Core) newStep(o *occurrence, i graph.StepIndex, known Progress) *step {
	spec := &o.job.spec.Steps[i]
	s := &step{
		occurrence:     o,
		index:          i,
		spec:           spec,
		tasks:          make([]task, spec.Count),
		remaining:      spec.Count,
		incompleteDeps: len(spec.After),
		runsPerWorker:  map[unit.InstanceID]int{},
		image:          c.imageOf(spec),
	}
	for n := range s.tasks {
		s.tasks[n] = task{step: s, index: unit.TaskIndex(n), lastRun: c.firstRunNumber() - 1}
	}
	for _, row := range known.Tasks {
		if row.Occurrence != o.index || row.Step != i || int(row.Index) >= len(s.tasks) {
			continue
		}
		t := &s.tasks[row.Index]
		t.failedRuns, t.checkpoint = row.Failed, row.Checkpoint
		if row.Done {
			t.done = true
			s.remaining--
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
	if s.inReadySteps || s.incompleteDeps > 0 || len(s.waiting) == 0 || s.occurrence.job.final != 0 {
		return
	}
	s.inReadySteps = true
	c.readySteps = append(c.readySteps, s)
	c.placementDue = true
}

// requeue puts a task back among those to place.
func (c *Core) requeue(t *task) {
	if t.done || t.job().final != 0 || len(t.runs) > 0 || slices.Contains(t.step.waiting, t) {
		return
	}
	t.step.waiting = append(t.step.waiting, t)
	c.enqueue(t.step)
}

// completeTask marks a task as done.
func (c *Core) completeTask(t *task) {
	if t.done {
		return
	}
	t.done = true
	t.checkpoint = ""
	s := t.step
	s.remaining--
	s.waiting = slices.DeleteFunc(s.waiting, func(o *task) bool { return o == t })
	c.progressChanged = true
	for _, r := range t.runs {
		c.stopRun(r, ReasonObsolete)
	}
	if s.remaining == 0 {
		c.completeStep(s)
	}
}

// completeStep opens the steps that waited for a complete one.
func (c *Core) completeStep(s *step) {
	o := s.occurrence
	o.incompleteSteps--
	c.recordStepDuration(s)
	c.updateSoftDeadline(o)
	for _, later := range o.steps {
		if !slices.Contains(later.spec.After, s.index) {
			continue
		}
		later.incompleteDeps--
		c.enqueue(later)
	}
	if o.incompleteSteps > 0 {
		return
	}
	o.job.completedOccurrences++
	if o.job.completedOccurrences == o.job.spec.Occurrences() {
		c.decideFinalState(o.job, graph.Completed, "all tasks done")
	}
}

// decideFinalState decides the final state of a job, which is shown once it is durable.
func (c *Core) decideFinalState(j *job, state graph.State, cause string) {
	if j.final != 0 {
		return
	}
	j.final = state
	c.finalStates = append(c.finalStates, FinalState{Job: j.spec.ID, State: state, Cause: cause})
	c.stopJob(j, ReasonObsolete)
}

// stopJob stops all runs of a job and takes its tasks out of the ready list.
func (c *Core) stopJob(j *job, reason Reason) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.waiting = nil
			for n := range s.tasks {
				for _, r := range s.tasks[n].runs {
					c.stopRun(r, reason)
				}
			}
		}
	}
}

// recordFailedRun notes a failed run of a task and ends the job if its attempts are used up.
func (c *Core) recordFailedRun(t *task, n graph.RunNumber) {
	if slices.Contains(t.failedRuns, n) {
		return
	}
	t.failedRuns = append(t.failedRuns, n)
	c.progressChanged = true
	c.checkAttempts(t)
}

// checkAttempts ends the job of a task that has failed as often as its queue allows.
func (c *Core) checkAttempts(t *task) {
	limit := t.job().spec.Queue.MaxAttempts
	if limit > 0 && len(t.failedRuns) >= limit && !t.step.spec.LongRunning && !t.done {
		c.decideFinalState(t.job(), graph.Failed, "a task failed as often as its queue allows")
	}
}

package scheduler

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
	"github.com/monsoonfold/monsoonfold/internal/job/share"
)

// job holds a submitted job and its progress.
type job struct {
	spec                 *graph.Job
	started              bool        // a worker has begun some task, for any owner
	startOrdered         bool        // a start was ordered by this owner
	createdInTerm        bool        // no earlier owner can have started a task
	final                graph.State // 0 until the final state is decided
	finalDurable         bool        // the final state is in the store
	finalSince           time.Time   // when the final state became durable or was loaded
	occurrences          []*occurrence
	openedOccurrences    int // occurrences whose due time has passed
	completedOccurrences int
	activeRuns           int            // runs on workers
	openMemory           unit.Bytes     // that its open occurrences take; see openBudget
	longRunning          bool           // has tasks that run until the job is cancelled
	account              *account       // of its organisation; nil without one
	arrival              *share.Arrival // at its organisation; nil without one
}

// occurrence is one execution of a job's graph of steps.
type occurrence struct {
	job             *job
	index           graph.Occurrence
	steps           []*step
	incompleteSteps int

	softDeadline   time.Time     // when it should be complete; see updateSoftDeadline
	usefulUntil    time.Time     // when it stops being of any use
	remainingChain time.Duration // expected duration of the longest chain of incomplete steps at full speed
	place          overload.Place
	assessedAt     time.Time // when place was last computed
}

// step is one step of one occurrence.
type step struct {
	occurrence     *occurrence
	index          graph.StepIndex
	spec           *graph.Step
	standing       standing  // among the steps of other organisations
	held           holdCause // why the last placement pass held it back
	tasks          []task
	remaining      int     // tasks that are not done
	incompleteDeps int     // steps named in spec.After that are not complete
	waiting        []*task // tasks to place; the last one is placed first
	inReadySteps   bool    // listed in Core.readySteps
	activeRuns     int     // runs on workers
	runsPerWorker  map[unit.InstanceID]int
	delayedRuns    int // runs at a pace below delayingPace
	image          *image
	// expected is the expected duration of a task at full speed, as of the last update of the
	// soft deadline, and expectedDeviation that of the logarithm of the actual one over it.
	expected          time.Duration
	expectedDeviation float64
	fastestTask       time.Duration                    // shortest task duration at full speed; 0: unknown
	longestTask       time.Duration                    // longest task duration at full speed, without slow workers; 0: unknown
	advice            map[unit.InstanceID]adviceAnswer // by worker; nil until the placement advice has answered
	adviceRetryAt     time.Time                        // before which the advice is not asked for the step, as a request failed
	preemptRetryAt    time.Time                        // before which no preemption is tried, as no worker can take a task
	inTurn            bool                             // it is the turn of the step; see turns
	turnRetryAt       time.Time                        // before which it gets no turn
	reserved          []*worker                        // reserved for it
	reserveRetryAt    time.Time                        // before which no worker is reserved for it
	reserveAttempts   int                              // to reserve one since the last that did
	slowSpeed         float64                          // accepted instead of minSpeed if slowStart is set
	slowStart         bool                             // no worker offers minSpeed, also without other best-effort tasks
	idleSince         time.Time                        // when its last run ended or its turn came; see idleFor
	heldSince         time.Time                        // since when passes have held it back
}

// task is one task of a step.
type task struct {
	step          *step
	index         unit.TaskIndex
	done          bool
	endedDone     bool // a run has ended as done; the task is complete once it, or its gang, has no other run
	failedRuns    []graph.RunNumber
	lastRun       graph.RunNumber // highest run number seen or used
	ranBefore     bool            // a run has ended after a worker had begun it
	noHiddenRun   bool            // no unresolved worker can have another run of it; see observeRun and AddPlacements
	runs          []*run          // runs on workers
	checkpoint    string          // latest one; a new run resumes from it
	earliestStart time.Time
	avoidedWorker unit.InstanceID // which last failed, stalled or refused the task
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

// findRun returns the task's run with the given number, or nil if no worker has it.
func (t *task) findRun(n graph.RunNumber) *run {
	for _, r := range t.runs {
		if r.number == n {
			return r
		}
	}
	return nil
}

// runOn returns the task's run on a worker, or nil if it has none there.
func (t *task) runOn(w *worker) *run {
	for _, r := range t.runs {
		if r.worker == w {
			return r
		}
	}
	return nil
}

// AddJob adds a job that is durable in the store, or ends one that is known. A job with a
// final state is only kept to be shown to callers. createdInTerm says that the job was
// created after this owner's claim, so that no earlier owner can have started it.
func (c *Core) AddJob(spec *graph.Job, final graph.State, createdInTerm bool, now time.Time) {
	if old := c.jobs[spec.ID]; old != nil {
		if final != 0 {
			c.end(old, final, now)
		}
		return
	}
	j := &job{spec: spec, final: final, finalDurable: final != 0, finalSince: now, createdInTerm: createdInTerm}
	c.jobs[spec.ID] = j
	c.jobMemory.replace(nil, spec)
	c.joinOrganisation(j)
	if final != 0 {
		delete(c.inheritedProgress, spec.ID)
		return
	}
	c.openJobs[spec.ID] = j
	j.longRunning = spec.HasLongRunning()
	c.openDueOccurrences(j, now)
	c.placementDue = true
}

// Cancel ends a job whose cancellation is durable and stops its runs.
func (c *Core) Cancel(id unit.JobID, now time.Time) {
	if j := c.jobs[id]; j != nil {
		c.end(j, graph.Cancelled, now)
	}
}

// end gives a job the final state that the store has for it and stops its runs.
func (c *Core) end(j *job, final graph.State, now time.Time) {
	if j.final != 0 && j.finalDurable && j.final != graph.Withdrawn { // a withdrawn job is cancelled once it is submitted
		return
	}
	j.final, j.finalDurable, j.finalSince = final, true, now
	delete(c.openJobs, j.spec.ID)
	delete(c.open.parked, j.spec.ID)
	reason := ReasonObsolete
	if final == graph.Cancelled {
		reason = ReasonCancelled
	}
	c.stopJob(j, reason)
	c.ended = append(c.ended, j)
	c.progressChanged = true
}

// ConfirmFinalState records that the final state of a job is durable, so that it
// can be shown.
func (c *Core) ConfirmFinalState(id unit.JobID, now time.Time) {
	if j := c.jobs[id]; j != nil && j.final != 0 {
		j.finalDurable, j.finalSince = true, now
		delete(c.openJobs, id)
		c.ended = append(c.ended, j)
		c.progressChanged = true
	}
}

// RemoveFinalJobs removes up to limit jobs whose final state has been shown since
// before the given time, and returns their ids.
func (c *Core) RemoveFinalJobs(before time.Time, limit int) []unit.JobID {
	var ids []unit.JobID
	for id, j := range c.jobs {
		if len(ids) == limit {
			break
		}
		if j.finalDurable && j.activeRuns == 0 && j.finalSince.Before(before) {
			ids = append(ids, id)
			c.dropOccurrences(j)
			c.jobMemory.replace(j.spec, nil)
			delete(c.jobs, id)
			c.leaveOrganisation(j)
		}
	}
	return ids
}

// enqueue adds a step to the ready steps if it has waiting tasks and no incomplete
// dependency.
func (c *Core) enqueue(s *step) {
	c.updateStanding(s)
	if s.inReadySteps || s.incompleteDeps > 0 || len(s.waiting) == 0 || s.occurrence.job.final != 0 {
		return
	}
	s.inReadySteps = true
	c.readySteps = append(c.readySteps, s)
	c.placementDue = true
}

// requeue puts a task back among the waiting ones, unless it is done or still has a
// run. A task that has ended as done is completed instead.
func (c *Core) requeue(t *task) {
	if t.done || t.job().final != 0 || len(t.runs) > 0 || slices.Contains(t.step.waiting, t) {
		return
	}
	if t.endedDone {
		c.completeEnded(t)
		return
	}
	t.step.waiting = append(t.step.waiting, t)
	c.enqueue(t.step)
}

// completeEnded completes a task that has ended as done, or all members of its gang, once
// none of them has a run.
func (c *Core) completeEnded(t *task) {
	if t.hasRuns() {
		return
	}
	for _, m := range t.members() {
		c.completeTask(m)
	}
}

// completeTask marks a task as done and stops any further runs of it.
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
	for _, r := range slices.Clone(t.runs) { // stopRun may remove the run
		c.stopRun(r, ReasonObsolete)
	}
	if s.remaining == 0 {
		c.completeStep(s)
	}
}

// completeStep enqueues the steps that depended on a completed one, and completes
// the job with its last step.
func (c *Core) completeStep(s *step) {
	o := s.occurrence
	o.incompleteSteps--
	c.recordStepDuration(s)
	c.updateSoftDeadline(o)
	for _, later := range o.steps {
		if !slices.Contains(later.spec.After, s.index) {
			continue
		}
		if later.incompleteDeps--; later.incompleteDeps == 0 {
			c.markIdle(later)
		}
		c.enqueue(later)
	}
	if o.incompleteSteps > 0 {
		return
	}
	c.open.release(o.job, occurrenceMemory(o.job.spec)) // its tasks take memory until the job ends, but workers have done them
	o.job.completedOccurrences++
	if o.job.completedOccurrences == o.job.spec.Occurrences() {
		c.decideFinalState(o.job, graph.Completed, "all tasks done")
	}
}

// decideFinalState sets the final state of a job, unless it has one, and stops its
// runs. The state is shown once it is durable.
func (c *Core) decideFinalState(j *job, state graph.State, cause string) {
	if j.final != 0 {
		return
	}
	j.final = state
	c.finalStates = append(c.finalStates, FinalState{Job: j.spec.ID, State: state, Cause: cause})
	c.stopJob(j, ReasonObsolete)
}

// stopJob stops all runs of a job and removes its waiting tasks.
func (c *Core) stopJob(j *job, reason Reason) {
	c.keepHidden(j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.waiting = nil
			for n := range s.tasks {
				for _, r := range slices.Clone(s.tasks[n].runs) { // stopRun may remove the run
					c.stopRun(r, reason)
				}
			}
		}
	}
}

// recordFailedRun records a failed run of a task and fails the job if the task has
// no attempt left.
func (c *Core) recordFailedRun(t *task, n graph.RunNumber) {
	if slices.Contains(t.failedRuns, n) {
		return
	}
	t.failedRuns = append(t.failedRuns, n)
	c.progressChanged = true
	c.checkAttempts(t)
}

// checkAttempts fails the job of a task that has failed as often as its queue allows and
// has never ended as done.
func (c *Core) checkAttempts(t *task) {
	limit := t.job().spec.Queue.MaxAttempts
	if limit > 0 && len(t.failedRuns) >= limit && !t.step.spec.LongRunning && !t.done && !t.endedDone {
		c.decideFinalState(t.job(), graph.Failed, "a task failed as often as its queue allows")
	}
}

package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// openDueOccurrences creates the occurrences of a job whose due time has passed, as far as
// there is room for them.
func (c *Core) openDueOccurrences(j *job, now time.Time) {
	for j.final == 0 && j.openedOccurrences < j.spec.Occurrences() {
		k := graph.Occurrence(j.openedOccurrences)
		if j.spec.Times > 0 && now.Before(j.spec.Due(k)) {
			return
		}
		if !c.mayOpen(j) {
			return
		}
		c.open.charge(j)
		c.openOccurrence(j, k, now)
		j.openedOccurrences++
		c.adoptEarlyRuns(j, k, now)
	}
}

// openOccurrence creates an occurrence, applies the inherited progress to it and
// enqueues the steps that are ready.
func (c *Core) openOccurrence(j *job, k graph.Occurrence, now time.Time) {
	o := &occurrence{job: j, index: k, incompleteSteps: len(j.spec.Steps)}
	j.occurrences = append(j.occurrences, o)
	inherited := c.inheritedProgress[j.spec.ID]
	for i := range j.spec.Steps {
		o.steps = append(o.steps, c.newStep(o, graph.StepIndex(i), inherited))
	}
	if inherited.Started {
		j.started = true
	}
	for _, s := range o.steps {
		s.idleSince = now
		if !j.started && len(s.spec.After) == 0 {
			s.idleSince = o.due() // no owner has started a task of the job
		}
	}
	c.updateSoftDeadline(o)
	c.meanWork.Add(j.spec.Queue.ID, o.work())
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

// newStep creates a step with the tasks that the inherited progress leaves open.
func (c *Core) newStep(o *occurrence, i graph.StepIndex, inherited Progress) *step {
	spec := &o.job.spec.Steps[i]
	s := &step{
		occurrence:     o,
		index:          i,
		spec:           spec,
		tasks:          make([]task, spec.Count),
		remaining:      spec.Count,
		incompleteDeps: countDependencies(spec.After),
		runsPerWorker:  map[unit.InstanceID]int{},
		image:          c.imageOf(spec),
	}
	for n := range s.tasks {
		s.tasks[n] = task{
			step: s, index: unit.TaskIndex(n), lastRun: c.firstRunNumber() - 1,
			noHiddenRun: int(o.index) < inherited.Opened && !inherited.placed(o.index, i, unit.TaskIndex(n)),
		}
	}
	done := map[unit.TaskIndex]bool{}
	for _, saved := range inherited.Tasks {
		if saved.Occurrence != o.index || saved.Step != i || int(saved.Index) >= len(s.tasks) {
			continue
		}
		t := &s.tasks[saved.Index]
		t.failedRuns, t.checkpoint = saved.Failed, saved.Checkpoint
		t.ranBefore = spec.LongRunning || len(saved.Failed) > 0 || saved.Checkpoint != ""
		if saved.Done && !spec.LongRunning {
			done[saved.Index] = true
		}
	}
	for n := range s.tasks {
		// One end as done represents all members of a gang.
		if done[unit.TaskIndex(n)] || (spec.Gang && len(done) > 0) {
			s.tasks[n].done = true
			s.remaining--
		}
	}
	// The last task of the list is placed first, so that tasks start by index, those that
	// have run before first.
	for _, ranBefore := range []bool{false, true} {
		for n := len(s.tasks) - 1; n >= 0; n-- {
			if t := &s.tasks[n]; !t.done && t.ranBefore == ranBefore {
				s.waiting = append(s.waiting, t)
			}
		}
	}
	return s
}

// countDependencies returns the number of steps in a list, which may name one repeatedly if
// an earlier release stored the job.
func countDependencies(after []graph.StepIndex) int {
	distinct := map[graph.StepIndex]bool{}
	for _, i := range after {
		distinct[i] = true
	}
	return len(distinct)
}

package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Explanation tells why the tasks of a job wait.
type Explanation struct {
	Job          unit.JobID
	Queue        graph.QueueID
	Service      unit.ServiceID
	Organisation unit.OrganisationID
	Priority     graph.Priority
	State        graph.State
	Due          time.Time     // of the last occurrence that has begun, or of the first one
	SoftDeadline time.Time     // of that occurrence; zero if none has begun
	TooLate      bool          // that occurrence is too late to be of use
	Runs         int           // of the job on workers
	StartsHeld   bool          // nothing starts, as a view of the store is too old
	Steps        []WaitingStep // with waiting tasks
}

// WaitingStep is a step with waiting tasks.
type WaitingStep struct {
	Occurrence  graph.Occurrence
	Step        graph.StepIndex
	Tasks       int // that wait
	Needs       unit.Resources
	BestEffort  bool
	Reason      WaitReason
	JobsBefore  int             // other jobs with ready tasks that are placed before
	Free, Total unit.Millicores // cores for such tasks on the workers that take starts
	StartWait   time.Duration   // expected for a new task of the priority
}

// WaitReason says why the tasks of a step wait.
type WaitReason string

// Reasons for which tasks wait.
const (
	WaitSteps     WaitReason = "earlier steps are not complete"
	WaitWorkers   WaitReason = "they may run on a worker that has not reported since the takeover"
	WaitRetry     WaitReason = "a start or a run has failed, and the next attempt is not due"
	WaitGang      WaitReason = "members of an earlier run of the gang have not ended"
	WaitAdvice    WaitReason = "the placement advice names no worker yet"
	WaitNoWorker  WaitReason = "no listed worker of the service can ever take them"
	WaitNotTaking WaitReason = "no worker of the service takes starts at present"
	WaitCapacity  WaitReason = "no worker has the capacity"
	WaitGangFits  WaitReason = "the workers lack the capacity for all members of the gang at the same time"
	WaitQuota     WaitReason = "they would exceed the cap of their organisation"
	WaitConfig    WaitReason = "their organisation has a cap, and the configuration has not been read lately"
	WaitRate      WaitReason = "the job is beyond the rate of its organisation, and others go first"
	WaitShare     WaitReason = "its organisation runs more than its share, and others go first"
	WaitLink      WaitReason = "starts have used up their share of the owner's link"
	WaitTurn      WaitReason = "they are placed in one of the next passes"
)

// Explain tells why a job waits at a time, and returns false if the job is not known.
func (c *Core) Explain(id unit.JobID, now time.Time) (Explanation, bool) {
	j := c.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	state, _ := c.JobState(id)
	e := Explanation{
		Job: id, Queue: j.spec.Queue.ID, Service: j.spec.Queue.Service, Organisation: j.spec.Organisation,
		Priority: j.spec.Queue.Priority, State: state, Due: j.spec.Due(0), Runs: j.activeRuns,
	}
	for _, o := range j.occurrences {
		e.Due, e.SoftDeadline, e.TooLate = o.due(), o.softDeadline, o.tooLate(now)
		for _, s := range o.steps {
			if len(s.waiting) > 0 && j.final == 0 {
				e.Steps = append(e.Steps, c.explainStep(s, now))
			}
		}
	}
	return e, true
}

// explainStep tells why the waiting tasks of a step wait.
func (c *Core) explainStep(s *step, now time.Time) WaitingStep {
	pool, _ := c.poolLoad(poolOf(s), now)
	return WaitingStep{
		Occurrence: s.occurrence.index, Step: s.index, Tasks: len(s.waiting), Needs: s.spec.Needs, BestEffort: s.spec.BestEffort,
		Reason: c.waitReason(s, now), JobsBefore: c.jobsBefore(s, now),
		Free: pool.Free, Total: pool.Total, StartWait: pool.StartWait(s.occurrence.job.spec.Queue.Priority),
	}
}

// organisationReasons are the reasons for which a step is held back because of its
// organisation.
var organisationReasons = map[holdCause]WaitReason{holdQuota: WaitQuota, holdConfiguration: WaitConfig}

// capacityReason returns why a step does not get the capacity that there is.
func (s *step) capacityReason() WaitReason {
	switch {
	case s.beyondRate():
		return WaitRate
	case s.standing&standingAbove != 0:
		return WaitShare
	}
	return WaitCapacity
}

// waitReason returns the first reason that keeps the tasks of a step from starting.
func (c *Core) waitReason(s *step, now time.Time) WaitReason {
	next := s.nextTask(now)
	switch {
	case s.incompleteDeps > 0:
		return WaitSteps
	case c.countHeldBack(s) == len(s.waiting):
		return WaitWorkers
	case s.spec.Gang && len(s.waiting) != s.remaining:
		return WaitGang
	case next == nil:
		return WaitRetry
	}
	if reason, ok := organisationReasons[c.holdCauseOf(s, s.startsTogether(), now)]; ok {
		return reason
	}
	switch reason := c.workerReason(next, now); reason {
	case "":
	case WaitCapacity:
		return s.capacityReason()
	default:
		return reason
	}
	switch {
	case s.spec.Gang && !c.gangFits(s, now):
		return WaitGangFits
	case c.startBudget.deferred:
		return WaitLink
	}
	return WaitTurn
}

// gangFits reports whether all tasks of a gang can start at the same time.
func (c *Core) gangFits(s *step, now time.Time) bool {
	return c.chooseGang(s, now, c.eligible) != nil
}

// workerReason returns why no worker takes a task, or "" if one does.
func (c *Core) workerReason(t *task, now time.Time) WaitReason {
	s := t.step
	possible, open, suited := false, false, false
	for _, w := range c.workersByService[t.job().spec.Queue.Service] {
		possible = possible || w.couldTake(s.spec)
		if !c.isOpen(w, now) {
			continue
		}
		open = true
		if _, ok := s.ticketFor(w, now); ok {
			suited = true
		}
		if _, ok := c.scoreOpen(w, t, now); ok {
			return ""
		}
	}
	switch {
	case !possible:
		return WaitNoWorker
	case !open:
		return WaitNotTaking
	case !suited:
		return WaitAdvice
	}
	return WaitCapacity
}

// jobsBefore returns how many other jobs have ready tasks that are placed before those of a
// step.
func (c *Core) jobsBefore(s *step, now time.Time) int {
	before := map[*job]bool{}
	for _, other := range c.readySteps {
		j := other.occurrence.job
		if j != s.occurrence.job && len(other.waiting) > 0 && j.final == 0 &&
			j.spec.Queue.Service == s.occurrence.job.spec.Queue.Service && c.policy.compare(other, s, now) < 0 {
			before[j] = true
		}
	}
	return len(before)
}

package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// HandleReport takes the answer of a worker to a hold order.
func (c *Core) HandleReport(id unit.InstanceID, p Report, now time.Time) {
	w := c.workers[id]
	if w == nil || p.Incarnation < w.incarnation {
		return
	}
	if p.Incarnation != w.incarnation {
		c.handleRestart(w, p.Incarnation, now)
	}
	w.reportRequestedAt = p.RequestedAt
	if c.unresolved[id] {
		delete(c.unresolved, id)
		c.placementDue = true
	}
	for _, e := range p.Ended {
		if e.Number > w.lastEndSeen {
			w.lastEndSeen = e.Number
			c.handleEnd(w, e, now)
		}
	}
	if len(p.Ended) > 0 {
		c.progressChanged = true // the ends must become durable before they are acknowledged
	}
	w.unknownRuns = 0
	listed := make(map[graph.Task]bool, len(p.Running))
	for _, s := range p.Running {
		listed[s.Task] = true
		c.observeRun(w, s, p.RequestedAt, now)
	}
	if !p.Partial {
		c.endAbsentRuns(w, listed, p.RequestedAt, now)
	}
	c.policy.onReport(w, now)
}

// handleEnd takes one handleEnd that a worker lists for the first time.
func (c *Core) handleEnd(w *worker, e End, now time.Time) {
	t := c.lookupTask(e.Task)
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	t.job().started = true // the owner that started it may have written no progress
	if e.Checkpoint != "" && !t.done {
		t.checkpoint = e.Checkpoint
	}
	r := t.findRun(e.Run)
	if r != nil && r.worker == w {
		if e.Kind == EndDone {
			r.accrueWork(now)
			c.measureDuration(r, 100)
		}
		c.removeRun(r)
	}
	switch e.Kind {
	case EndDone:
		w.health.recordSuccess()
		c.handleDone(t)
	case EndFailed:
		w.health.recordFailure(t.job().spec.ID, now)
		t.avoidedWorker = w.id
		c.recordFailedRun(t, e.Run)
	}
	if t.step.spec.Gang && e.Kind != EndDone {
		c.stopGangRun(t.step, e.Run)
	}
	c.requeue(t)
}

// handleDone completes a task. A run that another worker has of it meanwhile is the
// one that counts, unless the step allows copies.
func (c *Core) handleDone(t *task) {
	if t.step.spec.LongRunning {
		return
	}
	if t.step.spec.Gang {
		for n := range t.step.tasks {
			c.completeTask(&t.step.tasks[n])
		}
		return
	}
	if len(t.runs) == 0 || t.step.spec.Speculative {
		c.completeTask(t)
	}
}

// stopGangRun stops what is left of a gang's run after one member ended.
func (c *Core) stopGangRun(s *step, number graph.RunNumber) {
	for n := range s.tasks {
		for _, r := range s.tasks[n].runs {
			if r.number == number {
				c.stopRun(r, ReasonGangEnded)
			}
		}
	}
}

// observeRun takes one run that a worker lists as present.
func (c *Core) observeRun(w *worker, s RunStatus, sent, now time.Time) {
	t := c.lookupTask(s.Task)
	if t == nil {
		c.stopUnknownRun(w, s)
		return
	}
	t.lastRun = max(t.lastRun, s.Run)
	r := w.runs[s.Task]
	if r == nil || r.number != s.Run {
		r = c.adoptRun(w, t, s, now)
		if r == nil {
			return
		}
	}
	if r.phase == phaseStarting || r.phase == phaseUnconfirmed {
		r.phase, r.absenceConclusiveAt = phaseRunning, sent
	}
	if s.Checkpoint != "" {
		t.checkpoint = s.Checkpoint
	}
	r.recordProgress(s, now)
	c.measureDuration(r, s.ProgressPercent)
}

// adoptRun takes over a run that an earlier owner started, or stops it if its task
// does not need it.
func (c *Core) adoptRun(w *worker, t *task, s RunStatus, now time.Time) *run {
	wanted := !t.done && t.job().final == 0 && (len(t.runs) == 0 || t.step.spec.Speculative) && w.runs[s.Task] == nil
	if !wanted {
		c.stopUnknownRun(w, s)
		return nil
	}
	r := c.addRun(w, t, s.Run, phaseRunning, now)
	r.absenceConclusiveAt, r.resumedFromCheckpoint = now, true
	c.RecordLease(w.id, c.inheritedLeasesExpireAt) // the lease that the earlier owner gave
	if need := t.step.spec.Needs.Cores; t.step.spec.BestEffort && need > 0 {
		// The earlier owner may have changed the pace; what the run uses tells.
		if used := s.Metric * 100 / int(need); used < minFullPaceUsage {
			r.pacePercent = used
		}
	}
	return r
}

// stopUnknownRun stops a run that no task needs. Until it is gone the room that it
// takes is not known, and the worker gets no starts.
func (c *Core) stopUnknownRun(w *worker, s RunStatus) {
	w.unknownRuns++
	c.issueOrder(Order{Kind: OrderStop, Worker: w.id, Incarnation: w.incarnation, Task: s.Task, Run: s.Run, Reason: ReasonObsolete})
}

// minFullPaceUsage is the used share of its cores, in percent, from which on an adopted
// run is taken to work at full pace.
const minFullPaceUsage = 85

// recordProgress notes the progress of a run.
func (r *run) recordProgress(s RunStatus, now time.Time) {
	if s.ProgressPercent != r.progressPercent {
		r.progressPercent, r.progressedAt = s.ProgressPercent, now
		if r.task.step.spec.LongRunning && s.ProgressPercent == 100 && r.orderedAt.After(r.worker.health.quarantinedUntil) {
			r.worker.health.recordSuccess()
		}
	}
	r.metric = s.Metric
	r.accrueWork(now)
}

// endAbsentRuns ends the runs that the worker lists neither as present nor as ended
// although it had answered their last order before the report was asked for.
func (c *Core) endAbsentRuns(w *worker, listed map[graph.Task]bool, sent, now time.Time) {
	for id, r := range w.runs {
		if listed[id] {
			continue
		}
		if r.phase == phaseUnconfirmed && sent.After(r.orderedAt) {
			// The start may still be on its way. A stop makes the worker reject it.
			c.stopRun(r, ReasonUnanswered)
			continue
		}
		if r.absenceConclusiveAt.IsZero() || !sent.After(r.absenceConclusiveAt) {
			continue
		}
		c.removeRun(r)
		c.requeue(r.task)
	}
}

// HandleStartOutcome takes the answer to a start.
func (c *Core) HandleStartOutcome(o Order, outcome Outcome, now time.Time) {
	r := c.runOfOrder(o)
	if r == nil {
		return
	}
	t, w := r.task, r.worker
	switch outcome {
	case OutcomeDone:
		if r.phase == phaseStarting {
			r.phase, r.absenceConclusiveAt, r.progressedAt = phaseRunning, now, now
		}
		return
	case OutcomeUnknown:
		if r.phase == phaseStarting {
			r.phase = phaseUnconfirmed
		}
		return
	}
	if r.phase == phaseStopping {
		return // the stop that is under way decides
	}
	c.removeRun(r)
	switch outcome {
	case OutcomeNoCapacity:
		t.avoidedWorker = w.id
		t.earliestStart = now.Add(capacityRetryDelay)
	case OutcomeNoTicket:
		delete(t.step.advice, w.id)
	case OutcomeUnhealthy:
		w.health.recordRefusal(now)
	case OutcomeNotSent:
		t.earliestStart = now.Add(capacityRetryDelay)
	case OutcomeInvalid:
		t.earliestStart = now.Add(invalidRetryDelay)
	}
	c.requeue(t)
}

// runOfOrder returns the run that an order was for, if it is still on its worker.
func (c *Core) runOfOrder(o Order) *run {
	w := c.workers[o.Worker]
	if w == nil || w.incarnation != o.Incarnation {
		return nil
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return r
	}
	return nil
}

// Pauses before a task is offered again.
const (
	capacityRetryDelay = 100 * time.Millisecond // the next report shows what the worker holds
	invalidRetryDelay  = 5 * time.Second
)

// HandlePaceOutcome takes the answer to a pace order. An order that may not have arrived is
// repeated while it is the last one of its run.
func (c *Core) HandlePaceOutcome(o Order, outcome Outcome, now time.Time) {
	if outcome != OutcomeUnknown && outcome != OutcomeNotSent && outcome != OutcomeUnhealthy {
		return
	}
	if r := c.runOfOrder(o); r != nil && r.phase == phaseRunning && r.pacePercent == o.PacePercent {
		r.paceSetAt = now
		c.issueOrder(o)
	}
}

// HandleStopOutcome takes the answer to a stop. The run is over once it is listed as ended,
// or absent from a report that was asked for afterwards.
func (c *Core) HandleStopOutcome(o Order, outcome Outcome, now time.Time) {
	r := c.runOfOrder(o)
	if r == nil {
		return
	}
	switch outcome {
	case OutcomeDone, OutcomeStaleRun:
		r.absenceConclusiveAt = now.Add(c.limits.StopTimeout)
	case OutcomeFenced, OutcomeOtherIncarnation:
	default:
		c.issueOrder(o) // repeat; a stop can be carried out twice
	}
}

func (c *Core) lookupTask(id graph.Task) *task {
	j := c.jobs[id.Job]
	if j == nil || int(id.Occurrence) >= len(j.occurrences) || id.Occurrence < 0 {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if id.Step < 0 || int(id.Step) >= len(o.steps) {
		return nil
	}
	s := o.steps[id.Step]
	if int(id.Index) >= len(s.tasks) {
		return nil
	}
	return &s.tasks[id.Index]
}

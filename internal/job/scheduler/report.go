package scheduler

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// HandleReport applies a worker's answer to a heartbeat. Reports of an earlier
// incarnation than the latest one that has reported or is listed are ignored: they do not
// show what the worker runs now.
func (c *Core) HandleReport(id unit.InstanceID, report Report, now time.Time) {
	w := c.workers[id]
	if w == nil || report.Incarnation < max(w.incarnation, w.listing.Incarnation) {
		return
	}
	if report.Incarnation != w.incarnation {
		first := w.incarnation == 0
		c.handleRestart(w, report.Incarnation, now)
		if first {
			c.recordLateOrder(w, now)
		}
	}
	w.reportedAt = now
	for _, e := range report.Ended {
		if e.Number > w.lastEndSeen {
			w.lastEndSeen = e.Number
			c.handleEnd(w, e, now)
		}
	}
	if len(report.Ended) > 0 {
		c.progressChanged = true // ends are acknowledged only once they are durable
	}
	if report.RequestedAt.Before(w.reportRequestedAt) || report.RequestedAt.Before(w.replacedAt) {
		return // the runs may have ended since
	}
	w.reportRequestedAt = report.RequestedAt
	w.firstListedEnd = noEnd
	for _, e := range report.Ended {
		w.firstListedEnd = min(w.firstListedEnd, e.Number)
	}
	if inherited, ok := c.unresolved[id]; ok && !report.Partial {
		w.inherited = inherited
		delete(c.unresolved, id)
		c.placementDue = true
	}
	c.endReplacedWorkers(w, report)
	if c.recordedLeases[id] {
		c.progressChanged = true // its lease is extended once the durable progress does not hold it
	}
	var stopsUnderWay map[runID]bool
	if len(w.unknownRuns) > 0 {
		stopsUnderWay, w.unknownRuns = w.unknownRuns, map[runID]bool{}
	}
	for _, r := range w.runList {
		r.listed = false
	}
	for _, s := range report.Running {
		c.observeRun(w, s, report.RequestedAt, now)
	}
	if len(w.unknownRuns) == 0 {
		delete(c.reportingUnknown, w.id)
	}
	c.chargeUnknownRuns(w)
	c.organisations.hiddenStale = true
	for id := range w.unknownRuns {
		c.stopUnknownRun(w, id, stopsUnderWay[id])
	}
	c.endAbsentRuns(w, report, now)
	c.stopStalledRuns(w, report.RequestedAt, now)
	c.repeatOrders(w, true, now)
	c.policy.onReport(w, now)
}

// handleEnd applies an ended run that a worker reports for the first time.
func (c *Core) handleEnd(w *worker, e End, now time.Time) {
	t := c.lookupTask(e.Task)
	if t == nil {
		c.recordEarlyEnd(e, now)
		return
	}
	t.lastRun, t.ranBefore = max(t.lastRun, e.Run), true
	c.markStarted(t.job()) // the owner that started the run may not have written it
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
		if c.handleDone(t, e.Run); !t.done && t.endedDone {
			w.heldEnds[e.Number] = t
		}
	case EndFailed:
		w.health.recordFailure(t.job().spec.ID, now)
		t.avoidedWorker = w.id
		if c.recordFailedRun(t, e.Run); t.job().final != 0 && t.hasRuns() {
			w.heldEnds[e.Number] = t
		}
	}
	if t.step.spec.Gang && e.Kind != EndDone {
		c.stopGangRun(t.step, e.Run)
	}
	c.requeue(t)
}

// handleDone completes a task whose run with the given number ended as done, and with it
// all members of a gang. If the start of another run was sent meanwhile, that run is
// stopped first, unless the step allows several at once: a start must not be executed
// after the task is complete.
func (c *Core) handleDone(t *task, number graph.RunNumber) {
	if t.step.spec.LongRunning {
		return
	}
	ended := t.members()
	if t.step.spec.Speculative || !slices.ContainsFunc(ended, func(m *task) bool { return m.hasOtherSentRun(number) }) {
		for _, m := range ended {
			c.completeTask(m)
		}
		return
	}
	for _, m := range ended {
		m.endedDone = true
	}
	for _, m := range ended {
		for _, r := range slices.Clone(m.runs) { // stopRun may remove the run
			c.stopRun(r, ReasonObsolete)
		}
	}
}

// members returns the tasks that end as done together: those of a gang, or the task
// alone.
func (t *task) members() []*task {
	if !t.step.spec.Gang {
		return []*task{t}
	}
	members := make([]*task, 0, len(t.step.tasks))
	for n := range t.step.tasks {
		members = append(members, &t.step.tasks[n])
	}
	return members
}

// hasRuns reports whether the task, or any member of its gang, has a run.
func (t *task) hasRuns() bool {
	return slices.ContainsFunc(t.members(), func(m *task) bool { return len(m.runs) > 0 })
}

// hasOtherSentRun reports whether the start of a run with another number was sent.
func (t *task) hasOtherSentRun(number graph.RunNumber) bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.number != number && r.phase != phaseQueued })
}

// stopGangRun stops the remaining members of a gang's run after one has ended.
func (c *Core) stopGangRun(s *step, number graph.RunNumber) {
	for n := range s.tasks {
		for _, r := range slices.Clone(s.tasks[n].runs) { // stopRun may remove the run
			if r.number == number {
				c.stopRun(r, ReasonGangEnded)
			}
		}
	}
}

// observeRun applies a run that a worker reports as present.
//
// An owner starts a task only when no other run of it goes on or can still begin. A run that
// is present after the last start by an earlier owner was decided is thus the only one that
// earlier owners have left, and its end is all that another start has to wait for.
func (c *Core) observeRun(w *worker, status RunStatus, requestedAt, now time.Time) {
	t := c.lookupTask(status.Task)
	if t == nil {
		c.addUnknownRun(w, status)
		return
	}
	t.lastRun = max(t.lastRun, status.Run)
	r := t.runOn(w)
	if r == nil || r.number != status.Run {
		r = c.adoptRun(w, t, status, now)
		if r == nil {
			if other := t.runOn(w); other != nil {
				other.listed = true // a report that lists the task does not show that this run has ended
			}
			return
		}
	}
	r.listed = true
	if t.step.spec.LongRunning && !t.begun() {
		c.progressChanged = true
	}
	if r.sentBeforeRestart && !r.reported {
		c.extendToLongestLease(w, now) // the start may have been executed just now
	}
	r.reported = true
	c.markStarted(t.job())
	if !c.earlierStartsEndAt.IsZero() && requestedAt.After(c.earlierStartsEndAt) && !t.step.spec.Speculative {
		t.noHiddenRun = true
	}
	if r.phase == phaseStarting || r.phase == phaseUnconfirmed {
		r.phase, r.absenceConclusiveAt = phaseRunning, now
	}
	if status.Checkpoint != "" {
		t.checkpoint, r.savedCheckpoint = status.Checkpoint, status.Checkpoint
	}
	r.recordProgress(status, now)
	c.measureDuration(r, status.ProgressPercent)
}

// adoptRun takes over a run that an earlier owner started, or that a new incarnation of
// the worker has started late. It returns nil if the task does not need the run.
func (c *Core) adoptRun(w *worker, t *task, status RunStatus, now time.Time) *run {
	for _, r := range slices.Clone(t.runs) {
		if r.phase == phaseQueued {
			c.removeRun(r) // this run makes it superfluous
		}
	}
	wanted := !t.done && t.job().final == 0 && (len(t.runs) == 0 || t.step.spec.Speculative) && w.runs[status.Task] == nil
	if !wanted {
		c.addUnknownRun(w, status)
		c.requeue(t)
		return nil
	}
	r := c.addRun(w, t, status.Run, phaseRunning, now)
	r.absenceConclusiveAt, r.resumedFromCheckpoint = now, true
	c.recordInheritedLease(w, now)
	if need := t.step.spec.Needs.Cores; t.step.spec.BestEffort && need > 0 {
		// The earlier owner may have changed the pace, so it is derived from the cores
		// that the run uses.
		if usedPercent := status.Metric * 100 / int(need); usedPercent < minFullPaceUsage {
			r.recordPace(usedPercent)
		}
	}
	return r
}

// addUnknownRun records a reported run that no task needs.
func (c *Core) addUnknownRun(w *worker, status RunStatus) {
	w.unknownRuns[runID{status.Task, status.Run}] = false
	c.reportingUnknown[w.id] = w
}

// stopUnknownRun orders the stop of a run that no task needs, unless a stop is under
// way. The capacity that the run takes is unknown, so nothing starts on the worker
// while it is reported.
func (c *Core) stopUnknownRun(w *worker, id runID, underWay bool) {
	w.unknownRuns[id] = true
	if !underWay {
		c.issueOrder(Order{Kind: OrderStop, Worker: w.id, Incarnation: w.incarnation, Task: id.task, Run: id.run, Reason: ReasonObsolete})
	}
}

// minFullPaceUsage is the share of its cores, in percent, that an adopted run must
// use to be taken as working at full pace.
const minFullPaceUsage = 85

// recordProgress applies the reported progress and metric to a run. A long-running
// task that has begun to work on a worker since its quarantine counts as a success.
func (r *run) recordProgress(status RunStatus, now time.Time) {
	if status.ProgressPercent != r.progressPercent {
		r.progressPercent, r.progressedAt = status.ProgressPercent, now
		if r.task.step.spec.LongRunning && status.ProgressPercent == 100 && r.orderedAt.After(r.worker.health.quarantinedUntil) {
			r.worker.health.recordSuccess()
		}
	}
	r.metric = status.Metric
	r.accrueWork(now)
}

// endAbsentRuns removes the runs that a report does not contain, if the report was
// requested after the worker had answered their last order. A partial report may lack the
// ends of these runs, so that it ends only runs whose end is of no consequence.
func (c *Core) endAbsentRuns(w *worker, report Report, now time.Time) {
	if !slices.ContainsFunc(w.runList, func(r *run) bool { return !r.listed }) {
		return
	}
	requestedAt := report.RequestedAt
	for _, r := range w.runs {
		if r.listed || (report.Partial && !r.task.isSettled()) {
			continue
		}
		if r.phase == phaseUnconfirmed && requestedAt.After(r.orderedAt) {
			// The start may still arrive. The stop makes the worker reject it.
			c.stopRun(r, ReasonUnanswered)
			continue
		}
		if r.absenceConclusiveAt.IsZero() || !requestedAt.After(r.absenceConclusiveAt) {
			continue
		}
		c.removeRun(r)
		c.requeue(r.task)
	}
}

// isSettled reports whether no end of a run can change the result of the task. Ends that
// are held wait for its runs, and a worker may list only held ends.
func (t *task) isSettled() bool { return t.done || t.endedDone || t.job().final != 0 }

// lookupTask returns the task with the given id, or nil if the core does not hold it.
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

package scheduler

import "time"

// HandleStartOutcome applies the outcome of a start order.
func (c *Core) HandleStartOutcome(o Order, outcome Outcome, now time.Time) {
	r := c.runOfOrder(o)
	if r == nil {
		return
	}
	t, w := r.task, r.worker
	if outcome == OutcomeDone {
		c.markStarted(t.job())
	}
	switch outcome {
	case OutcomeDone, OutcomeStaleRun:
		// A stale run may have ended there; the next report decides.
		if r.phase == phaseStarting || r.phase == phaseUnconfirmed {
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
		return // the outcome of the stop decides
	}
	c.removeRun(r)
	switch outcome {
	case OutcomeNoCapacity:
		t.avoidedWorker = w.id
		t.earliestStart = now.Add(startRetryDelay)
	case OutcomeNoTicket:
		delete(t.step.advice, w.id)
	case OutcomeUnhealthy:
		w.health.recordRefusal(now)
	case OutcomeOtherIncarnation, OutcomeFenced:
		w.misdirectedAt = now
	case OutcomeNotSent:
		t.earliestStart = now.Add(startRetryDelay)
	case OutcomeInvalid:
		t.avoidedWorker = w.id // others may take it
		t.earliestStart = now.Add(invalidRetryDelay)
	}
	c.requeue(t)
}

// runOfOrder returns the run that an order was for, or nil if it is no longer on
// its worker.
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

// Delays before a task whose start was rejected is placed again.
const (
	startRetryDelay   = 100 * time.Millisecond // by then a report may show what the worker runs
	invalidRetryDelay = 2 * time.Second
)

// HandlePaceOutcome applies the outcome of a pace order. An order that may not have
// been executed is repeated later, unless the run's pace changes before.
func (c *Core) HandlePaceOutcome(o Order, outcome Outcome, now time.Time) {
	if outcome != OutcomeUnknown && outcome != OutcomeNotSent && outcome != OutcomeUnhealthy {
		return
	}
	if r := c.runOfOrder(o); r != nil && r.phase == phaseRunning && r.pacePercent == o.PacePercent {
		r.repeatOrderAt = now.Add(orderRepeatDelay)
	}
}

// HandleStopOutcome applies the outcome of a stop order. The run has ended once it is
// reported as ended, or is absent from a report requested after the stop timeout. A
// stop that may not have been executed is repeated later.
func (c *Core) HandleStopOutcome(o Order, outcome Outcome, now time.Time) {
	r := c.runOfOrder(o)
	if r == nil {
		if w := c.workers[o.Worker]; w != nil && w.incarnation == o.Incarnation && w.unknownRuns[runID{o.Task, o.Run}] {
			w.unknownRuns[runID{o.Task, o.Run}] = false // the next report decides
		}
		return
	}
	switch outcome {
	case OutcomeDone, OutcomeStaleRun:
		r.absenceConclusiveAt = now.Add(c.limits.StopTimeout)
	case OutcomeFenced, OutcomeOtherIncarnation:
	default:
		r.repeatOrderAt = now.Add(orderRepeatDelay)
	}
}

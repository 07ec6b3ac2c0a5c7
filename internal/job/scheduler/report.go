package scheduler

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// HandleReport takes the answer of a worker to a hold order.
func (c *Core) HandleReport(id unit.InstanceID, p Report, now time.Time) {
	w := c.workers[id]
	if w == nil || p.Incarnation < w.born {
		return
	}
	if p.Incarnation != w.born {
		c.reborn(w, p.Incarnation, now)
	}
	w.reported = p.RequestedAt
	if c.unresolved[id] {
		delete(c.unresolved, id)
		c.wake = true
	}
	for _, e := range p.Ended {
		if e.Number > w.seen {
			w.seen = e.Number
			c.end(w, e, now)
		}
	}
	if len(p.Ended) > 0 {
		c.changed = true // the ends must become durable before they are acknowledged
	}
	w.unknownRuns = 0
	listed := make(map[graph.Task]bool, len(p.Running))
	for _, s := range p.Running {
		listed[s.Task] = true
		c.observe(w, s, p.RequestedAt, now)
	}
	if !p.Partial {
		c.settle(w, listed, p.RequestedAt, now)
	}
	c.policy.adapt(w, now)
}

// end takes one end that a worker lists for the first time.
func (c *Core) end(w *worker, e End, now time.Time) {
	t := c.task(e.Task)
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
			r.work(now)
			c.measure(r, 100)
		}
		c.remove(r)
	}
	switch e.Kind {
	case EndDone:
		w.health.success()
		c.endDone(t)
	case EndFailed:
		w.health.failure(t.job().spec.ID, now)
		t.avoid = w.id
		c.fail(t, e.Run)
	}
	if t.step.spec.Gang && e.Kind != EndDone {
		c.breakGang(t.step, e.Run)
	}
	c.wait(t)
}

// endDone completes a task. A run that another worker has of it meanwhile is the
// one that counts, unless the step allows copies.
func (c *Core) endDone(t *task) {
	if t.step.spec.LongRunning {
		return
	}
	if t.step.spec.Gang {
		for n := range t.step.tasks {
			c.complete(&t.step.tasks[n])
		}
		return
	}
	if len(t.runs) == 0 || t.step.spec.Speculative {
		c.complete(t)
	}
}

// breakGang stops what is left of a gang's run after one member ended.
func (c *Core) breakGang(s *step, number graph.RunNumber) {
	for n := range s.tasks {
		for _, r := range s.tasks[n].runs {
			if r.number == number {
				c.stop(r, ReasonGangEnded)
			}
		}
	}
}

// observe takes one run that a worker lists as present.
func (c *Core) observe(w *worker, s RunStatus, sent, now time.Time) {
	t := c.task(s.Task)
	if t == nil {
		c.stopUnknown(w, s)
		return
	}
	t.lastRun = max(t.lastRun, s.Run)
	r := w.runs[s.Task]
	if r == nil || r.number != s.Run {
		r = c.adopt(w, t, s, now)
		if r == nil {
			return
		}
	}
	if r.phase == phaseStarting || r.phase == phaseUnsure {
		r.phase, r.settled = phaseRunning, sent
	}
	if s.Checkpoint != "" {
		t.checkpoint = s.Checkpoint
	}
	r.advance(s, now)
	c.measure(r, s.ProgressPercent)
}

// adopt takes over a run that an earlier owner started, or stops it if its task
// does not need it.
func (c *Core) adopt(w *worker, t *task, s RunStatus, now time.Time) *run {
	wanted := !t.done && t.job().final == 0 && (len(t.runs) == 0 || t.step.spec.Speculative) && w.runs[s.Task] == nil
	if !wanted {
		c.stopUnknown(w, s)
		return nil
	}
	r := c.add(w, t, s.Run, phaseRunning, now)
	r.settled, r.resumed = now, true
	c.RecordLease(w.id, c.safe) // the lease that the earlier owner gave
	if need := t.step.spec.Needs.Cores; t.step.spec.BestEffort && need > 0 {
		// The earlier owner may have changed the pace; what the run uses tells.
		if used := s.Metric * 100 / int(need); used < fullPace {
			r.pace = used
		}
	}
	return r
}

// stopUnknown stops a run that no task needs. Until it is gone the room that it
// takes is not known, and the worker gets no starts.
func (c *Core) stopUnknown(w *worker, s RunStatus) {
	w.unknownRuns++
	c.order(Order{Kind: OrderStop, Worker: w.id, Incarnation: w.born, Task: s.Task, Run: s.Run, Reason: ReasonObsolete})
}

// fullPace is the used share of its cores, in percent, from which on an adopted
// run is taken to work at full pace.
const fullPace = 85

// advance notes the progress of a run.
func (r *run) advance(s RunStatus, now time.Time) {
	if s.ProgressPercent != r.percent {
		r.percent, r.progressed = s.ProgressPercent, now
		if r.task.step.spec.LongRunning && s.ProgressPercent == 100 && r.ordered.After(r.worker.health.until) {
			r.worker.health.success()
		}
	}
	r.figure = s.Metric
	r.work(now)
}

// settle ends the runs that the worker lists neither as present nor as ended
// although it had answered their last order before the report was asked for.
func (c *Core) settle(w *worker, listed map[graph.Task]bool, sent, now time.Time) {
	for id, r := range w.runs {
		if listed[id] {
			continue
		}
		if r.phase == phaseUnsure && sent.After(r.ordered) {
			// The start may still be on its way. A stop makes the worker reject it.
			c.stop(r, ReasonUnanswered)
			continue
		}
		if r.settled.IsZero() || !sent.After(r.settled) {
			continue
		}
		c.remove(r)
		c.wait(r.task)
	}
}

// HandleStartOutcome takes the answer to a start.
func (c *Core) HandleStartOutcome(o Order, outcome Outcome, now time.Time) {
	r := c.ordered(o)
	if r == nil {
		return
	}
	t, w := r.task, r.worker
	switch outcome {
	case OutcomeDone:
		if r.phase == phaseStarting {
			r.phase, r.settled, r.progressed = phaseRunning, now, now
		}
		return
	case OutcomeUnknown:
		if r.phase == phaseStarting {
			r.phase = phaseUnsure
		}
		return
	}
	if r.phase == phaseStopping {
		return // the stop that is under way decides
	}
	c.remove(r)
	switch outcome {
	case OutcomeNoCapacity:
		t.avoid = w.id
		t.notBefore = now.Add(roomPause)
	case OutcomeNoTicket:
		delete(t.step.permits, w.id)
	case OutcomeUnhealthy:
		w.health.refused(now)
	case OutcomeNotSent:
		t.notBefore = now.Add(roomPause)
	case OutcomeInvalid:
		t.notBefore = now.Add(invalidPause)
	}
	c.wait(t)
}

// ordered returns the run that an order was for, if it is still on its worker.
func (c *Core) ordered(o Order) *run {
	w := c.workers[o.Worker]
	if w == nil || w.born != o.Incarnation {
		return nil
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return r
	}
	return nil
}

// Pauses before a task is offered again.
const (
	roomPause    = 100 * time.Millisecond // the next report shows what the worker holds
	invalidPause = 5 * time.Second
)

// HandlePaceOutcome takes the answer to a pace order. An order that may not have arrived is
// repeated while it is the last one of its run.
func (c *Core) HandlePaceOutcome(o Order, outcome Outcome, now time.Time) {
	if outcome != OutcomeUnknown && outcome != OutcomeNotSent && outcome != OutcomeUnhealthy {
		return
	}
	if r := c.ordered(o); r != nil && r.phase == phaseRunning && r.pace == o.PacePercent {
		r.steered = now
		c.order(o)
	}
}

// HandleStopOutcome takes the answer to a stop. The run is over once it is listed as ended,
// or absent from a report that was asked for afterwards.
func (c *Core) HandleStopOutcome(o Order, outcome Outcome, now time.Time) {
	r := c.ordered(o)
	if r == nil {
		return
	}
	switch outcome {
	case OutcomeDone, OutcomeStaleRun:
		r.settled = now.Add(c.limits.StopTimeout)
	case OutcomeFenced, OutcomeOtherIncarnation:
	default:
		c.order(o) // repeat; a stop can be carried out twice
	}
}

func (c *Core) task(id graph.Task) *task {
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

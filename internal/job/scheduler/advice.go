package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Ticket lets the tasks of one step start on one worker for some time.
type Ticket string

// adviceAnswer is what the placement advice said of a step and a worker.
type adviceAnswer struct {
	ticket      Ticket // empty: the worker may not run the step
	incarnation Incarnation
	expiresAt   time.Time
}

// AdviceRequest is a question to the placement advice: which workers may run a step.
type AdviceRequest struct {
	Step         graph.Task // its index counts for nothing
	Workers      []unit.InstanceID
	incarnations []Incarnation
}

// Bounds of a question. The advice takes longer for each worker named.
const (
	minWorkersAsked     = 6
	maxWorkersAsked     = 30
	workersAskedPerTask = 2 // workers named for each waiting task
	// ticketExpiryMargin is how long before its end a ticket counts no more: a start
	// needs time to arrive.
	ticketExpiryMargin = 150 * time.Millisecond
)

// NextAdviceRequest returns the next question to the placement advice, if one is needed. The
// caller asks one at a time.
func (c *Core) NextAdviceRequest(now time.Time) (AdviceRequest, bool) {
	var best *step
	for _, s := range c.readySteps {
		if s.occurrence.job.spec.Queue.Advice == nil || len(s.waiting) == 0 || c.canStartNow(s, now) {
			continue
		}
		if best == nil || c.policy.compare(s, best, now) < 0 {
			best = s
		}
	}
	if best == nil {
		best = c.nextUpcomingStep(now)
	}
	if best == nil {
		return AdviceRequest{}, false
	}
	a := c.buildAdviceRequest(best, now)
	return a, len(a.Workers) > 0
}

// adviceLeadShare is the part of a ticket's validity before the turn of a step at which
// the advice is asked for it. The ticket must last until all tasks have started.
const adviceLeadShare = 0.5

// nextUpcomingStep returns the most urgent step whose turn comes soon and for which no
// worker is known yet, so that its tasks can start as soon as the step before has
// ended.
func (c *Core) nextUpcomingStep(now time.Time) *step {
	var best *step
	for _, j := range c.openJobs {
		if j.spec.Queue.Advice == nil || j.final != 0 {
			continue
		}
		limit := time.Duration(adviceLeadShare * float64(j.spec.Queue.Advice.TicketValidity))
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.incompleteDeps == 0 || len(s.waiting) == 0 || c.timeUntilReady(s) > limit || c.canStartNow(s, now) {
					continue
				}
				if best == nil || cmp.Or(c.policy.compare(s, best, now), compareStepIDs(s, best)) < 0 {
					best = s
				}
			}
		}
	}
	return best
}

// compareStepIDs orders steps by name, so that the same one is chosen each time.
func compareStepIDs(a, b *step) int {
	return cmp.Or(
		cmp.Compare(a.occurrence.job.spec.ID, b.occurrence.job.spec.ID),
		cmp.Compare(a.occurrence.index, b.occurrence.index),
		cmp.Compare(a.index, b.index),
	)
}

// timeUntilReady returns how long the steps before one are expected to take, not
// counting waits for room.
func (c *Core) timeUntilReady(s *step) time.Duration {
	var longest time.Duration
	for _, a := range s.spec.After {
		earlier := s.occurrence.steps[a]
		work := c.expectedDuration(earlier)
		for n := range earlier.tasks {
			if t := &earlier.tasks[n]; !t.done {
				longest = max(longest, t.remainingWork(work))
			}
		}
		if earlier.incompleteDeps > 0 {
			longest += c.timeUntilReady(earlier)
		}
	}
	return longest
}

// remainingWork returns how much of its work is left to a task.
func (t *task) remainingWork(work time.Duration) time.Duration {
	left := work
	for _, r := range t.runs {
		if r.progressPercent > 0 {
			left = min(left, work*time.Duration(100-r.progressPercent)/100)
		}
	}
	return left
}

// canStartNow reports whether a waiting task of the step can start by a ticket.
func (c *Core) canStartNow(s *step, now time.Time) bool {
	t := s.waiting[len(s.waiting)-1]
	for _, w := range c.workersByService[s.occurrence.job.spec.Queue.Service] {
		if c.eligible(w, t, now) && w.fits(s.spec) {
			return true
		}
	}
	return false
}

// buildAdviceRequest names the workers that suit a step best and of which nothing is known.
func (c *Core) buildAdviceRequest(s *step, now time.Time) AdviceRequest {
	t := s.waiting[len(s.waiting)-1]
	type candidate struct {
		worker *worker
		score  float64
	}
	var candidates []candidate
	for _, w := range c.workersByService[s.occurrence.job.spec.Queue.Service] {
		if p, ok := s.advice[w.id]; ok && p.incarnation == w.incarnation && (p.ticket == "" || p.usable(now)) {
			continue
		}
		if c.eligibleWithoutTicket(w, t, now) && w.fits(s.spec) {
			candidates = append(candidates, candidate{w, c.policy.score(w, t, now)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.worker.id, b.worker.id))
	})
	most := min(max(workersAskedPerTask*len(s.waiting), minWorkersAsked), maxWorkersAsked)
	a := AdviceRequest{Step: t.id()}
	for _, k := range candidates[:min(len(candidates), most)] {
		a.Workers = append(a.Workers, k.worker.id)
		a.incarnations = append(a.incarnations, k.worker.incarnation)
	}
	return a
}

// HandleAdvice takes the answer to a question: the tickets of the workers that may run
// the step. That a worker may not run a step does not change during its life.
func (c *Core) HandleAdvice(a AdviceRequest, approved map[unit.InstanceID]Ticket, valid time.Duration, now time.Time) {
	t := c.lookupTask(a.Step)
	if t == nil {
		return
	}
	if t.step.advice == nil {
		t.step.advice = map[unit.InstanceID]adviceAnswer{}
	}
	for i, id := range a.Workers {
		t.step.advice[id] = adviceAnswer{ticket: approved[id], incarnation: a.incarnations[i], expiresAt: now.Add(valid - ticketExpiryMargin)}
	}
	c.placementDue = true
}

// usable reports whether a start can use the ticket now.
func (p adviceAnswer) usable(now time.Time) bool { return p.ticket != "" && now.Before(p.expiresAt) }

// ticketFor returns the ticketFor of a step for a worker, if the step needs one, and
// whether a task may start there.
func (s *step) ticketFor(w *worker, now time.Time) (Ticket, bool) {
	if s.occurrence.job.spec.Queue.Advice == nil {
		return "", true
	}
	p := s.advice[w.id]
	return p.ticket, p.incarnation == w.incarnation && p.usable(now)
}
